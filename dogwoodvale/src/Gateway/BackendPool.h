#ifndef DOGWOODVALE_GATEWAY_BACKENDPOOL_H
#define DOGWOODVALE_GATEWAY_BACKENDPOOL_H

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "Ports.h"
#include "ServerBackpressure.h"

namespace dogwoodvale {

/// Estimates that a gateway has measured for a service.
struct ServiceEstimates
{
  ServiceName service;
  PrefillEstimates reading;
  /// See ReservedServers::Peak().
  double interactivePeak = 0;
  /// See DecodeModel::Sums(); a weight of 0 if there are none.
  DecodeUpdate decode;
};

/// The backend servers of all services: which of them accept work, the
/// connections to each, the requests in flight there and their health.
class BackendPool
{
public:
  struct Options
  {
    /// A connection is considered lost after this long with unacknowledged
    /// bytes or, when idle, without a sign of the peer.
    Duration silentLinkTimeout = seconds(1);
    Duration connectTimeout = milliseconds(500);
    GatewayDecisions decisions;
    /// This gateway's name.
    InstanceName self = {};
  };

  BackendPool(EventLoop& aLoop, Options aOptions);

  /// Replaces the list of servers. Instances missing from it, or marked as
  /// leaving, get no new work; requests in flight there continue.
  void SetInstances(std::span<const DirectInstance> aInstances);
  /// \param aCount gateways of the site.
  /// \param aInCell those of them in the cell of this gateway.
  /// \param aCells cells of the site, \p aCell this gateway's own.
  void SetGateways(std::size_t aCount,
                   std::size_t aInCell,
                   std::size_t aCells,
                   std::size_t aCell);
  /// Evaluates health, updates the reserved servers and removes servers that
  /// are no longer listed or used; call a few times a second.
  void RunMaintenance(TimePoint aNow);
  /// To be called when pooled connections may all be dead, e.g. after the
  /// process was suspended.
  void CloseIdleConnections();

