#include "DirectoryKeeper.h"

#include <algorithm>
#include <utility>

#include "PeerDocuments.h"

namespace dogwoodvale {

DirectoryKeeper::DirectoryKeeper(EventLoop& aLoop,
                                 StoreClient& aStore,
                                 const DirectoryFormat& aFormat,
                                 Options aOptions,
                                 DirectoryObserver& aObserver)
  : store(aStore)
  , format(aFormat)
  , options(std::move(aOptions))
  , observer(aObserver)
  , instancesTimer(aLoop, [this] { this->ReadInstances(); })
  , gatewaysTimer(aLoop, [this] { this->TendMembership(); })
{
}

void
DirectoryKeeper::Start()
{
  this->Refresh();
  this->TendMembership();
  this->gatewaysTimer.StartRepeating(kGatewaysPeriod);
}

void
DirectoryKeeper::Refresh()
{
  this->watch = this->store.Watch(this->format.RoutesPrefix(), *this);
  this->instancesCall.reset();
  this->ReadInstances();
}

// Routes.

void
DirectoryKeeper::OnSnapshot(Revision /*aRevision*/,
                            std::span<const KeyValue> aValues)
{
  this->OnContact();
  for (const KeyValue& value : aValues) {
    this->OnRoutesValue(value);
  }
}

void
DirectoryKeeper::OnChanges(Revision /*aRevision*/,
                           std::span<const StoreChange> aChanges)
{
  this->OnContact();
  for (const StoreChange& change : aChanges) {
    if (change.kind == StoreChange::Kind::Put) {
      this->OnRoutesValue(change.value);
    }
  }
}

void
DirectoryKeeper::OnContact()
{
  this->routesHeardAt = Now();
  if (!std::exchange(this->isWatching, true)) {
    Log(LogLevel::Info, "routes_watch_regained", "version", this->Version());
  }
}

void
DirectoryKeeper::OnLost(const absl::Status& aReason)
{
  if (std::exchange(this->isWatching, false)) {
    Log(LogLevel::Warning,
        "routes_watch_lost",
        "reason",
        MessageOf(aReason),
        "version",
        this->Version());
  }
}

void
DirectoryKeeper::OnRoutesValue(const KeyValue& aValue)
{
  this->TakeRoutes(aValue.value, "store");
}

bool
DirectoryKeeper::TakeRoutes(std::string_view aDocument, std::string_view aFrom)
{
  auto parsed = this->format.ParseRoutes(aDocument);
  if (!parsed.ok()) {
    Log(LogLevel::Error,
        "routes_rejected",
        "from",
        aFrom,
        "reason",
        MessageOf(parsed.status()));
    return false;
  }
  // A store that comes back with older data, or a gateway that is behind, must
  // not undo a change: only a higher version is taken.
  if ((*parsed)->Version() <= this->Version()) {
    return false;
  }
  Log(LogLevel::Info,
      "routes_in_force",
      "version",
      (*parsed)->Version(),
      "before",
      this->Version(),
      "from",
      aFrom,
      "routes",
      (*parsed)->RouteCount());
  this->routes = *std::move(parsed);
  this->routesDocument = aDocument;
  this->observer.OnRoutes(this->routes);
  return true;
}

Duration
DirectoryKeeper::RoutesAge(TimePoint aNow) const
{
  return Between(this->routesHeardAt, aNow);
}

// Backend servers.

void
DirectoryKeeper::ReadInstances()
{
  this->instancesTimer.StartOnce(this->options.instanceReadPeriod);
  if (this->instancesCall != nullptr) {
    return;
  }
  RangeQuery query;
  query.key = this->format.InstancesPrefix();
  query.isPrefix = true;
  // When all gateways start at once, their reads of a long list are more than
  // the store serves in a second; those that it turns away have no server to
  // send to. A list that is seconds old does until the next read, which is not.
  query.allowStale = !this->HasInstances();
  this->instancesCall = this->store.Range(
    query, [this](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->instancesCall);
      this->OnInstancesRead(aResult);
    });
}

void
DirectoryKeeper::NoteOthersContact(Duration aContact, TimePoint aNow)
{
  if (aContact <= Duration::zero()) {
    return;
  }
  const TimePoint since = aNow - aContact;
  const bool isOld = Between(this->othersHeardAt, aNow) > kOthersWordLife;
  if (isOld || since <= this->othersContactSince) {
    this->othersContactSince = since;
    this->othersHeardAt = aNow;
  }
}

