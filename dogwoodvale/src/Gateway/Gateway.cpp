#include "Gateway.h"

#include <algorithm>

#include "CallerLimits.h"
#include "CellView.h"
#include "GatewayLog.h"

namespace dogwoodvale {

namespace {

constexpr Duration kMaintenancePeriod = CrashLedger::kEvaluationPeriod;
/// Reads of the list of backend servers within the time (instanceDrain) after
/// which a leaving server must get no more work: if one read fails, the next is
/// still in time.
constexpr int kReadsPerDrain = 3;
/// Share by which the read period of a gateway may be shorter than the longest.
constexpr double kReadPeriodSpread = 0.15;
/// After this many missed reads the list is fetched from other gateways.
constexpr int kMissedReads = 2;
constexpr Duration kBehindLogPeriod = seconds(1);
/// Share of the time in which a change has to be in force after which outdated
/// routes are no longer used; the rest covers how long the news was on its way.
constexpr double kOverdueShare = 0.75;
/// Checks of the routes within the time in which a change has to be in force:
/// the rest of it is for the news to reach the other gateways.
constexpr int kRoutesChecksPerApply = 2;
/// A gateway that has not been heard for so long, or for so many digests, may
/// know of backend servers that are not known here.
constexpr Duration kUnheard = milliseconds(300);
constexpr int kUnheardDigests = 3;

} // namespace

absl::StatusOr<std::unique_ptr<Gateway>>
Gateway::Create(EventLoop& aLoop,
                const DaemonSettings& aSettings,
                GatewayPorts aPorts)
{
  if (DirectChooser::Create(aSettings.gateway.chooser) == nullptr) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "unknown gateway chooser \"{}\"",
                     aSettings.gateway.chooser);
  }
  std::unique_ptr<Gateway> made(
    new Gateway(aLoop, aSettings, std::move(aPorts)));
  if (absl::Status status = made->Open(); !status.ok()) {
    return status;
  }
  return made;
}

Gateway::Gateway(EventLoop& aLoop,
                 const DaemonSettings& aSettings,
                 GatewayPorts aPorts)
  : loop(aLoop)
  , settings(aSettings)
  , ports(std::move(aPorts))
  , incarnation(DrawIncarnation())
  , random(DrawIncarnation())
  , placer(DirectChooser::Create(aSettings.gateway.chooser),
           Placer::OptionsOf(aSettings.gateway.decisions))
  , pool(
      aLoop,
      { .decisions = aSettings.gateway.decisions, .self = aSettings.instance })
  , crashes(aLoop,
            this->pool,
            *this->ports.store,
            { aSettings.gateway.decisions.quarantine,
              aSettings.gateway.quarantine,
              aSettings.instance })
  , originArchive(*this->ports.store,
                  { aSettings.instance, aSettings.peerSecret })
  , origins(
      aLoop,
      [this](const SocketAddress& aFrom, const std::string& aPath) {
        return this->peers->Fetch(aFrom, aPath);
      },
      this->originArchive,
      aSettings.gateway.instanceDrain + DirectoryCache::kPeerContactTtl)
  , answers(MemoryShares(aSettings.gateway.memoryMegabytes).answers)
  , usage(aLoop,
          *this->ports.store,
          this->ports.usage.get(),
          aSettings.instance,
          this->incarnation,
          aSettings.gateway.duties)
  , loopDelay(aLoop)
  , metrics(this->loopDelay)
  , suspensionDetector(aLoop,
                       [this](Duration aLost) { this->OnSuspended(aLost); })
  , maintenanceTimer(aLoop, [this] { this->RunMaintenance(); })
  , destroyTimer(aLoop, [this] { this->DestroyDoneRequests(); })
  , stopTimer(aLoop, [this] { this->CheckStopped(); })
{
}

Gateway::~Gateway()
{
  // Requests refer to the other members, so they are destroyed first.
  this->requests.clear();
}

std::vector<SocketAddress>
Gateway::SeedAddresses() const
{
  // All gateways of a site use the same peer port; a seed address may carry
  // another port of its machine.
  std::vector<SocketAddress> seeds = this->settings.gateway.seeds;
  for (SocketAddress& seed : seeds) {
    seed.port = this->settings.peers.port;
  }
  return seeds;
}

