#include "CallerConnection.h"

#include <absl/strings/match.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <array>
#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace dogwoodvale::internal {

namespace {

/// How much a caller may send ahead while its request is answered.
constexpr std::size_t kPipelineBytes = 64U << 10U;
/// How long a closed answer waits for the caller to read it, and how much the
/// caller may send meanwhile.
constexpr Duration kLinger = seconds(2);
constexpr std::size_t kLingerBytes = 1U << 20U;
/// A request's headers are copied where it is placed.
constexpr std::size_t kHeadCopies = 2;

timeval
ToTimeval(Duration aDuration)
{
  constexpr long kMicros = 1000000;
  return { aDuration.count() / kMicros, aDuration.count() % kMicros };
}

bool
IsFraming(std::string_view aName)
{
  for (const char* name :
       { "content-length", "transfer-encoding", "connection", "keep-alive" }) {
    if (absl::EqualsIgnoreCase(ToAbsl(aName), name)) {
      return true;
    }
  }
  return false;
}

bool
HasNoBody(int aStatus)
{
  return aStatus == 204 || aStatus == 304 || aStatus < 200;
}

} // namespace

CallerConnection::CallerConnection(EventLoop& aLoop,
                                   CallerConnectionOwner& aOwner,
                                   int aDescriptor,
                                   std::size_t aSocketBytes)
  : owner(aOwner)
  , stream(
      bufferevent_socket_new(aLoop.Base(), aDescriptor, BEV_OPT_CLOSE_ON_FREE))
  , socketBytes(aSocketBytes)
  , receivedAt(Now())
  , timer(
      aLoop,
      [this] { this->OnTimer(); },
      aOwner.Bounds().priority)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(
    this->stream,
    [](bufferevent*, void* aSelf) {
      static_cast<CallerConnection*>(aSelf)->OnReadable();
    },
    [](bufferevent*, void* aSelf) {
      static_cast<CallerConnection*>(aSelf)->OnWritable();
    },
    [](bufferevent*, short aWhat, void* aSelf) {
      static_cast<CallerConnection*>(aSelf)->OnEvent(aWhat);
    },
    this);
  const CallerBounds& bounds = this->owner.Bounds();
  bufferevent_priority_set(this->stream, static_cast<int>(bounds.priority));
  bufferevent_setwatermark(this->stream,
                           EV_WRITE,
                           bounds.lowWaterBytes > 0 ? bounds.lowWaterBytes - 1
                                                    : 0,
                           0);
  // A caller that takes nothing for this long is as good as gone; without the
  // bound its answer would be held for ever.
  const timeval stall = ToTimeval(bounds.idleTimeout);
  bufferevent_set_timeouts(this->stream, nullptr, &stall);
  this->outputWatch = evbuffer_add_cb(
    bufferevent_get_output(this->stream),
    [](evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf) {
      if (aInfo->n_deleted > 0) {
        static_cast<CallerConnection*>(aSelf)->OnOutputTaken(aInfo->n_deleted);
      }
    },
    this);
  bufferevent_enable(this->stream, EV_READ | EV_WRITE);
  this->timer.StartOnce(bounds.readTimeout);
}

CallerConnection::~CallerConnection()
{
  if (this->exchange != nullptr) {
    this->exchange->Detach(false);
  }
  if (this->stream != nullptr) {
    if (this->phase == Phase::Closing) {
      this->DiscardInput();
    }
    evbuffer_remove_cb_entry(bufferevent_get_output(this->stream),
                             this->outputWatch);
    bufferevent_free(this->stream);
  }
  this->owner.Memory().Remove(*this);
}

