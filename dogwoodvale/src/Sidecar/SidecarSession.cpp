#include "dogwoodvale/Sidecar"

namespace dogwoodvale {

SidecarSession::SidecarSession(SidecarSessionHost& aHost,
                               std::unique_ptr<PeerConnection> aConnection,
                               const Hello& aPeer)
  : host(aHost)
  , peer(aPeer)
  , connection(std::move(aConnection))
{
}

void
SidecarSession::OnNotice(const Notice& aNotice)
{
  this->host.OnPeerNotice(*this, aNotice);
}

void
SidecarSession::OnClosed(const absl::Status& /*aReason*/)
{
  this->closed = true;
  this->host.OnSessionClosed(*this);
}

void
SidecarSession::OnStream(std::unique_ptr<PeerStream> aStream)
{
  this->attempts.push_back(std::make_unique<SidecarAttempt>(
    this->host, InstanceName(this->peer.instance), std::move(aStream)));
}

void
SidecarSession::Sweep()
{
  std::erase_if(this->attempts,
                [](const auto& aAttempt) { return aAttempt->HasEnded(); });
}

} // namespace dogwoodvale
