#include "Http2Session.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Http2Callbacks.h"
#include "Http2Scope.h"
#include "SystemAddress.h"

namespace dogwoodvale::internal {

namespace {

/// A hello or notice is far smaller; whoever sends more is no peer.
constexpr std::size_t kControlMessageBytes = 64U << 10U;

/// What may wait for the kernel before streams are no longer pulled from.
constexpr std::size_t kSocketQueueBytes = 256U << 10U;

/// Large, and acknowledged at once: what is held for a slow reader is bounded
/// stream by stream, so that one stream's reader cannot stop the others.
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;

/// Whether a connection ended by what the peer did, or failed to show.
bool
IsRejection(const absl::Status& aReason, bool aReady)
{
  switch (aReason.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kFailedPrecondition:
      return true;
    case absl::StatusCode::kDeadlineExceeded:
      return !aReady;
    default:
      return false;
  }
}

} // namespace

Http2Session::Http2Session(EventLoop& aLoop,
                           const PeerOptions& aOptions,
                           const Hello& aSelf,
                           Side aSide,
                           PeerConnectionHandler& aHandler)
  : loop(aLoop)
  , options(aOptions)
  , self(aSelf)
  , side(aSide)
  , handler(&aHandler)
  , flushEvent(event_new(
      aLoop.Base(),
      -1,
      0,
      [](evutil_socket_t, short, void* aSession) {
        static_cast<Http2Session*>(aSession)->Flush();
      },
      this))
  , timer(aLoop, [this] { this->OnTimer(); })
  , control(*this, kControlMessageBytes)
  , opened(Now())
  , lastSent(opened)
  , lastReceived(opened)
  , floodWindowStart(opened)
{
  this->notice.epoch = aSelf.epoch;
  this->notice.rootHash = aSelf.rootHash;
  this->CreateSession();
  this->ArmTimer();
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(this->session);
  if (this->socket != nullptr) {
    bufferevent_free(this->socket);
  }
  event_free(this->flushEvent);
}

void
Http2Session::CreateSession()
{
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  // The library's default, 33 a second after 1,000, is reached by an entry
  // that loses its callers at once; a peer never resets more than it opened.
  nghttp2_option_set_stream_reset_rate_limit(
    option, this->options.maxStreams + 1000ULL, this->options.maxStreams);
  if (this->side == Side::Connecting) {
    nghttp2_session_client_new2(&this->session, Http2Callbacks(), this, option);
  } else {
    nghttp2_session_server_new2(&this->session, Http2Callbacks(), this, option);
  }
  nghttp2_option_del(option);
  const std::vector<nghttp2_settings_entry> settings{
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->options.maxStreams + 1 },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
      static_cast<std::uint32_t>(this->options.streamWindowBytes) },
    { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
  };
  // A server must not send ENABLE_PUSH.
  nghttp2_submit_settings(this->session,
                          NGHTTP2_FLAG_NONE,
                          settings.data(),
                          this->side == Side::Connecting ? 3 : 2);
  nghttp2_session_set_local_window_size(
    this->session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

void
Http2Session::Connect(const SocketAddress& aAddress)
{
  auto address = SystemAddress::Create(aAddress);
  if (!address.ok()) {
    this->FailLater(address.status());
    return;
  }
  bufferevent* const created =
    bufferevent_socket_new(this->loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  this->SetUpSocket(created);
  if (bufferevent_socket_connect(created, address->Data(), address->Size()) !=
      0) {
    this->FailLater(absl::UnavailableError("connecting failed"));
  }
  this->SetTrafficPriority();
}

/// Streams of requests share the session with control messages.
void
Http2Session::SetTrafficPriority()
{
  constexpr int kPriority = static_cast<int>(EventPriority::Traffic);
  event_priority_set(this->flushEvent, kPriority);
  bufferevent_priority_set(this->socket, kPriority);
}

/// For failures inside a call from outside: the caller may not yet hold what
/// OnClosed would be about.
void
Http2Session::FailLater(const absl::Status& aReason)
{
  this->failure = aReason;
  this->timer.StartOnce(Duration(0));
}

void
Http2Session::Accept(int aSocket, std::shared_ptr<std::uint64_t> aRejections)
{
  this->rejections = std::move(aRejections);
  this->SetUpSocket(
    bufferevent_socket_new(this->loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
  this->SetTrafficPriority();
  this->OnConnected();
}

void
Http2Session::SetUpSocket(bufferevent* aSocket)
{
  this->socket = aSocket;
  bufferevent_setcb(
    aSocket,
    [](bufferevent*, void* aSession) {
      static_cast<Http2Session*>(aSession)->OnReadable();
    },
    [](bufferevent*, void* aSession) {
      static_cast<Http2Session*>(aSession)->Flush();
    },
    [](bufferevent*, short aWhat, void* aSession) {
      static_cast<Http2Session*>(aSession)->OnSocketEvent(aWhat);
    },
    this);
  bufferevent_setwatermark(aSocket, EV_WRITE, kSocketQueueBytes / 4, 0);
  bufferevent_enable(aSocket, EV_READ | EV_WRITE);
}

void
Http2Session::OnConnected()
{
  const int on = 1;
  setsockopt(
    bufferevent_getfd(this->socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (this->side == Side::Connecting) {
    this->OpenControlStream();
  }
}

void
Http2Session::OnReadable()
{
  const Scope scope(*this);
  this->lastReceived = Now();
  evbuffer* const input = bufferevent_get_input(this->socket);
  while (!this->closed) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) {
      break;
    }
    const ssize_t taken = nghttp2_session_mem_recv(
      this->session, evbuffer_pullup(input, static_cast<ssize_t>(size)), size);
    if (this->closed) {
      return;
    }
    if (taken < 0) {
      this->Close(MakeError(absl::StatusCode::kInvalidArgument,
                            "the peer's bytes are no HTTP/2: {}",
                            nghttp2_strerror(static_cast<int>(taken))));
      return;
    }
    this->bytesReceived += static_cast<std::uint64_t>(taken);
    evbuffer_drain(input, static_cast<std::size_t>(taken));
  }
  this->ScheduleFlush();
}

void
Http2Session::OnSocketEvent(short aWhat)
{
  const Scope scope(*this);
  if (this->closed) {
    return;
  }
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    this->OnConnected();
    return;
  }
  if ((aWhat & BEV_EVENT_EOF) != 0) {
    this->Close(absl::UnavailableError("the peer closed the connection"));
    return;
  }
  this->Close(MakeError(absl::StatusCode::kUnavailable,
                        "connection failed: {}",
                        evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())));
}

/// Everything that one turn of the loop queues goes out in one write.
void
Http2Session::ScheduleFlush()
{
  if (!this->flushScheduled && !this->closed) {
    this->flushScheduled = true;
    event_active(this->flushEvent, EV_WRITE, 0);
  }
}

void
Http2Session::Flush()
{
  const Scope scope(*this);
  this->flushScheduled = false;
  if (this->closed || this->socket == nullptr) {
    return;
  }
  this->WriteOut();
  this->TellWritable();
  if (!this->closed && this->gaveUp) {
    this->Close(
      absl::InvalidArgumentError("the peer broke the protocol's rules"));
  }
}

void
Http2Session::WriteOut()
{
  // One allocation serves all sessions, as there is one thread. It is taken
  // out for the while, since a callback may close, and so flush, another one.
  static std::string spare;
  std::string bytes;
  bytes.swap(spare);
  const bool isStranger = this->side == Side::Listening && !this->ready;
  bytes.append(this->withheld);
  this->withheld = std::string();
  evbuffer* const output = bufferevent_get_output(this->socket);
  const std::size_t waiting = evbuffer_get_length(output);
  while (!this->closed && waiting + bytes.size() < kSocketQueueBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->session, &data);
    if (size < 0 && !this->closed) {
      this->Close(MakeError(absl::StatusCode::kInternal,
                            "sending failed: {}",
                            nghttp2_strerror(static_cast<int>(size))));
    }
    if (size <= 0) {
      break;
    }
    bytes.append(reinterpret_cast<const char*>(data),
                 static_cast<std::size_t>(size));
  }
  if (!this->closed && isStranger) {
    this->withheld = bytes;
  } else if (!this->closed && !bytes.empty()) {
    this->WriteBytes(bytes, waiting == 0);
  }
  bytes.clear();
  spare.swap(bytes);
}

void
Http2Session::WriteBytes(std::string_view aBytes, bool aMayWriteNow)
{
  this->bytesSent += aBytes.size();
  this->lastSent = Now();
  // Mostly the kernel has room at once, which saves asking libevent to watch
  // for that: three system calls for each token. Errors show on its way.
  if (aMayWriteNow) {
    const ssize_t sent = send(bufferevent_getfd(this->socket),
                              aBytes.data(),
                              aBytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    aBytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
  }
  if (!aBytes.empty()) {
    bufferevent_write(this->socket, aBytes.data(), aBytes.size());
  }
}

void
Http2Session::Close(const absl::Status& aReason)
{
  if (this->closed) {
    return;
  }
  const Scope scope(*this);
  if (this->rejections != nullptr && IsRejection(aReason, this->ready)) {
    ++*this->rejections;
  }
  this->closed = true;
  this->timer.Stop();
  event_del(this->flushEvent);
  if (this->socket != nullptr) {
    bufferevent_disable(this->socket, EV_READ | EV_WRITE);
  }
  this->LoseStreams(aReason);
  if (!this->abandoned) {
    this->handler->OnClosed(aReason);
  }
}

void
Http2Session::Abandon(std::unique_ptr<Http2Session> aSession)
{
  Http2Session* const self = aSession.release();
  const Scope scope(*self);
  self->abandoned = true;
  if (self->closed) {
    return;
  }
  if (self->depth == 1) {
    // Last words, such as a refusal just given, reach the kernel if it has
    // room. Not from within nghttp2, which must not be entered twice.
    self->Flush();
  }
  self->Close(absl::CancelledError("the connection was closed here"));
}

Http2Session::Scope::Scope(Http2Session& aSession)
  : session(aSession)
{
  ++this->session.depth;
}

Http2Session::Scope::~Scope()
{
  if (--this->session.depth > 0) {
    return;
  }
  if (this->session.closed && this->session.socket != nullptr) {
    bufferevent_free(this->session.socket);
    this->session.socket = nullptr;
  }
  if (this->session.abandoned) {
    delete &this->session;
  }
}

} // namespace dogwoodvale::internal
