#ifndef DOGWOODVALE_TEST_SUPPORT_LOADSIMULATION_H
#define DOGWOODVALE_TEST_SUPPORT_LOADSIMULATION_H

#include <catch2/catch.hpp>

#include <deque>
#include <map>

#include <absl/container/flat_hash_set.h>

#include "bench/EngineModel.h"
#include "dogwoodvale/Gateway"

namespace dogwoodvale::test {

using model::EngineModel;

/// Period in which a gateway updates the state of its servers.
inline constexpr Duration kUpdatePeriod = milliseconds(200);
/// Number of ranks of the service, see RequestKind::rank.
inline constexpr std::uint32_t kRankCount = 6;
/// Tokens that are copied in the time in which one is prefilled.
inline constexpr std::uint32_t kCopySpeed = 10;

/// Requests of one kind in the load.
struct RequestKind
{
  /// Mean arrivals per second, of a Poisson process.
  double perSecond = 0;
  /// Prompt tokens of the shared part.
  std::uint32_t sharedTokens = 0;
  /// Prompt tokens that only this request has.
  std::uint32_t ownTokens = 0;
  std::uint32_t answerTokens = 0;
  /// Number of different shared parts; each request has one of them.
  std::uint32_t sharedParts = 1;
  /// Longest time to the first token with which an answer is on time.
  Duration target{ 0 };
  /// Longest pause between events with which an answer is on time.
  Duration maxPause = seconds(60);
  std::uint32_t rank = 0;
  /// A caller disconnects if no answer has begun within this time.
  Duration callerTimeout = std::chrono::hours(1);
  /// Whether a refused caller returns once after its Retry-After.
  bool returns = false;
};

/// Periods in which other work on an engine's machine slows the engine down.
struct SlowPeriods
{
  /// Share of the time that they take; 0 for none.
  double share = 0;
  /// How many times longer work takes in them.
  double factor = 1;
  /// Mean length; lengths are distributed exponentially.
  Duration length = milliseconds(600);
};

/// The simulated engines and gateways.
struct Fleet
{
  std::uint32_t engines = 12;
  EngineModel::Options engine;
  /// Tokens per event of a stream.
  std::uint32_t tokensPerEvent = 3;
  std::uint32_t gateways = 1;
  /// Capacity of an engine's prefix cache in tokens; 0 for unlimited.
  std::uint64_t cacheTokens = 0;
  /// Period in which a gateway reports its work to the others.
  Duration digestPeriod = milliseconds(150);
  /// How long work takes on an engine, 1 being the time in \c engine: engine i
  /// has the factor i modulo their number. Empty if all are equally fast.
  std::vector<double> timeFactors;
  SlowPeriods slowPeriods;
  /// Engines report their load with each first token, and with it their time
  /// factor.
  bool reportsLoad = false;
  bool reportsTimeFactor = true;
};

/// Results of the requests of one kind.
struct Tally
{
  int asked = 0;
  /// First token within the target, and no longer pause than maxPause since.
  int onTime = 0;
  /// Answers of which the first token has come.
  int begun = 0;
  /// Callers that disconnected before their answer had begun, or were refused
  /// and did not return.
  int lost = 0;
  /// Answers with a pause longer than maxPause.
  int paused = 0;
  /// Refusals, also of callers that return.
  int refused = 0;

