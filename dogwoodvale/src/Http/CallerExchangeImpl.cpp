#include "CallerConnection.h"

namespace dogwoodvale::internal {

CallerExchangeImpl::CallerExchangeImpl(CallerConnection& aConnection,
                                       HttpRequest aRequest)
  : connection(&aConnection)
  , request(std::move(aRequest))
{
}

CallerExchangeImpl::~CallerExchangeImpl()
{
  if (this->connection != nullptr) {
    this->connection->Abort();
  }
}

void
CallerExchangeImpl::SetHandler(CallerExchangeHandler* aHandler)
{
  this->handler = aHandler;
}

void
CallerExchangeImpl::Respond(int aStatus,
                            std::span<const HeaderField> aHeaders,
                            std::string_view aBody)
{
  if (this->connection == nullptr || this->started) {
    return;
  }
  this->started = true;
  CallerConnection& to = *std::exchange(this->connection, nullptr);
  to.WriteHead(aStatus, aHeaders, aBody.size());
  to.WritePart(aBody);
  to.FinishAnswer();
}

void
CallerExchangeImpl::StartStream(int aStatus,
                                std::span<const HeaderField> aHeaders)
{
  if (this->connection == nullptr || this->started) {
    return;
  }
  this->started = true;
  this->connection->WriteHead(aStatus, aHeaders, std::nullopt);
}

void
CallerExchangeImpl::SendPart(std::string_view aBytes)
{
  if (this->connection != nullptr && this->started) {
    this->connection->WritePart(aBytes);
  }
}

void
CallerExchangeImpl::EndStream()
{
  if (this->connection != nullptr && this->started) {
    std::exchange(this->connection, nullptr)->FinishAnswer();
  }
}

std::size_t
CallerExchangeImpl::PendingBytes() const
{
  return this->connection == nullptr ? 0 : this->connection->PendingBytes();
}

bool
CallerExchangeImpl::CheckCallerGone()
{
  if (this->connection != nullptr && this->connection->HasCallerClosed()) {
    this->connection->Drop();
  }
  return this->connection == nullptr;
}

void
CallerExchangeImpl::Detach(bool aTell)
{
  this->connection = nullptr;
  if (aTell && this->handler != nullptr) {
    this->handler->OnCallerGone();
  }
}

void
CallerExchangeImpl::Drained()
{
  if (this->handler != nullptr) {
    this->handler->OnDrained();
  }
}

} // namespace dogwoodvale::internal
