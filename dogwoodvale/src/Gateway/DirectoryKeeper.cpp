#include "DirectoryKeeper.h"

#include <algorithm>
#include <utility>

#include <json/json.h>

namespace dogwoodvale {

namespace {

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, aValue);
}

bool
ReadJson(std::string_view aText, Json::Value& aValue)
{
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  return reader->parse(
    aText.data(), aText.data() + aText.size(), &aValue, nullptr);
}

} // namespace

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
  for (const KeyValue& value : aResult->values) {
    auto parsed = this->format.ParseInstance(value.key, value.value);
    if (parsed.ok()) {
      read.push_back(*std::move(parsed));
    } else {
      Log(LogLevel::Warning,
          "instance_rejected",
          "key",
          value.key,
          "reason",
          MessageOf(parsed.status()));
    }
  }
  this->instancesReadAt = now;
  this->MergeInstances(std::move(read), now);
}

void
DirectoryKeeper::MergeInstances(std::vector<DirectInstance> aRead,
                                TimePoint aNow)
{
  std::map<InstanceName, DirectInstance> merged;
  for (DirectInstance& instance : aRead) {
    merged[instance.name] = std::move(instance);
  }
  // Entries may lapse while the store is away though their servers live. They
  // are back soon after its return; until then what is missing is kept.
  if (aNow < this->keepMissingUntil) {
    for (const auto& [name, instance] : this->instances) {
      merged.try_emplace(name, instance);
    }
  }
  for (const auto& [name, instance] : this->instances) {
    const auto found = merged.find(name);
    if (found != merged.end()) {
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
  Json::Value document;
  document["age_ms"] = Json::Int64(this->InstancesAge(aNow).count() / 1000);
  Json::Value& list = document["instances"] = Json::arrayValue;
  for (const auto& [name, instance] : this->instances) {
    Json::Value one;
    one["name"] = name.Value();
    one["service"] = instance.service.Value();
    one["address"] = instance.address.ToString();
    one["data_centre"] = instance.dataCentre.Value();
    one["slots"] = instance.slots;
    one["leaving"] = instance.leaving;
    list.append(one);
  }
  return WriteJson(document);
}

void
DirectoryKeeper::TakeInstances(std::string_view aDocument,
                               std::string_view aFrom)
{
  Json::Value document;
  if (!ReadJson(aDocument, document) || !document.isObject() ||
      !document["instances"].isArray()) {
    Log(LogLevel::Warning, "instances_rejected", "from", aFrom);
    return;
  }
  const TimePoint now = Now();
  const TimePoint readAt = now - milliseconds(document["age_ms"].asInt64());
  if (readAt <= this->instancesReadAt) {
    return;
  }
  std::vector<DirectInstance> read;
  for (const Json::Value& one : document["instances"]) {
    auto address = SocketAddress::Parse(one["address"].asString());
    if (!address.ok()) {
      continue;
    }
    read.push_back({ InstanceName(one["name"].asString()),
                     ServiceName(one["service"].asString()),
                     *address,
                     DataCentreName(one["data_centre"].asString()),
                     one["slots"].asUInt(),
                     one["leaving"].asBool() });
  }
  if (read.empty()) {
    return;
  }
  Log(LogLevel::Info,
      "instances_from_gateway",
      "from",
      aFrom,
      "count",
      read.size(),
      "age_ms",
      document["age_ms"].asInt64());
  this->instancesReadAt = readAt;
  this->MergeInstances(std::move(read), now);
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
  Json::Value value;
  value["peers"] = this->options.self.peers.ToString();
  Operation put;
  put.key =
    fmt::format("{}{}", kGatewaysPrefix, this->options.self.name.Value());
  put.value = WriteJson(value);
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
    Json::Value parsed;
    if (!ReadJson(value.value, parsed) || !parsed.isObject()) {
      continue;
    }
    auto address = SocketAddress::Parse(parsed["peers"].asString());
    if (address.ok()) {
      read.push_back(
        { InstanceName(value.key.substr(kGatewaysPrefix.size())), *address });
    }
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
