#ifndef DOGWOODVALE_ENTRY_SIDECARLINK_H
#define DOGWOODVALE_ENTRY_SIDECARLINK_H

#include <memory>
#include <random>

#include "dogwoodvale/Membership"
#include "dogwoodvale/Peer"
#include "dogwoodvale/Store"

namespace dogwoodvale {

class SidecarLink;

/// Is told about the links of an entry. Must not destroy the link meanwhile.
class SidecarLinkObserver
{
public:
  virtual ~SidecarLinkObserver() = default;
  virtual void OnLinkUp(SidecarLink& aLink) = 0;
  virtual void OnLinkNotice(SidecarLink& aLink, const Notice& aNotice) = 0;
  virtual void OnLinkDown(SidecarLink& aLink, const absl::Status& aReason) = 0;
};

/// An entry's connection to one sidecar; the observer decides when to try.
class SidecarLink final : public PeerConnectionHandler
{
public:
  SidecarLink(EventLoop& aLoop,
              InstanceName aName,
              ServiceName aService,
              const SocketAddress& aAddress,
              SidecarLinkObserver& aObserver);
  ~SidecarLink() override;

  const InstanceName& Name() const { return this->name; }
  const ServiceName& ServiceOf() const { return this->service; }
  const SocketAddress& Address() const { return this->address; }
  bool IsReady() const;
  bool IsIdle() const { return this->connection == nullptr; }
  /// Of the connected sidecar; 0 while not ready.
  Incarnation PeerIncarnation() const;

  void Connect(const Hello& aSelf);
  /// nullptr when not ready or full.
  std::unique_ptr<PeerStream> OpenStream();
  PeerConnection* Connection() { return this->connection.get(); }

  void OnReady(const Hello& aPeer) override;
  void OnNotice(const Notice& aNotice) override;
  void OnClosed(const absl::Status& aReason) override;
  void OnStream(std::unique_ptr<PeerStream> /*aStream*/) override {}

private:
  EventLoop& loop;
  InstanceName name;
  ServiceName service;
  SocketAddress address;
  SidecarLinkObserver& observer;
  std::unique_ptr<PeerConnection> connection;
  /// Closed ones, until no callback of theirs can be on the stack.
  std::unique_ptr<PeerConnection> closed;
  Timer sweepTimer;
};

} // namespace dogwoodvale

#endif
