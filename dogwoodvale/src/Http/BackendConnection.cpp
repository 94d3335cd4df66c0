#include "BackendConnection.h"

#include <cerrno>
#include <charconv>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dogwoodvale::internal {

namespace {

/// A server has said nothing yet of how long it keeps a connection on which no
/// request came; it is used soon or not at all.
constexpr Duration kUnusedLife = seconds(1);

timeval
ToTimeval(Duration aDuration)
{
  constexpr long kMicros = 1000000;
  return { aDuration.count() / kMicros, aDuration.count() % kMicros };
}

} // namespace

BackendConnection::BackendConnection(EventLoop& aLoop,
                                     BackendConnectionOwner& aOwner,
                                     const RawAddress& aAddress)
  : owner(aOwner)
  // Deferred: a refused connection is told after Start() has returned, and
  // bytes that came before a close are read before it.
  , stream(
      bufferevent_socket_new(aLoop.Base(),
                             -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
  , linkTimeout(aLoop, aOwner.Options().silentLinkTimeout, [this] {
    this->OnPeerGone();
  })
{
  bufferevent_setcb(
    this->stream,
    [](bufferevent*, void* aSelf) {
      static_cast<BackendConnection*>(aSelf)->OnReadable();
    },
    nullptr,
    [](bufferevent*, short aWhat, void* aSelf) {
      static_cast<BackendConnection*>(aSelf)->OnEvent(aWhat);
    },
    this);
  const timeval limit = ToTimeval(this->owner.Options().connectTimeout);
  bufferevent_set_timeouts(this->stream, nullptr, &limit);
  bufferevent_enable(this->stream, EV_READ | EV_WRITE);
  bufferevent_socket_connect(
    this->stream, aAddress.Get(), static_cast<int>(aAddress.size));
  // Assigning the socket has reset it.
  bufferevent_priority_set(this->stream,
                           static_cast<int>(this->owner.Options().priority));
}

BackendConnection::~BackendConnection()
{
  this->Close();
}

void
BackendConnection::Close()
{
  if (this->call != nullptr) {
    this->call->connection = nullptr;
    this->call = nullptr;
  }
  if (this->stream != nullptr) {
    this->linkTimeout.Stop();
    bufferevent_free(this->stream);
    this->stream = nullptr;
  }
}

void
BackendConnection::Begin(BackendCallImpl& aCall,
                         bool aIsHead,
                         std::string_view aBytes)
{
  this->call = &aCall;
  aCall.connection = this;
  this->isHead = aIsHead;
  ++this->requests;
  this->bytesAtOnce = 0;
  this->requestBytes = 0;
  this->foreignBytes = 0;
  this->ResetParser();
  if (!this->connected) {
    this->unwritten = aBytes;
    return;
  }
  const timeval limit = ToTimeval(this->owner.Options().idleTimeout);
  bufferevent_set_timeouts(this->stream, &limit, &limit);
  this->Write(aBytes);
}

void
BackendConnection::Write(std::string_view aBytes)
{
  // At once rather than on the loop's next turn: on a busy machine that comes
  // late, and the caller may have left by then.
  const ssize_t sent = send(bufferevent_getfd(this->stream),
                            aBytes.data(),
                            aBytes.size(),
                            MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0) {
    this->link.Record(errno);
  }
  this->bytesAtOnce = sent > 0 ? static_cast<std::size_t>(sent) : 0;
  const std::string_view rest = aBytes.substr(this->bytesAtOnce);
  this->requestBytes = rest.size();
  if (!rest.empty()) {
    bufferevent_write(this->stream, rest.data(), rest.size());
  }
  this->linkTimeout.OnWritten();
}

void
BackendConnection::BeginProbe(std::function<void(ProbeResult)> aHandler)
{
  this->probe = std::move(aHandler);
}

void
BackendConnection::ResetParser()
{
  this->parser = std::make_unique<HttpParser>(
    HttpParser::Kind::Response, this->owner.Options().headerBytes, *this);
  this->untilClose = false;
  this->headOnly = false;
  this->isForeign = false;
}

void
BackendConnection::Cancel()
{
  this->call = nullptr;
  this->Close();
  this->owner.Retire(*this);
}

void
BackendConnection::SetReadingPaused(bool aPaused)
{
  if (aPaused) {
    bufferevent_disable(this->stream, EV_READ);
  } else {
    bufferevent_enable(this->stream, EV_READ);
  }
}

bool
BackendConnection::IsCleanNow() const
{
  return evbuffer_get_length(bufferevent_get_input(this->stream)) == 0 &&
         !HasInput(bufferevent_getfd(this->stream));
}

std::size_t
BackendConnection::BytesSent() const
{
  return this->bytesAtOnce + this->requestBytes -
         evbuffer_get_length(bufferevent_get_output(this->stream));
}

bool
BackendConnection::OnParsedHead()
{
  const int status = this->parser->Status();
  this->headOnly = this->isHead || status == 204 || status == 304;
  this->untilClose = !this->headOnly && !this->parser->IsChunked() &&
                     !this->parser->ContentLength();
  this->isForeign = !this->call->handler.IsOwnAnswer(this->parser->Headers(),
                                                     this->requests == 1);
  if (!this->isForeign) {
    this->call->handler.OnHead(status, this->parser->Headers());
  }
  return this->call != nullptr && !this->untilClose && !this->headOnly;
}

bool
BackendConnection::OnParsedBody(std::string_view aBytes)
{
  if (!this->isForeign) {
    this->call->handler.OnBody(aBytes);
  }
  return this->call != nullptr;
}

void
BackendConnection::OnReadable()
{
  if (this->call == nullptr) {
    // Bytes with no request: nobody's answer, so nobody's connection.
    this->Close();
    this->owner.Retire(*this);
    return;
  }
  this->linkTimeout.OnReceived();
  evbuffer* input = bufferevent_get_input(this->stream);
  while (this->call != nullptr) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) {
      return;
    }
    // A copy, since a handler may cancel, which frees the buffer.
    std::string bytes(size, '\0');
    evbuffer_remove(input, bytes.data(), size);
    this->call->bytesReceived += size;
    std::string_view rest = bytes;
    while (!rest.empty() && this->call != nullptr) {
      rest.remove_prefix(this->ReadAnswer(rest));
    }
  }
}

