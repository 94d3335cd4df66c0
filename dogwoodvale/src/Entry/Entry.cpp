#include "dogwoodvale/Entry"

#include <json/json.h>

namespace dogwoodvale {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
/// How often what heartbeats repeat is made anew.
constexpr Duration kLeastTellPeriod = seconds(3);
constexpr Duration kNoticePeriod = milliseconds(1000);
constexpr Duration kStopCheckPeriod = milliseconds(20);
constexpr std::string_view kModelsPath = "/v1/models";
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

CustomerLimit
LimitOf(const Customer& aCustomer)
{
  return { aCustomer.requestsPerSecond,
           static_cast<double>(aCustomer.burst),
           aCustomer.concurrency };
}

bool
HasLimit(const Customer& aCustomer)
{
  return aCustomer.requestsPerSecond > 0 || aCustomer.concurrency > 0;
}

} // namespace

absl::StatusOr<std::unique_ptr<Entry>>
Entry::Create(EventLoop& aLoop, const DaemonSettings& aSettings)
{
  std::unique_ptr<Entry> entry(new Entry(aLoop, aSettings));
  const absl::Status opened = entry->Open();
  if (!opened.ok()) {
    return opened;
  }
  return entry;
}

Entry::Entry(EventLoop& aLoop, const DaemonSettings& aSettings)
  : loop(aLoop)
  , settings(aSettings)
  , incarnation(DrawIncarnation())
  , random(DrawIncarnation())
  , sweepTimer(aLoop, [this] { this->Sweep(); })
  , noticeTimer(aLoop, [this] { this->TellPeersInTurn(); })
  , stopTimer(aLoop, [this] { this->CheckStopped(); })
{
}

absl::Status
Entry::Open()
{
  auto servers =
    Fleet::Create(this->loop, this->settings, this->MakeHello(), *this);
  if (!servers.ok()) {
    return servers.status();
  }
  this->fleet = *std::move(servers);
  this->sync = std::make_unique<ConfigurationSync>(this->loop, *this->fleet);
  auto plane =
    ControlPlane::Create(this->loop, this->settings, *this->sync, *this);
  if (!plane.ok()) {
    return plane.status();
  }
  this->control = *std::move(plane);
  this->sync->SetKeeper(this->control->Manager());
  this->claims =
    std::make_unique<ClaimStore>(this->loop, this->control->Store());
  if (!this->settings.configurationFile.empty()) {
    absl::Status loaded = this->LoadConfigurationFile();
    if (!loaded.ok()) {
      return loaded;
    }
  }
  auto operatorServer =
    OperatorServer::Create(this->loop, this->settings.operators, *this);
  if (!operatorServer.ok()) {
    return operatorServer.status();
  }
  this->operators = *std::move(operatorServer);
  CallerBounds bounds;
  bounds.bodyBytes = this->settings.entry.maxRequestBytes;
  bounds.connections = this->settings.entry.maxConnections;
  ApplyMemory(MemoryShares(this->settings.entry.memoryMegabytes), bounds);
  auto server = CallerServer::Create(
    this->loop, this->settings.entry.callers, bounds, *this);
  if (!server.ok()) {
    return server.status();
  }
  this->callers = *std::move(server);
  this->control->Start();
  this->noticeTimer.StartRepeating(kNoticePeriod);
  return absl::OkStatus();
}

absl::Status
Entry::LoadConfigurationFile()
{
  Findings findings;
  const std::vector<ConfigurationSource> sources =
    ReadConfigurationSources(this->settings.configurationFile, findings);
  Configuration parsed = ParseConfiguration(sources, findings);
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  this->fileConfiguration = std::move(parsed);
  return absl::OkStatus();
}

const Configuration*
Entry::Active() const
{
  const AcceptedConfiguration* accepted = this->control->Manager().Current();
  if (accepted != nullptr) {
    return &accepted->configuration;
  }
  return this->fileConfiguration ? &*this->fileConfiguration : nullptr;
}

Epoch
Entry::CurrentEpoch() const
{
  return this->control->Manager().CurrentEpoch();
}

void
Entry::FollowLimit(const CustomerName& aName)
{
  const Customer* customer = this->Active()->FindCustomer(aName);
  if (customer != nullptr && HasLimit(*customer)) {
    this->admission.SetLimit(aName, LimitOf(*customer));
  } else {
    this->admission.ClearLimit(aName);
  }
}

void
Entry::OnConfiguration(const AcceptedConfiguration& /*aAccepted*/)
{
  this->fileConfiguration.reset();
  this->fleet->SetHello(this->MakeHello());
  this->TellPeers(true);
}

void
Entry::OnList(std::span<const ListedInstance> aList)
{
  this->fleet->OnList(aList);
}

