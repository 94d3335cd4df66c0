#ifndef DOGWOODVALE_SIDECAR_SIDECARSESSION_H
#define DOGWOODVALE_SIDECAR_SIDECARSESSION_H

#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "SidecarAttempt.h"
#include "dogwoodvale/Peer"

namespace dogwoodvale {

class SidecarSession;

/// Is told about the sessions of a sidecar.
class SidecarSessionHost : public SidecarAttemptHost
{
public:
  virtual void OnPeerNotice(SidecarSession& aSession,
                            const Notice& aNotice) = 0;
  /// The connection is gone; the host destroys the session later.
  virtual void OnSessionClosed(SidecarSession& aSession) = 0;
};

/// One entry's connection and the attempts on it.
class SidecarSession final : public PeerConnectionHandler
{
public:
  SidecarSession(SidecarSessionHost& aHost,
                 std::unique_ptr<PeerConnection> aConnection,
                 const Hello& aPeer);

  const Hello& Peer() const { return this->peer; }
  PeerConnection& Connection() { return *this->connection; }
  const PeerConnection& Connection() const { return *this->connection; }
  bool IsClosed() const { return this->closed; }
  /// Drops attempts that have ended; not to be called from their callbacks.
  void Sweep();

  void OnReady(const Hello& /*aPeer*/) override {}
  void OnNotice(const Notice& aNotice) override;
  void OnClosed(const absl::Status& aReason) override;
  void OnStream(std::unique_ptr<PeerStream> aStream) override;

private:
  SidecarSessionHost& host;
  Hello peer;
  /// Before the attempts, whose streams must go first.
  std::unique_ptr<PeerConnection> connection;
  std::vector<std::unique_ptr<SidecarAttempt>> attempts;
  bool closed = false;
};

} // namespace dogwoodvale

#endif
