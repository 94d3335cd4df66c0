#ifndef DOGWOODVALE_PEER_PEERLISTENER_H
#define DOGWOODVALE_PEER_PEERLISTENER_H

#include <memory>

#include "PeerConnection.h"

namespace dogwoodvale {

/// Gives each accepted connection its handler, which the acceptor owns.
class PeerAcceptor
{
public:
  virtual ~PeerAcceptor() = default;
  /// A peer has connected and its hello was checked. The acceptor keeps the
  /// connection and sets itself up as its handler by returning one that lives
  /// as long as the connection.
  virtual PeerConnectionHandler& OnAccepted(
    std::unique_ptr<PeerConnection> aConnection,
    const Hello& aPeer) = 0;
};

/// Listens for peers. A connection whose hello is late or wrong is closed and
/// counted, and the acceptor never sees it.
class PeerListener
{
public:
  static absl::StatusOr<std::unique_ptr<PeerListener>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const PeerOptions& aOptions,
    const Hello& aSelf,
    PeerAcceptor& aAcceptor);

  virtual ~PeerListener() = default;

  /// The bound address; tells the port when 0 was asked for.
  virtual SocketAddress Address() const = 0;
  /// What later accepted connections say of this process (epoch, hash).
  virtual void SetHello(const Hello& aSelf) = 0;
  virtual void StopAccepting() = 0;
  /// Connections closed for a bad or late hello or malformed frames.
  virtual std::uint64_t RejectedCount() const = 0;
};

} // namespace dogwoodvale

#endif