Duration
DirectoryKeeper::StoreContact(TimePoint aNow) const
{
  return this->storeAnswers && this->HasInstances()
           ? Between(this->contactSince, aNow)
           : Duration::zero();
}

bool
DirectoryKeeper::WasAwayForOthers(TimePoint aNow) const
{
  const bool hasWord = Between(this->othersHeardAt, aNow) <= kOthersWordLife;
  return !hasWord || this->othersContactSince > this->lastAnswerAt;
}

void
DirectoryKeeper::NoteStore(bool aAnswers,
                           std::string_view aReason,
                           TimePoint aNow)
{
  if (aAnswers && !this->storeAnswers) {
    this->contactSince = aNow;
    // A store that served another gateway all the while has let no entry
    // lapse: what is missing has left. Keeping it would send requests to
    // servers that said they leave while only this machine was turned away.
    if (this->WasAwayForOthers(aNow)) {
      this->keepMissingUntil = aNow + kReturnGrace;
    }
  }
  if (aAnswers != this->storeAnswers) {
    Log(aAnswers ? LogLevel::Info : LogLevel::Warning,
        aAnswers ? "store_regained" : "store_lost",
        "reason",
        aReason,
        "last_answer_ms",
        Between(this->lastAnswerAt, aNow).count() / 1000,
        "keeps_missing",
        this->keepMissingUntil > aNow);
  }
  this->storeAnswers = aAnswers;
  if (aAnswers) {
    this->lastAnswerAt = aNow;
  }
}

void
DirectoryKeeper::OnInstancesRead(const absl::StatusOr<RangeResult>& aResult)
{
  const TimePoint now = Now();
  this->NoteStore(aResult.ok(), MessageOf(aResult.status()), now);
  if (!aResult.ok()) {
    return;
  }
  std::vector<DirectInstance> read;
  std::map<std::string, std::string> rejectedNow;
  for (const KeyValue& value : aResult->values) {
    auto parsed = this->format.ParseInstance(value.key, value.value);
    if (parsed.ok()) {
      read.push_back(*std::move(parsed));
      continue;
    }
    this->NoteRejected(value, parsed.status());
    rejectedNow.emplace(value.key, value.value);
  }
  this->rejected = std::move(rejectedNow);
  this->instancesReadAt = now;
  this->MergeInstances(std::move(read), now);
}

void
DirectoryKeeper::NoteRejected(const KeyValue& aValue,
                              const absl::Status& aReason)
{
  // The list is read more than once a second; one line for each change is
  // enough.
  const auto known = this->rejected.find(aValue.key);
  if (known != this->rejected.end() && known->second == aValue.value) {
    return;
  }
  Log(LogLevel::Warning,
      "instance_rejected",
      "key",
      aValue.key,
      "reason",
      MessageOf(aReason));
}

bool
DirectoryKeeper::IsRejected(const DirectInstance& aInstance) const
{
  return this->rejected.contains(this->format.InstancesPrefix() +
                                 aInstance.server.Value());
}

void
DirectoryKeeper::MergeInstances(std::vector<DirectInstance> aRead,
                                TimePoint aNow)
{
  this->starts = LatestStarts(this->starts, aRead);
  Instances merged = LatestIncarnations(this->starts, std::move(aRead));
  // Entries may lapse while the store is away though their servers live. They
  // are back soon after its return; until then what is missing is kept.
  if (aNow < this->keepMissingUntil) {
    // One that is there but can't be read has not lapsed: it names no server.
    KeepMissing(merged, this->instances, [this](const DirectInstance& aOne) {
      return this->IsRejected(aOne);
    });
  }
  for (const auto& [name, instance] : this->instances) {
    const auto found = merged.find(name);
    if (found != merged.end()) {
      this->starts[instance.server] = instance.started;
      found->second.leaving = found->second.leaving || instance.leaving;
    }
  }
  if (merged == this->instances) {
    return;
  }
  this->instances = std::move(merged);
  std::vector<DirectInstance> list;
  for (const auto& [name, instance] : this->instances) {
    list.push_back(instance);
  }
  this->observer.OnInstances(list);
}

