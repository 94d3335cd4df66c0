#ifndef DOGWOODVALE_GATEWAY_BACKENDPOOL_H
#define DOGWOODVALE_GATEWAY_BACKENDPOOL_H

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "Ports.h"
#include "ServerNeeds.h"

namespace dogwoodvale {

/// What a gateway has learned of a service.
struct ServiceLearning
{
  ServiceName service;
  PrefillLearning reading;
  /// See ReservedServers::Peak().
  double interactivePeak = 0;
};

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
    GatewayDecisions decisions;
    /// This gateway's name.
    InstanceName self = {};
  };

  BackendPool(EventLoop& aLoop, Options aOptions);

  /// Takes a new list. Instances that it lacks, or that leave, get no new work;
  /// what runs there goes on.
  void SetInstances(std::span<const DirectInstance> aInstances);
  /// \param aCount gateways of the site.
  /// \param aInCell those of them in this one's cell.
  /// \param aCells cells of the site, \p aCell this gateway's own.
  void SetGateways(std::size_t aCount,
                   std::size_t aInCell,
                   std::size_t aCells,
                   std::size_t aCell);
  /// Judges health, sweeps what is no longer used; call a few times a second.
  void Tend(TimePoint aNow);
  /// Kept connections may all be dead, e.g. after the process was suspended.
  void CloseIdleConnections();

  /// The servers of a service that may take this request now.
  std::vector<DirectCandidate> Candidates(
    const DirectService& aService,
    const DirectDemand& aDemand,
    std::span<const InstanceName> aExcluded,
    TimePoint aNow);
  /// What one server of each service holds in its cache.
  void SetServices(std::span<const DirectService> aServices);
  /// The instance reads the prompt, sent by this gateway or another.
  void OnRead(const InstanceName& aInstance,
              std::span<const PromptStep> aSteps);
  /// A long prompt was sent to the instance, by this gateway or another.
  void OnLongPrompt(const InstanceName& aInstance,
                    std::uint32_t aTokens,
                    TimePoint aNow);
  /// The client for one request to an instance that Candidates() named, which
  /// is counted against what the server takes; null if it takes none now.
  /// There is no other way to send a server a request.
  BackendClient* Acquire(const InstanceName& aInstance,
                         const DirectDemand& aDemand,
                         TimePoint aNow);
  /// Asks whether the instance still takes connections; sends no request.
  /// \return false for one that is gone.
  bool Probe(const InstanceName& aInstance,
             std::function<void(ProbeResult)> aHandler);
  /// Until a server of the service takes a request of this gateway, as far as
  /// the servers have said.
  Duration UntilFree(const ServiceName& aService, TimePoint aNow);
  ServerNeeds& Needs() { return this->needs; }
  /// Its address; nothing for one that is gone.
  std::optional<SocketAddress> AddressOf(const InstanceName& aInstance) const;
  /// Whether the newest list names it.
  bool IsListed(const InstanceName& aInstance) const;
  /// It has said that it leaves, or was taken off the list.
  bool IsLeaving(const InstanceName& aInstance) const;
  /// What the server calls itself; empty for one that is gone.
  InstanceName ServerOf(const InstanceName& aInstance) const;
  /// Slots of the service's live servers, and requests under way on them.
  struct Occupancy
  {
    std::uint32_t servers = 0;
    std::uint64_t slots = 0;
    std::uint64_t requests = 0;
    std::uint64_t interactive = 0;
  };
  Occupancy OccupancyOf(const ServiceName& aService) const;

  /// What was learned of all services, for a gateway that starts.
  std::vector<ServiceLearning> Learned() const;
  /// Takes what another gateway, or this one before its restart, has learned;
  /// what is measured here stays.
  void Seed(std::span<const ServiceLearning> aLearned, TimePoint aNow);
  /// The same of a server's cache, see CacheBelief::Seed().
  /// \return whether the server is known.
  bool SeedCache(const InstanceName& aInstance,
                 std::span<const PromptStep> aSteps);

  void OnSent(const InstanceName& aInstance,
              const BackendWork& aWork,
              std::span<const PromptStep> aSteps);
  /// A part of the work is done (prefill), or all of it.
  void OnDone(const InstanceName& aInstance, const BackendWork& aWork);
  /// The health of the instance; a no-op for one that is gone.
  HealthTracker* HealthOf(const InstanceName& aInstance);
  /// The head of one of the instance's answers came.
  void OnNotice(const InstanceName& aInstance,
                const BackpressureNotice& aNotice,
                TimePoint aNow);
  /// What another gateway tells of the servers.
  void Hear(const PeerDigest& aDigest, TimePoint aNow);
  /// Another instance has its address: takes it out at once.
  void OnWrongInstance(const InstanceName& aInstance);

  const GatewayDecisions& Decisions() const { return this->options.decisions; }
  PauseProfile& PausesOf(const ServiceName& aService)
  {
    return this->pauses[aService];
  }
  PrefillFlow& FlowOf(const ServiceName& aService)
  {
    return this->flows[aService];
  }
  WorkTable& Work() { return this->work; }
  const CacheBelief& Caches() const { return this->caches; }
  bool HasAny() const { return !this->members.empty(); }
  std::size_t Count() const { return this->members.size(); }
  /// Servers reserved for interactive requests, of all services.
  std::size_t ReservedCount() const;