  /// The servers of a service that may be sent this request now.
  std::vector<DirectCandidate> Candidates(
    const DirectService& aService,
    const DirectDemand& aDemand,
    std::span<const InstanceName> aExcluded,
    TimePoint aNow);
  /// Reduces the candidates for a request to a random few while requests of its
  /// rank or an earlier one go without an answer, see SpreadCandidates().
  /// Leaves those of a long prompt, which has to find its cached parts.
  void Spread(const ServiceName& aService,
              const DirectDemand& aDemand,
              std::vector<DirectCandidate>& aCandidates,
              std::mt19937_64& aRandom,
              TimePoint aNow);
  /// Sets the cache size of one server of each service.
  void SetServices(std::span<const DirectService> aServices);
  /// The prompt, sent by this gateway or another, enters the cache of the
  /// instance. No-op for an instance that the pool does not have.
  void OnPrefill(const InstanceName& aInstance,
                 std::span<const PromptStep> aSteps,
                 TimePoint aNow);
  /// A long prompt was sent to the instance, by this gateway or another.
  void OnLongPrompt(const InstanceName& aInstance,
                    std::uint32_t aTokens,
                    TimePoint aNow);
  /// The client for one request to an instance that Candidates() returned. The
  /// request is counted against the server's limits; there is no other way to
  /// send one, so that none bypasses them.
  /// \return null if the server accepts no request now.
  BackendClient* Acquire(const InstanceName& aInstance,
                         const DirectDemand& aDemand,
                         TimePoint aNow);
  /// Probes whether the instance still accepts connections; sends no request.
  /// \return false if the pool does not have the instance.
  bool Probe(const InstanceName& aInstance,
             std::function<void(ProbeResult)> aHandler);
  /// Time until a server of the service accepts a request of this gateway,
  /// according to the servers' back-pressure notices; 0 if one accepts it now
  /// or the service has no server that accepts work.
  Duration UntilFree(const ServiceName& aService, TimePoint aNow);
  /// See RankGuard.
  RankGuard& GuardOf(const ServiceName& aService);
  /// What this gateway reports of the ranks of all services.
  std::vector<RankUpdate> RankUpdates(TimePoint aNow) const;
  /// Replaces what another gateway reported of the ranks.
  void OnRankUpdates(const InstanceName& aGateway,
                     std::span<const RankUpdate> aUpdates,
                     TimePoint aNow);
  /// Whether RankGuard refuses a request that no server has been sent yet.
  /// \return if so, the expected time until the requests that wait have begun.
  std::optional<Duration> GuardRefusal(const ServiceName& aService,
                                       const DirectDemand& aDemand,
                                       std::mt19937_64& aRandom,
                                       TimePoint aNow);
  /// Whether a request would not begin at the server before its caller
  /// disconnects; only decided while requests of its rank or an earlier one go
  /// without an answer. Placer decides on long prompts, see Timeliness.
  /// \param aPatience time until the caller disconnects.
  /// \return if so, the expected time until the requests that wait have begun.
  std::optional<Duration> QueueRefusal(const DirectService& aService,
                                       const DirectDemand& aDemand,
                                       const InstanceName& aServer,
                                       Duration aPatience,
                                       TimePoint aNow);
  /// Number of ranks of all services that go without an answer, and requests
  /// refused for them.
  std::size_t OverdueRanks(TimePoint aNow);
  std::uint64_t RefusedForRanks() const;
  ServerBackpressure& Backpressure() { return this->backpressure; }
  /// The address of the instance; nothing if the pool does not have it.
  std::optional<SocketAddress> AddressOf(const InstanceName& aInstance) const;
  /// Whether the instance is on the newest list.
  bool IsListed(const InstanceName& aInstance) const;
  /// Whether the instance has announced that it leaves, or is off the list.
  bool IsLeaving(const InstanceName& aInstance) const;
  /// See DirectInstance::server; empty if the pool does not have the instance.
  InstanceName ServerOf(const InstanceName& aInstance) const;
  /// Slots of the servers that accept work, and requests in flight on them.
  struct Occupancy
  {
    std::uint32_t servers = 0;
    std::uint64_t slots = 0;
    std::uint64_t requests = 0;
    std::uint64_t interactive = 0;
  };
  Occupancy OccupancyOf(const ServiceName& aService) const;

  /// The estimates of all services, for the warm start of a gateway.
  std::vector<ServiceEstimates> Estimates(TimePoint aNow) const;
  /// Takes over estimates of another gateway, or of this one before its
  /// restart; values measured here are kept.
  void Seed(std::span<const ServiceEstimates> aEstimates, TimePoint aNow);
  /// Takes over the expected cache content of a server, see
  /// CacheTracker::Seed(). \return whether the pool has the server.
  bool SeedCache(const InstanceName& aInstance,
                 std::span<const PromptStep> aSteps);

  void OnSent(const InstanceName& aInstance,
              const BackendWork& aWork,
              std::span<const PromptStep> aSteps,
              TimePoint aNow);
  /// A part of the work (the prefill) or all of it is done.
  void OnDone(const InstanceName& aInstance, const BackendWork& aWork);
  /// What the server has had to do until now, to be passed to StreamObserver;
  /// zero if GatewayDecisions::predictedTimes is off.
  ServerActivity::Snapshot ActivityOf(const InstanceName& aInstance,
                                      TimePoint aNow);
  /// A stream of the instance is complete. Its reported factor is set here.
  void OnStream(const InstanceName& aInstance,
                StreamSample aSample,
                TimePoint aNow);
  /// Predicted mean pause of a stream that is sent to the instance now; nothing
  /// until the decode model is learned.
  std::optional<Duration> ExpectedPause(const InstanceName& aInstance,
                                        TimePoint aNow) const;
  /// Adds the sums of the decode models to a digest.
  void AddDecodeUpdates(PeerDigest& aDigest, TimePoint aNow);
  /// Median relative error of the predicted pauses, of the service where it is
  /// largest; nothing before the first prediction.
  std::optional<double> PauseError() const;
  /// The decode model of a service; null before its first sums.
  const DecodeModel* DecodeOf(const ServiceName& aService) const;
  const ServerActivity& Activity() const { return this->activity; }
  /// The health tracker of the instance's service; null if the pool does not
  /// have the instance.
  HealthTracker* HealthOf(const InstanceName& aInstance);
  /// The head of one of the instance's answers arrived with this notice.
  void OnNotice(const InstanceName& aInstance,
                const BackpressureNotice& aNotice,
                TimePoint aNow);
  /// The head of one of the instance's answers arrived; takes in the load that
  /// it states.
  void OnStatedLoad(const InstanceName& aInstance,
                    const BackendAnswer& aHead,
                    TimePoint aNow);
  /// Takes in what another gateway reports about the servers.
  void ApplyDigest(const PeerDigest& aDigest, TimePoint aNow);
  /// Another instance answers at the instance's address: no more work is sent
  /// to it.
  void OnWrongInstance(const InstanceName& aInstance);

