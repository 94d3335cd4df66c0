#ifndef DOGWOODVALE_GATEWAY_BACKENDPOOL_H
#define DOGWOODVALE_GATEWAY_BACKENDPOOL_H

#include <map>
#include <memory>

#include "Ports.h"

namespace dogwoodvale {

/// The backend servers of all services: who may take work, the connections to
/// each, what is under way there and how healthy each looks.
class BackendPool
{
public:
  struct Options
  {
    /// Bytes unacknowledged or an idle link silent for this long: it is gone.
    Duration silentLinkTimeout = seconds(1);
    Duration connectTimeout = milliseconds(500);
  };

  BackendPool(EventLoop& aLoop, Options aOptions);

  /// Takes a new list. Instances that it lacks, or that leave, get no new work;
  /// what runs there goes on.
  void SetInstances(std::span<const DirectInstance> aInstances);
  /// \param aCount gateways that share each server's connections.
  void SetGateways(std::size_t aCount) { this->gateways = aCount; }
  /// Judges health, sweeps what is no longer used; call a few times a second.
  void Tend(TimePoint aNow);
  /// Kept connections may all be dead, e.g. after the process was suspended.
  void CloseIdleConnections();

  /// The servers of a service that may take this request now.
  std::vector<DirectCandidate> Candidates(
    const DirectService& aService,
    const DirectDemand& aDemand,
    std::span<const InstanceName> aExcluded,
    TimePoint aNow) const;
  /// A long prompt was sent to the instance, by this gateway or another.
  void OnLongPrompt(const InstanceName& aInstance,
                    std::uint32_t aTokens,
                    TimePoint aNow);
  /// The client of an instance that Candidates() named.
  BackendClient* ClientOf(const InstanceName& aInstance);
  /// Slots of the service's live servers, and requests under way on them.
  struct Occupancy
  {
    std::uint32_t servers = 0;
    std::uint64_t slots = 0;
    std::uint64_t requests = 0;
  };
  Occupancy OccupancyOf(const ServiceName& aService) const;

  void OnSent(const InstanceName& aInstance,
              const BackendWork& aWork,
              std::span<const PromptStep> aSteps,
              TimePoint aNow);
  /// A part of the work is done (prefill), or all of it.
  void OnDone(const InstanceName& aInstance, const BackendWork& aWork);
  /// The health of the instance; a no-op for one that is gone.
  HealthTracker* HealthOf(const InstanceName& aInstance);
  /// Another instance has its address: takes it out at once.
  void OnWrongInstance(const InstanceName& aInstance);

  PrefillFlow& FlowOf(const ServiceName& aService)
  {
    return this->flows[aService];
  }
  WorkTable& Work() { return this->work; }
  PrefixIndex& Prefixes() { return this->prefixes; }
  bool HasAny() const { return !this->members.empty(); }
  std::size_t Count() const { return this->members.size(); }

private:
  struct Member
  {
    DirectInstance instance;
    std::unique_ptr<BackendClient> client;
    /// In the newest list.
    bool isListed = true;
  };

  void Add(const DirectInstance& aInstance);
  bool TakesWork(const Member& aMember) const;
  bool HasConnection(const Member& aMember,
                     const DirectService& aService,
                     std::uint32_t aSlots) const;

  EventLoop& loop;
  Options options;
  std::size_t gateways = 1;
  std::map<InstanceName, Member> members;
  absl::flat_hash_map<ServiceName, std::vector<InstanceName>> byService;
  std::map<ServiceName, HealthTracker> health;
  std::map<ServiceName, PrefillFlow> flows;
  WorkTable work;
  PrefixIndex prefixes;
};

} // namespace dogwoodvale

#endif