void
Entry::TellPeersInTurn()
{
  const Duration period = std::max(
    kLeastTellPeriod,
    Duration(milliseconds(IdlePeriodMillis(this->fleet->LinkCount()))));
  this->control->Manager().SetContactPeriod(period);
  const TimePoint now = Now();
  const bool due = now - this->lastTold >= period;
  if (due) {
    this->lastTold = now;
  }
  this->TellPeers(due);
}

void
Entry::TellPeers(bool aNow)
{
  Notice notice;
  notice.epoch = this->CurrentEpoch();
  notice.rootHash = this->control->Manager().CurrentHash();
  notice.storeContactAgeMillis = this->control->ContactAgeMillis();
  notice.idlePeriodMillis = IdlePeriodMillis(this->fleet->LinkCount());
  this->fleet->SetNotice(notice, aNow);
  this->claims->SetCollecting(this->control->Manager().IsWatching());
}

Hello
Entry::MakeHello() const
{
  Hello hello;
  hello.protocolVersion = kProtocolVersion;
  hello.secret = this->settings.peerSecret;
  hello.role = std::string(RoleName(Role::Entry));
  hello.instance = this->settings.instance.Value();
  hello.dataCentre = this->settings.dataCentre.Value();
  hello.incarnation = this->incarnation;
  if (this->control) {
    hello.epoch = this->CurrentEpoch();
    hello.rootHash = this->control->Manager().CurrentHash();
  }
  return hello;
}

RequestId
Entry::NextId()
{
  return { this->incarnation, this->nextSequence++ };
}

RetryBudget&
Entry::BudgetOf(const ResolvedRequest& aRequest)
{
  return this->budgets[{ aRequest.service, aRequest.requestClass.name }];
}

void
Entry::RefuseEarly(CallerExchange& aExchange,
                   const RequestError& aError,
                   const RequestId& aId)
{
  this->metrics.CountRefusal(aError);
  RespondError(aExchange, aError, ToString(aId));
}

void
Entry::OnRequest(std::unique_ptr<CallerExchange> aExchange)
{
  const RequestId id = this->NextId();
  if (this->stopping && Now() >= this->graceEnd) {
    this->RefuseEarly(*aExchange, StoppingEntryError(), id);
    return;
  }
  const Configuration* active = this->Active();
  if (active == nullptr) {
    this->RefuseEarly(*aExchange,
                      { ErrorCode::NotReady,
                        Disposition::NotRun,
                        "no configuration yet",
                        JitteredRetryAfter(seconds(1), this->random) },
                      id);
    return;
  }
  if (aExchange->Request().path == kModelsPath &&
      aExchange->Request().method == "GET") {
    this->RespondModels(*aExchange);
    return;
  }
  auto result = ResolveRequest(aExchange->Request(), *active);
  if (const auto* error = std::get_if<RequestError>(&result)) {
    this->RefuseEarly(*aExchange, *error, id);
    return;
  }
  auto& resolved = std::get<ResolvedRequest>(result);
  this->FollowLimit(resolved.customer);
  const std::optional<RequestError> refusal =
    this->admission.Admit(resolved.customer, Now(), this->random);
  auto request = std::make_unique<CallerRequest>(
    *this, std::move(aExchange), std::move(resolved), id);
  CallerRequest& made = *request;
  this->requests[id] = std::move(request);
  if (refusal) {
    made.Refuse(*refusal);
  } else {
    made.Start();
  }
}

void
Entry::RespondModels(CallerExchange& aExchange)
{
  if (Authenticate(aExchange.Request(), *this->Active()) == nullptr) {
    this->RefuseEarly(aExchange,
                      { ErrorCode::Unauthorized,
                        Disposition::NotRun,
                        "no such API key",
                        milliseconds(0) },
                      this->NextId());
    return;
  }
  Json::Value list;
  list["object"] = "list";
  list["data"] = Json::arrayValue;
  for (const Service& service : this->Active()->Services()) {
    for (const ModelPlacement& placement : service.models) {
      Json::Value model;
      model["id"] = placement.model.Value();
      model["object"] = "model";
      model["owned_by"] = service.name.Value();
      list["data"].append(model);
    }
  }
  const std::vector<HeaderField> headers = { { "Content-Type",
                                               "application/json" } };
  aExchange.Respond(
    kHttpOk, headers, Json::writeString(Json::StreamWriterBuilder(), list));
}

void
Entry::OnDone(CallerRequest& aRequest)
{
  if (aRequest.WasAdmitted()) {
    this->admission.Release(aRequest.Resolved().customer);
  }
  this->metrics.Record(aRequest.Resolved(), aRequest.Outcome());
  this->sweepTimer.StartOnce(Duration(0));
}

void
Entry::Sweep()
{
  absl::erase_if(this->requests,
                 [](const auto& aItem) { return aItem.second->IsDone(); });
}