  /// Share of the answers that have begun.
  double PausedShare() const { return static_cast<double>(paused) / begun; }
  bool operator==(const Tally&) const = default;
  double OnTimeShare() const { return static_cast<double>(onTime) / asked; }
};

/// Simulates a load on model engines, with requests placed as by gateways.
///
/// Engines cache prefilled parts within their capacity and copy parts from each
/// other if the placement says so. Time is simulated; a gateway knows its own
/// work at once and that of the others from their periodic digests.
class LoadSimulation
{
public:
  LoadSimulation(Fleet aFleet,
                 GatewayDecisions aDecisions,
                 std::vector<RequestKind> aKinds,
                 std::uint64_t aSeed)
    : fleet(std::move(aFleet))
    , placer(DirectChooser::Create("expected_delay"),
             { .fetchesCaches = aDecisions.cacheFetch,
               .lateLast = aDecisions.lateLast,
               .rankedReading = aDecisions.rankedReading })
    , kinds(std::move(aKinds))
    , random(aSeed)
  {
    this->service.slots = this->fleet.engine.slots;
    this->service.cacheTokens = this->fleet.cacheTokens;
    std::vector<DirectInstance> instances;
    for (std::uint32_t i = 0; i < this->fleet.engines; ++i) {
      DirectInstance instance;
      instance.name = InstanceName(fmt::format("e{:02}", i));
      instance.service = this->service.name;
      instance.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
      instance.softwareVersion = "v1";
      instance.slots = this->fleet.engine.slots;
      instances.push_back(instance);
      this->engines.push_back(
        { .name = instance.name, .model = EngineModel(this->fleet.engine) });
      Engine& engine = this->engines.back();
      if (!this->fleet.timeFactors.empty()) {
        engine.timeFactor =
          this->fleet.timeFactors[i % this->fleet.timeFactors.size()];
      }
      engine.slowPeriodRandom.seed(aSeed * this->fleet.engines + i);
      engine.periodEnds = this->now;
      this->StartPeriod(engine, false);
    }
    for (std::uint32_t i = 0; i < this->fleet.gateways; ++i) {
      const BackendPool::Options options{ .decisions = aDecisions };
      Gateway& gateway = this->gateways.emplace_back();
      gateway.name = InstanceName(fmt::format("g{:02}", i));
      gateway.pool = std::make_unique<BackendPool>(*this->loop, options);
      gateway.pool->SetServices(std::span(&this->service, 1));
      gateway.pool->SetInstances(instances);
      gateway.pool->SetGateways(
        this->fleet.gateways, this->fleet.gateways, 1, 0);
    }
  }

  /// Changes the arrival rate of a kind from now on.
  void SetRate(std::size_t aKind, double aPerSecond)
  {
    this->kinds[aKind].perSecond = aPerSecond;
  }

  /// Work on the engine takes \p aFactor times as long as on a usual one from
  /// now on.
  void SetTimeFactor(std::size_t aEngine, double aFactor)
  {
    this->engines[aEngine].timeFactor = aFactor;
  }

  /// Engines report no load from now on.
  void StopReports() { this->fleet.reportsLoad = false; }

  /// Number of requests of a kind that were sent to the engine until now.
  int SentTo(std::size_t aEngine, std::size_t aKind)
  {
    return this->engines[aEngine].sent[aKind];
  }

  /// Share of the engines' steps since the last Run() began in which the
  /// running requests took more tokens than the cache holds; 0 if it is
  /// unlimited.
  double OverfullShare() const
  {
    return this->steps == 0 ? 0
                            : static_cast<double>(this->overfullSteps) /
                                static_cast<double>(this->steps);
  }

  /// Runs for \p aLength.
  /// \return for each kind the results of the requests that arrived in it.
  std::vector<Tally> Run(Duration aLength)
  {
    this->tallies.assign(this->kinds.size(), Tally{});
    this->countingSince = this->now;
    this->steps = 0;
    this->overfullSteps = 0;
    return this->Continue(aLength);
  }

