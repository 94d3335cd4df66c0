#include "dogwoodvale/Sidecar"

#include <json/json.h>

namespace dogwoodvale {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
/// How often a load report goes out on connections with no answers to carry it.
constexpr Duration kLeastTellPeriod = seconds(3);
constexpr Duration kNoticePeriod = milliseconds(1000);
constexpr Duration kStopCheckPeriod = milliseconds(20);
constexpr Duration kBackendTrialPeriod = milliseconds(250);
constexpr std::string_view kTrialPath = "/v1/models";
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

} // namespace

absl::StatusOr<std::unique_ptr<Sidecar>>
Sidecar::Create(EventLoop& aLoop, const DaemonSettings& aSettings)
{
  std::unique_ptr<Sidecar> sidecar(new Sidecar(aLoop, aSettings));
  const absl::Status opened = sidecar->Open();
  if (!opened.ok()) {
    return opened;
  }
  return sidecar;
}

Sidecar::Sidecar(EventLoop& aLoop, const DaemonSettings& aSettings)
  : loop(aLoop)
  , settings(aSettings)
  , incarnation(DrawIncarnation())
  , sweepTimer(aLoop, [this] { this->Sweep(); })
  , noticeTimer(aLoop, [this] { this->TellPeersInTurn(); })
  , stopTimer(aLoop, [this] { this->CheckStopped(); })
  , backendTimer(aLoop, [this] { this->TryBackend(); })
{
}

absl::Status
Sidecar::Open()
{
  BackendClientOptions options;
  options.idleTimeout = this->settings.sidecar.backendIdleTimeout;
  auto client =
    BackendClient::Create(this->loop, this->settings.sidecar.backend, options);
  if (!client.ok()) {
    return client.status();
  }
  this->backend = *std::move(client);
  auto made = Dispatcher::Create(this->settings.sidecar, *this->backend);
  if (!made.ok()) {
    return made.status();
  }
  this->dispatcher = *std::move(made);
  auto plane = ControlPlane::Create(this->loop, this->settings, *this, *this);
  if (!plane.ok()) {
    return plane.status();
  }
  this->control = *std::move(plane);
  this->OpenOrders();
  auto operatorServer =
    OperatorServer::Create(this->loop, this->settings.operators, *this);
  if (!operatorServer.ok()) {
    return operatorServer.status();
  }
  this->operators = *std::move(operatorServer);
  auto peerListener = PeerListener::Create(
    this->loop, this->settings.peers, PeerOptions{}, this->MakeHello(), *this);
  if (!peerListener.ok()) {
    return peerListener.status();
  }
  this->listener = *std::move(peerListener);
  this->control->Start();
  this->noticeTimer.StartRepeating(kNoticePeriod);
  return absl::OkStatus();
}

void
Sidecar::OpenOrders()
{
  StoreClient* store = this->control->Store();
  if (store == nullptr) {
    return;
  }
  const OrderOptions options;
  this->engineOrders = std::make_unique<HttpEngineOrders>(
    this->loop, this->settings.sidecar.backend, options.longestOrder);
  this->orders = std::make_unique<OrderKeeper>(this->loop,
                                               *store,
                                               this->settings.instance,
                                               this->incarnation,
                                               options,
                                               *this->engineOrders);
  this->orders->Start();
}

Hello
Sidecar::MakeHello() const
{
  Hello hello;
  hello.protocolVersion = kProtocolVersion;
  hello.secret = this->settings.peerSecret;
  hello.role = std::string(RoleName(Role::Sidecar));
  hello.instance = this->settings.instance.Value();
  hello.dataCentre = this->settings.dataCentre.Value();
  hello.incarnation = this->incarnation;
  hello.epoch = this->control->Manager().CurrentEpoch();
  hello.rootHash = this->control->Manager().CurrentHash();
  return hello;
}

