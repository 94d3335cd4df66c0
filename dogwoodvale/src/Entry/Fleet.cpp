#include "dogwoodvale/Entry"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr Duration kMaintainPeriod = milliseconds(100);
/// Entries that each server should have on average. Entries choose their
/// subsets each for itself; with c on average, a share of about exp(-c) of the
/// servers is in nobody's subset and stands idle: 0.03 % with 8.
constexpr std::size_t kEntriesPerServer = 8;

std::optional<Duration>
ContactAgeOf(const Notice& aNotice)
{
  if (aNotice.storeContactAgeMillis == ControlPlane::kUnknownAge) {
    return std::nullopt;
  }
  return milliseconds(aNotice.storeContactAgeMillis);
}

} // namespace

absl::StatusOr<std::unique_ptr<Fleet>>
Fleet::Create(EventLoop& aLoop,
              const DaemonSettings& aSettings,
              const Hello& aSelf,
              FleetObserver& aObserver)
{
  auto made = CreateChooser(aSettings.entry.chooser);
  if (!made.ok()) {
    return made.status();
  }
  return std::unique_ptr<Fleet>(
    new Fleet(aLoop, aSettings, aSelf, *std::move(made), aObserver));
}

Fleet::Fleet(EventLoop& aLoop,
             const DaemonSettings& aSettings,
             const Hello& aSelf,
             std::unique_ptr<BackendChooser> aChooser,
             FleetObserver& aObserver)
  : loop(aLoop)
  , settings(aSettings)
  , self(aSelf)
  , chooser(std::move(aChooser))
  , observer(aObserver)
  , directory(DirectoryBounds{})
  , random(DrawIncarnation())
  , maintainTimer(aLoop, [this] { this->Maintain(); })
{
  for (const StaticInstance& instance : aSettings.staticInstances) {
    this->directory.AddStatic(instance);
  }
  this->Maintain();
  this->maintainTimer.StartRepeating(kMaintainPeriod);
}

double
Fleet::DrawUniform()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void
Fleet::OnList(std::span<const ListedInstance> aList)
{
  this->directory.OnList(aList, Now());
  const auto live = std::count_if(
    aList.begin(), aList.end(), [](const ListedInstance& aListed) {
      return aListed.role == Role::Entry && aListed.state == ListedState::Live;
    });
  this->entries = std::max<std::size_t>(static_cast<std::size_t>(live), 1);
  this->Maintain();
}

void
Fleet::SetHello(const Hello& aSelf)
{
  this->self = aSelf;
}

void
Fleet::SetNotice(const Notice& aNotice, bool aNow)
{
  this->notice = aNotice;
  for (const auto& [name, link] : this->links) {
    if (link->IsReady()) {
      link->Connection()->SetNotice(this->notice, aNow);
    }
  }
}

Fleet::ServiceState&
Fleet::StateOf(const ServiceName& aService)
{
  return this->services[aService];
}

Fleet::ServiceState*
Fleet::FindState(const ServiceName& aService)
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second;
}

void
Fleet::Maintain()
{
  const TimePoint now = Now();
  for (const ServiceName& service : this->directory.Services()) {
    this->FollowSubset(service, now);
    this->Judge(service, now);
  }
}

std::size_t
Fleet::SubsetSize(std::size_t aCandidates) const
{
  const std::size_t covering =
    (aCandidates * kEntriesPerServer + this->entries - 1) / this->entries;
  return std::max(this->settings.entry.subsetSize, covering);
}