std::size_t
BackendConnection::ReadAnswer(std::string_view aBytes)
{
  if (this->untilClose) {
    if (this->isForeign) {
      this->SkipForeign(aBytes.size());
    } else {
      this->call->handler.OnBody(aBytes);
    }
    return aBytes.size();
  }
  const std::size_t taken = this->parser->Run(aBytes);
  if (this->call != nullptr && this->isForeign) {
    this->SkipForeign(taken);
  }
  if (this->call == nullptr) {
    return aBytes.size();
  }
  const bool isWhole =
    this->parser->GetState() == HttpParser::State::Complete ||
    (this->parser->GetState() == HttpParser::State::Stopped && this->headOnly);
  if (isWhole && this->isForeign) {
    this->ResetParser();
    return taken;
  }
  switch (this->parser->GetState()) {
    case HttpParser::State::Reading:
      break;
    case HttpParser::State::Complete:
      this->CompleteBefore(aBytes.substr(taken));
      return aBytes.size();
    case HttpParser::State::Stopped:
      if (this->headOnly) {
        this->CompleteBefore(aBytes.substr(taken));
        return aBytes.size();
      }
      break;
    case HttpParser::State::Malformed:
    case HttpParser::State::TooLarge:
      this->Fail(absl::DataLossError("a malformed answer"));
      return aBytes.size();
  }
  return taken;
}

void
BackendConnection::CompleteBefore(std::string_view aBehind)
{
  evbuffer* input = bufferevent_get_input(this->stream);
  std::string behind(aBehind);
  std::string unread(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, unread.data(), unread.size());
  behind += unread;
  if (!behind.empty()) {
    this->call->handler.OnBytesBehind(behind);
  }
  this->Complete(this->parser->KeepsAlive() && behind.empty());
}

void
BackendConnection::SkipForeign(std::size_t aBytes)
{
  this->foreignBytes += aBytes;
  if (this->foreignBytes > this->owner.Options().foreignBytes) {
    this->Fail(absl::DataLossError("answers to other requests without end"));
  }
}