Duration
Gateway::InstanceReadPeriod()
{
  // Each gateway draws a period a little shorter than the longest allowed, so
  // that gateways started together do not keep reading the store at the same
  // time.
  std::uniform_real_distribution<double> draw(1.0 - kReadPeriodSpread, 1.0);
  const Duration longest =
    this->settings.gateway.instanceDrain / kReadsPerDrain;
  return Duration(static_cast<Duration::rep>(
    draw(this->random) * static_cast<double>(longest.count())));
}

absl::Status
Gateway::Open()
{
  auto exchange = PeerExchange::Create(
    this->loop,
    { this->settings.peers, this->settings.peerSecret, this->SeedAddresses() },
    *this);
  if (!exchange.ok()) {
    return exchange.status();
  }
  this->peers = *std::move(exchange);
  DirectoryCache::Options options;
  options.self = { this->settings.instance, this->settings.peers };
  options.instanceReadPeriod = this->InstanceReadPeriod();
  options.sharesReads = this->settings.gateway.decisions.sharedReads;
  options.routesCheckPeriod =
    this->settings.gateway.routesApply / kRoutesChecksPerApply;
  this->directory = std::make_unique<DirectoryCache>(
    this->loop, *this->ports.store, *this->ports.directory, options, *this);
  this->warmStart = std::make_unique<WarmStart>(
    this->settings.instance,
    *this->ports.store,
    *this->directory,
    this->pool,
    this->origins,
    WarmStart::Options{ this->settings.gateway.decisions.warmStart,
                        this->settings.peerSecret });
  const MemoryShares memory(this->settings.gateway.memoryMegabytes);
  auto operatorServer = OperatorServer::Create(
    this->loop, this->settings.operators, *this, memory.operators);
  if (!operatorServer.ok()) {
    return operatorServer.status();
  }
  this->operators = *std::move(operatorServer);
  auto forPeers = OperatorServer::Create(
    this->loop, this->settings.peers, *this, memory.operators);
  if (!forPeers.ok()) {
    return forPeers.status();
  }
  this->peerServer = *std::move(forPeers);
  auto server = CallerServer::Create(
    this->loop, this->settings.gateway.callers, this->BoundsOf({}), *this);
  if (!server.ok()) {
    return server.status();
  }
  this->callers = *std::move(server);
  this->origins.SetListReader([this] { this->directory->ReadAgain(); });
  this->directory->Start();
  this->warmStart->Start();
  this->crashes.Start();
  this->maintenanceTimer.StartRepeating(kMaintenancePeriod);
  return absl::OkStatus();
}

CallerBounds
Gateway::BoundsOf(const CallerLimits& aLimits) const
{
  return dogwoodvale::BoundsOf(
    aLimits,
    this->settings.gateway.descriptors,
    MemoryShares(this->settings.gateway.memoryMegabytes));
}

void
Gateway::ApplyCallerLimits(const CallerLimits& aLimits)
{
  const CallerBounds bounds = this->BoundsOf(aLimits);
  this->callers->SetBounds(bounds);
  const std::size_t largest =
    MemoryShares(this->settings.gateway.memoryMegabytes).LargestBody();
  if (bounds.bodyBytes > largest) {
    Log(LogLevel::Error,
        "body_limit_exceeds_memory",
        "body_bytes",
        bounds.bodyBytes,
        "largest",
        largest,
        "memory_mb",
        this->settings.gateway.memoryMegabytes);
  }
}

void
Gateway::Reload(const DaemonSettings& aSettings)
{
  this->settings.gateway = aSettings.gateway;
  const auto& routes = this->directory->Routes().Table();
  this->ApplyCallerLimits(routes == nullptr ? CallerLimits{}
                                            : routes->Limits());
  this->peers->SetSeeds(this->SeedAddresses());
  for (auto& [service, window] : this->retries) {
    window.SetSettings(
      { this->settings.gateway.retryWindow,
        this->settings.gateway.retryRatio,
        static_cast<double>(this->settings.gateway.retryExtra) });
  }
}

// Requests of callers.

void
Gateway::Refuse(CallerExchange& aExchange,
                const RequestError& aError,
                std::string_view aId)
{
  this->metrics.CountRefusal(aError);
  LogRefusal(
    aExchange.Request(), aError, aId, this->directory->Routes().Version());
  aExchange.Respond(HttpStatusOf(aError),
                    this->ports.callers->ErrorHeaders(aError),
                    ErrorBody(aError));
}