void
CallerConnection::DiscardInput()
{
  constexpr int kMostReads = 16;
  std::array<char, 4096> bytes;
  for (int i = 0; i < kMostReads; ++i) {
    if (recv(bufferevent_getfd(this->stream),
             bytes.data(),
             bytes.size(),
             MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

void
CallerConnection::PauseReading()
{
  this->readingPaused = true;
  bufferevent_disable(this->stream, EV_READ);
}

void
CallerConnection::ResumeReading()
{
  this->readingPaused = false;
  bufferevent_enable(this->stream, EV_READ);
  this->HandleLater();
}

void
CallerConnection::HandleLater()
{
  // No event of the socket's comes for what lies here already. Deferred, so
  // that no handler is called inside its own call.
  if (evbuffer_get_length(bufferevent_get_input(this->stream)) > 0) {
    bufferevent_trigger(this->stream,
                        EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
CallerConnection::OnReadable()
{
  if (this->phase != Phase::Closed && this->owner.BeginTurn(*this)) {
    this->HandleInput();
    this->owner.EndTurn();
  }
}

void
CallerConnection::HandleInput()
{
  evbuffer* input = bufferevent_get_input(this->stream);
  switch (this->phase) {
    case Phase::Idle:
    case Phase::Receiving:
      this->ParseNext();
      break;
    case Phase::Answering:
      // Reading goes on while a request is answered, since a connection that
      // is not read does not show that the caller left. What comes early is
      // bounded: beyond that it is dropped and the connection closes after
      // this answer, which HTTP allows.
      if (evbuffer_get_length(input) > kPipelineBytes ||
          !this->UpdateBudget()) {
        this->mustClose = true;
      }
      if (this->mustClose) {
        evbuffer_drain(input, evbuffer_get_length(input));
        this->UpdateBudget();
      }
      break;
    case Phase::Closing:
      this->discardedBytes += evbuffer_get_length(input);
      evbuffer_drain(input, evbuffer_get_length(input));
      if (this->discardedBytes > kLingerBytes) {
        this->Close(true);
      }
      break;
    case Phase::Closed:
      break;
  }
}

void
CallerConnection::ParseNext()
{
  while (this->phase == Phase::Idle || this->phase == Phase::Receiving) {
    evbuffer* input = bufferevent_get_input(this->stream);
    const std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) {
      break;
    }
    if (this->phase == Phase::Idle) {
      this->phase = Phase::Receiving;
      this->parser = std::make_unique<HttpParser>(
        HttpParser::Kind::Request, this->owner.Bounds().headerBytes, *this);
      this->body.Start(0);
      this->recentBytes = 0;
      this->receivedAt = Now();
      this->timer.StartOnce(this->owner.Bounds().readTimeout);
    }
    const auto* bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input, ssize_t(size)));
    const std::size_t taken = this->parser->Run({ bytes, size });
    evbuffer_drain(input, taken);
    this->OnProgress(taken);
    switch (this->parser->GetState()) {
      case HttpParser::State::Reading:
        if (!this->UpdateBudget()) {
          this->RefuseForMemory();
        }
        break;
      case HttpParser::State::Complete:
        this->DeliverRequest();
        if (this->owner.Bounds().loopShare < 1) {
          return;
        }
        break;
      case HttpParser::State::Stopped:
        this->RefuseBody();
        break;
      case HttpParser::State::TooLarge:
        ++this->owner.MutableCounters().tooLarge;
        this->Refuse(431, ErrorCode::TooLarge, "the headers are too large");
        break;
      case HttpParser::State::Malformed:
        ++this->owner.MutableCounters().malformed;
        this->Refuse(400, ErrorCode::BadRequest, "not a well-formed request");
        break;
    }
  }
}

bool
CallerConnection::OnParsedHead()
{
  const auto& length = this->parser->ContentLength();
  if (length && *length > this->owner.Bounds().bodyBytes) {
    return false;
  }
  this->lacksMemory = length && !this->owner.Memory().CanHold(*length);
  if (this->lacksMemory) {
    return false;
  }
  this->body.Start(length.value_or(0));
  if (absl::EqualsIgnoreCase(
        ToAbsl(FindHeader(this->parser->Headers(), "expect")),
        "100-continue") &&
      !this->parser->IsHttp10()) {
    this->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

bool
CallerConnection::OnParsedBody(std::string_view aBytes)
{
  if (this->body.Size() + aBytes.size() > this->owner.Bounds().bodyBytes) {
    return false;
  }
  const std::size_t growth = this->body.GrowthFor(aBytes.size());
  this->lacksMemory = growth > 0 && !this->UpdateBudget(growth);
  if (this->lacksMemory) {
    return false;
  }
  this->body.Append(aBytes);
  return true;
}

void
CallerConnection::RefuseBody()
{
  if (this->lacksMemory) {
    this->RefuseForMemory();
    return;
  }
  ++this->owner.MutableCounters().tooLarge;
  this->Refuse(413, ErrorCode::TooLarge, "the body is too large");
}

void
CallerConnection::DeliverRequest()
{
  this->timer.Stop();
  this->phase = Phase::Answering;
  this->isHead = this->parser->Method() == "HEAD";
  this->isHttp10 = this->parser->IsHttp10();
  this->mustClose = !this->parser->KeepsAlive();
  this->aboveLowWater = false;
  this->chunked = false;
  this->requestBytes =
    this->body.Capacity() + kHeadCopies * this->parser->HeadBytes();
  HttpRequest request{ this->parser->Method(),
                       this->parser->Path(),
                       std::move(this->parser->Headers()),
                       this->body.Take() };
  // The parser holds 8 KiB, too much for a connection that waits.
  this->parser.reset();
  this->UpdateBudget();
  ++this->owner.MutableCounters().requests;
  auto made = std::make_unique<CallerExchangeImpl>(*this, std::move(request));
  this->exchange = made.get();
  this->owner.Handler().OnRequest(std::move(made));
}

void
CallerConnection::Refuse(int aStatus,
                         ErrorCode aCode,
                         std::string_view aMessage,
                         std::span<const HeaderField> aHeaders)
{
  std::vector<HeaderField> headers(aHeaders.begin(), aHeaders.end());
  headers.push_back({ "Content-Type", "application/json" });
  this->RefuseWith(
    aStatus,
    headers,
    ErrorBody(
      { aCode, Disposition::NotRun, std::string(aMessage), milliseconds(0) }));
}

void
CallerConnection::RefuseWith(int aStatus,
                             std::span<const HeaderField> aHeaders,
                             std::string_view aBody)
{
  this->isHead = false;
  this->isHttp10 = false;
  this->mustClose = true;
  this->body.Clear();
  this->parser.reset();
  this->ReleaseRequest();
  this->WriteHead(aStatus, aHeaders, aBody.size());
  this->Write(aBody);
  this->StartClosing();
}

void
CallerConnection::RefuseIncomplete(int aStatus,
                                   std::span<const HeaderField> aHeaders,
                                   std::string_view aBody)
{
  if (this->phase == Phase::Receiving ||
      (this->phase == Phase::Idle && this->HasUnread())) {
    this->RefuseWith(aStatus, aHeaders, aBody);
  }
}

void
CallerConnection::WriteHead(int aStatus,
                            std::span<const HeaderField> aHeaders,
                            std::optional<std::size_t> aLength)
{
  this->mustClose = this->mustClose || this->owner.IsStopping();
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n", aStatus, ReasonPhrase(aStatus));
  for (const HeaderField& field : aHeaders) {
    if (!IsFraming(field.name) && IsSafeHeader(field)) {
      head += fmt::format("{}: {}\r\n", field.name, field.value);
    }
  }
  const bool noBody = HasNoBody(aStatus);
  this->chunked = !aLength && !this->isHttp10 && !noBody;
  if (this->chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (aLength && !noBody) {
    head += fmt::format("Content-Length: {}\r\n", *aLength);
  }
  // HTTP/1.0 knows no chunks: such a stream ends by closing, and a cut one by
  // a reset, so that the two differ.
  this->mustClose = this->mustClose || (!aLength && this->isHttp10);
  if (this->mustClose) {
    head += "Connection: close\r\n";
  } else if (this->isHttp10) {
    head += "Connection: keep-alive\r\n";
  }
  head += "\r\n";
  this->isHead = this->isHead || noBody;
  this->Write(head);
}

void
CallerConnection::WritePart(std::string_view aBytes)
{
  // An empty chunk would end the answer.
  if (this->isHead || aBytes.empty()) {
    return;
  }
  if (!this->chunked) {
    this->Write(aBytes);
    return;
  }
  // One piece, so that it is one system call and one segment.
  std::string chunk = fmt::format("{:x}\r\n", aBytes.size());
  chunk += aBytes;
  chunk += "\r\n";
  this->Write(chunk);
}

void
CallerConnection::Write(std::string_view aBytes)
{
  if (this->stream == nullptr) {
    return;
  }
  std::string_view rest = aBytes;
  if (this->PendingBytes() == 0) {
    // The socket mostly has room. Writing at once saves the loop's turn and
    // its two calls to arm and disarm the socket; errors show on the rest.
    const ssize_t sent = send(bufferevent_getfd(this->stream),
                              rest.data(),
                              rest.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    rest.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
  }
  if (!rest.empty()) {
    if (this->PendingBytes() == 0) {
      this->recentOutput = 0;
      this->outputTakenAt = Now();
    }
    bufferevent_write(this->stream, rest.data(), rest.size());
    this->UpdateBudget();
  }
  if (this->PendingBytes() > this->owner.Bounds().lowWaterBytes) {
    this->aboveLowWater = true;
  }
}

void
CallerConnection::FinishAnswer()
{
  if (this->chunked && !this->isHead) {
    this->Write("0\r\n\r\n");
  }
  this->exchange = nullptr;
  this->ReleaseRequest();
  if (this->phase != Phase::Answering) {
    return;
  }
  if (this->mustClose) {
    this->StartClosing();
    return;
  }
  this->phase = Phase::Idle;
  this->receivedAt = Now();
  // An answer that has begun before a stop has not announced a close, so that
  // the next request may be here or on its way.
  this->timer.StartOnce(this->owner.IsStopping()
                          ? kLeastSilence
                          : this->owner.Bounds().idleTimeout);
  this->HandleLater();
}

void
CallerConnection::StartClosing()
{
  this->phase = Phase::Closing;
  this->timer.Stop();
  evbuffer* input = bufferevent_get_input(this->stream);
  evbuffer_drain(input, evbuffer_get_length(input));
  this->UpdateBudget();
  if (this->PendingBytes() == 0) {
    this->OnWritable();
  }
}

void
CallerConnection::OnWritable()
{
  const std::size_t pending = this->PendingBytes();
  if (this->phase == Phase::Closing && pending == 0 && !this->finishedWriting) {
    this->finishedWriting = true;
    // Closing with unread bytes would reset the connection and could take the
    // answer from the caller's hands; so it is the caller that closes, within
    // a bound.
    shutdown(bufferevent_getfd(this->stream), SHUT_WR);
    this->timer.StartOnce(kLinger);
    return;
  }
  if (this->aboveLowWater && pending < this->owner.Bounds().lowWaterBytes) {
    this->aboveLowWater = false;
    if (this->exchange != nullptr) {
      this->exchange->Drained();
    }
  }
}

void
CallerConnection::OnEvent(short aWhat)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    this->Drop();
  }
}

void
CallerConnection::OnTimer()
{
  if (this->phase == Phase::Receiving) {
    ++this->owner.MutableCounters().readTimeouts;
    this->Refuse(408, ErrorCode::BadRequest, "the request came too slowly");
    return;
  }
  if (this->phase == Phase::Idle && this->owner.IsStopping()) {
    this->CloseIdle();
    return;
  }
  this->Drop();
}

void
CallerConnection::CloseIdle()
{
  if (this->phase != Phase::Idle || this->HasUnread()) {
    return;
  }
  const Duration since = Between(this->receivedAt, Now());
  if (since < kLeastSilence) {
    this->timer.StartOnce(kLeastSilence - since);
  } else if (this->PendingBytes() > 0) {
    this->StartClosing();
  } else {
    this->Drop();
  }
}

bool
CallerConnection::HasUnread() const
{
  if (this->stream == nullptr) {
    return false;
  }
  char byte = 0;
  return evbuffer_get_length(bufferevent_get_input(this->stream)) > 0 ||
         recv(
           bufferevent_getfd(this->stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
           0;
}

bool
CallerConnection::HasCallerClosed() const
{
  if (this->stream == nullptr) {
    return true;
  }
  const int descriptor = bufferevent_getfd(this->stream);
  char byte = 0;
  const ssize_t peeked = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked <= 0) {
    return peeked == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Bytes of a next request hide a close behind them from recv().
  pollfd state{ descriptor, POLLRDHUP, 0 };
  return poll(&state, 1, 0) > 0;
}

void
CallerConnection::Drop()
{
  this->Close(false);
}

void
CallerConnection::Abort()
{
  this->exchange = nullptr;
  this->ReleaseRequest();
  // A chunked answer shows by itself that it is incomplete, so that what the
  // caller has not received yet need not be lost with the connection.
  if (this->phase == Phase::Answering && this->chunked && !this->isHead) {
    this->StartClosing();
    return;
  }
  this->Close(true);
}

void
CallerConnection::Close(bool aReset)
{
  if (this->phase == Phase::Closed) {
    return;
  }
  this->phase = Phase::Closed;
  this->timer.Stop();
  if (aReset) {
    const linger now{ 1, 0 };
    setsockopt(bufferevent_getfd(this->stream),
               SOL_SOCKET,
               SO_LINGER,
               &now,
               sizeof(now));
  }
  evbuffer_remove_cb_entry(bufferevent_get_output(this->stream),
                           this->outputWatch);
  bufferevent_free(this->stream);
  this->stream = nullptr;
  this->owner.Memory().Remove(*this);
  CallerExchangeImpl* open = std::exchange(this->exchange, nullptr);
  this->owner.Retire(*this);
  if (open != nullptr) {
    open->Detach(true);
  }
}

std::size_t
CallerConnection::PendingBytes() const
{
  return this->stream == nullptr
           ? 0
           : evbuffer_get_length(bufferevent_get_output(this->stream));
}

} // namespace dogwoodvale::internal