  /// As Run(), but adds to the results so far.
  std::vector<Tally> Continue(Duration aLength)
  {
    const TimePoint end = this->now + aLength;
    std::vector<TimePoint> next;
    for (const RequestKind& kind : this->kinds) {
      next.push_back(this->now + this->DrawInterarrivalTime(kind));
    }
    while (this->now < end) {
      const auto kind =
        static_cast<std::size_t>(std::ranges::min_element(next) - next.begin());
      this->StepEnginesUntil(next[kind]);
      this->DisconnectUntil(next[kind]);
      this->ReportOverdueUntil(next[kind]);
      this->UpdateGateways();
      this->ReturnUntil(next[kind]);
      this->now = next[kind];
      this->Arrive(kind);
      next[kind] += this->DrawInterarrivalTime(this->kinds[kind]);
    }
    return this->tallies;
  }

private:
  struct Sent
  {
    InstanceName engine;
    std::vector<PromptStep> steps;
    std::uint32_t longTokens = 0;
  };
  struct Gateway
  {
    InstanceName name;
    std::unique_ptr<BackendPool> pool;
    /// Requests not reported to the other gateways yet.
    std::vector<Sent> sent;
    std::uint64_t digests = 0;
  };
  struct Running
  {
    BackendPool* pool = nullptr;
    InstanceName engine;
    std::size_t kind = 0;
    TimePoint arrived{};
    BackendWork work;
    std::uint64_t ahead = 0;
    std::uint64_t prefill = 0;
    bool hasFirstToken = false;
    /// It has waited for its first token for longer than twice its target.
    bool isOverdue = false;
    std::uint32_t tokens = 0;
    PrefixHash sharedPart{};
    TimePoint firstEvent{};
    TimePoint lastEvent{};
    std::uint64_t events = 0;
    ServerActivity::Snapshot activity;
    bool isInteractive = false;
    Duration longestPause{ 0 };
    bool isOnTime = false;
    /// It has had a pause longer than maxPause.
    bool isPaused = false;
  };
  /// A request of a caller, new or returning.
  struct Call
  {
    std::size_t kind = 0;
    std::vector<PromptPart> parts;
    TimePoint asked{};
    bool hasReturned = false;
  };
  struct Engine
  {
    InstanceName name;
    EngineModel model;
    /// End of its current step; nothing while it is idle.
    std::optional<TimePoint> stepEnds = {};
    double timeFactor = 1;
    bool isSlow = false;
    /// End of its current slow or usual period.
    TimePoint periodEnds{};
    /// Requests sent to it, by kind.
    std::map<std::size_t, int> sent = {};
    /// Each engine has a generator of its own, so that its periods depend on
    /// nothing else and fleets without slow periods draw what they always did.
    std::mt19937_64 slowPeriodRandom = {};
  };

  /// Starts a slow or usual period of the engine.
  void StartPeriod(Engine& aEngine, bool aIsSlow)
  {
    const SlowPeriods& slow = this->fleet.slowPeriods;
    aEngine.isSlow = aIsSlow;
    if (slow.share <= 0) {
      aEngine.periodEnds = TimePoint::max();
      return;
    }
    const double mean = static_cast<double>(slow.length.count()) *
                        (aIsSlow ? 1.0 : (1.0 - slow.share) / slow.share);
    std::exponential_distribution<double> draw(1.0 / mean);
    aEngine.periodEnds +=
      Duration(static_cast<Duration::rep>(draw(aEngine.slowPeriodRandom)));
  }

  /// How long work takes on the engine at this moment.
  double TimeFactorOf(const Engine& aEngine) const
  {
    return aEngine.timeFactor *
           (aEngine.isSlow ? this->fleet.slowPeriods.factor : 1.0);
  }

  /// Starts the engine's next step now, at its present speed.
  /// \return when the step ends.
  TimePoint Step(Engine& aEngine)
  {
    while (aEngine.periodEnds <= this->now) {
      this->StartPeriod(aEngine, !aEngine.isSlow);
    }
    aEngine.model.SetSlowdown(this->TimeFactorOf(aEngine));
    return aEngine.model.Step(this->now);
  }

  Duration DrawInterarrivalTime(const RequestKind& aKind)
  {
    std::exponential_distribution<double> draw(aKind.perSecond / 1e6);
    return Duration(static_cast<Duration::rep>(draw(this->random)));
  }

  void UpdateGateways()
  {
    if (this->now >= this->nextUpdate) {
      for (const Gateway& gateway : this->gateways) {
        gateway.pool->RunMaintenance(this->now);
      }
      this->nextUpdate = this->now + kUpdatePeriod;
    }
    if (this->now >= this->nextDigest) {
      for (Gateway& gateway : this->gateways) {
        this->SendDigest(gateway);
      }
      this->nextDigest = this->now + this->fleet.digestPeriod;
    }
  }

  void SendDigest(Gateway& aSender)
  {
    PeerDigest digest;
    digest.gateway = aSender.name;
    digest.incarnation = 1;
    digest.sequence = ++aSender.digests;
    digest.work = aSender.pool->Work().OwnLines();
    digest.loads = aSender.pool->Loads().TakeUpdates(this->now);
    aSender.pool->AddDecodeUpdates(digest, this->now);
    digest.ranks = aSender.pool->RankUpdates(this->now);
    for (const Gateway& other : this->gateways) {
      if (&other == &aSender) {
        continue;
      }
      other.pool->ApplyDigest(digest, this->now);
      for (const Sent& sent : aSender.sent) {
        other.pool->OnPrefill(sent.engine, sent.steps, this->now);
        other.pool->OnLongPrompt(sent.engine, sent.longTokens, this->now);
      }
    }
    aSender.sent.clear();
  }