void
Gateway::OnRequest(std::unique_ptr<CallerExchange> aExchange)
{
  CallerRequestMetadata callerMetadata =
    this->ports.callers->Read(aExchange->Request());
  const std::string id = callerMetadata.attemptId;
  if (this->stopping && this->stopSchedule.IsOutOfBalancer(Now())) {
    this->Refuse(*aExchange, StoppingError(), id);
    return;
  }
  if (this->AreRoutesOverdue(Now())) {
    this->Refuse(*aExchange, OutdatedRoutesError(), id);
    return;
  }
  auto result = AdmitRequest(aExchange->Request(),
                             std::move(callerMetadata),
                             this->directory->Routes().Table(),
                             this->pool,
                             this->random);
  if (const auto* error = std::get_if<RequestError>(&result)) {
    const bool isBehind = this->catchUp.IsBehind(Now());
    this->Refuse(
      *aExchange, isBehind ? ErrorWhileOutdated(*error) : *error, id);
    return;
  }
  auto& admitted = std::get<AdmittedRequest>(result);
  const HttpRequest& http = aExchange->Request();
  admitted.subjects = SubjectsOf(admitted, http, this->settings.peerSecret);
  if (admitted.route->isResumable) {
    const auto keyOf = [&](const std::string& aAttemptId) {
      return StreamKeyOf(
        admitted.customer, aAttemptId, this->settings.peerSecret);
    };
    admitted.stream = keyOf(admitted.callerMetadata.attemptId);
    admitted.resumedStream = keyOf(admitted.callerMetadata.resumes);
    if (admitted.IsResumption()) {
      this->suspensionDetector.Check();
      this->UpdateOrigins(Now());
    } else {
      this->origins.SetListCurrent(this->IsListCurrent(Now()), Now());
    }
    if (const auto limit = admitted.callerMetadata.timeLimit) {
      this->origins.OnTimeLimit(*admitted.route, *limit);
    }
  }
  this->RetriesOf(admitted.service->name).OnRequest(Now());
  auto request = std::make_unique<GatewayRequest>(
    *this, std::move(aExchange), std::move(admitted));
  GatewayRequest& made = *request;
  this->requests.emplace(&made, std::move(request));
  made.Start();
}

RetryWindow&
Gateway::RetriesOf(const ServiceName& aService)
{
  const auto found = this->retries.find(aService);
  if (found != this->retries.end()) {
    return found->second;
  }
  const GatewaySettings& own = this->settings.gateway;
  RetryWindow& made =
    this->retries
      .emplace(aService,
               RetryWindow({ own.retryWindow,
                             own.retryRatio,
                             static_cast<double>(own.retryExtra) }))
      .first->second;
  made.SetGateways(this->GatewayCount());
  return made;
}

void
Gateway::OnSent(const InstanceName& aInstance,
                std::span<const PromptStep> aSteps,
                std::uint32_t aLongTokens)
{
  if (aSteps.empty()) {
    return;
  }
  this->routed.push_back(
    { aInstance, { aSteps.begin(), aSteps.end() }, aLongTokens });
}

void
Gateway::OnExecutionStarted(const CustomerName& aCustomer, TimePoint aStarted)
{
  this->usage.Count(aCustomer, aStarted);
}

void
Gateway::OnDone(GatewayRequest& aRequest)
{
  this->metrics.Record(aRequest);
  LogRequestEnd(aRequest, this->ListAge());
  this->destroyTimer.StartOnce(Duration(0));
}

void
Gateway::DestroyDoneRequests()
{
  std::erase_if(this->requests,
                [](const auto& aItem) { return aItem.second->IsDone(); });
}

// State of the fleet and the configuration.

Duration
Gateway::ListAge() const
{
  return this->directory->InstancesAge(Now());
}

std::size_t
Gateway::GatewayCount() const
{
  return this->listedGateways;
}

void
Gateway::OnRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  const Duration behindFor = this->catchUp.BehindFor(Now());
  if (behindFor > Duration::zero()) {
    Log(LogLevel::Info,
        "routes_caught_up",
        "version",
        aRoutes->Version(),
        "behind_ms",
        WholeMillis(behindFor),
        "loop_delay_ms",
        WholeMillis(this->loopDelay.Last()));
  }
  this->catchUp.OnInForce(aRoutes->Version());
  this->ApplyCallerLimits(aRoutes->Limits());
  this->pool.SetServices(aRoutes->Services());
}

void
Gateway::OnInstances(std::span<const DirectInstance> aInstances)
{
  this->pool.SetInstances(aInstances);
  this->origins.OnInstances(aInstances, Now());
  this->warmStart->OnInstances();
  this->crashes.OnInstances();
}

