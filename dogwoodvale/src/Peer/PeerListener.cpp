#include "dogwoodvale/Peer"

#include <absl/container/flat_hash_map.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <unistd.h>

#include "Http2Connection.h"
#include "SystemAddress.h"

namespace dogwoodvale {

namespace {

using internal::Http2Connection;
using internal::Http2Session;
using internal::Side;

/// Connections that have not shown a hello; more are closed at once.
constexpr std::size_t kMaxPending = 1024;
constexpr int kBacklog = 1024;
constexpr Duration kAcceptRetry = milliseconds(100);

class Listener;

/// Holds a connection until its hello was checked.
class PendingPeer final : public PeerConnectionHandler
{
public:
  explicit PendingPeer(Listener& aListener)
    : listener(aListener)
  {
  }
  void Start(EventLoop& aLoop,
             const PeerOptions& aOptions,
             const Hello& aSelf,
             int aSocket);
  void OnReady(const Hello& aPeer) override;
  void OnNotice(const Notice& /*aNotice*/) override {}
  void OnClosed(const absl::Status& aReason) override;
  void OnStream(std::unique_ptr<PeerStream> /*aStream*/) override {}

private:
  Listener& listener;
  std::unique_ptr<Http2Connection> connection;
};

class Listener final : public PeerListener
{
public:
  Listener(EventLoop& aLoop,
           const PeerOptions& aOptions,
           const Hello& aSelf,
           PeerAcceptor& aAcceptor)
    : loop(aLoop)
    , options(aOptions)
    , self(aSelf)
    , acceptor(aAcceptor)
    , retry(aLoop, [this] { evconnlistener_enable(this->socket); })
  {
  }
  ~Listener() override { this->StopAccepting(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  absl::Status Bind(const SocketAddress& aAddress);
  void OnSocket(int aSocket);
  void OnAcceptError();
  /// Frees \p aPending, which may be what calls this.
  std::unique_ptr<PendingPeer> Remove(PendingPeer& aPending);
  PeerAcceptor& Acceptor() { return this->acceptor; }
  std::shared_ptr<std::uint64_t> Rejections() { return this->rejections; }

  SocketAddress Address() const override { return this->address; }
  void SetHello(const Hello& aSelf) override { this->self = aSelf; }
  void StopAccepting() override
  {
    this->retry.Stop();
    if (this->socket != nullptr) {
      evconnlistener_free(this->socket);
      this->socket = nullptr;
    }
  }
  std::uint64_t RejectedCount() const override { return *this->rejections; }

private:
  EventLoop& loop;
  PeerOptions options;
  Hello self;
  PeerAcceptor& acceptor;
  Timer retry;
  SocketAddress address;
  evconnlistener* socket = nullptr;
  std::shared_ptr<std::uint64_t> rejections =
    std::make_shared<std::uint64_t>(0);
  absl::flat_hash_map<PendingPeer*, std::unique_ptr<PendingPeer>> pending;
};

void
PendingPeer::Start(EventLoop& aLoop,
                   const PeerOptions& aOptions,
                   const Hello& aSelf,
                   int aSocket)
{
  auto session = std::make_unique<Http2Session>(
    aLoop, aOptions, aSelf, Side::Listening, *this);
  Http2Session& started = *session;
  this->connection = std::make_unique<Http2Connection>(std::move(session));
  started.Accept(aSocket, this->listener.Rejections());
}

void
PendingPeer::OnReady(const Hello& aPeer)
{
  const std::unique_ptr<PendingPeer> keep = this->listener.Remove(*this);
  Http2Session& session = this->connection->Session();
  session.SetHandler(
    this->listener.Acceptor().OnAccepted(std::move(this->connection), aPeer));
}

void
PendingPeer::OnClosed(const absl::Status& /*aReason*/)
{
  this->listener.Remove(*this);
}

std::unique_ptr<PendingPeer>
Listener::Remove(PendingPeer& aPending)
{
  const auto found = this->pending.find(&aPending);
  std::unique_ptr<PendingPeer> taken = std::move(found->second);
  this->pending.erase(found);
  return taken;
}

absl::Status
Listener::Bind(const SocketAddress& aAddress)
{
  auto wanted = internal::SystemAddress::Create(aAddress);
  if (!wanted.ok()) {
    return wanted.status();
  }
  this->socket = evconnlistener_new_bind(
    this->loop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<Listener*>(aSelf)->OnSocket(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
    kBacklog,
    wanted->Data(),
    wanted->Size());
  if (this->socket == nullptr) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "cannot listen on {}: {}",
                     aAddress.ToString(),
                     evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  }
  evconnlistener_set_error_cb(this->socket, [](evconnlistener*, void* aSelf) {
    static_cast<Listener*>(aSelf)->OnAcceptError();
  });
  this->address =
    internal::SystemAddress::OfSocket(evconnlistener_get_fd(this->socket))
      .ToSocketAddress();
  return absl::OkStatus();
}

void
Listener::OnSocket(int aSocket)
{
  if (this->pending.size() >= kMaxPending) {
    close(aSocket);
    ++*this->rejections;
    return;
  }
  auto peer = std::make_unique<PendingPeer>(*this);
  PendingPeer& started = *peer;
  this->pending.emplace(&started, std::move(peer));
  started.Start(this->loop, this->options, this->self, aSocket);
}

/// With no descriptor left the socket stays readable, and the loop would spin
/// on it; a pause leaves the time to those who free descriptors.
void
Listener::OnAcceptError()
{
  evconnlistener_disable(this->socket);
  this->retry.StartOnce(kAcceptRetry);
}

} // namespace

absl::StatusOr<std::unique_ptr<PeerListener>>
PeerListener::Create(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     const PeerOptions& aOptions,
                     const Hello& aSelf,
                     PeerAcceptor& aAcceptor)
{
  auto listener = std::make_unique<Listener>(aLoop, aOptions, aSelf, aAcceptor);
  const absl::Status status = listener->Bind(aAddress);
  if (!status.ok()) {
    return status;
  }
  return listener;
}

} // namespace dogwoodvale