Notice
Sidecar::MakeNotice(const InstanceName& aEntry) const
{
  Notice notice;
  notice.draining = this->dispatcher->IsDraining();
  notice.backendUp = this->dispatcher->IsBackendUp();
  notice.load = this->dispatcher->Load(aEntry);
  notice.epoch = this->control->Manager().CurrentEpoch();
  notice.rootHash = this->control->Manager().CurrentHash();
  notice.idlePeriodMillis = IdlePeriodMillis(this->sessions.size());
  notice.storeContactAgeMillis = this->control->ContactAgeMillis();
  return notice;
}

void
Sidecar::TellPeersInTurn()
{
  const Duration period =
    std::max(kLeastTellPeriod,
             Duration(milliseconds(IdlePeriodMillis(this->sessions.size()))));
  this->control->Manager().SetContactPeriod(period);
  const TimePoint now = Now();
  const bool due = now - this->lastTold >= period;
  if (due) {
    this->lastTold = now;
  }
  this->TellPeers(due);
}

void
Sidecar::TellPeers(bool aNow)
{
  for (const auto& session : this->sessions) {
    if (!session->IsClosed()) {
      const InstanceName entry(session->Peer().instance);
      session->Connection().SetNotice(this->MakeNotice(entry), aNow);
    }
  }
}

PeerConnectionHandler&
Sidecar::OnAccepted(std::unique_ptr<PeerConnection> aConnection,
                    const Hello& aPeer)
{
  this->sessions.push_back(
    std::make_unique<SidecarSession>(*this, std::move(aConnection), aPeer));
  SidecarSession& session = *this->sessions.back();
  session.Connection().SetNotice(this->MakeNotice(InstanceName(aPeer.instance)),
                                 true);
  return session;
}

void
Sidecar::OnPeerNotice(SidecarSession& aSession, const Notice& aNotice)
{
  std::optional<Duration> age;
  if (aNotice.storeContactAgeMillis != ControlPlane::kUnknownAge) {
    age = milliseconds(aNotice.storeContactAgeMillis);
  }
  this->control->Manager().OnPeerEpoch(InstanceName(aSession.Peer().instance),
                                       aNotice.epoch,
                                       aNotice.rootHash,
                                       age);
}

void
Sidecar::OnSessionClosed(SidecarSession& aSession)
{
  this->control->Manager().OnPeerLost(InstanceName(aSession.Peer().instance));
  this->sweepTimer.StartOnce(Duration(0));
}

void
Sidecar::OnOffer(SidecarAttempt& aAttempt, const ConfigurationOffer& aOffer)
{
  this->offers[aAttempt.Entry()] = &aAttempt;
  if (this->awaitedOffer && this->awaitedOffer->entry == aAttempt.Entry()) {
    const ConfigurationRequest request =
      std::exchange(this->awaitedOffer, std::nullopt)->request;
    aAttempt.Ask({ request.epoch, request.have });
    return;
  }
  this->control->Manager().OnPeerEpoch(
    aAttempt.Entry(), aOffer.epoch, aOffer.rootHash, std::nullopt);
}

void
Sidecar::OnOfferEnd(SidecarAttempt& aAttempt,
                    absl::StatusOr<ConfigurationReply> aReply)
{
  const auto found = this->offers.find(aAttempt.Entry());
  if (found != this->offers.end() && found->second == &aAttempt) {
    this->offers.erase(found);
  }
  this->sweepTimer.StartOnce(Duration(0));
  if (aReply.ok()) {
    this->control->Manager().OnFetched(aAttempt.Entry(),
                                       ToBundle(*std::move(aReply)));
  } else {
    this->control->Manager().OnFetched(aAttempt.Entry(), aReply.status());
  }
}

bool
Sidecar::Fetch(const InstanceName& aPeer, const ConfigurationRequest& aRequest)
{
  const auto found = this->offers.find(aPeer);
  if (found != this->offers.end()) {
    found->second->Ask({ aRequest.epoch, aRequest.have });
    return true;
  }
  const auto session = std::find_if(
    this->sessions.begin(), this->sessions.end(), [&](const auto& aOne) {
      return !aOne->IsClosed() && aOne->Peer().instance == aPeer.Value();
    });
  if (session == this->sessions.end()) {
    return false;
  }
  // The entry offers once it hears that this process is behind. Left to the
  // next regular notice, a change would take as long as those are apart.
  this->awaitedOffer = { aPeer, aRequest };
  (*session)->Connection().SetNotice(this->MakeNotice(aPeer), true);
  return true;
}

