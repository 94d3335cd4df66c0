#include "Gateway.h"

#include <algorithm>

#include <json/json.h>

#include "CallerLimits.h"
#include "CellView.h"
#include "GatewayLog.h"

namespace dogwoodvale {

namespace {

constexpr Duration kTendPeriod = CrashLedger::kJudgePeriod;
constexpr Duration kStopCheckPeriod = milliseconds(20);
/// The list of backend servers is read this many times in the span within which
/// a leaving server must get no more work: one read may fail and the next still
/// be in time.
constexpr int kReadsPerDrain = 3;
/// Part of that time by which the pace of gateways differs.
constexpr double kReadPeriodSpread = 0.15;
/// After this many reads that did not come, other gateways are asked.
constexpr int kMissedReads = 2;
constexpr int kHttpOk = 200;
constexpr int kHttpForbidden = 403;

} // namespace

absl::StatusOr<std::unique_ptr<Gateway>>
Gateway::Create(EventLoop& aLoop,
                const DaemonSettings& aSettings,
                GatewayPorts aPorts)
{
  if (DirectChooser::Create(aSettings.gateway.chooser) == nullptr) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is no chooser of a gateway",
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
  , pool(aLoop, { .decisions = aSettings.gateway.decisions })
  , crashes(
      aLoop,
      this->pool,
      *this->ports.store,
      { aSettings.gateway.decisions.quarantine, aSettings.gateway.quarantine })
  , suspensions(aLoop, [this](Duration aLost) { this->OnSuspended(aLost); })
  , tendTimer(aLoop, [this] { this->Tend(); })
  , sweepTimer(aLoop, [this] { this->Sweep(); })
  , stopTimer(aLoop, [this] { this->CheckStopped(); })
{
}

Gateway::~Gateway()
{
  // Requests use what else is here; they go first.
  this->requests.clear();
}

std::vector<SocketAddress>
Gateway::SeedAddresses() const
{
  // All gateways of a site talk on the same port; a seed may name another of
  // that machine's.
  std::vector<SocketAddress> seeds = this->settings.gateway.seeds;
  for (SocketAddress& seed : seeds) {
    seed.port = this->settings.peers.port;
  }
  return seeds;
}

Duration
Gateway::InstanceReadPeriod()
{
  // Each gateway has a period of its own, a little shorter than what it must
  // be: those that started together would read together for ever.
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
  DirectoryKeeper::Options options;
  options.self = { this->settings.instance, this->settings.peers };
  options.instanceReadPeriod = this->InstanceReadPeriod();
  this->directory = std::make_unique<DirectoryKeeper>(
    this->loop, *this->ports.store, *this->ports.directory, options, *this);
  auto operatorServer =
    OperatorServer::Create(this->loop, this->settings.operators, *this);
  if (!operatorServer.ok()) {
    return operatorServer.status();
  }
  this->operators = *std::move(operatorServer);
  auto forPeers =
    OperatorServer::Create(this->loop, this->settings.peers, *this);
  if (!forPeers.ok()) {
    return forPeers.status();
  }
  this->peerServer = *std::move(forPeers);
  auto server =
    CallerServer::Create(this->loop,
                         this->settings.gateway.callers,
                         BoundsOf({}, this->settings.gateway.descriptors),
                         *this);
  if (!server.ok()) {
    return server.status();
  }
  this->callers = *std::move(server);
  this->directory->Start();
  this->crashes.Start();
  this->tendTimer.StartRepeating(kTendPeriod);
  return absl::OkStatus();
}

void
Gateway::Reload(const DaemonSettings& aSettings)
{
  this->settings.gateway = aSettings.gateway;
  this->peers->SetSeeds(this->SeedAddresses());
  for (auto& [service, window] : this->retries) {
    window.SetSettings(
      { this->settings.gateway.retryWindow,
        this->settings.gateway.retryRatio,
        static_cast<double>(this->settings.gateway.retryExtra) });
  }
}

// Callers.

void
Gateway::Refuse(CallerExchange& aExchange,
                const RequestError& aError,
                std::string_view aId)
{
  this->metrics.CountRefusal(aError);
  LogRefusal(aExchange.Request(), aError, aId, this->directory->Version());
  aExchange.Respond(HttpStatusOf(aError),
                    this->ports.callers->ErrorHeaders(aError),
                    ErrorBody(aError));
}

void
Gateway::OnRequest(std::unique_ptr<CallerExchange> aExchange)
{
  CallerEnvelope envelope = this->ports.callers->Read(aExchange->Request());
  const std::string id = envelope.attemptId;
  auto result = AdmitRequest(aExchange->Request(),
                             std::move(envelope),
                             this->directory->Routes(),
                             this->pool,
                             this->random);
  if (const auto* error = std::get_if<RequestError>(&result)) {
    this->Refuse(*aExchange, *error, id);
    return;
  }
  auto& admitted = std::get<AdmittedRequest>(result);
  const HttpRequest& http = aExchange->Request();
  admitted.fingerprint =
    FingerprintOf({ admitted.customer, http.method, http.path, http.body },
                  this->settings.peerSecret);
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
Gateway::OnDone(GatewayRequest& aRequest)
{
  this->metrics.Record(aRequest);
  LogRequestEnd(aRequest, this->ListAge());
  this->sweepTimer.StartOnce(Duration(0));
}

void
Gateway::Sweep()
{
  std::erase_if(this->requests,
                [](const auto& aItem) { return aItem.second->IsDone(); });
}

// What is believed.

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
  this->callers->SetBounds(
    BoundsOf(aRoutes->Limits(), this->settings.gateway.descriptors));
  this->pool.SetServices(aRoutes->Services());
}

void
Gateway::OnInstances(std::span<const DirectInstance> aInstances)
{
  this->pool.SetInstances(aInstances);
  this->crashes.OnInstances();
}

void
Gateway::OnGateways(std::span<const GatewayMember> aGateways)
{
  this->listedGateways = std::max<std::size_t>(aGateways.size(), 1);
  const CellView view =
    ViewCells(this->settings.instance, aGateways, this->cells);
  this->cells = view.cells;
  this->peers->SetPeers(view.members, aGateways, this->settings.instance);
  this->pool.SetGateways(this->listedGateways,
                         std::max<std::size_t>(view.members.size(), 1),
                         view.cells,
                         view.own);
  for (auto& [service, window] : this->retries) {
    window.SetGateways(this->GatewayCount());
  }
}

PeerDigest
Gateway::MakeDigest()
{
  PeerDigest digest;
  digest.gateway = this->settings.instance;
  digest.incarnation = this->incarnation;
  digest.sequence = ++this->digestSequence;
  digest.routesVersion = this->directory->Version();
  digest.storeContact = std::chrono::duration_cast<milliseconds>(
    this->directory->StoreContact(Now()));
  digest.work = this->pool.Work().OwnLines();
  digest.routed = std::move(this->routed);
  this->routed.clear();
  this->crashes.Tell(digest);
  return digest;
}

void
Gateway::OnDigest(const PeerDigest& aDigest, const SocketAddress& aFrom)
{
  auto& [lifetime, sequence] = this->digests[aDigest.gateway];
  if (lifetime == aDigest.incarnation && aDigest.sequence <= sequence) {
    return;
  }
  lifetime = aDigest.incarnation;
  sequence = aDigest.sequence;
  const TimePoint now = Now();
  this->directory->NoteOthersContact(aDigest.storeContact, now);
  this->pool.Work().SetPeer(aDigest.gateway, aDigest.work, now);
  this->crashes.Hear(aDigest);
  for (const RoutedPrompt& prompt : aDigest.routed) {
    this->pool.OnRead(prompt.instance, prompt.steps);
    if (prompt.longTokens > 0) {
      this->pool.OnLongPrompt(prompt.instance, prompt.longTokens, now);
    }
  }
  if (aDigest.routesVersion > this->directory->Version()) {
    this->peers->Fetch(aFrom, std::string(PeerExchange::kRoutesPath));
  }
}

void
Gateway::OnDocument(std::string_view aPath,
                    std::string_view aDocument,
                    const SocketAddress& aFrom)
{
  if (aPath == PeerExchange::kRoutesPath) {
    this->directory->TakeRoutes(aDocument, aFrom.ToString());
  } else if (aPath == PeerExchange::kInstancesPath) {
    this->directory->TakeInstances(aDocument, aFrom.ToString());
  }
}

void
Gateway::AskGatewaysWhereBehind(TimePoint aNow)
{
  // The store may turn this machine away and serve the others.
  const Duration patience =
    kMissedReads * this->settings.gateway.instanceDrain / kReadsPerDrain;
  if (!this->directory->HasInstances() ||
      this->directory->InstancesAge(aNow) > patience) {
    this->peers->FetchFromAny(std::string(PeerExchange::kInstancesPath),
                              this->random);
  }
  if (this->directory->Routes() == nullptr) {
    this->peers->FetchFromAny(std::string(PeerExchange::kRoutesPath),
                              this->random);
  }
}

void
Gateway::Tend()
{
  const TimePoint now = Now();
  this->pool.Tend(now);
  this->crashes.Tend();
  this->AskGatewaysWhereBehind(now);
  FlushLog();
}

void
Gateway::OnSuspended(Duration aLost)
{
  Log(LogLevel::Warning, "suspended", "for_ms", aLost.count() / 1000);
  this->pool.CloseIdleConnections();
  this->directory->Refresh();
}

// Operators and the end.

void
Gateway::BeginStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stopSchedule = StopSchedule(Now(), this->settings.gateway.stopGrace);
  Log(LogLevel::Info, "draining", "requests", this->requests.size());
  this->callers->AnnounceClosing();
  this->directory->Leave();
  this->stopTimer.StartRepeating(kStopCheckPeriod);
}

void
Gateway::CheckStopped()
{
  const TimePoint now = Now();
  if (!this->stopSchedule.IsNoticed(now)) {
    return;
  }
  // The balancer may have nobody else and go on sending. What is accepted late
  // in the grace would be cut off at its end, so nothing is: a caller whose
  // connection is refused knows that its request was not read.
  if (this->accepting) {
    this->accepting = false;
    this->callers->StopAccepting();
  }
  this->callers->CloseIdleConnections();
  const bool isQuiet =
    this->requests.empty() && this->callers->OpenConnections() == 0;
  if (isQuiet || this->stopSchedule.IsOver(now)) {
    Log(isQuiet ? LogLevel::Info : LogLevel::Warning,
        "stopped",
        "requests",
        this->requests.size());
    this->loop.Stop();
  }
}

absl::Status
Gateway::Ready()
{
  if (this->stopping) {
    return absl::UnavailableError("stopping");
  }
  if (this->directory->Routes() == nullptr) {
    return absl::UnavailableError("no configuration yet");
  }
  if (!this->directory->HasInstances()) {
    return absl::UnavailableError("no list of backend servers yet");
  }
  return absl::OkStatus();
}

std::string
Gateway::Metrics()
{
  const TimePoint now = Now();
  GatewayGauges gauges;
  gauges.requests = this->requests.size();
  gauges.instances = this->pool.Count();
  gauges.peers = this->pool.Work().PeerCount();
  gauges.digestsRefused = this->peers->DigestsRefused();
  gauges.reserved = this->pool.ReservedCount();
  gauges.serversCrashed = this->crashes.ServersEnded();
  gauges.suspects = this->crashes.Ledger().SuspectCount();
  gauges.quarantined = this->crashes.Ledger().QuarantinedCount(now);
  gauges.instancesRejected = this->directory->RejectedCount();
  gauges.version = this->directory->Version();
  gauges.listAge = this->directory->InstancesAge(now);
  gauges.routesAge = this->directory->RoutesAge(now);
  return this->metrics.Render(gauges, *this->callers);
}

std::string
Gateway::Statusz()
{
  Json::Value status;
  status["role"] = "gateway";
  status["instance"] = this->settings.instance.Value();
  status["data_centre"] = this->settings.dataCentre.Value();
  status["region"] = this->settings.region.Value();
  status["version"] = DOGWOODVALE_VERSION;
  status["incarnation"] = fmt::format("{:016x}", this->incarnation);
  status["routes_version"] = Json::UInt64(this->directory->Version());
  status["ready"] = this->Ready().ok();
  status["stopping"] = this->stopping;
  status["requests"] = Json::UInt64(this->requests.size());
  status["instances"] = Json::UInt64(this->pool.Count());
  status["gateways"] = Json::UInt64(this->GatewayCount());
  status["list_age_ms"] = Json::Int64(this->ListAge().count() / 1000);
  return Json::writeString(Json::StreamWriterBuilder(), status) + "\n";
}

OperatorResponse
Gateway::Other(const HttpRequest& aRequest)
{
  const std::string path = aRequest.path.substr(0, aRequest.path.find('?'));
  const bool isRoutes = path == PeerExchange::kRoutesPath;
  if (!isRoutes && path != PeerExchange::kInstancesPath) {
    return OperatorHandler::Other(aRequest);
  }
  if (!this->peers->IsProven(aRequest.path)) {
    return { kHttpForbidden, "text/plain; charset=utf-8", "no proof\n" };
  }
  const std::string& routes = this->directory->RoutesDocument();
  if ((isRoutes && routes.empty()) || !this->directory->HasInstances()) {
    return OperatorHandler::Other(aRequest);
  }
  return { kHttpOk,
           "application/json",
           isRoutes ? routes : this->directory->InstancesDocument(Now()) };
}

} // namespace dogwoodvale
