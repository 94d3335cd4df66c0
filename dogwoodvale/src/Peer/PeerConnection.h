#ifndef DOGWOODVALE_PEER_PEERCONNECTION_H
#define DOGWOODVALE_PEER_PEERCONNECTION_H

#include <functional>
#include <memory>
#include <optional>

#include "PeerStream.h"

namespace dogwoodvale {

/// Is told about one connection.
class PeerConnectionHandler
{
public:
  virtual ~PeerConnectionHandler() = default;
  /// The peer's hello was checked; streams may be opened now. Connecting side
  /// only: the listening side learns the same by PeerAcceptor::OnAccepted.
  virtual void OnReady(const Hello& aPeer) = 0;
  virtual void OnNotice(const Notice& aNotice) = 0;
  /// Refused, timed out, reset, or the hello was wrong. The connection is
  /// done; every open stream got OnLost first. May destroy the connection.
  virtual void OnClosed(const absl::Status& aReason) = 0;
  /// The peer opened a stream (listening side only). Set its handler before
  /// returning: messages that come to a stream without one are dropped.
  virtual void OnStream(std::unique_ptr<PeerStream> aStream) = 0;
};

/// Bounds and timeouts of a connection.
struct PeerOptions
{
  Duration connectTimeout = milliseconds(1000);
  /// Silence after which a connection with open streams is given up; without
  /// any, three of the peer's idle periods if that is longer.
  Duration heartbeatTimeout = seconds(3);
  /// Sent only when nothing else went out for that long; without open streams
  /// Notice::idlePeriodMillis counts if it is longer.
  Duration heartbeatPeriod = seconds(1);
  std::uint32_t maxStreams = 10000;
  std::size_t streamWindowBytes = 64U << 10U;
  std::size_t lowWaterBytes = 64U << 10U;
};

/// How long a process with \p aConnections may be silent on each while it is
/// idle: so long that its heartbeats stay within a budget of bytes a second
/// for all of them together, whatever the size of the fleet.
/// \return for Notice::idlePeriodMillis.
std::uint32_t
IdlePeriodMillis(std::size_t aConnections);

/// One nghttp2 session to a peer, either side.
///
/// Opens with a control stream on which both sides send Hello, then Notices.
/// Heartbeats are Notices, sent when a connection was otherwise silent.
class PeerConnection
{
public:
  /// Starts to connect; the result comes by \p aHandler.
  static std::unique_ptr<PeerConnection> Connect(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const PeerOptions& aOptions,
    const Hello& aSelf,
    PeerConnectionHandler& aHandler);

  /// Closes the connection, if it is open. Every stream that is still open
  /// gets OnLost before this returns; OnClosed is not called. What is queued
  /// goes out as far as the kernel takes it at once. Safe in any callback.
  virtual ~PeerConnection() = default;

  virtual bool IsReady() const = 0;
  /// The peer's hello; valid once ready.
  virtual const Hello& Peer() const = 0;
  /// Opens a stream for a request; nullptr when not ready or full, and on the
  /// listening side.
  virtual std::unique_ptr<PeerStream> OpenStream() = 0;
  /// Sends \p aNotice now; it is also what later heartbeats repeat.
  virtual void SetNotice(const Notice& aNotice, bool aSendNow) = 0;
  virtual std::size_t StreamCount() const = 0;
  /// Bytes sent and received, all streams.
  virtual std::uint64_t BytesSent() const = 0;
  virtual std::uint64_t BytesReceived() const = 0;
};

} // namespace dogwoodvale

#endif