  /// Use of a service by customer, and whether it is short of capacity.
  struct Sharing
  {
    CustomerShares shares;
    CapacityShortage shortage;
    /// For the log.
    bool wasShort = false;
  };
  /// Null if customers have no shares, see GatewayDecisions::customerShares.
  Sharing* SharingOf(const ServiceName& aService);
  /// Puts the use of the services into a digest, as far as reports are due.
  void AddSharesToDigest(PeerDigest& aDigest, TimePoint aNow);
  /// Number of services that are short of capacity.
  std::size_t ShortCount(TimePoint aNow);

  const GatewayDecisions& Decisions() const { return this->options.decisions; }
  PauseProfile& PausesOf(const ServiceName& aService)
  {
    return this->pauses[aService];
  }
  PrefillStatistics& PrefillOf(const ServiceName& aService)
  {
    return this->prefillByService[aService];
  }
  WorkTable& Work() { return this->work; }
  const WorkTable& Work() const { return this->work; }
  /// Contains no reports while GatewayDecisions::reportedLoad is off.
  ReportedLoads& Loads() { return this->loads; }
  const CacheTracker& Caches() const { return this->caches; }
  bool HasAny() const { return !this->members.empty(); }
  std::size_t Count() const { return this->members.size(); }
  /// Servers reserved for interactive requests, of all services.
  std::size_t ReservedCount() const;

private:
  struct Member
  {
    DirectInstance instance;
    std::unique_ptr<BackendClient> client;
    /// Whether it is on the newest list.
    bool isListed = true;
  };

  /// The servers of one service, in the order in which they are reserved.
  struct ServiceServers
  {
    std::vector<InstanceName> all;
    /// The servers of this gateway's cell; empty if the service is not split
    /// into cells.
    std::vector<InstanceName> inCell;
    /// Number of cells that the service is split into; 1 if it is not split.
    std::size_t cells = 1;
  };

  /// How far the requests of a service are placed by predicted times.
  enum class PredictionMode : std::uint8_t
  {
    None,
    /// The speeds of its servers are known, but its decode model is not
    /// learned: they decide the order in which servers are reserved.
    Speeds,
    Times,
  };

  /// What the predictions for a service's servers need.
  struct Prediction
  {
    PredictionMode mode = PredictionMode::None;
    /// Mean of the servers' time factors.
    double meanTimeFactor = 1.0;
    InteractivePlan plan;
  };

