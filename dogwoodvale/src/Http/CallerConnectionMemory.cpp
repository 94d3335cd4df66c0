#include "CallerConnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

// What a connection holds, and how it gives it up.

namespace dogwoodvale::internal {

namespace {

/// A caller makes progress each time that it has sent, or taken, this much.
constexpr std::size_t kProgressBytes = 4096;

} // namespace

void
CallerConnection::RefuseForMemory()
{
  ++this->owner.MutableCounters().refusedForMemory;
  const HeaderField wait{ "Retry-After", "1" };
  this->Refuse(503,
               ErrorCode::QueueFull,
               "other requests take all memory for them",
               { &wait, 1 });
}

void
CallerConnection::ReleaseRequest()
{
  this->requestBytes = 0;
  this->UpdateBudget();
}

CallerMemory
CallerConnection::Memory() const
{
  CallerMemory memory;
  if (this->stream != nullptr) {
    memory.heads = this->parser == nullptr ? 0 : this->parser->HeldBytes();
    memory.bodies = this->body.Capacity();
    memory.requests = this->requestBytes;
    memory.input = evbuffer_get_length(bufferevent_get_input(this->stream));
    memory.answers = this->PendingBytes();
  }
  return memory;
}

bool
CallerConnection::UpdateBudget(std::size_t aMore)
{
  const std::size_t bytes = this->Memory().Sum() + aMore;
  if (bytes == 0) {
    this->owner.Memory().Remove(*this);
    return true;
  }
  return this->owner.Memory().Set(*this, bytes);
}

void
CallerConnection::OnProgress(std::size_t aBytes)
{
  this->recentBytes += aBytes;
  if (this->recentBytes >= kProgressBytes) {
    this->recentBytes = 0;
    this->receivedAt = Now();
  }
}

void
CallerConnection::OnOutputTaken(std::size_t aBytes)
{
  this->recentOutput += aBytes;
  if (this->recentOutput >= kProgressBytes) {
    this->recentOutput = 0;
    this->outputTakenAt = Now();
  }
  this->UpdateBudget();
}

std::optional<Duration>
CallerConnection::SinceReceived() const
{
  if (this->phase == Phase::Answering) {
    return std::nullopt;
  }
  if (this->finishedWriting) {
    return Duration::max();
  }
  return Between(this->receivedAt, Now());
}

MemoryBudget::Standing
CallerConnection::Assess() const
{
  if (this->phase == Phase::Receiving) {
    return { this->Memory().Sum(), Between(this->receivedAt, Now()) };
  }
  const std::size_t pending = this->PendingBytes();
  if (pending == 0) {
    return {};
  }
  return { pending, Between(this->outputTakenAt, Now()) };
}

void
CallerConnection::Yield()
{
  if (this->phase == Phase::Receiving) {
    this->RefuseForMemory();
    return;
  }
  ++this->owner.MutableCounters().unreadAnswers;
  this->Close(true);
}

void
CallerConnection::MakeWay()
{
  if (this->phase == Phase::Receiving) {
    this->RefuseForMemory();
  }
  this->Drop();
}

} // namespace dogwoodvale::internal