void
Gateway::OnGateways(std::span<const GatewayMember> aGateways)
{
  this->listedGateways = std::max<std::size_t>(aGateways.size(), 1);
  const CellView view =
    ViewCells(this->settings.instance, aGateways, this->cells);
  this->cells = view.cells;
  this->ownCell = view.own;
  this->cellGateways = std::max<std::size_t>(view.members.size(), 1);
  this->usage.SetGateways(aGateways, view.cells, view.own);
  this->directory->SetSharing(this->settings.gateway.decisions.sharedReads &&
                              view.cells == 1);
  this->peers->SetPeers(view.members, aGateways, this->settings.instance);
  this->crashes.SetDigestPeriod(
    PeerExchange::DigestPeriod(view.members.size()));
  std::vector<GatewayMember> others(aGateways.begin(), aGateways.end());
  std::erase_if(others, [this](const GatewayMember& aOne) {
    return aOne.name == this->settings.instance;
  });
  this->origins.SetGateways(others, view.cells, view.own);
  this->originArchive.SetCell(view.own);
  this->pool.SetGateways(this->listedGateways,
                         std::max<std::size_t>(view.members.size(), 1),
                         view.cells,
                         view.own);
  std::vector<InstanceName> names;
  for (const GatewayMember& gateway : aGateways) {
    names.push_back(gateway.name);
  }
  this->pool.Backpressure().SetGateways(names, Now());
  for (auto& [service, window] : this->retries) {
    window.SetGateways(this->GatewayCount());
  }
}

void
Gateway::OnListRead(TimePoint aBegun)
{
  const TimePoint now = Now();
  this->UpdateOrigins(now);
  this->origins.OnListRead(aBegun, now);
}

PeerDigest
Gateway::MakeDigest()
{
  PeerDigest digest;
  digest.gateway = this->settings.instance;
  digest.incarnation = this->incarnation;
  digest.sequence = ++this->digestSequence;
  digest.routes = this->directory->RoutesConfirmed(Now());
  digest.storeContact = std::chrono::duration_cast<milliseconds>(
    this->directory->StoreContact(Now()));
  digest.work = this->pool.Work().OwnLines();
  digest.routed = std::move(this->routed);
  this->routed.clear();
  this->crashes.AddToDigest(digest);
  this->pool.Backpressure().AddToDigest(digest, Now());
  this->pool.AddDecodeUpdates(digest, Now());
  digest.loads = this->pool.Loads().TakeUpdates(Now());
  this->pool.AddSharesToDigest(digest, Now());
  digest.list = this->directory->List(Now());
  digest.ranks = this->pool.RankUpdates(Now());
  this->usage.AddToDigest(digest);
  this->origins.AddToDigest(digest, Now());
  return digest;
}

void
Gateway::OnDigest(const PeerDigest& aDigest, const SocketAddress& aFrom)
{
  const TimePoint now = Now();
  Heard& heard = this->digests[aDigest.gateway];
  if (heard.incarnation == aDigest.incarnation &&
      aDigest.sequence <= heard.sequence) {
    return;
  }
  heard = { aDigest.incarnation, aDigest.sequence, now };
  this->directory->OnPeerStoreContact(aDigest.storeContact, now);
  this->pool.ApplyDigest(aDigest, now);
  this->crashes.ApplyDigest(aDigest);
  this->origins.ApplyDigest(aDigest, now);
  this->directory->OnPeerList(aDigest.list, now);
  // Gateways of other cells send a digest only occasionally; usage reporting
  // and the warm start work within a cell.
  if (CellOf(aDigest.gateway, this->cells) == this->ownCell) {
    this->usage.ApplyDigest(aDigest);
    this->warmStart->OnHeard(aDigest.gateway, now);
    this->originArchive.OnHeard(aDigest.gateway, now);
  }
  for (const RoutedPrompt& prompt : aDigest.routed) {
    this->pool.OnPrefill(prompt.instance, prompt.steps, now);
    if (prompt.longTokens > 0) {
      this->pool.OnLongPrompt(prompt.instance, prompt.longTokens, now);
    }
  }
  this->directory->OnPeerRoutes(aDigest.routes, now);
  this->catchUp.OnPeerVersion(aFrom, aDigest.routes.version, now);
  this->FetchRoutesFromPeer(now);
}