  void Add(const DirectInstance& aInstance);
  /// A listed entry names another service than the server's known one.
  void OnOtherService(Member& aMember, const DirectInstance& aListed);
  /// Passes the known number of requests of a server to the activity.
  void CountRequests(const InstanceName& aInstance, TimePoint aNow);
  /// The mean time factor that the server states; nothing without reports.
  std::optional<double> ReportedFactorOf(const InstanceName& aInstance,
                                         TimePoint aNow) const;
  /// Rebuilds byService from the members and the cells.
  void ListServices();
  /// Tokens that fit into the cache of one server; 0 while unknown.
  std::uint64_t CacheCapacityOf(const ServiceName& aService) const;
  /// Expected time until the requests that wait at the service's servers have
  /// begun.
  Duration DrainTimeOf(const ServiceName& aService, TimePoint aNow);
  /// Updates the number of servers reserved for interactive requests.
  void Reserve(const ServiceName& aService,
               const Occupancy& aOccupancy,
               TimePoint aNow);
  /// The servers of the service that gateways of this cell use and that accept
  /// work.
  std::vector<const Member*> ServersInUse(const ServiceName& aService) const;
  /// Decides whether times are predicted for the service: its servers state
  /// time factors and its decode model is learned.
  PredictionMode PredictionModeOf(const ServiceName& aService,
                                  std::span<const Member* const> aServers,
                                  TimePoint aNow) const;
  /// Updates the mode and the interactive plan of the service.
  void UpdatePrediction(const ServiceName& aService,
                        const Occupancy& aOccupancy,
                        TimePoint aNow);
  /// How long work takes at the server over some seconds, and at this moment.
  double MeanTimeFactorOf(const Member& aMember, TimePoint aNow) const;
  double PresentTimeFactorOf(const Member& aMember, TimePoint aNow) const;
  std::optional<PredictedTimes> PredictFor(const DirectCandidate& aCandidate,
                                           const DirectDemand& aDemand,
                                           const Member& aMember,
                                           TimePoint aNow) const;
  /// Servers of the service that are reserved for interactive requests.
  std::size_t ReservedCountOf(const ServiceName& aService) const;
  std::vector<DirectCandidate> CandidatesAmong(
    std::span<const InstanceName> aNames,
    const DirectService& aService,
    const DirectDemand& aDemand,
    std::span<const InstanceName> aExcluded,
    std::size_t aSharingGateways,
    TimePoint aNow);
  /// Whether a request of this rank is admitted when all candidates limit their
  /// rate; always true when one of them does not.
  bool AdmitsRank(const ServiceName& aService,
                  std::uint32_t aRank,
                  std::span<const DirectCandidate> aCandidates,
                  TimePoint aNow);
  void ApplyShares(const PeerDigest& aDigest, TimePoint aNow);
  /// Logs which services have become short of capacity or no longer are.
  void LogShortages(TimePoint aNow);
  /// Whether the pool has the server and gateways of this cell use it.
  bool MayUse(const InstanceName& aName) const;
  /// Number of cells that the server's service is split into; 1 if not split.
  std::size_t CellsOf(const Member& aMember) const;
  bool TakesWork(const Member& aMember) const;
  /// Whether this gateway may open or use one more connection to the server.
  /// \param aSharingGateways gateways that use the server.
  bool HasConnectionCapacity(const Member& aMember,
                             const DirectService& aService,
                             std::uint32_t aSlots,
                             std::size_t aSharingGateways) const;

  EventLoop& loop;
  Options options;
  std::size_t gateways = 1;
  std::size_t gatewaysInCell = 1;
  std::size_t cells = 1;
  std::size_t cell = 0;
  std::map<InstanceName, Member> members;
  absl::flat_hash_map<ServiceName, ServiceServers> byService;
  std::map<ServiceName, HealthTracker> health;
  std::map<ServiceName, PrefillStatistics> prefillByService;
  std::map<ServiceName, PauseProfile> pauses;
  std::map<ServiceName, ReservedServers> reserved;
  std::map<ServiceName, Prediction> predictions;
  ServerBackpressure backpressure;
  std::map<ServiceName, RankReserve> reserves;
  std::map<ServiceName, Sharing> sharing;
  /// The service whose use was reported last.
  ServiceName lastReported;
  std::map<ServiceName, RankGuard> guards;
  UnreportedRequests unreported;
  WorkTable work;
  ServerActivity activity;
  std::map<ServiceName, DecodeModel> decode;
  ReportedLoads loads;
  CacheTracker caches;
  /// Tokens that fit into the cache of one server.
  std::map<ServiceName, std::uint64_t> cacheTokens;
};

} // namespace dogwoodvale

#endif