  void Arrive(std::size_t aKind)
  {
    const RequestKind& kind = this->kinds[aKind];
    std::uniform_int_distribution<std::uint32_t> subject(0,
                                                         kind.sharedParts - 1);
    const std::vector<PromptPart> parts = {
      { aKind * 100'000 + subject(this->random), kind.sharedTokens },
      { 1'000'000 + this->lastId, kind.ownTokens }
    };
    ++this->tallies[aKind].asked;
    this->Ask({ aKind, parts, this->now });
  }

  /// Sends the request to a gateway, which places or refuses it.
  void Ask(const Call& aCall)
  {
    const RequestKind& kind = this->kinds[aCall.kind];
    std::uniform_int_distribution<std::size_t> draw(0,
                                                    this->gateways.size() - 1);
    Gateway& gateway = this->gateways[draw(this->random)];
    const DirectDemand demand =
      this->DemandOf(*gateway.pool, kind, aCall.parts);
    if (gateway.pool->Decisions().rankGuard) {
      gateway.pool->GuardOf(this->service.name)
        .OnRequest(kind.rank, demand.promptTokens);
    }
    if (const auto wait = gateway.pool->GuardRefusal(
          this->service.name, demand, this->random, this->now)) {
      this->Refuse(aCall, *wait);
      return;
    }
    auto candidates =
      gateway.pool->Candidates(this->service, demand, {}, this->now);
    gateway.pool->Spread(
      this->service.name, demand, candidates, this->random, this->now);
    PlacementRequest request{ demand, PriorityLevelsOf(kind.rank, kRankCount) };
    request.target = kind.target;
    request.outputTokens = kind.answerTokens;
    const auto placed =
      this->placer.Place(candidates,
                         request,
                         gateway.pool->PrefillOf(this->service.name),
                         this->random);
    REQUIRE(placed.has_value());
    if (placed->timeliness == Timeliness::Hopeless) {
      this->Refuse(aCall, placed->wait);
      return;
    }
    const DirectCandidate& server = candidates[placed->server];
    if (const auto wait =
          gateway.pool->QueueRefusal(this->service,
                                     demand,
                                     server.name,
                                     CallerPatience(kind.target, kind.maxPause),
                                     this->now)) {
      gateway.pool->GuardOf(this->service.name)
        .OnLost(kind.rank, false, this->now);
      this->Refuse(aCall, *wait);
      return;
    }
    this->Send(aCall.kind, gateway, demand, server, *placed);
  }

  void Refuse(const Call& aCall, Duration aWait)
  {
    const RequestKind& kind = this->kinds[aCall.kind];
    Tally& tally = this->tallies[aCall.kind];
    ++tally.refused;
    if (!kind.returns || aCall.hasReturned) {
      tally.lost += aCall.asked >= this->countingSince ? 1 : 0;
      return;
    }
    Call returning = aCall;
    returning.hasReturned = true;
    this->returns.emplace(
      this->now + DrawRetryAfter(aWait, kind.target, this->random), returning);
  }

  /// Refused callers return whose Retry-After has passed by \p aTime.
  void ReturnUntil(TimePoint aTime)
  {
    while (!this->returns.empty() && this->returns.begin()->first <= aTime) {
      this->now = this->returns.begin()->first;
      const Call call = this->returns.begin()->second;
      this->returns.erase(this->returns.begin());
      this->Ask(call);
    }
  }

  /// As Admission computes it.
  DirectDemand DemandOf(BackendPool& aPool,
                        const RequestKind& aKind,
                        std::span<const PromptPart> aParts)
  {
    PrefillStatistics& statistics = aPool.PrefillOf(this->service.name);
    PauseProfile& pauses = aPool.PausesOf(this->service.name);
    const bool isReserving = aPool.Decisions().reservedServers;
    DirectDemand demand;
    demand.promptTokens = aKind.sharedTokens + aKind.ownTokens;
    demand.steps = StepsOf(aParts);
    demand.sharedTokens = SharedTokens(demand.steps);
    demand.rank = PriorityLevelsOf(aKind.rank, kRankCount).inTime;
    demand.serviceRank = aKind.rank;
    if (aPool.Decisions().rankedTurns) {
      demand.queueRank = demand.rank;
    }
    statistics.OnRequest(demand.promptTokens);
    pauses.OnRequest(aKind.maxPause);
    demand.isInteractive = isReserving && pauses.IsInteractive(aKind.maxPause);
    demand.isLong = isReserving && pauses.HasInteractive()
                      ? !demand.isInteractive
                      : statistics.IsLong(demand.promptTokens);
    demand.bounds = { aKind.maxPause, aKind.target };
    if (aPool.Decisions().memoryAdmission && this->service.cacheTokens > 0) {
      demand.memoryTokens =
        std::uint64_t{ demand.promptTokens } + aKind.answerTokens;
    }
    demand.tokensPerTarget = statistics.TokensIn(aKind.target);
    demand.tokensPerQueuePosition =
      statistics.TokensPerQueuePosition(this->service.slots)
        .value_or(DirectDemand::kDefaultTokensPerQueuePosition);
    return demand;
  }

  /// Tokens that the engine prefills, including those that it could prefill
  /// during the copying.
  std::uint32_t PrefillTokensOf(const Engine& aEngine,
                                const DirectDemand& aDemand,
                                const Placement& aPlacement) const
  {
    const std::uint32_t cached =
      this->caches.CachedPrefixTokens(aEngine.name, aDemand.steps);
    const std::uint32_t atSource =
      aPlacement.fetch ? this->caches.CachedPrefixTokens(
                           aPlacement.fetch->instance, aDemand.steps)
                       : 0;
    const std::uint32_t copied = atSource - std::min(atSource, cached);
    return aDemand.promptTokens - cached - copied + copied / kCopySpeed;
  }

  void Send(std::size_t aKind,
            Gateway& aGateway,
            const DirectDemand& aDemand,
            const DirectCandidate& aTo,
            const Placement& aPlacement)
  {
    Engine& engine = *std::ranges::find(this->engines, aTo.name, &Engine::name);
    const std::uint32_t prefillTokens =
      this->PrefillTokensOf(engine, aDemand, aPlacement);
    this->caches.OnUsed(engine.name, aDemand.steps, this->fleet.cacheTokens);
    Running running;
    running.pool = aGateway.pool.get();
    running.engine = engine.name;
    running.kind = aKind;
    running.arrived = this->now;
    running.isInteractive = aDemand.isInteractive;
    running.sharedPart = aDemand.steps.front().hash;
    running.ahead = aPlacement.prefillAhead;
    running.work = aPlacement.work;
    running.prefill = running.work.Prefill();
    const std::uint32_t longTokens =
      aDemand.isLong ? static_cast<std::uint32_t>(running.work.Prefill()) : 0;
    aGateway.pool->OnSent(aTo.name, running.work, aDemand.steps, this->now);
    aGateway.pool->OnLongPrompt(aTo.name, longTokens, this->now);
    ++engine.sent[aKind];
    aGateway.sent.push_back({ aTo.name, aDemand.steps, longTokens });
    const RequestId id{ 0, ++this->lastId };
    engine.model.Start(id,
                       prefillTokens,
                       this->kinds[aKind].answerTokens,
                       this->now,
                       static_cast<int>(aPlacement.priority));
    this->requests[this->lastId] = running;
    this->sentByKind[aKind].push_back(this->lastId);
    this->inTimeByKind[aKind].push_back(this->lastId);
    if (!engine.stepEnds) {
      engine.stepEnds = this->Step(engine);
    }
  }

  void StepEnginesUntil(TimePoint aTime)
  {
    while (true) {
      Engine* first = nullptr;
      for (Engine& engine : this->engines) {
        if (engine.stepEnds &&
            (first == nullptr || *engine.stepEnds < *first->stepEnds)) {
          first = &engine;
        }
      }
      if (first == nullptr || *first->stepEnds > aTime) {
        return;
      }
      this->now = *first->stepEnds;
      this->EndStep(*first);
    }
  }

  void EndStep(Engine& aEngine)
  {
    for (const EngineModel::Sequence& sequence : aEngine.model.Batch()) {
      if (sequence.advanced) {
        this->OnToken(aEngine, sequence);
      }
    }
    ++this->steps;
    if (this->fleet.cacheTokens > 0 &&
        this->MemoryTokensOf(aEngine) > this->fleet.cacheTokens) {
      ++this->overfullSteps;
    }
    const TimePoint next = this->Step(aEngine);
    aEngine.stepEnds = aEngine.model.IsIdle() ? std::optional<TimePoint>()
                                              : std::optional<TimePoint>(next);
  }

  /// Tokens that the engine's running requests take in its cache. Requests with
  /// the same shared part share its tokens.
  std::uint64_t MemoryTokensOf(Engine& aEngine)
  {
    std::uint64_t tokens = 0;
    absl::flat_hash_set<PrefixHash> sharedParts;
    for (const EngineModel::Sequence& sequence : aEngine.model.Batch()) {
      if (sequence.tokensLeft == 0) {
        continue;
      }
      const Running& running = this->requests.at(sequence.id.sequence);
      const RequestKind& kind = this->kinds[running.kind];
      tokens += kind.ownTokens - std::min(kind.ownTokens, sequence.prefillLeft);
      tokens += running.tokens;
      if (sharedParts.insert(running.sharedPart).second) {
        tokens += kind.sharedTokens;
      }
    }
    return tokens;
  }

  void OnToken(const Engine& aEngine, const EngineModel::Sequence& aSequence)
  {
    const std::uint64_t id = aSequence.id.sequence;
    Running& running = this->requests.at(id);
    PrefillStatistics& statistics = running.pool->PrefillOf(this->service.name);
    if (!running.hasFirstToken) {
      running.hasFirstToken = true;
      const Duration latency = Between(running.arrived, this->now);
      running.isOnTime = latency <= this->kinds[running.kind].target;
      this->Count(running, running.isOnTime ? 1 : 0);
      this->tallies[running.kind].begun +=
        running.arrived >= this->countingSince ? 1 : 0;
      running.lastEvent = this->now;
      this->ReportLoad(aEngine, *running.pool);
      running.firstEvent = this->now;
      running.activity = running.pool->ActivityOf(aEngine.name, this->now);
      if (running.pool->Decisions().rankGuard) {
        running.pool->GuardOf(this->service.name)
          .OnBegun(
            this->kinds[running.kind].rank, running.isOverdue, this->now);
      }
      statistics.OnFirstToken(
        aEngine.name, running.ahead + running.prefill, latency);
      BackendWork finishedPrefill;
      finishedPrefill.prefillTokens = running.work.prefillTokens;
      running.pool->OnDone(aEngine.name, finishedPrefill);
      running.work -= finishedPrefill;
    }
    if (++running.tokens % this->fleet.tokensPerEvent == 0) {
      this->OnEvent(running);
    }
    if (aSequence.tokensLeft == 0) {
      this->OnComplete(running);
      running.pool->OnDone(aEngine.name, running.work);
      this->requests.erase(id);
    }
  }

  /// Cancels the requests whose callers have disconnected by \p aTime.
  void DisconnectUntil(TimePoint aTime)
  {
    for (auto& [kind, ids] : this->sentByKind) {
      const Duration callerTimeout = this->kinds[kind].callerTimeout;
      while (!ids.empty()) {
        const auto found = this->requests.find(ids.front());
        if (found != this->requests.end() &&
            Between(found->second.arrived, aTime) < callerTimeout) {
          break;
        }
        if (found != this->requests.end() && !found->second.hasFirstToken) {
          this->Disconnect(found->first, found->second);
        }
        ids.pop_front();
      }
    }
  }

  /// Reports the requests that have waited for their first token for longer
  /// than twice their target by \p aTime, as GatewayRequest does.
  void ReportOverdueUntil(TimePoint aTime)
  {
    for (auto& [kind, ids] : this->inTimeByKind) {
      while (!ids.empty()) {
        const auto found = this->requests.find(ids.front());
        if (found != this->requests.end() &&
            Between(found->second.arrived, aTime) <
              2 * this->kinds[kind].target) {
          break;
        }
        if (found != this->requests.end() && !found->second.hasFirstToken &&
            found->second.pool->Decisions().rankGuard) {
          found->second.isOverdue = true;
          found->second.pool->GuardOf(this->service.name)
            .OnOverdue(this->kinds[kind].rank);
        }
        ids.pop_front();
      }
    }
  }

  void Disconnect(std::uint64_t aId, const Running& aRunning)
  {
    Engine& engine =
      *std::ranges::find(this->engines, aRunning.engine, &Engine::name);
    engine.model.Cancel({ 0, aId });
    aRunning.pool->OnDone(aRunning.engine, aRunning.work);
    if (aRunning.isOverdue) {
      aRunning.pool->GuardOf(this->service.name)
        .OnLost(this->kinds[aRunning.kind].rank, true, this->now);
    }
    this->tallies[aRunning.kind].lost +=
      aRunning.arrived >= this->countingSince ? 1 : 0;
    this->requests.erase(aId);
  }

  void Count(const Running& aRunning, int aOnTime)
  {
    if (aRunning.arrived >= this->countingSince) {
      this->tallies[aRunning.kind].onTime += aOnTime;
    }
  }

  void OnEvent(Running& aRunning)
  {
    aRunning.longestPause =
      std::max(aRunning.longestPause, Between(aRunning.lastEvent, this->now));
    aRunning.lastEvent = this->now;
    ++aRunning.events;
    if (!aRunning.isPaused &&
        aRunning.longestPause > this->kinds[aRunning.kind].maxPause) {
      aRunning.isPaused = true;
      this->tallies[aRunning.kind].paused +=
        aRunning.arrived >= this->countingSince ? 1 : 0;
    }
    if (aRunning.isOnTime &&
        aRunning.longestPause > this->kinds[aRunning.kind].maxPause) {
      aRunning.isOnTime = false;
      this->Count(aRunning, -1);
    }
  }

  /// The engine states its load in the head of an answer.
  void ReportLoad(const Engine& aEngine, BackendPool& aPool)
  {
    if (!this->fleet.reportsLoad) {
      return;
    }
    ServerLoad load;
    load.running = static_cast<std::uint32_t>(aEngine.model.Running());
    load.waiting = static_cast<std::uint32_t>(aEngine.model.Waiting());
    load.slots = this->fleet.engine.slots;
    if (this->fleet.reportsTimeFactor) {
      load.timeFactor = this->TimeFactorOf(aEngine);
    }
    aPool.Loads().OnReport(aEngine.name, load, this->now);
  }

  void OnComplete(const Running& aRunning)
  {
    const ServerActivity::Difference difference = ServerActivity::Subtract(
      aRunning.activity, aRunning.pool->ActivityOf(aRunning.engine, this->now));
    StreamSample sample;
    sample.intervals = aRunning.events;
    sample.span = Between(aRunning.firstEvent, aRunning.lastEvent);
    sample.longestPause = aRunning.longestPause;
    sample.meanRequests = difference.meanRequests;
    sample.prefilledTokens = difference.prefilledTokens;
    sample.prompts = difference.prompts;
    sample.isInteractive = aRunning.isInteractive;
    sample.ownPrefillTokens = static_cast<double>(aRunning.prefill);
    aRunning.pool->OnStream(aRunning.engine, sample, this->now);
    aRunning.pool->PrefillOf(this->service.name)
      .OnRequestTime(Between(aRunning.arrived, this->now));
    aRunning.pool->PausesOf(this->service.name)
      .OnStream(this->kinds[aRunning.kind].maxPause, aRunning.longestPause);
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  Fleet fleet;
  std::vector<Gateway> gateways;
  DirectService service{ .name = ServiceName("model"),
                         .maxConnections = 10'000,
                         .slots = 0 };
  Placer placer;
  /// Actual content of the engines' caches.
  CacheTracker caches;
  std::vector<RequestKind> kinds;
  std::vector<Tally> tallies;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::map<std::uint64_t, Running> requests;
  /// Requests sent of each kind, the oldest first.
  std::map<std::size_t, std::deque<std::uint64_t>> sentByKind;
  /// Those of them that are not known to be overdue.
  std::map<std::size_t, std::deque<std::uint64_t>> inTimeByKind;
  /// Refused callers by the time of their return.
  std::multimap<TimePoint, Call> returns;
  std::uint64_t lastId = 0;
  std::uint64_t steps = 0;
  std::uint64_t overfullSteps = 0;
  TimePoint countingSince{};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  TimePoint nextUpdate{};
  TimePoint nextDigest{};
};

} // namespace dogwoodvale::test

#endif