private:
  struct Member
  {
    DirectInstance instance;
    std::unique_ptr<BackendClient> client;
    /// In the newest list.
    bool isListed = true;
  };

  /// The servers of one service, in the order in which they are reserved.
  struct Listed
  {
    std::vector<InstanceName> all;
    /// Those of this gateway's cell; empty where the service is not split.
    std::vector<InstanceName> inCell;
    /// Into how many cells it is split; 1 where it is not.
    std::size_t cells = 1;
  };

  void Add(const DirectInstance& aInstance);
  void ListServices();
  /// Tokens that fit into a server's cache; 0 while unknown.
  std::uint64_t CacheRoomOf(const ServiceName& aService) const;
  void Reserve(const ServiceName& aService,
               const Occupancy& aOccupancy,
               TimePoint aNow);
  std::vector<DirectCandidate> CandidatesAmong(
    std::span<const InstanceName> aNames,
    const DirectService& aService,
    const DirectDemand& aDemand,
    std::span<const InstanceName> aExcluded,
    std::size_t aSharers,
    TimePoint aNow);
  /// Whether a request of this rank may have one of the candidates, where all
  /// of them bound their rate.
  bool AdmitsRank(const ServiceName& aService,
                  std::uint32_t aRank,
                  std::span<const DirectCandidate> aCandidates,
                  TimePoint aNow);
  /// Whether this gateway's cell uses a server that it knows.
  bool MayUse(const InstanceName& aName) const;
  /// Into how many cells the server's service is split.
  std::size_t CellsOf(const Member& aMember) const;
  bool TakesWork(const Member& aMember) const;
  bool HasConnection(const Member& aMember,
                     const DirectService& aService,
                     std::uint32_t aSlots,
                     std::size_t aSharers) const;

  EventLoop& loop;
  Options options;
  std::size_t gateways = 1;
  std::size_t gatewaysInCell = 1;
  std::size_t cells = 1;
  std::size_t cell = 0;
  std::map<InstanceName, Member> members;
  absl::flat_hash_map<ServiceName, Listed> byService;
  std::map<ServiceName, HealthTracker> health;
  std::map<ServiceName, PrefillFlow> flows;
  std::map<ServiceName, PauseProfile> pauses;
  std::map<ServiceName, ReservedServers> reserved;
  ServerNeeds needs;
  std::map<ServiceName, RankReserve> reserves;
  WorkTable work;
  CacheBelief caches;
  /// Tokens that fit into one server's cache.
  std::map<ServiceName, std::uint64_t> cacheTokens;
};

} // namespace dogwoodvale

#endif