void
Entry::OnPeerEpoch(const InstanceName& aPeer,
                   Epoch aEpoch,
                   std::string_view aRootHash,
                   std::optional<Duration> aStoreContactAge)
{
  this->control->Manager().OnPeerEpoch(
    aPeer, aEpoch, aRootHash, aStoreContactAge);
  if (aEpoch < this->CurrentEpoch()) {
    this->sync->Offer(aPeer);
  }
}

void
Entry::OnPeerLost(const InstanceName& aPeer)
{
  this->control->Manager().OnPeerLost(aPeer);
}

void
Entry::BeginStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  const TimePoint now = Now();
  this->graceEnd = now + this->settings.entry.drainGrace;
  this->stopDeadline = now + this->settings.stopTimeout;
  Log(LogLevel::Info, "draining", "requests", this->requests.size());
  this->callers->AnnounceClosing();
  this->stopTimer.StartRepeating(kStopCheckPeriod);
}

void
Entry::CheckStopped()
{
  const TimePoint now = Now();
  if (now < this->graceEnd) {
    return;
  }
  if (this->accepting) {
    this->accepting = false;
    this->callers->StopAccepting();
  }
  this->callers->CloseIdleConnections();
  const bool isIdle =
    this->requests.empty() && this->callers->OpenConnections() == 0;
  if (isIdle || this->drained) {
    this->EndStop();
  } else if (now >= this->stopDeadline) {
    // What arrived before this turn of the loop is delivered in the next one.
    this->drained = true;
    this->stopTimer.StartOnce(Duration(0));
  }
}

void
Entry::EndStop()
{
  std::size_t cut = 0;
  for (const auto& [id, request] : this->requests) {
    if (!request->IsDone()) {
      ++cut;
      Log(LogLevel::Warning,
          "cut_by_stop",
          "id",
          ToString(id),
          "service",
          request->Resolved().service.Value(),
          "attempts",
          request->Outcome().attempts,
          "tokens",
          request->Outcome().tokens);
      request->OnStopEnds();
    }
  }
  const RequestError refusal = StoppingEntryError();
  this->callers->RefuseIncomplete(
    HttpStatusOf(refusal), ErrorHeaders(refusal), ErrorBody(refusal));
  const std::size_t unsent = this->callers->UnsentBytes();
  Log(cut == 0 && unsent == 0 ? LogLevel::Info : LogLevel::Warning,
      "stopped",
      "requests",
      cut,
      "connections",
      this->callers->OpenConnections(),
      "unsent_bytes",
      unsent);
  this->loop.Stop();
}

absl::Status
Entry::Ready()
{
  if (this->stopping) {
    return absl::UnavailableError("stopping");
  }
  if (this->Active() == nullptr) {
    return absl::UnavailableError("no configuration yet");
  }
  if (!this->fleet->HasUsable()) {
    return absl::UnavailableError("no backend server takes work");
  }
  return absl::OkStatus();
}

std::string
Entry::Metrics()
{
  this->metrics.SetGauges(this->requests.size(),
                          this->fleet->LinkCount(),
                          this->CurrentEpoch(),
                          this->callers->Counters());
  return this->metrics.Render();
}

std::string
Entry::Statusz()
{
  Json::Value status;
  status["role"] = "entry";
  status["instance"] = this->settings.instance.Value();
  status["data_centre"] = this->settings.dataCentre.Value();
  status["region"] = this->settings.region.Value();
  status["version"] = DOGWOODVALE_VERSION;
  status["incarnation"] = fmt::format("{:016x}", this->incarnation);
  const AcceptedConfiguration* accepted = this->control->Manager().Current();
  status["epoch"] = Json::UInt64(this->CurrentEpoch());
  status["root_hash"] = this->control->Manager().CurrentHash();
  status["change_id"] = accepted == nullptr ? "" : accepted->root.changeId;
  status["store"] = this->control->Describe();
  status["ready"] = this->Ready().ok();
  status["stopping"] = this->stopping;
  status["requests"] = Json::UInt64(this->requests.size());
  status["links"] = Json::UInt64(this->fleet->LinkCount());
  status["peer_bytes_sent"] = Json::UInt64(this->fleet->BytesSent());
  status["peer_bytes_received"] = Json::UInt64(this->fleet->BytesReceived());
  status["services"] = this->fleet->Describe();
  return Json::writeString(Json::StreamWriterBuilder(), status) + "\n";
}

OperatorResponse
Entry::Other(const HttpRequest& aRequest)
{
  if (aRequest.method == "GET" && aRequest.path == "/configuration") {
    return { kHttpOk, "application/json", this->control->Manager().Export() };
  }
  if (aRequest.method == "POST" && aRequest.path == "/drain") {
    this->BeginStop();
    return { kHttpAccepted, "text/plain; charset=utf-8", "stopping\n" };
  }
  return OperatorHandler::Other(aRequest);
}

} // namespace dogwoodvale