void
Fleet::FollowSubset(const ServiceName& aService, TimePoint aNow)
{
  const std::vector<InstanceName> candidates =
    this->directory.Candidates(aService, aNow);
  std::vector<InstanceName> wanted = ChooseSubset(
    this->settings.instance, candidates, this->SubsetSize(candidates.size()));
  // Leaving ones are looked at now and then, since only a hello shows that a
  // new incarnation stands there.
  const std::vector<InstanceName> trials =
    this->directory.DueForProbe(aService, aNow);
  wanted.insert(wanted.end(), trials.begin(), trials.end());
  std::vector<InstanceName> gone;
  for (const auto& [name, link] : this->links) {
    const bool keep =
      link->ServiceOf() != aService ||
      std::find(wanted.begin(), wanted.end(), name) != wanted.end() ||
      (link->IsReady() && link->Connection()->StreamCount() > 0);
    if (!keep) {
      gone.push_back(name);
    }
  }
  for (const InstanceName& name : gone) {
    this->DropLink(name);
  }
  for (const InstanceName& name : wanted) {
    this->EnsureLink(name);
  }
}

void
Fleet::EnsureLink(const InstanceName& aName)
{
  const BackendRecord* record = this->directory.Find(aName);
  if (record == nullptr) {
    return;
  }
  auto& link = this->links[aName];
  if (link != nullptr && link->IsIdle() && link->Address() != record->address) {
    link.reset();
  }
  if (link == nullptr) {
    link = std::make_unique<SidecarLink>(
      this->loop, aName, record->service, record->address, *this);
    ServiceState& state = this->StateOf(record->service);
    state.table.Upsert(aName, record->dataCentre);
    state.health.Add(aName);
  }
  if (link->IsIdle() && this->directory.MayConnect(aName, Now())) {
    link->Connect(this->self);
  }
}

void
Fleet::DropLink(const InstanceName& aName)
{
  const auto found = this->links.find(aName);
  ServiceState& state = this->StateOf(found->second->ServiceOf());
  state.table.Remove(aName);
  state.health.Remove(aName);
  if (found->second->IsReady()) {
    this->directory.OnDisconnected(aName);
  }
  this->links.erase(found);
}

void
Fleet::Judge(const ServiceName& aService, TimePoint aNow)
{
  ServiceState& state = this->StateOf(aService);
  for (const HealthChange& change :
       state.health.Evaluate(aNow, state.table.MeanLoad())) {
    state.table.SetHealthState(change.name, change.healthState);
    Log(change.healthState == HealthState::Ejected ? LogLevel::Warning
                                                   : LogLevel::Info,
        "backend_standing",
        "server",
        change.name.Value(),
        "reason",
        change.reason);
  }
}

std::optional<InstanceName>
Fleet::Choose(const ServiceName& aService, const ChoiceRequest& aRequest)
{
  ServiceState* state = this->FindState(aService);
  if (state == nullptr) {
    return std::nullopt;
  }
  return this->chooser->Choose(state->table, aRequest, Now(), this->random);
}

std::uint32_t
Fleet::EarlyRefusals(const ServiceName& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? 0
                                       : AllowedRefusals(found->second.table);
}

SidecarLink*
Fleet::FindLink(const InstanceName& aName)
{
  const auto found = this->links.find(aName);
  return found == this->links.end() ? nullptr : found->second.get();
}

void
Fleet::OnSent(const ServiceName& aService,
              const InstanceName& aServer,
              std::uint64_t aTokens,
              Tier aTier,
              PrefixHash aPrefix)
{
  ServiceState& state = this->StateOf(aService);
  state.table.OnSent(aServer, aTokens, aTier);
  if (aPrefix != 0) {
    state.table.Prefixes().OnRouted(aPrefix, aServer, Now());
  }
}

void
Fleet::OnEnded(const ServiceName& aService,
               const InstanceName& aServer,
               std::uint64_t aTokens,
               Tier aTier,
               SendResult aResult,
               Duration aFirstToken)
{
  ServiceState& state = this->StateOf(aService);
  state.table.OnEnded(aServer, aTokens, aTier, aResult, aFirstToken, Now());
  if (aResult == SendResult::Completed) {
    // The step time is judged with answers only. An idle server's notices
    // repeat the step time of its last answer, so that a straggler which has
    // recovered would fail its trial before a single request reached it.
    const Backend* backend = state.table.Find(aServer);
    if (backend != nullptr) {
      state.health.OnStepTime(aServer, Duration(backend->report.stepMicros));
    }
    state.health.OnSuccess(aServer);
  } else if (aResult == SendResult::Failed) {
    state.health.OnFailure(aServer);
  }
}

