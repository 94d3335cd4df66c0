#ifndef DOGWOODVALE_ENTRY_FLEET_H
#define DOGWOODVALE_ENTRY_FLEET_H

#include <map>
#include <memory>
#include <optional>
#include <random>

#include <absl/container/flat_hash_map.h>

#include "SidecarLink.h"
#include "dogwoodvale/Routing"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Is told what sidecars say of the whole system.
class FleetObserver
{
public:
  virtual ~FleetObserver() = default;
  /// A peer tells its configuration's epoch, in a hello or a notice.
  virtual void OnPeerEpoch(const InstanceName& aPeer,
                           Epoch aEpoch,
                           std::string_view aRootHash,
                           std::optional<Duration> aStoreContactAge) = 0;
  virtual void OnPeerLost(const InstanceName& aPeer) = 0;
};

/// The sidecars that this entry is connected to: for each service a subset of
/// those that the directory knows, their load and their health.
class Fleet final : public SidecarLinkObserver
{
public:
  static absl::StatusOr<std::unique_ptr<Fleet>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings,
    const Hello& aSelf,
    FleetObserver& aObserver);

  /// A list that was received whole.
  void OnList(std::span<const ListedInstance> aList);
  /// What peers are told; sent to all when it changes.
  void SetHello(const Hello& aSelf);
  void SetNotice(const Notice& aNotice, bool aNow);

  /// The server for a request; nothing when none of the service is usable.
  std::optional<InstanceName> Choose(const ServiceName& aService,
                                     const ChoiceRequest& aRequest);
  /// How many early refusals to allow a new request.
  std::uint32_t EarlyRefusals(const ServiceName& aService) const;
  /// nullptr if there is no such link.
  SidecarLink* FindLink(const InstanceName& aName);

  void OnSent(const ServiceName& aService,
              const InstanceName& aServer,
              std::uint64_t aTokens,
              Tier aTier,
              PrefixHash aPrefix);
  void OnEnded(const ServiceName& aService,
               const InstanceName& aServer,
               std::uint64_t aTokens,
               Tier aTier,
               SendResult aResult,
               Duration aFirstToken);
  void OnLoad(const ServiceName& aService,
              const InstanceName& aServer,
              const LoadReport& aLoad);
  void OnCrash(const ServiceName& aService, const InstanceName& aServer);

  /// Whether any server of any service is usable.
  bool HasUsable() const;
  std::size_t LinkCount() const { return this->links.size(); }
  const BackendDirectory& Directory() const { return this->directory; }
  /// For /statusz.
  Json::Value Describe() const;
  /// On the links that stand now.
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

  void OnLinkUp(SidecarLink& aLink) override;
  void OnLinkNotice(SidecarLink& aLink, const Notice& aNotice) override;
  void OnLinkDown(SidecarLink& aLink, const absl::Status& aReason) override;

private:
  /// What is known of one service's servers.
  struct ServiceState
  {
    BackendTable table;
    HealthTracker health;
  };

  Fleet(EventLoop& aLoop,
        const DaemonSettings& aSettings,
        const Hello& aSelf,
        std::unique_ptr<BackendChooser> aChooser,
        FleetObserver& aObserver);

  ServiceState& StateOf(const ServiceName& aService);
  ServiceState* FindState(const ServiceName& aService);
  /// Servers to connect to of \p aCandidates.
  std::size_t SubsetSize(std::size_t aCandidates) const;
  /// Connects to the subset, drops what left it; runs several times a second.
  void Maintain();
  void FollowSubset(const ServiceName& aService, TimePoint aNow);
  void EnsureLink(const InstanceName& aName);
  void DropLink(const InstanceName& aName);
  void Judge(const ServiceName& aService, TimePoint aNow);
  double DrawUniform();

  EventLoop& loop;
  const DaemonSettings settings;
  Hello self;
  Notice notice;
  std::unique_ptr<BackendChooser> chooser;
  FleetObserver& observer;
  BackendDirectory directory;
  std::mt19937_64 random;
  std::map<ServiceName, ServiceState> services;
  absl::flat_hash_map<InstanceName, std::unique_ptr<SidecarLink>> links;
  Timer maintainTimer;
  /// Live entries by the list, this one included.
  std::size_t entries = 1;
};

} // namespace dogwoodvale

#endif