std::string
DirectoryKeeper::InstancesDocument(TimePoint aNow) const
{
  InstanceList list;
  list.age = std::chrono::duration_cast<milliseconds>(this->InstancesAge(aNow));
  for (const auto& [name, instance] : this->instances) {
    list.instances.push_back(instance);
  }
  return WriteInstanceList(list);
}

void
DirectoryKeeper::TakeInstances(std::string_view aDocument,
                               std::string_view aFrom)
{
  auto list = ReadInstanceList(aDocument);
  if (!list.ok()) {
    Log(LogLevel::Warning,
        "instances_rejected",
        "from",
        aFrom,
        "reason",
        MessageOf(list.status()));
    return;
  }
  const TimePoint now = Now();
  const TimePoint readAt = now - list->age;
  if (readAt <= this->instancesReadAt || list->instances.empty()) {
    return;
  }
  Log(LogLevel::Info,
      "instances_from_gateway",
      "from",
      aFrom,
      "count",
      list->instances.size(),
      "age_ms",
      list->age.count());
  this->instancesReadAt = readAt;
  this->MergeInstances(std::move(list->instances), now);
}

Duration
DirectoryKeeper::InstancesAge(TimePoint aNow) const
{
  return Between(this->instancesReadAt, aNow);
}

// Gateways.

void
DirectoryKeeper::TendMembership()
{
  if (this->leaving) {
    return;
  }
  if (this->leaseCall == nullptr) {
    if (this->lease == 0) {
      this->Join();
    } else {
      this->RenewLease();
    }
  }
  if (this->gatewaysCall == nullptr) {
    this->ReadGateways();
  }
}

void
DirectoryKeeper::Join()
{
  this->leaseCall = this->store.GrantLease(
    kLeaseTtl, [this](const absl::StatusOr<LeaseGrant>& aGrant) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (aGrant.ok()) {
        this->lease = aGrant->id;
        this->PutSelf();
      }
    });
}

void
DirectoryKeeper::PutSelf()
{
  Operation put;
  put.key =
    fmt::format("{}{}", kGatewaysPrefix, this->options.self.name.Value());
  put.value = WriteGatewayEntry(this->options.self.peers);
  put.lease = this->lease;
  Transaction transaction;
  transaction.then.push_back(std::move(put));
  this->leaseCall =
    this->store.Commit(transaction, [this](const WriteResult& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (aResult.outcome != WriteOutcome::Applied) {
        // Joins anew with the next period; a write that took effect after all
        // only names this gateway twice under one key.
        this->lease = 0;
      }
    });
}

void
DirectoryKeeper::RenewLease()
{
  this->leaseCall = this->store.KeepAlive(
    this->lease, [this](const absl::StatusOr<LeaseGrant>& aLeft) {
      const std::unique_ptr<StoreCall> ended = std::move(this->leaseCall);
      if (absl::IsNotFound(aLeft.status())) {
        this->lease = 0;
        this->Join();
      }
    });
}

void
DirectoryKeeper::ReadGateways()
{
  RangeQuery query;
  query.key = kGatewaysPrefix;
  query.isPrefix = true;
  // Seconds of age do no harm here, and such a read is cheap for the store.
  query.allowStale = true;
  this->gatewaysCall = this->store.Range(
    query, [this](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->gatewaysCall);
      if (aResult.ok()) {
        this->OnGatewaysRead(*aResult);
      }
    });
}

void
DirectoryKeeper::OnGatewaysRead(const RangeResult& aResult)
{
  std::vector<GatewayMember> read;
  for (const KeyValue& value : aResult.values) {
    auto address = ReadGatewayEntry(value.value);
    if (!address.ok()) {
      Log(LogLevel::Warning,
          "gateway_rejected",
          "key",
          value.key,
          "reason",
          MessageOf(address.status()));
      continue;
    }
    read.push_back({ InstanceName(value.key.substr(kGatewaysPrefix.size())),
                     *std::move(address) });
  }
  if (read != this->gateways) {
    this->gateways = std::move(read);
    Log(LogLevel::Info, "gateways", "count", this->gateways.size());
    this->observer.OnGateways(this->gateways);
  }
}

void
DirectoryKeeper::Leave()
{
  this->leaving = true;
  this->gatewaysTimer.Stop();
  if (this->lease != 0) {
    this->leaseCall =
      this->store.RevokeLease(this->lease, [](const WriteResult&) {});
  }
}

} // namespace dogwoodvale