void
Sidecar::OnConfiguration(const AcceptedConfiguration& aAccepted)
{
  this->listener->SetHello(this->MakeHello());
  this->TellPeers(true);
  const Service* service = aAccepted.configuration.FindService(
    ServiceName(this->settings.sidecar.service));
  if (this->orders && service != nullptr) {
    this->orders->SetWanted(service->models, service->checksFencing);
  }
}

void
Sidecar::OnRun(SidecarAttempt& aAttempt)
{
  this->dispatcher->Admit(aAttempt);
}

std::optional<Message>
Sidecar::OnQuery(const Message& aQuery)
{
  if (const auto* probe = std::get_if<Probe>(&aQuery)) {
    // The record of another incarnation says nothing about this id.
    if (probe->sidecar != this->incarnation) {
      return ProbeReply{ Disposition::MayHaveRun };
    }
    return ProbeReply{ this->dispatcher->Probe(probe->id) };
  }
  if (const auto* fetch = std::get_if<FetchConfiguration>(&aQuery)) {
    return ToReply(
      this->control->Manager().Answer({ fetch->epoch, fetch->have }));
  }
  if (std::holds_alternative<StatusQuery>(aQuery)) {
    return StatusReply{ this->Statusz() };
  }
  return std::nullopt;
}

void
Sidecar::OnFirstToken(SidecarAttempt& aAttempt, Duration aSinceStart)
{
  this->dispatcher->OnFirstToken(aAttempt, aSinceStart);
  this->metrics.RecordWait(ServiceName(aAttempt.Request().service),
                           ClassName(aAttempt.Request().className),
                           Between(aAttempt.Arrived(), aAttempt.StartedAt()));
}

void
Sidecar::OnTokens(SidecarAttempt& /*aAttempt*/,
                  std::uint32_t aTokens,
                  Duration aInterval)
{
  this->dispatcher->OnTokens(aTokens, aInterval);
}

LoadReport
Sidecar::CurrentLoad(const InstanceName& aEntry) const
{
  return this->dispatcher->Load(aEntry);
}

void
Sidecar::OnEnded(SidecarAttempt& aAttempt, AttemptEnd aEnd)
{
  if (aAttempt.WasUnreached()) {
    this->SetBackendUp(false);
  }
  this->dispatcher->OnEnded(aAttempt, aEnd);
  this->sweepTimer.StartOnce(Duration(0));
}

void
Sidecar::Sweep()
{
  for (const auto& session : this->sessions) {
    session->Sweep();
  }
  std::erase_if(this->sessions,
                [](const auto& aSession) { return aSession->IsClosed(); });
}

void
Sidecar::Drain()
{
  if (this->dispatcher->IsDraining()) {
    return;
  }
  Log(LogLevel::Info,
      "draining",
      "running",
      this->dispatcher->Running(),
      "queued",
      this->dispatcher->Queued());
  this->dispatcher->StartDraining();
  this->TellPeers(true);
}

void
Sidecar::BeginStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stopDeadline = Now() + this->settings.stopTimeout;
  this->Drain();
  if (this->orders) {
    this->orders->Stop();
  }
  this->stopTimer.StartRepeating(kStopCheckPeriod);
}

void
Sidecar::CheckStopped()
{
  std::size_t streams = 0;
  for (const auto& session : this->sessions) {
    streams += session->IsClosed() ? 0 : session->Connection().StreamCount();
  }
  const bool quiet = this->dispatcher->Running() == 0 && streams == 0;
  if (quiet || Now() >= this->stopDeadline) {
    Log(quiet ? LogLevel::Info : LogLevel::Warning,
        "stopped",
        "running",
        this->dispatcher->Running(),
        "streams",
        streams);
    this->loop.Stop();
  }
}

