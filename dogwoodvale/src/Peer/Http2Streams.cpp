#include "Http2Session.h"

#include <algorithm>

#include "Http2Callbacks.h"
#include "Http2Scope.h"

namespace dogwoodvale::internal {

namespace {

constexpr std::size_t kMaxPartialBytes = 8 * kMaxMessageBytes;

absl::Status
ReasonOf(std::uint32_t aError)
{
  switch (aError) {
    case NGHTTP2_NO_ERROR:
    case NGHTTP2_CANCEL:
      return absl::CancelledError("the peer cancelled the stream");
    case NGHTTP2_REFUSED_STREAM:
      return absl::UnavailableError("the peer refused the stream");
    case NGHTTP2_ENHANCE_YOUR_CALM:
      return absl::ResourceExhaustedError("the peer held too much already");
    default:
      return MakeError(absl::StatusCode::kAborted,
                       "the peer reset the stream: {}",
                       nghttp2_http2_strerror(aError));
  }
}

} // namespace

Http2Stream*
Http2Session::Find(std::int32_t aId)
{
  if (aId == this->control.id) {
    return &this->control;
  }
  if (const auto found = this->streams.find(aId);
      found != this->streams.end()) {
    return found->second;
  }
  const auto found = this->lingering.find(aId);
  return found == this->lingering.end() ? nullptr : found->second.get();
}

void
Http2Session::Forget(Http2Stream& aStream)
{
  this->partialBytes -= aStream.reader.PartialBytes();
  this->streams.erase(aStream.id);
}

std::unique_ptr<PeerStream>
Http2Session::OpenStream()
{
  if (!this->IsReady() || this->side != Side::Connecting) {
    return nullptr;
  }
  // One of the peer's streams is the control stream.
  const std::uint32_t allowed = nghttp2_session_get_remote_settings(
    this->session, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  const std::uint32_t limit =
    std::min(this->options.maxStreams, std::max(allowed, 1U) - 1);
  if (this->streams.size() >= limit) {
    return nullptr;
  }
  auto stream = std::make_unique<Http2Stream>(*this, kMaxMessageBytes);
  stream->id = SubmitRequest(*this->session, "/stream");
  // After 2^30 streams, which is 12 days at 1,000 a second, the ids are used
  // up. A new connection has new ones, so this one ends with its last stream.
  if (stream->id < 0) {
    if (this->streams.empty()) {
      this->FailLater(absl::UnavailableError("stream ids are used up"));
    }
    return nullptr;
  }
  this->streams.emplace(stream->id, stream.get());
  this->OnStreamOpened();
  return std::make_unique<Http2StreamHandle>(std::move(stream));
}

bool
Http2Session::OnRequest(std::int32_t aId)
{
  if (this->control.id == 0) {
    this->control.id = aId;
    return true;
  }
  if (!this->ready) {
    this->Close(absl::PermissionDeniedError(
      "the peer opened a stream before its hello was checked"));
    return false;
  }
  auto stream = std::make_unique<Http2Stream>(*this, kMaxMessageBytes);
  stream->id = aId;
  this->streams.emplace(aId, stream.get());
  this->OnStreamOpened();
  this->handler->OnStream(
    std::make_unique<Http2StreamHandle>(std::move(stream)));
  return !this->closed;
}

void
Http2Session::OnQueued(Http2Stream& aStream)
{
  if (this->closed || aStream.id <= 0) {
    return;
  }
  if (aStream.QueuedBytes() > this->options.lowWaterBytes) {
    aStream.aboveLowWater = true;
  }
  if (this->side == Side::Listening && !aStream.responded) {
    aStream.responded = true;
    SubmitResponse(*this->session, aStream.id);
  } else if (aStream.deferred) {
    aStream.deferred = false;
    nghttp2_session_resume_data(this->session, aStream.id);
  }
  this->ScheduleFlush();
}

ssize_t
Http2Session::Provide(std::int32_t aId,
                      std::span<std::uint8_t> aTo,
                      std::uint32_t& aFlags)
{
  Http2Stream* const stream = this->Find(aId);
  if (stream == nullptr) {
    return NGHTTP2_ERR_DEFERRED;
  }
  const std::size_t size = stream->Take(aTo.data(), aTo.size());
  const std::size_t left = stream->QueuedBytes();
  if (left == 0 && stream->finishing) {
    aFlags |= NGHTTP2_DATA_FLAG_EOF;
  } else if (size == 0) {
    stream->deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  if (stream->aboveLowWater && left <= this->options.lowWaterBytes) {
    stream->aboveLowWater = false;
    this->writable.push_back(aId);
  }
  return static_cast<ssize_t>(size);
}

/// Handlers are told after nghttp2 has returned, since they send more.
void
Http2Session::TellWritable()
{
  std::vector<std::int32_t> ids;
  ids.swap(this->writable);
  for (const std::int32_t id : ids) {
    Http2Stream* const stream = this->closed ? nullptr : this->Find(id);
    if (stream != nullptr && stream->handler != nullptr) {
      stream->handler->OnWritable();
    }
  }
}

void
Http2Session::Acknowledge(Http2Stream& aStream)
{
  if (this->closed || aStream.unacknowledged == 0) {
    return;
  }
  nghttp2_session_consume_stream(
    this->session, aStream.id, aStream.unacknowledged);
  aStream.unacknowledged = 0;
  this->ScheduleFlush();
}

absl::Status
Http2Session::Feed(Http2Stream& aStream,
                   std::string_view aBytes,
                   std::vector<Message>& aOut)
{
  this->partialBytes -= aStream.reader.PartialBytes();
  absl::Status status = aStream.reader.Feed(aBytes, aOut);
  this->partialBytes += aStream.reader.PartialBytes();
  // The bound on a message times that on streams is far more than a process
  // has: a peer that begins many long messages and ends none would take it.
  if (status.ok() && this->partialBytes > kMaxPartialBytes) {
    return absl::ResourceExhaustedError("too many messages are incomplete");
  }
  return status;
}

bool
Http2Session::OnData(std::int32_t aId, std::string_view aBytes)
{
  nghttp2_session_consume_connection(this->session, aBytes.size());
  if (aId == this->control.id) {
    return this->OnControlData(aBytes);
  }
  Http2Stream* const stream = this->Find(aId);
  if (stream == nullptr || stream->lingering) {
    nghttp2_session_consume_stream(this->session, aId, aBytes.size());
    return true;
  }
  stream->unacknowledged += aBytes.size();
  std::vector<Message> messages;
  const absl::Status status = this->Feed(*stream, aBytes, messages);
  if (!this->Deliver(aId, std::move(messages))) {
    return !this->closed;
  }
  if (!status.ok()) {
    this->Reset(aId,
                absl::IsResourceExhausted(status) ? NGHTTP2_ENHANCE_YOUR_CALM
                                                  : NGHTTP2_PROTOCOL_ERROR);
    this->Lose(*stream, status);
  } else if (!stream->paused) {
    this->Acknowledge(*stream);
  }
  return !this->closed;
}

/// \return whether the stream is still there; a handler may destroy it, or
/// the connection, at any message.
bool
Http2Session::Deliver(std::int32_t aId, std::vector<Message> aMessages)
{
  for (Message& message : aMessages) {
    Http2Stream* const stream = this->Find(aId);
    if (this->closed || stream == nullptr || stream->lingering) {
      return false;
    }
    if (stream->handler != nullptr) {
      stream->handler->OnMessage(std::move(message));
    }
  }
  const Http2Stream* const stream = this->Find(aId);
  return !this->closed && stream != nullptr && !stream->lingering;
}

bool
Http2Session::OnRemoteEnd(std::int32_t aId)
{
  if (aId == this->control.id) {
    this->Close(absl::UnavailableError("the peer ended the control stream"));
    return false;
  }
  Http2Stream* const stream = this->Find(aId);
  if (stream == nullptr) {
    return true;
  }
  stream->remoteEnded = true;
  if (stream->reader.PartialBytes() > 0) {
    this->Reset(aId, NGHTTP2_PROTOCOL_ERROR);
    this->Lose(*stream, absl::DataLossError("the last message is cut short"));
  } else if (stream->handler != nullptr) {
    stream->handler->OnEnd();
  }
  return !this->closed;
}

bool
Http2Session::OnStreamClose(std::int32_t aId, std::uint32_t aError)
{
  if (aId == this->control.id) {
    this->Close(absl::UnavailableError("the peer reset the control stream"));
    return false;
  }
  this->lingering.erase(aId);
  Http2Stream* const stream = this->Find(aId);
  if (stream == nullptr) {
    return true;
  }
  // A listening side that is done with a stream resets it with no error; what
  // it had to say came before, with its end.
  if (aError == NGHTTP2_NO_ERROR && stream->remoteEnded) {
    this->Forget(*stream);
    stream->session = nullptr;
    return true;
  }
  this->Lose(*stream, ReasonOf(aError));
  return !this->closed;
}

void
Http2Session::Release(std::unique_ptr<Http2Stream> aStream)
{
  const std::int32_t id = aStream->id;
  this->Forget(*aStream);
  if (this->closed) {
    return;
  }
  // A finished answer is still to be sent, and the owner need not wait for
  // that. A request whose answer is no longer wanted is not.
  if (aStream->finishing &&
      (this->side == Side::Listening || aStream->remoteEnded)) {
    aStream->lingering = true;
    const bool sent = aStream->endSent;
    this->lingering.emplace(id, std::move(aStream));
    if (sent) {
      this->Reset(id, NGHTTP2_NO_ERROR);
    }
    return;
  }
  this->Reset(id, NGHTTP2_CANCEL);
}

void
Http2Session::OnEndSent(std::int32_t aId)
{
  Http2Stream* const stream = this->Find(aId);
  if (stream == nullptr) {
    return;
  }
  stream->endSent = true;
  if (stream->lingering && !stream->remoteEnded) {
    this->Reset(aId, NGHTTP2_NO_ERROR);
  }
}

void
Http2Session::OnBeforeFrame(std::int32_t aId)
{
  if (Http2Stream* const stream = this->Find(aId); stream != nullptr) {
    stream->written = true;
  }
}

void
Http2Session::Reset(std::int32_t aId, std::uint32_t aError)
{
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, aId, aError);
  this->ScheduleFlush();
}

void
Http2Session::Lose(Http2Stream& aStream, const absl::Status& aReason)
{
  this->Forget(aStream);
  aStream.session = nullptr;
  if (aStream.handler != nullptr) {
    aStream.handler->OnLost(aReason);
  }
}

void
Http2Session::LoseStreams(const absl::Status& aReason)
{
  this->lingering.clear();
  while (!this->streams.empty()) {
    this->Lose(*this->streams.begin()->second, aReason);
  }
}

} // namespace dogwoodvale::internal