void
Fleet::OnLoad(const ServiceName& aService,
              const InstanceName& aServer,
              const LoadReport& aLoad)
{
  ServiceState& state = this->StateOf(aService);
  state.table.OnLoadReport(aServer, aLoad, Now());
}

void
Fleet::OnCrash(const ServiceName& aService, const InstanceName& aServer)
{
  this->StateOf(aService).health.OnCrash(aServer);
}

bool
Fleet::HasUsable() const
{
  return std::any_of(
    this->services.begin(), this->services.end(), [](const auto& aEntry) {
      return aEntry.second.table.AvailableCount() > 0;
    });
}

void
Fleet::OnLinkUp(SidecarLink& aLink)
{
  const Hello& peer = aLink.Connection()->Peer();
  this->directory.OnConnected(aLink.Name(), peer.incarnation);
  aLink.Connection()->SetNotice(this->notice, true);
  const BackendRecord* record = this->directory.Find(aLink.Name());
  const bool usable = record != nullptr && !record->leaving;
  this->StateOf(aLink.ServiceOf()).table.SetAvailable(aLink.Name(), usable);
  this->observer.OnPeerEpoch(
    aLink.Name(), peer.epoch, peer.rootHash, std::nullopt);
}

void
Fleet::OnLinkNotice(SidecarLink& aLink, const Notice& aNotice)
{
  if (aNotice.draining) {
    this->directory.OnGoAway(aLink.Name(), aLink.PeerIncarnation());
  }
  const BackendRecord* record = this->directory.Find(aLink.Name());
  const bool usable =
    record != nullptr && !record->leaving && aNotice.backendUp;
  this->StateOf(aLink.ServiceOf()).table.SetAvailable(aLink.Name(), usable);
  this->OnLoad(aLink.ServiceOf(), aLink.Name(), aNotice.load);
  this->observer.OnPeerEpoch(
    aLink.Name(), aNotice.epoch, aNotice.rootHash, ContactAgeOf(aNotice));
}

void
Fleet::OnLinkDown(SidecarLink& aLink, const absl::Status& aReason)
{
  this->StateOf(aLink.ServiceOf()).table.SetAvailable(aLink.Name(), false);
  this->observer.OnPeerLost(aLink.Name());
  if (absl::IsDeadlineExceeded(aReason)) {
    this->directory.OnTimedOut(aLink.Name(), Now(), this->DrawUniform());
  } else {
    this->directory.OnRefused(aLink.Name(), Now(), this->DrawUniform());
  }
}

std::uint64_t
Fleet::BytesSent() const
{
  std::uint64_t bytes = 0;
  for (const auto& [name, link] : this->links) {
    bytes += link->IsReady() ? link->Connection()->BytesSent() : 0;
  }
  return bytes;
}

std::uint64_t
Fleet::BytesReceived() const
{
  std::uint64_t bytes = 0;
  for (const auto& [name, link] : this->links) {
    bytes += link->IsReady() ? link->Connection()->BytesReceived() : 0;
  }
  return bytes;
}

Json::Value
Fleet::Describe() const
{
  Json::Value all(Json::arrayValue);
  for (const auto& [service, state] : this->services) {
    Json::Value one;
    one["name"] = service.Value();
    one["usable"] = Json::UInt64(state.table.UsableCount());
    one["ejected"] = Json::UInt64(state.health.UnhealthyCount());
    one["backend_servers"] = Json::arrayValue;
    for (const Backend& backend : state.table.All()) {
      Json::Value server;
      server["instance"] = backend.name.Value();
      server["available"] = backend.available;
      server["ejected"] = backend.healthState == HealthState::Ejected;
      server["in_flight"] = backend.inFlight;
      server["running"] = backend.report.running;
      server["queued"] = backend.report.queued;
      server["limit"] = backend.report.limit;
      one["backend_servers"].append(server);
    }
    all.append(one);
  }
  return all;
}

} // namespace dogwoodvale