void
Sidecar::SetBackendUp(bool aUp)
{
  if (aUp == this->dispatcher->IsBackendUp()) {
    return;
  }
  Log(aUp ? LogLevel::Info : LogLevel::Warning,
      aUp ? "backend_up" : "backend_down",
      "address",
      this->settings.sidecar.backend.ToString());
  this->dispatcher->SetBackendUp(aUp);
  this->TellPeers(true);
  if (!aUp) {
    this->backendTimer.StartRepeating(kBackendTrialPeriod);
  } else {
    this->backendTimer.Stop();
  }
}

void
Sidecar::TryBackend()
{
  HttpRequest request;
  request.method = "GET";
  request.path = std::string(kTrialPath);
  this->trial = this->backend->Start(request, *this);
}

void
Sidecar::OnHead(int /*aStatus*/, std::span<const HeaderField> /*aHeaders*/)
{
  this->SetBackendUp(true);
  // The rest may have no end.
  this->trial.reset();
}

void
Sidecar::OnComplete(AnswerEnd /*aEnd*/)
{
  this->trial.reset();
}

void
Sidecar::OnFailed(const absl::Status& /*aReason*/, bool /*aWritten*/)
{
  this->trial.reset();
}

absl::Status
Sidecar::Ready()
{
  if (this->dispatcher->IsDraining()) {
    return absl::UnavailableError("draining");
  }
  if (!this->dispatcher->IsBackendUp()) {
    return absl::UnavailableError("backend server can't be reached");
  }
  return absl::OkStatus();
}

std::string
Sidecar::Metrics()
{
  return this->metrics.Render(*this->dispatcher,
                              this->control->Manager().CurrentEpoch(),
                              this->sessions.size(),
                              this->listener->RejectedCount());
}

std::string
Sidecar::Statusz()
{
  Json::Value status;
  status["role"] = "sidecar";
  status["instance"] = this->settings.instance.Value();
  status["data_centre"] = this->settings.dataCentre.Value();
  status["region"] = this->settings.region.Value();
  status["version"] = DOGWOODVALE_VERSION;
  status["incarnation"] = fmt::format("{:016x}", this->incarnation);
  const AcceptedConfiguration* accepted = this->control->Manager().Current();
  status["epoch"] = Json::UInt64(this->control->Manager().CurrentEpoch());
  status["root_hash"] = this->control->Manager().CurrentHash();
  status["change_id"] = accepted == nullptr ? "" : accepted->root.changeId;
  status["store"] = this->control->Describe();
  status["service"] = this->settings.sidecar.service;
  if (this->orders) {
    status["orders"] = this->orders->Describe();
  }
  status["ready"] = this->Ready().ok();
  status["stopping"] = this->dispatcher->IsDraining();
  status["backend_up"] = this->dispatcher->IsBackendUp();
  Json::Value& load = status["load"];
  load["running"] = Json::UInt64(this->dispatcher->Running());
  load["queued"] = Json::UInt64(this->dispatcher->Queued());
  load["limit"] = this->dispatcher->Limit();
  status["entries"] = Json::UInt64(this->sessions.size());
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  for (const auto& session : this->sessions) {
    sent += session->Connection().BytesSent();
    received += session->Connection().BytesReceived();
  }
  status["peer_bytes_sent"] = Json::UInt64(sent);
  status["peer_bytes_received"] = Json::UInt64(received);
  return Json::writeString(Json::StreamWriterBuilder(), status) + "\n";
}

OperatorResponse
Sidecar::Other(const HttpRequest& aRequest)
{
  if (aRequest.method == "GET" && aRequest.path == "/configuration") {
    return { kHttpOk, "application/json", this->control->Manager().Export() };
  }
  if (aRequest.method == "POST" && aRequest.path == "/drain") {
    this->Drain();
    return { kHttpAccepted, "text/plain; charset=utf-8", "draining\n" };
  }
  return OperatorHandler::Other(aRequest);
}

} // namespace dogwoodvale
