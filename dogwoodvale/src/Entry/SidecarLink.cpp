#include "dogwoodvale/Entry"

namespace dogwoodvale {

SidecarLink::SidecarLink(EventLoop& aLoop,
                         InstanceName aName,
                         ServiceName aService,
                         const SocketAddress& aAddress,
                         SidecarLinkObserver& aObserver)
  : loop(aLoop)
  , name(std::move(aName))
  , service(std::move(aService))
  , address(aAddress)
  , observer(aObserver)
  , sweepTimer(aLoop, [this] { this->closed.reset(); })
{
}

SidecarLink::~SidecarLink() = default;

bool
SidecarLink::IsReady() const
{
  return this->connection != nullptr && this->connection->IsReady();
}

Incarnation
SidecarLink::PeerIncarnation() const
{
  return this->IsReady() ? this->connection->Peer().incarnation : 0;
}

void
SidecarLink::Connect(const Hello& aSelf)
{
  this->connection = PeerConnection::Connect(
    this->loop, this->address, PeerOptions{}, aSelf, *this);
}

std::unique_ptr<PeerStream>
SidecarLink::OpenStream()
{
  return this->IsReady() ? this->connection->OpenStream() : nullptr;
}

void
SidecarLink::OnReady(const Hello& /*aPeer*/)
{
  this->observer.OnLinkUp(*this);
}

void
SidecarLink::OnNotice(const Notice& aNotice)
{
  this->observer.OnLinkNotice(*this, aNotice);
}

void
SidecarLink::OnClosed(const absl::Status& aReason)
{
  this->closed = std::move(this->connection);
  this->sweepTimer.StartOnce(Duration(0));
  this->observer.OnLinkDown(*this, aReason);
}

} // namespace dogwoodvale