void
Gateway::OnDocument(std::string_view aPath,
                    std::string_view aDocument,
                    const SocketAddress& aFrom)
{
  if (aPath == PeerExchange::kRoutesPath) {
    const bool isTaken =
      this->directory->Routes().Apply(aDocument, aFrom.ToString());
    this->catchUp.OnAnswer(aFrom, isTaken, Now());
  } else if (aPath == PeerExchange::kInstancesPath) {
    this->directory->ApplyInstances(aDocument, aFrom.ToString());
  } else if (aPath == WarmStart::kPath) {
    this->warmStart->Apply(aDocument, aFrom.ToString());
  } else if (aPath.starts_with(UsageAccounting::kPath)) {
    this->usage.ApplyDocument(aPath, aDocument, aFrom);
  } else if (aPath.starts_with(OriginFinder::kPath)) {
    this->origins.OnDocument(aPath, aDocument, Now());
  }
}

void
Gateway::OnFetchFailed(std::string_view aPath, const SocketAddress& aFrom)
{
  if (aPath == PeerExchange::kRoutesPath) {
    this->catchUp.OnAnswer(aFrom, false, Now());
  } else if (aPath.starts_with(OriginFinder::kPath)) {
    this->origins.OnFetchFailed(aPath);
  }
}

void
Gateway::FetchRoutesFromPeer(TimePoint aNow)
{
  const std::string path(PeerExchange::kRoutesPath);
  this->catchUp.SetWatching(this->directory->Routes().IsWatching());
  const std::optional<SocketAddress> from =
    this->catchUp.Next(aNow, this->random);
  if (from && this->peers->Fetch(*from, path)) {
    this->catchUp.OnAsked();
  }
}

bool
Gateway::AreRoutesOverdue(TimePoint aNow) const
{
  const auto limit = Duration(static_cast<Duration::rep>(
    kOverdueShare *
    static_cast<double>(this->settings.gateway.routesApply.count())));
  return this->catchUp.BehindFor(aNow) >= limit &&
         !this->directory->Routes().HasUnreadable();
}

void
Gateway::LogIfBehind(TimePoint aNow)
{
  const Duration behindFor = this->catchUp.BehindFor(aNow);
  if (behindFor < kBehindLogPeriod ||
      Between(this->behindLoggedAt, aNow) < kBehindLogPeriod) {
    return;
  }
  this->behindLoggedAt = aNow;
  Log(LogLevel::Warning,
      "routes_behind",
      "version",
      this->directory->Routes().Version(),
      "newest",
      this->catchUp.Newest(aNow),
      "behind_ms",
      WholeMillis(behindFor),
      "loop_delay_ms",
      WholeMillis(this->loopDelay.Last()));
}

bool
Gateway::IsListFresh(TimePoint aNow) const
{
  return this->directory->HasInstances() && !this->directory->IsBehind(aNow) &&
         !this->directory->IsUnconfirmed() &&
         this->directory->InstancesAge(aNow) <= this->MaxListAge();
}

Duration
Gateway::MaxListAge() const
{
  return kMissedReads * this->settings.gateway.instanceDrain / kReadsPerDrain;
}

std::size_t
Gateway::HeardWithin(Duration aTime, bool aInCell, TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->digests, [&](const auto& aItem) {
      const auto& [name, heard] = aItem;
      return name != this->settings.instance &&
             Between(heard.at, aNow) <= aTime &&
             (!aInCell || CellOf(name, this->cells) == this->ownCell);
    }));
}

bool
Gateway::HearsMost(TimePoint aNow) const
{
  const Duration period = PeerExchange::DigestPeriod(this->cellGateways);
  const Duration longest = std::max(kUnheard, kUnheardDigests * period);
  return 2 * (this->HeardWithin(longest, true, aNow) + 1) > this->cellGateways;
}

void
Gateway::UpdateOrigins(TimePoint aNow)
{
  this->origins.SetHearing(
    this->HearsMost(aNow) && !this->directory->IsContested(), aNow);
  this->origins.SetListCurrent(this->IsListCurrent(aNow), aNow);
}

bool
Gateway::IsListCurrent(TimePoint aNow) const
{
  // A few gateways may be cut off from the store together. Those that count
  // must have been heard since the last report of contact with the store.
  return this->IsListFresh(aNow) ||
         (this->directory->HasInstances() && !this->directory->IsBehind(aNow) &&
          this->directory->IsStoreSilent(aNow) &&
          2 * (this->HeardWithin(DirectoryCache::kPeerContactTtl, false, aNow) +
               1) >
            this->GatewayCount());
}

