#include "DirectoryCache.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "PeerDocuments.h"

namespace dogwoodvale {

namespace {

/// Checksum of a list; never 0.
std::uint64_t
ChecksumOf(std::span<const DirectInstance> aRead,
           const std::map<std::string, std::string>& aRejected)
{
  // Entries come from the store in the order of their keys.
  std::string text;
  for (const DirectInstance& one : aRead) {
    text += fmt::format("{} {} {} {} {} {}\n",
                        one.name.Value(),
                        one.service.Value(),
                        one.address.ToString(),
                        one.dataCentre.Value(),
                        one.slots,
                        one.leaving);
  }
  for (const auto& [key, value] : aRejected) {
    text += fmt::format("{} {}\n", key, value);
  }
  return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

} // namespace

DirectoryCache::DirectoryCache(EventLoop& aLoop,
                               StoreClient& aStore,
                               const DirectoryFormat& aFormat,
                               Options aOptions,
                               DirectoryObserver& aObserver)
  : store(aStore)
  , format(aFormat)
  , options(std::move(aOptions))
  , observer(aObserver)
  , random(DrawIncarnation())
  , routes(aStore,
           aFormat,
           [this](std::shared_ptr<const RouteTable> aRoutes) {
             this->routesCheck.OnChanged();
             this->observer.OnRoutes(std::move(aRoutes));
           })
  , routesCheck(this->options.routesCheckPeriod, this->random)
  , routesTimer(
      aLoop,
      [this] { this->CheckRoutes(); },
      EventPriority::Control)
  , instancesTimer(aLoop, [this] { this->ReadIfDue(); })
  , roster(aLoop,
           aStore,
           this->options.self,
           [this](std::span<const GatewayMember> aGateways) {
             this->observer.OnGateways(aGateways);
           })
{
}

void
DirectoryCache::Start()
{
  this->routes.Start();
  this->CheckRoutes();
  this->ReadInstances();
  this->roster.Start();
}

void
DirectoryCache::Refresh(Duration aLost)
{
  this->routes.Rearm();
  // A read begun before the suspension would count as fresh when it ends.
  this->instancesCall.reset();
  if (this->HasInstances()) {
    // The clock does not advance while the machine is suspended.
    this->instancesReadAt = std::min(this->instancesReadAt, Now() - aLost);
    this->listChecksum = 0;
    this->isUnconfirmed = true;
  }
  this->ReadInstances();
}

void
DirectoryCache::CheckRoutes()
{
  const TimePoint now = Now();
  this->routesCheck.OnConfirmed(this->routes.HeardAt());
  // A store that leaves calls unanswered is noticed by these, and the watch is
  // renewed when it answers again.
  if (this->routesCheck.UntilDue(now) <= Duration::zero() &&
      this->storeAnswers) {
    this->routesCheck.OnAsked(now);
    this->routes.Check();
  }
  const Duration left = this->routesCheck.UntilDue(now);
  this->routesTimer.StartOnce(
    left > Duration::zero() ? left : this->options.routesCheckPeriod);
}

void
DirectoryCache::OnPeerRoutes(const RoutesStamp& aRoutes, TimePoint aNow)
{
  if (aRoutes.age && aRoutes.version == this->routes.Version()) {
    this->routesCheck.OnPeerConfirmed(aNow - *aRoutes.age);
  }
}

RoutesStamp
DirectoryCache::RoutesConfirmed(TimePoint aNow) const
{
  RoutesStamp stamp{ this->routes.Version(), std::nullopt };
  if (this->routes.HeardAt() != TimePoint{}) {
    stamp.age = std::chrono::ceil<milliseconds>(this->routes.Age(aNow));
  }
  return stamp;
}

void
DirectoryCache::ReadAgain()
{
  this->readsAgain = true;
  if (this->instancesCall == nullptr) {
    this->ScheduleReadAgain();
  }
}

void
DirectoryCache::ScheduleReadAgain()
{
  this->instancesTimer.StartOnce(std::max(
    kMinReadGap - Between(this->readBegunAt, Now()), Duration::zero()));
}

Duration
DirectoryCache::UntilDue(TimePoint aNow) const
{
  if (!this->options.sharesReads || this->readsAgain || !this->HasInstances() ||
      this->behindSince) {
    return Duration::zero();
  }
  const Duration period = this->options.instanceReadPeriod;
  const auto most = Duration(static_cast<Duration::rep>(
    kMaxOwnReadPeriods * static_cast<double>(period.count())));
  return std::min(period - this->InstancesAge(aNow),
                  most - Between(this->ownReadAt, aNow));
}

void
DirectoryCache::ReadIfDue()
{
  const Duration left = this->UntilDue(Now());
  if (left <= Duration::zero()) {
    this->ReadInstances();
  } else {
    this->instancesTimer.StartOnce(left);
  }
}

void
DirectoryCache::OnPeerList(const ListStamp& aList, TimePoint aNow)
{
  const TimePoint readAt = aNow - aList.age;
  if (aList.checksum != 0 && aList.checksum != this->listChecksum &&
      readAt > this->instancesReadAt) {
    this->contestedAt = aNow;
  }
  const bool isComparable =
    this->options.sharesReads && aList.checksum != 0 && this->listChecksum != 0;
  // Entries that are kept beyond the store's list are dropped only by an own
  // read, so it must not be postponed.
  const bool keepsExtraEntries = this->mergedAt < this->GraceEnd();
  if (!isComparable || keepsExtraEntries || readAt <= this->instancesReadAt) {
    return;
  }
  if (aList.checksum == this->listChecksum) {
    this->instancesReadAt = readAt;
    this->behindSince.reset();
    return;
  }
  if (!this->behindSince) {
    this->behindSince = aNow;
    std::uniform_int_distribution<Duration::rep> draw(0, kReadJitter.count());
    this->instancesTimer.StartOnce(Duration(draw(this->random)));
  }
}

TimePoint
DirectoryCache::GraceEnd() const
{
  return std::max({ this->keepMissingUntil,
                    this->hintsUntil,
                    this->departures.DistrustedUntil() });
}

ListStamp
DirectoryCache::List(TimePoint aNow) const
{
  return { this->listChecksum,
           std::chrono::ceil<milliseconds>(Between(this->ownReadAt, aNow)) };
}

bool
DirectoryCache::IsBehind(TimePoint aNow) const
{
  return this->behindSince &&
         Between(*this->behindSince, aNow) > kBehindThreshold;
}

void
DirectoryCache::ReadInstances()
{
  this->instancesTimer.StartOnce(this->options.instanceReadPeriod);
  if (this->instancesCall != nullptr) {
    return;
  }
  this->readsAgain = false;
  this->readBegunAt = Now();
  RangeQuery query;
  query.key = this->format.InstancesPrefix();
  query.isPrefix = true;
  // The first read may be stale, which is cheaper for the store: when all
  // gateways start at once, it can't serve their consistent reads of a long
  // list within a second, and a gateway whose read it rejects has no server to
  // send to. A list that is seconds old suffices until the next read, which is
  // consistent.
  query.allowStale = !this->HasInstances();
  this->instancesCall = this->store.Range(
    query,
    [this,
     mayBeOld = query.allowStale](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->instancesCall);
      this->OnInstancesRead(aResult, mayBeOld);
      if (this->readsAgain && this->instancesCall == nullptr) {
        this->ScheduleReadAgain();
      }
    });
}

void
DirectoryCache::OnPeerStoreContact(Duration aContact, TimePoint aNow)
{
  if (aContact <= Duration::zero()) {
    return;
  }
  const TimePoint since = aNow - aContact;
  const bool isExpired =
    Between(this->peerContactHeardAt, aNow) > kPeerContactTtl;
  if (isExpired || since <= this->peerContactSince) {
    this->peerContactSince = since;
    this->peerContactHeardAt = aNow;
  }
}

Duration
DirectoryCache::StoreContact(TimePoint aNow) const
{
  return this->storeAnswers && this->HasInstances()
           ? Between(this->contactSince, aNow)
           : Duration::zero();
}

bool
DirectoryCache::IsStoreSilent(TimePoint aNow) const
{
  return !this->storeAnswers &&
         Between(this->peerContactHeardAt, aNow) > kPeerContactTtl;
}

bool
DirectoryCache::WasDownForPeers(TimePoint aNow) const
{
  const bool hasReport =
    Between(this->peerContactHeardAt, aNow) <= kPeerContactTtl;
  return !hasReport || this->peerContactSince > this->lastAnswerAt;
}

void
DirectoryCache::OnStoreAnswer(bool aAnswers,
                              std::string_view aReason,
                              TimePoint aNow)
{
  if (aAnswers && !this->storeAnswers) {
    this->contactSince = aNow;
    // If the store has served another gateway throughout, no entry has expired
    // because of an outage: missing servers have left. Keeping them would send
    // requests to servers that announced their departure while only this
    // machine was cut off.
    if (this->WasDownForPeers(aNow)) {
      this->keepMissingUntil = aNow + kReturnGrace;
    }
  }
  if (aAnswers != this->storeAnswers) {
    Log(aAnswers ? LogLevel::Info : LogLevel::Warning,
        aAnswers ? "store_regained" : "store_lost",
        "reason",
        aReason,
        "last_answer_ms",
        WholeMillis(Between(this->lastAnswerAt, aNow)),
        "keeps_missing",
        this->keepMissingUntil > aNow);
  }
  this->storeAnswers = aAnswers;
  if (aAnswers) {
    this->lastAnswerAt = aNow;
  }
}

void
DirectoryCache::OnInstancesRead(const absl::StatusOr<RangeResult>& aResult,
                                bool aMayBeOld)
{
  const TimePoint now = Now();
  this->OnStoreAnswer(aResult.ok(), MessageOf(aResult.status()), now);
  if (!aResult.ok()) {
    return;
  }
  this->OnEra(aResult->era, now);
  if (!this->HasInstances()) {
    this->hintsUntil = now + kReturnGrace;
  }
  std::vector<DirectInstance> read;
  std::map<std::string, std::string> rejectedNow;
  for (const KeyValue& value : aResult->values) {
    auto parsed = this->format.ParseInstance(value.key, value.value);
    if (parsed.ok()) {
      if (!aMayBeOld) {
        this->OnEarlierStart(*parsed, value.modRevision);
      }
      read.push_back(*std::move(parsed));
      continue;
    }
    this->NoteRejected(value, parsed.status());
    rejectedNow.emplace(value.key, value.value);
  }
  this->rejected = std::move(rejectedNow);
  const TimePoint begun = this->readBegunAt;
  const TimePoint readAt = Between(begun, now) > kMaxReadTime ? begun : now;
  this->instancesReadAt = std::max(this->instancesReadAt, readAt);
  this->ownReadAt = readAt;
  this->isUnconfirmed = false;
  if (this->contestedAt && begun >= *this->contestedAt) {
    this->contestedAt.reset();
  }
  this->behindSince.reset();
  this->listChecksum = aMayBeOld ? 0 : ChecksumOf(read, this->rejected);
  this->MergeInstances(std::move(read), now);
  if (!aMayBeOld) {
    this->observer.OnListRead(begun);
  }
}

void
DirectoryCache::OnEarlierStart(const DirectInstance& aInstance,
                               Revision aRevision)
{
  const auto known = this->starts.find(aInstance.server);
  if (known == this->starts.end() || aInstance.started == 0 ||
      aInstance.started >= known->second) {
    this->contested.erase(aInstance.server);
    return;
  }
  Contested& seen = this->contested[aInstance.server];
  // A write of an earlier incarnation may come late, but once; a server that
  // lives writes again, so that the later start was another writer's.
  const bool isWrittenAgain =
    seen.started == aInstance.started && aRevision > seen.revision;
  if (!isWrittenAgain) {
    seen = { aInstance.started, aRevision };
    return;
  }
  Log(LogLevel::Warning,
      "instance_start_corrected",
      "instance",
      aInstance.name.Value(),
      "was",
      known->second);
  known->second = aInstance.started;
  this->contested.erase(aInstance.server);
}

void
DirectoryCache::NoteRejected(const KeyValue& aValue,
                             const absl::Status& aReason)
{
  // The list is read more than once a second, so an entry is logged only when
  // it changes.
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
DirectoryCache::IsRejected(const DirectInstance& aInstance) const
{
  return this->rejected.contains(this->format.InstancesPrefix() +
                                 aInstance.server.Value());
}

void
DirectoryCache::MergeInstances(std::vector<DirectInstance> aRead,
                               TimePoint aNow)
{
  this->mergedAt = aNow;
  this->starts = LatestStarts(this->starts, aRead);
  std::erase_if(this->contested, [this](const auto& aItem) {
    return !this->starts.contains(aItem.first);
  });
  Instances merged = LatestIncarnations(this->starts, std::move(aRead));
  this->departures.DropDeparted(merged, aNow);
  // Entries of live servers may expire while the store is unavailable. They are
  // written again soon after it recovers; until then missing ones are kept.
  if (aNow < this->keepMissingUntil) {
    // A malformed entry has not expired; its server is not kept.
    AddMissing(merged, this->instances, [this](const DirectInstance& aOne) {
      return this->IsRejected(aOne);
    });
  }
  this->AddHints(merged, aNow);
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
  this->departures.OnChange(this->instances, merged, aNow);
  this->instances = std::move(merged);
  this->observer.OnInstances(this->Listed());
}

std::vector<DirectInstance>
DirectoryCache::Listed() const
{
  std::vector<DirectInstance> list;
  for (const auto& [name, instance] : this->instances) {
    list.push_back(instance);
  }
  return list;
}

void
DirectoryCache::ApplyHints(std::span<const DirectInstance> aHints,
                           TimePoint aNow)
{
  for (const DirectInstance& hint : aHints) {
    if (!hint.leaving) {
      this->hints[hint.name] = hint;
    }
  }
  if (this->HasInstances()) {
    this->MergeInstances(this->Listed(), aNow);
  }
}

void
DirectoryCache::AddHints(Instances& aMerged, TimePoint aNow) const
{
  if (aNow >= this->hintsUntil || this->hints.empty()) {
    return;
  }
  Instances withHints = aMerged;
  AddMissing(withHints, this->hints, [this](const DirectInstance& aOne) {
    return this->IsRejected(aOne);
  });
  const std::size_t missing = withHints.size() - aMerged.size();
  const auto all = static_cast<double>(this->hints.size());
  if (static_cast<double>(missing) >= kMinMissingShare * all) {
    Log(LogLevel::Info,
        "instances_from_hints",
        "count",
        missing,
        "listed",
        aMerged.size());
    aMerged = std::move(withHints);
  }
}

void
DirectoryCache::OnEra(StoreEra aEra, TimePoint aNow)
{
  const StoreEra before = std::exchange(this->era, aEra);
  if (!this->HasInstances() || aEra == before) {
    return;
  }
  // Revisions start anew.
  this->contested.clear();
  // Live servers write their entries again. Entries of servers that have left
  // since the copy was made reappear until they expire.
  this->keepMissingUntil = aNow + kReturnGrace;
  this->departures.DistrustUntil(aNow + Departures::kEntryLifetime);
}

std::string
DirectoryCache::InstancesDocument(TimePoint aNow) const
{
  InstanceList list;
  list.age = std::chrono::duration_cast<milliseconds>(this->InstancesAge(aNow));
  list.instances = this->Listed();
  return WriteInstanceList(list);
}

void
DirectoryCache::ApplyInstances(std::string_view aDocument,
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
  this->listChecksum = 0;
  this->isUnconfirmed = false;
  this->behindSince.reset();
  this->MergeInstances(std::move(list->instances), now);
}

Duration
DirectoryCache::InstancesAge(TimePoint aNow) const
{
  return Between(this->instancesReadAt, aNow);
}

void
DirectoryCache::Leave()
{
  this->roster.Leave();
}

} // namespace dogwoodvale
