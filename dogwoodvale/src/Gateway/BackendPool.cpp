#include "BackendPool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "PeerExchange.h"

namespace dogwoodvale {

namespace {

/// Share of failed requests at which a server is ejected, and for how long. The
/// times are short: a gateway notices the failures of a server within one or
/// two seconds, and a recovered server should get work again soon.
HealthSettings
MakeHealthSettings()
{
  HealthSettings settings;
  settings.failureThreshold = 0.3;
  settings.baseEjectionTime = seconds(2);
  settings.maxEjectionTime = seconds(10);
  return settings;
}

/// A service with fewer servers per cell is not split into cells. Servers are
/// assigned to cells by a hash of their names; from this number on a cell
/// rarely has less than two thirds of its even share.
constexpr std::size_t kMinServersPerCell = 16;

/// Services whose use one digest carries. With 32 customers each they take 6 kB
/// of the 60 kB of a digest; the others follow in the next ones.
constexpr std::size_t kSharesPerDigest = 4;
/// Share of a service's servers that must state a time factor for their speeds
/// to be compared: with fewer, most would be taken for usual ones.
constexpr double kMinStatingShare = 0.5;

/// The longest prompt prefix that other requests may share with this one, if
/// any: the last step belongs to the request alone.
std::optional<PrefixHash>
SharedPrefix(const DirectDemand& aDemand)
{
  if (aDemand.steps.size() < 2) {
    return std::nullopt;
  }
  return aDemand.steps[aDemand.steps.size() - 2].hash;
}

/// Marks the home server of the shared prefix, chosen by rendezvous hashing:
/// the candidate in service, of the kind (reserved or not) that suits the
/// request, with the highest HomeScore().
void
MarkHome(std::vector<DirectCandidate>& aCandidates, const DirectDemand& aDemand)
{
  const std::optional<PrefixHash> prefix = SharedPrefix(aDemand);
  DirectCandidate* home = nullptr;
  std::uint64_t best = 0;
  for (DirectCandidate& candidate : aCandidates) {
    if (!prefix || candidate.isReserved != aDemand.isInteractive ||
        candidate.healthState != HealthState::InService) {
      continue;
    }
    const std::uint64_t score = HomeScore(*prefix, candidate.name);
    if (home == nullptr || score > best) {
      home = &candidate;
      best = score;
    }
  }
  if (home != nullptr) {
    home->isHome = true;
  }
}

} // namespace

BackendPool::BackendPool(EventLoop& aLoop, Options aOptions)
  : loop(aLoop)
  , options(std::move(aOptions))
  , backpressure(this->options.self)
{
}

void
BackendPool::Add(const DirectInstance& aInstance)
{
  BackendClientOptions client;
  client.connectTimeout = this->options.connectTimeout;
  client.silentLinkTimeout = this->options.silentLinkTimeout;
  // The time-outs of a silent server differ by route, so each request sets its
  // own (AttemptTimeouts).
  client.idleTimeout = seconds(3600);
  auto made = BackendClient::Create(this->loop, aInstance.address, client);
  if (!made.ok()) {
    Log(LogLevel::Warning,
        "instance_unusable",
        "instance",
        aInstance.name.Value(),
        "reason",
        MessageOf(made.status()));
    return;
  }
  Member& member = this->members[aInstance.name];
  member.instance = aInstance;
  member.client = *std::move(made);
  this->health.try_emplace(aInstance.service, MakeHealthSettings())
    .first->second.Add(aInstance.name);
  if (this->options.decisions.reportedLoad) {
    this->loads.Add(aInstance.name);
  }
  Log(LogLevel::Info,
      "instance_added",
      "instance",
      aInstance.name.Value(),
      "service",
      aInstance.service.Value(),
      "address",
      aInstance.address.ToString(),
      "software",
      aInstance.softwareVersion);
}

void
BackendPool::OnOtherService(Member& aMember, const DirectInstance& aListed)
{
  const InstanceName name = aListed.name;
  const ServiceName known = aMember.instance.service;
  // An incarnation serves one service, and another writer's entry names one
  // that no configuration has. Whichever came first, the server's own holds.
  const bool isOwn = this->cacheTokens.contains(aListed.service) &&
                     !this->cacheTokens.contains(known) &&
                     this->work.Own(name).IsZero();
  Log(LogLevel::Warning,
      "instance_of_other_service",
      "instance",
      name.Value(),
      "service",
      known.Value(),
      "listed",
      aListed.service.Value(),
      "taken",
      isOwn);
  if (isOwn) {
    this->health[known].Remove(name);
    this->members.erase(name);
    this->Add(aListed);
  }
}

void
BackendPool::SetInstances(std::span<const DirectInstance> aInstances)
{
  for (auto& [name, member] : this->members) {
    member.isListed = false;
  }
  for (const DirectInstance& instance : aInstances) {
    const auto found = this->members.find(instance.name);
    if (found == this->members.end()) {
      this->Add(instance);
      continue;
    }
    Member& member = found->second;
    member.isListed = true;
    if (instance.service != member.instance.service) {
      this->OnOtherService(member, instance);
      continue;
    }
    // An incarnation that has announced that it leaves never returns, so an
    // older list must not reset the flag.
    const bool leaving = member.instance.leaving || instance.leaving;
    if (leaving && !member.instance.leaving) {
      Log(
        LogLevel::Info, "instance_leaving", "instance", instance.name.Value());
    }
    // A gateway of an older version sends lists without software versions.
    std::string software = member.instance.softwareVersion.empty()
                             ? instance.softwareVersion
                             : member.instance.softwareVersion;
    member.instance = instance;
    member.instance.leaving = leaving;
    member.instance.softwareVersion = std::move(software);
  }
  this->ListServices();
}

void
BackendPool::SetGateways(std::size_t aCount,
                         std::size_t aInCell,
                         std::size_t aCells,
                         std::size_t aCell)
{
  this->gateways = aCount;
  this->gatewaysInCell = aInCell;
  this->cells = aCells;
  this->cell = aCell;
  for (auto& [service, shared] : this->sharing) {
    shared.shares.SetGateways(aInCell);
  }
  this->unreported.SetPeers(PeerExchange::DigestPeriod(aInCell - 1),
                            aInCell - 1);
  for (auto& [service, guard] : this->guards) {
    guard.SetGateways(aCount);
  }
  this->ListServices();
}

void
BackendPool::ListServices()
{
  this->byService.clear();
  for (const auto& [name, member] : this->members) {
    ServiceServers& listed = this->byService[member.instance.service];
    listed.all.push_back(name);
    if (this->cells > 1 && CellOf(name, this->cells) == this->cell) {
      listed.inCell.push_back(name);
    }
  }
  for (auto& [service, listed] : this->byService) {
    std::ranges::sort(listed.all, {}, ReservationOrder);
    std::ranges::sort(listed.inCell, {}, ReservationOrder);
    // With few servers some cells would get one or none.
    if (listed.all.size() < kMinServersPerCell * this->cells) {
      listed.inCell.clear();
    } else {
      listed.cells = this->cells;
    }
  }
}

void
BackendPool::RunMaintenance(TimePoint aNow)
{
  for (const InstanceName& gateway : this->work.Expire(aNow)) {
    Log(LogLevel::Warning, "gateway_silent", "gateway", gateway.Value());
  }
  this->LogShortages(aNow);
  for (auto& [service, tracker] : this->health) {
    const Occupancy now = this->OccupancyOf(service);
    this->Reserve(service, now, aNow);
    const double load = now.slots == 0 ? 0.0
                                       : static_cast<double>(now.requests) /
                                           static_cast<double>(now.slots);
    for (const HealthChange& change : tracker.Evaluate(aNow, load)) {
      Log(LogLevel::Info,
          "instance_health",
          "instance",
          change.name.Value(),
          "reason",
          change.reason,
          "load",
          load);
    }
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    Member& member = it->second;
    // Kept here because `backpressure` forgets the announcement after a while,
    // whereas the server may stay listed for longer.
    member.instance.leaving =
      member.instance.leaving || this->backpressure.IsLeaving(it->first);
    if (!this->TakesWork(member)) {
      member.client->CloseIdleConnections();
    }
    if (member.isListed || member.client->OpenConnections() > 0 ||
        !this->work.Own(it->first).IsZero()) {
      this->CountRequests(it->first, aNow);
      ++it;
      continue;
    }
    Log(LogLevel::Info, "instance_removed", "instance", it->first.Value());
    this->caches.Forget(it->first);
    this->activity.Forget(it->first);
    if (const auto model = this->decode.find(member.instance.service);
        model != this->decode.end()) {
      model->second.Forget(it->first);
    }
    this->loads.Forget(it->first);
    this->backpressure.Forget(it->first);
    this->unreported.Forget(it->first);
    this->prefillByService[member.instance.service].Forget(it->first);
    this->health[member.instance.service].Remove(it->first);
    ServiceServers& listed = this->byService[member.instance.service];
    std::erase(listed.all, it->first);
    std::erase(listed.inCell, it->first);
    it = this->members.erase(it);
  }
  for (auto& [service, model] : this->decode) {
    model.RunMaintenance(aNow);
  }
}

void
BackendPool::Reserve(const ServiceName& aService,
                     const Occupancy& aOccupancy,
                     TimePoint aNow)
{
  ReservedServers& servers = this->reserved[aService];
  const std::size_t before = this->ReservedCountOf(aService);
  const std::uint64_t slots =
    aOccupancy.slots / std::max(aOccupancy.servers, 1U);
  // Gateways without a recent digest are assumed to be as busy as the others:
  // otherwise a gateway that is cut off would reserve fewer servers than the
  // rest and send long prompts to servers that they reserve for interactive
  // requests.
  const std::uint64_t interactive = aOccupancy.interactive *
                                    this->gatewaysInCell /
                                    (this->work.PeerCount() + 1);
  servers.Update(
    interactive, static_cast<std::uint32_t>(slots), aOccupancy.servers, aNow);
  this->UpdatePrediction(aService, aOccupancy, aNow);
  const std::size_t count = this->ReservedCountOf(aService);
  if (count != before) {
    Log(LogLevel::Info,
        "reserved_servers",
        "service",
        aService.Value(),
        "count",
        count,
        "before",
        before,
        "servers",
        aOccupancy.servers,
        "interactive",
        interactive,
        "peak",
        std::llround(servers.Peak()),
        "capacity",
        std::llround(this->predictions[aService].plan.Capacity()));
  }
}

std::vector<const BackendPool::Member*>
BackendPool::ServersInUse(const ServiceName& aService) const
{
  std::vector<const Member*> found;
  const auto listed = this->byService.find(aService);
  if (listed == this->byService.end()) {
    return found;
  }
  const ServiceServers& names = listed->second;
  for (const InstanceName& name :
       names.inCell.empty() ? names.all : names.inCell) {
    const Member& member = this->members.at(name);
    if (this->TakesWork(member)) {
      found.push_back(&member);
    }
  }
  return found;
}

BackendPool::PredictionMode
BackendPool::PredictionModeOf(const ServiceName& aService,
                              std::span<const Member* const> aServers,
                              TimePoint aNow) const
{
  if (!this->options.decisions.predictedTimes) {
    return PredictionMode::None;
  }
  const auto stating =
    std::ranges::count_if(aServers, [&](const Member* aMember) {
      return this->ReportedFactorOf(aMember->instance.name, aNow).has_value();
    });
  if (stating == 0 ||
      static_cast<double>(stating) <
        kMinStatingShare * static_cast<double>(aServers.size())) {
    return PredictionMode::None;
  }
  const DecodeModel* model = this->DecodeOf(aService);
  return model != nullptr && model->IsLearned() ? PredictionMode::Times
                                                : PredictionMode::Speeds;
}

double
BackendPool::MeanTimeFactorOf(const Member& aMember, TimePoint aNow) const
{
  const InstanceName& name = aMember.instance.name;
  const std::optional<double> reported = this->ReportedFactorOf(name, aNow);
  const DecodeModel* model = this->DecodeOf(aMember.instance.service);
  return model == nullptr ? reported.value_or(1.0)
                          : model->TimeFactorOf(name, reported);
}

double
BackendPool::PresentTimeFactorOf(const Member& aMember, TimePoint aNow) const
{
  const InstanceName& name = aMember.instance.name;
  const std::optional<double> present =
    this->loads.PresentTimeFactor(name, aNow);
  const DecodeModel* model = this->DecodeOf(aMember.instance.service);
  return present && model != nullptr
           ? model->TimeFactorOf(name, present)
           : present.value_or(this->MeanTimeFactorOf(aMember, aNow));
}

void
BackendPool::UpdatePrediction(const ServiceName& aService,
                              const Occupancy& aOccupancy,
                              TimePoint aNow)
{
  const std::vector<const Member*> servers = this->ServersInUse(aService);
  Prediction& prediction = this->predictions[aService];
  prediction.mode = this->PredictionModeOf(aService, servers, aNow);
  if (prediction.mode == PredictionMode::None) {
    prediction.plan = {};
    return;
  }
  const HealthTracker& tracker = this->health.at(aService);
  const Duration bound = this->pauses[aService].Tightest();
  double factorSum = 0;
  std::vector<PlannedServer> planned;
  for (const Member* member : servers) {
    const InstanceName& name = member->instance.name;
    PlannedServer server;
    server.name = name;
    server.timeFactor = this->MeanTimeFactorOf(*member, aNow);
    factorSum += server.timeFactor;
    // Requests beyond the slots would wait for their first token.
    server.capacity = std::max<std::uint32_t>(member->instance.slots, 1);
    if (prediction.mode == PredictionMode::Times) {
      const std::optional<double> within =
        this->DecodeOf(aService)->RequestsWithin(bound, server.timeFactor);
      server.capacity =
        std::min(server.capacity, within.value_or(server.capacity));
    }
    if (tracker.HealthStateOf(name) == HealthState::InService) {
      planned.push_back(std::move(server));
    }
  }
  prediction.meanTimeFactor = factorSum / static_cast<double>(servers.size());
  const ReservedServers& reservation = this->reserved[aService];
  const std::uint64_t interactive =
    std::min(aOccupancy.interactive, aOccupancy.requests);
  prediction.plan.Update(
    planned,
    { reservation.Peak(), aOccupancy.requests - interactive },
    prediction.mode == PredictionMode::Times
      ? std::nullopt
      : std::optional(reservation.Count()),
    aNow);
}

std::optional<PredictedTimes>
BackendPool::PredictFor(const DirectCandidate& aCandidate,
                        const DirectDemand& aDemand,
                        const Member& aMember,
                        TimePoint aNow) const
{
  const ServiceName& service = aMember.instance.service;
  const auto found = this->predictions.find(service);
  if (found == this->predictions.end() ||
      found->second.mode != PredictionMode::Times) {
    return std::nullopt;
  }
  const ServerActivity::Rates rates =
    this->activity.RatesOf(aCandidate.name, aNow);
  PredictionInput input;
  input.load.timeFactor = this->MeanTimeFactorOf(aMember, aNow);
  input.load.requests =
    this->loads.RequestsAt(aCandidate.name, aCandidate.work.requests, aNow);
  input.load.tokensPerSecond = rates.tokensPerSecond;
  input.load.promptsPerSecond = rates.promptsPerSecond;
  input.serviceTimeFactor = found->second.meanTimeFactor;
  input.presentTimeFactor = this->PresentTimeFactorOf(aMember, aNow);
  input.prefillTokens = aDemand.promptTokens -
                        std::min(aDemand.promptTokens, aCandidate.cachedTokens);
  input.prefillAhead =
    static_cast<double>(aCandidate.work.PrefillUpTo(aDemand.rank));
  input.queueTokens =
    aDemand.tokensPerQueuePosition * QueuePositionOf(aCandidate, aDemand);
  const auto prefill = this->prefillByService.find(service);
  if (prefill != this->prefillByService.end()) {
    input.tokensPerMicro = prefill->second.TokensIn(Duration(1));
  }
  return PredictTimes(*this->DecodeOf(service), input);
}

void
BackendPool::CloseIdleConnections()
{
  for (auto& [name, member] : this->members) {
    member.client->CloseIdleConnections();
  }
}

bool
BackendPool::TakesWork(const Member& aMember) const
{
  return aMember.isListed && !aMember.instance.leaving &&
         !this->backpressure.IsLeaving(aMember.instance.name);
}

bool
BackendPool::HasConnectionCapacity(const Member& aMember,
                                   const DirectService& aService,
                                   std::uint32_t aSlots,
                                   std::size_t aSharingGateways) const
{
  // Each gateway has an equal share of the server's connections. Callers are
  // spread unevenly over the gateways, so one may exceed its share while the
  // requests that all gateways report leave room.
  const std::size_t busy =
    aMember.client->OpenConnections() - aMember.client->IdleConnections();
  const std::size_t share =
    aService.maxConnections / std::max<std::size_t>(aSharingGateways, 1);
  const std::uint32_t all = this->work.Total(aMember.instance.name).requests;
  const std::uint32_t reserve = std::max<std::uint32_t>(aSlots / 2, 1);
  return busy < std::max<std::size_t>(share, 1) ||
         all + reserve < aService.maxConnections;
}

std::vector<DirectCandidate>
BackendPool::Candidates(const DirectService& aService,
                        const DirectDemand& aDemand,
                        std::span<const InstanceName> aExcluded,
                        TimePoint aNow)
{
  const auto listed = this->byService.find(aService.name);
  if (listed == this->byService.end()) {
    return {};
  }
  auto found = this->CandidatesAmong(listed->second.inCell,
                                     aService,
                                     aDemand,
                                     aExcluded,
                                     this->gatewaysInCell,
                                     aNow);
  // A cell may lose all its servers at once; servers of other cells may still
  // have room.
  if (found.empty()) {
    found = this->CandidatesAmong(
      listed->second.all, aService, aDemand, aExcluded, this->gateways, aNow);
  }
  if (!this->AdmitsRank(aService.name, aDemand.rank, found, aNow)) {
    found.clear();
  }
  return found;
}

bool
BackendPool::AdmitsRank(const ServiceName& aService,
                        std::uint32_t aRank,
                        std::span<const DirectCandidate> aCandidates,
                        TimePoint aNow)
{
  ServerRates& rates = this->backpressure.Rates();
  // Ranks compete only if every candidate limits its rate. LimitedCount() makes
  // the common case cheap, in which no server does.
  if (rates.LimitedCount() == 0 ||
      std::ranges::any_of(aCandidates, [&](const DirectCandidate& aOne) {
        return !rates.IsLimited(aOne.name);
      })) {
    return true;
  }
  ServerRates::Allowance sum;
  for (const DirectCandidate& candidate : aCandidates) {
    const ServerRates::Allowance room = rates.AllowanceOf(
      candidate.name, this->CellsOf(this->members.at(candidate.name)), aNow);
    sum.now += room.now;
    sum.burst += room.burst;
  }
  return this->reserves[aService].Admits(aRank, sum.now, sum.burst, aNow);
}

bool
BackendPool::MayUse(const InstanceName& aName) const
{
  const auto found = this->members.find(aName);
  if (found == this->members.end()) {
    return false;
  }
  const std::size_t split = this->CellsOf(found->second);
  return split == 1 || CellOf(aName, split) == this->cell;
}

std::size_t
BackendPool::CellsOf(const Member& aMember) const
{
  const auto listed = this->byService.find(aMember.instance.service);
  return listed == this->byService.end() ? 1 : listed->second.cells;
}

std::vector<DirectCandidate>
BackendPool::CandidatesAmong(std::span<const InstanceName> aNames,
                             const DirectService& aService,
                             const DirectDemand& aDemand,
                             std::span<const InstanceName> aExcluded,
                             std::size_t aSharingGateways,
                             TimePoint aNow)
{
  std::vector<DirectCandidate> found;
  const auto tracker = this->health.find(aService.name);
  const auto prefill = this->prefillByService.find(aService.name);
  const auto reservation = this->reserved.find(aService.name);
  std::size_t reservedLeft =
    reservation == this->reserved.end() ? 0 : reservation->second.Count();
  const auto prediction = this->predictions.find(aService.name);
  const bool isPlanned = prediction != this->predictions.end() &&
                         prediction->second.mode != PredictionMode::None;
  for (const InstanceName& name : aNames) {
    const Member& member = this->members.at(name);
    const std::uint32_t slots =
      member.instance.slots > 0 ? member.instance.slots : aService.slots;
    if (!this->TakesWork(member)) {
      continue;
    }
    const HealthState healthState = tracker->second.HealthStateOf(name);
    const bool isReserved =
      (isPlanned ? prediction->second.plan.IsReserved(name)
                 : reservedLeft > 0) &&
      healthState == HealthState::InService;
    reservedLeft -= isReserved && !isPlanned ? 1 : 0;
    if (!aDemand.AllowsSoftware(member.instance.softwareVersion) ||
        std::ranges::find(aExcluded, name) != aExcluded.end() ||
        !this->HasConnectionCapacity(
          member, aService, slots, aSharingGateways) ||
        !this->backpressure.MaySend(name, this->CellsOf(member), aNow)) {
      continue;
    }
    DirectCandidate candidate;
    candidate.name = name;
    candidate.dataCentre = member.instance.dataCentre;
    candidate.softwareVersion = member.instance.softwareVersion;
    candidate.work = this->work.Total(name);
    candidate.slots = slots;
    candidate.cacheTokens = aService.cacheTokens;
    candidate.healthState = healthState;
    candidate.isReserved = isReserved;
    candidate.cachedTokens =
      this->caches.CachedPrefixTokens(name, aDemand.steps);
    if (prefill != this->prefillByService.end()) {
      candidate.recentLongTokens = prefill->second.RecentLongTokens(name, aNow);
    }
    candidate.reportedRequests = this->loads.ReportedRequests(name, aNow);
    candidate.timeFactor = this->loads.MeanTimeFactor(name, aNow).value_or(1.0);
    candidate.presentTimeFactor = this->loads.PresentTimeFactor(name, aNow);
    candidate.predicted = this->PredictFor(candidate, aDemand, member, aNow);
    found.push_back(std::move(candidate));
  }
  if (this->options.decisions.homeServers) {
    MarkHome(found, aDemand);
  }
  if (this->options.decisions.rankGuard && !aDemand.isLong &&
      this->GuardOf(aService.name).IsOverdue(aDemand.serviceRank, aNow)) {
    for (DirectCandidate& candidate : found) {
      this->unreported.AddTo(candidate, aNow);
    }
  }
  return found;
}

void
BackendPool::OnLongPrompt(const InstanceName& aInstance,
                          std::uint32_t aTokens,
                          TimePoint aNow)
{
  const auto found = this->members.find(aInstance);
  if (found != this->members.end()) {
    this->prefillByService[found->second.instance.service].OnLongPrompt(
      aInstance, aTokens, aNow);
  }
}

BackendClient*
BackendPool::Acquire(const InstanceName& aInstance,
                     const DirectDemand& aDemand,
                     TimePoint aNow)
{
  const auto found = this->members.find(aInstance);
  if (found == this->members.end()) {
    return nullptr;
  }
  const Member& member = found->second;
  const std::size_t split = this->CellsOf(member);
  if (!this->TakesWork(member) ||
      !aDemand.AllowsSoftware(member.instance.softwareVersion) ||
      !this->backpressure.MaySend(aInstance, split, aNow)) {
    return nullptr;
  }
  if (this->backpressure.Rates().IsLimited(aInstance)) {
    this->reserves[member.instance.service].OnSent(aDemand.rank);
  }
  this->backpressure.OnSent(aInstance, split, aNow);
  this->loads.OnSent(aInstance, aNow);
  return member.client.get();
}

bool
BackendPool::Probe(const InstanceName& aInstance,
                   std::function<void(ProbeResult)> aHandler)
{
  const auto found = this->members.find(aInstance);
  if (found == this->members.end()) {
    return false;
  }
  found->second.client->Probe(std::move(aHandler));
  return true;
}

Duration
BackendPool::UntilFree(const ServiceName& aService, TimePoint aNow)
{
  const auto listed = this->byService.find(aService);
  if (listed == this->byService.end()) {
    return Duration::zero();
  }
  std::optional<Duration> shortest;
  for (const InstanceName& name : listed->second.all) {
    if (this->TakesWork(this->members.at(name))) {
      const Duration wait =
        this->backpressure.UntilFree(name, listed->second.cells, aNow);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest.value_or(Duration::zero());
}

RankGuard&
BackendPool::GuardOf(const ServiceName& aService)
{
  const auto [found, isNew] = this->guards.try_emplace(aService);
  if (isNew) {
    found->second.SetGateways(this->gateways);
  }
  return found->second;
}

void
BackendPool::Spread(const ServiceName& aService,
                    const DirectDemand& aDemand,
                    std::vector<DirectCandidate>& aCandidates,
                    std::mt19937_64& aRandom,
                    TimePoint aNow)
{
  // A gateway alone knows all that is sent.
  if (this->options.decisions.rankGuard && this->gatewaysInCell > 1 &&
      !aDemand.isLong &&
      this->GuardOf(aService).IsOverdue(aDemand.serviceRank, aNow)) {
    SpreadCandidates(aCandidates, aRandom);
  }
}

std::vector<RankUpdate>
BackendPool::RankUpdates(TimePoint aNow) const
{
  std::vector<RankUpdate> updates;
  for (const auto& [service, guard] : this->guards) {
    const std::vector<RankUpdate> own = guard.Updates(service, aNow);
    updates.insert(updates.end(), own.begin(), own.end());
  }
  return updates;
}

void
BackendPool::OnRankUpdates(const InstanceName& aGateway,
                           std::span<const RankUpdate> aUpdates,
                           TimePoint aNow)
{
  for (const auto& [service, listed] : this->byService) {
    std::vector<RankUpdate> its;
    for (const RankUpdate& update : aUpdates) {
      if (update.service == service) {
        its.push_back(update);
      }
    }
    this->GuardOf(service).OnPeer(aGateway, its, aNow);
  }
}

Duration
BackendPool::DrainTimeOf(const ServiceName& aService, TimePoint aNow)
{
  double waiting = 0;
  const auto listed = this->byService.find(aService);
  if (listed != this->byService.end()) {
    for (const InstanceName& name : listed->second.all) {
      const std::uint32_t slots = this->members.at(name).instance.slots;
      const std::uint32_t requests = this->work.Total(name).requests;
      waiting += requests - std::min(requests, slots);
    }
  }
  return DrainTime(waiting, this->GuardOf(aService).BegunPerSecond(aNow));
}

std::optional<Duration>
BackendPool::GuardRefusal(const ServiceName& aService,
                          const DirectDemand& aDemand,
                          std::mt19937_64& aRandom,
                          TimePoint aNow)
{
  if (!this->options.decisions.rankGuard ||
      this->GuardOf(aService).Admits(
        aDemand.serviceRank, aDemand.promptTokens, aRandom, aNow)) {
    return std::nullopt;
  }
  return this->DrainTimeOf(aService, aNow);
}

std::optional<Duration>
BackendPool::QueueRefusal(const DirectService& aService,
                          const DirectDemand& aDemand,
                          const InstanceName& aServer,
                          Duration aPatience,
                          TimePoint aNow)
{
  const auto listed = this->byService.find(aService.name);
  if (!this->options.decisions.rankGuard || aDemand.isLong ||
      listed == this->byService.end()) {
    return std::nullopt;
  }
  RankGuard& guard = this->GuardOf(aService.name);
  if (!guard.IsOverdue(aDemand.serviceRank, aNow)) {
    return std::nullopt;
  }
  DirectCandidate server;
  server.work = this->work.Total(aServer);
  const std::uint32_t slots = this->members.at(aServer).instance.slots;
  server.slots = slots > 0 ? slots : aService.slots;
  const double perSecond =
    guard.BegunPerSecond(aNow) / static_cast<double>(listed->second.all.size());
  if (perSecond <= 0 ||
      DrainTime(QueuePositionOf(server, aDemand), perSecond) <= aPatience) {
    return std::nullopt;
  }
  return this->DrainTimeOf(aService.name, aNow);
}

std::size_t
BackendPool::OverdueRanks(TimePoint aNow)
{
  std::size_t count = 0;
  for (auto& [service, guard] : this->guards) {
    count += guard.OverdueRanks(aNow);
  }
  return count;
}

std::uint64_t
BackendPool::RefusedForRanks() const
{
  std::uint64_t count = 0;
  for (const auto& [service, guard] : this->guards) {
    count += guard.Refused();
  }
  return count;
}

std::optional<SocketAddress>
BackendPool::AddressOf(const InstanceName& aInstance) const
{
  const auto found = this->members.find(aInstance);
  return found == this->members.end()
           ? std::nullopt
           : std::optional(found->second.instance.address);
}

std::size_t
BackendPool::ReservedCount() const
{
  std::size_t sum = 0;
  for (const auto& [service, servers] : this->reserved) {
    sum += this->ReservedCountOf(service);
  }
  return sum;
}

std::size_t
BackendPool::ReservedCountOf(const ServiceName& aService) const
{
  const auto prediction = this->predictions.find(aService);
  if (prediction != this->predictions.end() &&
      prediction->second.mode != PredictionMode::None) {
    return prediction->second.plan.Count();
  }
  const auto servers = this->reserved.find(aService);
  return servers == this->reserved.end() ? 0 : servers->second.Count();
}

bool
BackendPool::IsListed(const InstanceName& aInstance) const
{
  const auto found = this->members.find(aInstance);
  return found != this->members.end() && found->second.isListed;
}

bool
BackendPool::IsLeaving(const InstanceName& aInstance) const
{
  const auto found = this->members.find(aInstance);
  return found == this->members.end() || !this->TakesWork(found->second);
}

InstanceName
BackendPool::ServerOf(const InstanceName& aInstance) const
{
  const auto found = this->members.find(aInstance);
  return found == this->members.end() ? InstanceName()
                                      : found->second.instance.server;
}

BackendPool::Occupancy
BackendPool::OccupancyOf(const ServiceName& aService) const
{
  Occupancy sum;
  const auto listed = this->byService.find(aService);
  if (listed == this->byService.end()) {
    return sum;
  }
  const ServiceServers& names = listed->second;
  for (const InstanceName& name :
       names.inCell.empty() ? names.all : names.inCell) {
    const Member& member = this->members.at(name);
    if (this->TakesWork(member)) {
      ++sum.servers;
      sum.slots += member.instance.slots;
      const BackendWork known = this->work.Total(name);
      sum.requests += known.requests;
      sum.interactive += known.interactive;
    }
  }
  return sum;
}

void
BackendPool::OnSent(const InstanceName& aInstance,
                    const BackendWork& aWork,
                    std::span<const PromptStep> aSteps,
                    TimePoint aNow)
{
  this->work.AddOwn(aInstance, aWork);
  this->unreported.OnSent(aInstance, aNow);
  this->OnPrefill(aInstance, aSteps, aNow);
}

void
BackendPool::SetServices(std::span<const DirectService> aServices)
{
  this->cacheTokens.clear();
  for (const DirectService& service : aServices) {
    this->cacheTokens[service.name] = service.cacheTokens;
  }
}

void
BackendPool::OnPrefill(const InstanceName& aInstance,
                       std::span<const PromptStep> aSteps,
                       TimePoint aNow)
{
  // Other gateways may report servers that this gateway doesn't have; their
  // entries would never be removed.
  const auto member = this->members.find(aInstance);
  if (member == this->members.end() || aSteps.empty()) {
    return;
  }
  if (this->options.decisions.predictedTimes) {
    double tokens = 0;
    for (const PromptStep& step : aSteps) {
      tokens += step.tokens;
    }
    tokens -= this->caches.CachedPrefixTokens(aInstance, aSteps);
    this->activity.OnPrefill(aInstance, std::max(tokens, 0.0), aNow);
    this->CountRequests(aInstance, aNow);
  }
  this->caches.OnUsed(
    aInstance, aSteps, this->CacheCapacityOf(member->second.instance.service));
}

void
BackendPool::OnDone(const InstanceName& aInstance, const BackendWork& aWork)
{
  this->work.RemoveOwn(aInstance, aWork);
}

std::vector<ServiceEstimates>
BackendPool::Estimates(TimePoint aNow) const
{
  std::vector<ServiceEstimates> estimates;
  for (const auto& [service, prefill] : this->prefillByService) {
    ServiceEstimates one{ service, prefill.Estimates(), 0, {} };
    const auto servers = this->reserved.find(service);
    if (servers != this->reserved.end()) {
      one.interactivePeak = servers->second.Peak();
    }
    if (const DecodeModel* model = this->DecodeOf(service)) {
      one.decode = model->Sums(aNow);
    }
    one.decode.service = service;
    estimates.push_back(std::move(one));
  }
  return estimates;
}

void
BackendPool::Seed(std::span<const ServiceEstimates> aEstimates, TimePoint aNow)
{
  for (const ServiceEstimates& one : aEstimates) {
    this->prefillByService[one.service].Seed(one.reading);
    this->reserved[one.service].Seed(one.interactivePeak, aNow);
    if (this->options.decisions.predictedTimes && one.decode.weight > 0) {
      this->decode[one.service].Seed(one.decode, aNow);
    }
  }
}

bool
BackendPool::SeedCache(const InstanceName& aInstance,
                       std::span<const PromptStep> aSteps)
{
  const auto member = this->members.find(aInstance);
  if (member == this->members.end()) {
    return false;
  }
  this->caches.Seed(
    aInstance, aSteps, this->CacheCapacityOf(member->second.instance.service));
  return true;
}

std::uint64_t
BackendPool::CacheCapacityOf(const ServiceName& aService) const
{
  const auto room = this->cacheTokens.find(aService);
  return room == this->cacheTokens.end() ? 0 : room->second;
}

void
BackendPool::CountRequests(const InstanceName& aInstance, TimePoint aNow)
{
  if (this->options.decisions.predictedTimes) {
    this->activity.SetRequests(
      aInstance, this->work.Total(aInstance).requests, aNow);
  }
}

ServerActivity::Snapshot
BackendPool::ActivityOf(const InstanceName& aInstance, TimePoint aNow)
{
  if (this->members.contains(aInstance)) {
    this->CountRequests(aInstance, aNow);
  }
  return this->activity.Of(aInstance, aNow);
}

std::optional<double>
BackendPool::ReportedFactorOf(const InstanceName& aInstance,
                              TimePoint aNow) const
{
  return this->loads.MeanTimeFactor(aInstance, aNow);
}

void
BackendPool::OnStream(const InstanceName& aInstance,
                      StreamSample aSample,
                      TimePoint aNow)
{
  const auto found = this->members.find(aInstance);
  if (!this->options.decisions.predictedTimes || found == this->members.end()) {
    return;
  }
  aSample.reportedFactor = this->ReportedFactorOf(aInstance, aNow).value_or(1);
  this->decode[found->second.instance.service].OnStream(
    aInstance, aSample, aNow);
}

const DecodeModel*
BackendPool::DecodeOf(const ServiceName& aService) const
{
  const auto found = this->decode.find(aService);
  return found == this->decode.end() ? nullptr : &found->second;
}

std::optional<Duration>
BackendPool::ExpectedPause(const InstanceName& aInstance, TimePoint aNow) const
{
  const auto found = this->members.find(aInstance);
  const DecodeModel* model = found == this->members.end()
                               ? nullptr
                               : this->DecodeOf(found->second.instance.service);
  if (model == nullptr || !model->IsLearned()) {
    return std::nullopt;
  }
  const ServerActivity::Rates rates = this->activity.RatesOf(aInstance, aNow);
  DecodeLoad load;
  load.timeFactor =
    model->TimeFactorOf(aInstance, this->ReportedFactorOf(aInstance, aNow));
  load.requests = this->work.Total(aInstance).requests + 1.0;
  load.tokensPerSecond = rates.tokensPerSecond;
  load.promptsPerSecond = rates.promptsPerSecond;
  return model->MeanPause(load);
}

void
BackendPool::AddDecodeUpdates(PeerDigest& aDigest, TimePoint aNow)
{
  std::size_t residuals = 0;
  for (auto& [service, model] : this->decode) {
    // The models that are left out are still due for the next digest, so that
    // one digest never carries the residuals of many services.
    if (residuals >= DecodeModel::kMaxResidualsPerUpdate) {
      return;
    }
    if (std::optional<DecodeUpdate> update = model.TakeUpdate(aNow)) {
      update->service = service;
      residuals += update->residuals.size();
      aDigest.decode.push_back(*std::move(update));
    }
  }
}

std::optional<double>
BackendPool::PauseError() const
{
  std::optional<double> worst;
  for (const auto& [service, model] : this->decode) {
    if (const std::optional<double> error = model.MedianError()) {
      worst = std::max(worst.value_or(0), *error);
    }
  }
  return worst;
}

HealthTracker*
BackendPool::HealthOf(const InstanceName& aInstance)
{
  const auto found = this->members.find(aInstance);
  if (found == this->members.end()) {
    return nullptr;
  }
  const auto tracker = this->health.find(found->second.instance.service);
  return tracker == this->health.end() ? nullptr : &tracker->second;
}

void
BackendPool::OnNotice(const InstanceName& aInstance,
                      const BackpressureNotice& aNotice,
                      TimePoint aNow)
{
  if (this->members.contains(aInstance)) {
    this->backpressure.OnNotice(aInstance, aNotice, aNow);
  }
}

void
BackendPool::OnStatedLoad(const InstanceName& aInstance,
                          const BackendAnswer& aHead,
                          TimePoint aNow)
{
  if (!this->options.decisions.reportedLoad) {
    return;
  }
  if (aHead.isLoadMalformed) {
    this->loads.OnMalformed();
  } else if (aHead.load && aHead.wrongInstance) {
    this->loads.OnWrongInstance();
  } else if (aHead.load) {
    this->loads.OnReport(aInstance, *aHead.load, aNow);
  }
}

void
BackendPool::ApplyDigest(const PeerDigest& aDigest, TimePoint aNow)
{
  this->work.SetPeer(aDigest.gateway, aDigest.work, aNow);
  for (const DecodeUpdate& update : aDigest.decode) {
    // Models are kept only for services that this gateway has.
    if (this->options.decisions.predictedTimes &&
        this->byService.contains(update.service)) {
      this->decode[update.service].OnPeerUpdate(
        aDigest.gateway, aDigest.incarnation, aDigest.sequence, update, aNow);
    }
  }
  if (this->options.decisions.reportedLoad) {
    this->loads.OnPeerReports(aDigest.loads, aNow);
  }
  if (this->options.decisions.rankGuard) {
    this->OnRankUpdates(aDigest.gateway, aDigest.ranks, aNow);
  }
  this->backpressure.ApplyDigest(
    aDigest,
    [this](const InstanceName& aName) { return this->MayUse(aName); },
    aNow);
  this->ApplyShares(aDigest, aNow);
}

BackendPool::Sharing*
BackendPool::SharingOf(const ServiceName& aService)
{
  if (!this->options.decisions.customerShares) {
    return nullptr;
  }
  const auto [found, isNew] = this->sharing.try_emplace(aService);
  if (isNew) {
    found->second.shares.SetGateways(this->gatewaysInCell);
  }
  return &found->second;
}

void
BackendPool::ApplyShares(const PeerDigest& aDigest, TimePoint aNow)
{
  // Digests of other cells come too rarely, and their callers use other servers
  // unless the service is not split.
  if (CellOf(aDigest.gateway, this->cells) != this->cell) {
    return;
  }
  for (const ShareUpdate& update : aDigest.shares) {
    // Services that this gateway does not have would never be removed.
    Sharing* shared = this->byService.contains(update.service)
                        ? this->SharingOf(update.service)
                        : nullptr;
    if (shared != nullptr) {
      shared->shares.OnPeerUpdate(aDigest.gateway, update, aNow);
    }
  }
}

void
BackendPool::AddSharesToDigest(PeerDigest& aDigest, TimePoint aNow)
{
  // Begins after the last service reported, so that each gets its turn.
  auto next = this->sharing.upper_bound(this->lastReported);
  for (std::size_t i = 0;
       i < this->sharing.size() && aDigest.shares.size() < kSharesPerDigest;
       ++i, ++next) {
    if (next == this->sharing.end()) {
      next = this->sharing.begin();
    }
    if (auto update = next->second.shares.TakeUpdate(next->first, aNow)) {
      this->lastReported = next->first;
      aDigest.shares.push_back(*std::move(update));
    }
  }
}

std::size_t
BackendPool::ShortCount(TimePoint aNow)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->sharing, [aNow](auto& aItem) {
      return aItem.second.shortage.IsShort(aNow);
    }));
}

void
BackendPool::LogShortages(TimePoint aNow)
{
  for (auto& [service, shared] : this->sharing) {
    const bool isShort = shared.shortage.IsShort(aNow);
    if (std::exchange(shared.wasShort, isShort) != isShort) {
      Log(LogLevel::Info,
          "capacity_shortage",
          "service",
          service.Value(),
          "short",
          isShort);
    }
  }
}

void
BackendPool::OnWrongInstance(const InstanceName& aInstance)
{
  const auto found = this->members.find(aInstance);
  if (found != this->members.end() && !found->second.instance.leaving) {
    found->second.instance.leaving = true;
    Log(LogLevel::Warning, "instance_replaced", "instance", aInstance.Value());
  }
}

} // namespace dogwoodvale