void
Gateway::FetchOutdatedFromPeers(TimePoint aNow)
{
  // The store may reject this machine, or be unreachable from it, while it
  // serves the others.
  if (!this->IsListFresh(aNow)) {
    this->peers->FetchFromAny(std::string(PeerExchange::kInstancesPath),
                              this->random);
  }
  this->FetchRoutesFromPeer(aNow);
  // Before the first digest it is not known which gateways have routes; the
  // seeds may.
  if (this->directory->Routes().Table() == nullptr &&
      !this->catchUp.IsBehind(aNow)) {
    this->peers->FetchFromAny(std::string(PeerExchange::kRoutesPath),
                              this->random);
  }
  if (this->warmStart->WantsDocument(aNow)) {
    this->peers->FetchFromAny(std::string(WarmStart::kPath), this->random);
  }
}

void
Gateway::RunMaintenance()
{
  const TimePoint now = Now();
  this->pool.RunMaintenance(now);
  this->crashes.RunMaintenance();
  this->UpdateOrigins(now);
  this->origins.RunMaintenance(now);
  this->FetchOutdatedFromPeers(now);
  this->LogIfBehind(now);
  if (!this->stopping) {
    this->usage.RunMaintenance(*this->peers, this->random);
    this->warmStart->RunMaintenance(now, this->ownCell == 0);
  }
  FlushLog();
}

void
Gateway::OnSuspended(Duration aLost)
{
  Log(LogLevel::Warning, "suspended", "for_ms", WholeMillis(aLost));
  this->pool.CloseIdleConnections();
  this->pool.Backpressure().OnSuspended(Now());
  if (aLost > this->MaxListAge()) {
    this->origins.OnSuspended(Now());
  }
  this->directory->Refresh(aLost);
}

// Planned stop.

void
Gateway::BeginStop(TimePoint aOrdered)
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  const TimePoint now = Now();
  this->stopOrdered = aOrdered;
  this->stopSchedule = StopSchedule(aOrdered, this->settings.gateway.stopGrace);
  Log(LogLevel::Info,
      "draining",
      "requests",
      this->requests.size(),
      "noticed_after_ms",
      WholeMillis(Between(aOrdered, now)));
  this->callers->AnnounceClosing();
  this->usage.Stop();
  this->directory->Leave();
  this->stopTimer.StartRepeating(StopSchedule::kCheckPeriod);
}

void
Gateway::CheckStopped()
{
  const TimePoint now = Now();
  this->stopSchedule.OnCheck(now);
  if (!this->stopSchedule.IsOutOfBalancer(now)) {
    return;
  }
  // If no other gateway is left, the balancer keeps sending. A request accepted
  // late in the grace period would be cut off at its end, so connections are
  // refused instead: the caller then knows that its request was not read.
  if (this->accepting) {
    this->accepting = false;
    this->callers->StopAccepting();
    Log(LogLevel::Info,
        "accepting_ended",
        "after_ms",
        WholeMillis(Between(this->stopOrdered, now)),
        "requests",
        this->requests.size(),
        "loop_delay_ms",
        WholeMillis(this->loopDelay.Last()));
  }
  this->callers->CloseIdleConnections();
  const bool isIdle =
    this->requests.empty() && this->callers->OpenConnections() == 0;
  if (isIdle || this->drained) {
    this->EndStop(now);
  } else if (this->stopSchedule.IsDrainOver(now)) {
    // What arrived before this turn of the loop is delivered in the next one.
    this->drained = true;
    this->stopTimer.StartOnce(Duration(0));
  }
}

void
Gateway::EndStop(TimePoint aNow)
{
  std::size_t cut = 0;
  for (const auto& [request, owned] : this->requests) {
    if (!request->IsDone()) {
      ++cut;
      LogOpenRequest(LogLevel::Warning, "cut_by_stop", *request, aNow);
      request->OnStopEnds();
    }
  }
  const RequestError refusal = StoppingError();
  this->callers->RefuseIncomplete(HttpStatusOf(refusal),
                                  this->ports.callers->ErrorHeaders(refusal),
                                  ErrorBody(refusal));
  const std::size_t unsent = this->callers->UnsentBytes();
  Log(cut == 0 && unsent == 0 ? LogLevel::Info : LogLevel::Warning,
      "stopped",
      "after_ms",
      WholeMillis(Between(this->stopOrdered, aNow)),
      "requests",
      cut,
      "connections",
      this->callers->OpenConnections(),
      "unsent_bytes",
      unsent);
  this->loop.Stop();
}

} // namespace dogwoodvale