void
BackendConnection::OnEvent(short aWhat)
{
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    this->connected = true;
    const int on = 1;
    setsockopt(bufferevent_getfd(this->stream),
               IPPROTO_TCP,
               TCP_NODELAY,
               &on,
               sizeof(on));
    this->linkTimeout.Start(this->stream);
    const timeval limit = ToTimeval(this->owner.Options().idleTimeout);
    bufferevent_set_timeouts(this->stream, &limit, &limit);
    if (this->probe) {
      const auto handler = std::exchange(this->probe, nullptr);
      this->idleSince = Now();
      this->expires = this->idleSince + kUnusedLife;
      bufferevent_set_timeouts(this->stream, nullptr, nullptr);
      this->owner.Pool(*this);
      handler(ProbeResult::Accepted);
    } else {
      this->WriteRequest();
    }
    return;
  }
  // One event tells of all that happened in a turn of the loop. Without an
  // error in it, the number is that of another call.
  const int error = (aWhat & BEV_EVENT_ERROR) != 0 ? EVUTIL_SOCKET_ERROR() : 0;
  if (error != 0) {
    this->link.Record(error);
  }
  if (this->probe) {
    const auto handler = std::exchange(this->probe, nullptr);
    this->Close();
    this->owner.Retire(*this);
    handler(error == ECONNREFUSED ? ProbeResult::Refused
                                  : ProbeResult::Unclear);
  } else if (this->call == nullptr) {
    this->Close();
    this->owner.Retire(*this);
  } else if ((aWhat & BEV_EVENT_TIMEOUT) != 0) {
    this->Fail(absl::DeadlineExceededError(
      this->connected ? "the server was silent for too long"
                      : "the server took too long to accept"));
  } else if (!this->connected || (aWhat & BEV_EVENT_READING) != 0) {
    this->OnInputEnd();
  }
  // A write that failed leaves what the server had sent before to be read.
}

void
BackendConnection::OnPeerGone()
{
  if (this->call == nullptr) {
    this->Close();
    this->owner.Retire(*this);
    return;
  }
  this->Fail(
    absl::DeadlineExceededError("the server's host has stopped answering"));
}

void
BackendConnection::OnInputEnd()
{
  if (this->untilClose && !this->isForeign && this->IsClosedInOrder()) {
    this->Complete(false);
    return;
  }
  const absl::Status broken = this->link.Status();
  this->Fail(broken.ok()
               ? absl::DataLossError("closed before the answer was whole")
               : broken);
}

bool
BackendConnection::IsClosedInOrder() const
{
  return this->link.Status().ok() &&
         evbuffer_get_length(bufferevent_get_output(this->stream)) == 0 &&
         IsAllAcknowledged(bufferevent_getfd(this->stream));
}

void
BackendConnection::WriteRequest()
{
  if (this->call != nullptr) {
    this->call->handler.OnConnected();
  }
  if (this->call != nullptr) {
    this->Write(std::exchange(this->unwritten, {}));
  }
}

void
BackendConnection::NoteKeepAlive()
{
  this->idleSince = Now();
  this->expires = TimePoint::max();
  const std::string_view value =
    FindHeader(this->parser->Headers(), "keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value.find(kTimeout);
  int whole = 0;
  if (at == std::string_view::npos ||
      std::from_chars(
        value.data() + at + kTimeout.size(), value.data() + value.size(), whole)
          .ec != std::errc()) {
    return;
  }
  // A request sent in the last moment would cross the server's close; a fifth
  // is many times what it takes to get there.
  constexpr int kKeptFifths = 4;
  this->expires = this->idleSince + seconds(whole) * kKeptFifths / 5;
}

AnswerEnd
BackendConnection::EndOfAnswer() const
{
  if (this->headOnly) {
    return AnswerEnd::Head;
  }
  if (this->untilClose) {
    return AnswerEnd::Close;
  }
  return this->parser->IsChunked() ? AnswerEnd::LastChunk : AnswerEnd::Length;
}

void
BackendConnection::Complete(bool aKeep)
{
  const AnswerEnd end = this->EndOfAnswer();
  BackendCallImpl& done = *std::exchange(this->call, nullptr);
  done.connection = nullptr;
  const bool sent =
    evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
  this->NoteKeepAlive();
  this->parser.reset();
  if (aKeep && sent) {
    bufferevent_enable(this->stream, EV_READ);
    bufferevent_set_timeouts(this->stream, nullptr, nullptr);
    this->linkTimeout.OnAnswered();
    this->owner.Pool(*this);
  } else {
    this->Close();
    this->owner.Retire(*this);
  }
  done.handler.OnComplete(end);
}

void
BackendConnection::Fail(const absl::Status& aReason)
{
  BackendCallImpl& failed = *std::exchange(this->call, nullptr);
  failed.connection = nullptr;
  const bool untouched = this->BytesSent() == 0;
  this->Close();
  this->owner.Retire(*this);
  failed.handler.OnFailed(aReason, !untouched);
}

BackendCallImpl::~BackendCallImpl()
{
  if (this->connection != nullptr) {
    this->connection->Cancel();
  }
}

void
BackendCallImpl::SetReadingPaused(bool aPaused)
{
  if (this->connection != nullptr) {
    this->connection->SetReadingPaused(aPaused);
  }
}

std::size_t
BackendCallImpl::BytesSent() const
{
  return this->connection == nullptr ? 0 : this->connection->BytesSent();
}

bool
BackendCallImpl::HasUnread() const
{
  return this->connection != nullptr && this->connection->HasUnread();
}

} // namespace dogwoodvale::internal
