#include "Http2Stream.h"

#include <algorithm>
#include <cstring>

#include "Http2Session.h"

namespace dogwoodvale::internal {

namespace {

/// What an idle stream may keep allocated for its next message.
constexpr std::size_t kKeptCapacity = 1024;

} // namespace

std::size_t
Http2Stream::Take(std::uint8_t* aTo, std::size_t aSize)
{
  const std::size_t size = std::min(aSize, this->QueuedBytes());
  std::memcpy(aTo, this->out.data() + this->outStart, size);
  this->outStart += size;
  if (this->outStart == this->out.size()) {
    this->out.clear();
    this->outStart = 0;
    if (this->out.capacity() > kKeptCapacity) {
      this->out.shrink_to_fit();
    }
  } else if (this->outStart > this->out.size() / 2) {
    this->out.erase(0, this->outStart);
    this->outStart = 0;
  }
  return size;
}

Http2StreamHandle::Http2StreamHandle(std::unique_ptr<Http2Stream> aStream)
  : stream(std::move(aStream))
{
}

Http2StreamHandle::~Http2StreamHandle()
{
  this->stream->handler = nullptr;
  if (this->stream->session != nullptr) {
    this->stream->session->Release(std::move(this->stream));
  }
}

void
Http2StreamHandle::SetHandler(PeerStreamHandler* aHandler)
{
  this->stream->handler = aHandler;
}

void
Http2StreamHandle::Send(const Message& aMessage)
{
  if (this->stream->session == nullptr || this->stream->finishing) {
    return;
  }
  AppendMessage(aMessage, this->stream->out);
  this->stream->session->OnQueued(*this->stream);
}

void
Http2StreamHandle::FinishSending()
{
  if (this->stream->session == nullptr || this->stream->finishing) {
    return;
  }
  this->stream->finishing = true;
  this->stream->session->OnQueued(*this->stream);
}

std::size_t
Http2StreamHandle::QueuedBytes() const
{
  return this->stream->QueuedBytes();
}

void
Http2StreamHandle::SetReadingPaused(bool aPaused)
{
  this->stream->paused = aPaused;
  if (!aPaused && this->stream->session != nullptr) {
    this->stream->session->Acknowledge(*this->stream);
  }
}

bool
Http2StreamHandle::WasWritten() const
{
  return this->stream->written;
}

} // namespace dogwoodvale::internal
