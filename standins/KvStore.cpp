#include "KvStore.h"

#include <algorithm>

namespace dogwoodvale::standins {

namespace {

/// More compacts the oldest, so that memory is bounded.
constexpr std::size_t kMaxHistory = 100000;
const std::string kNoEnd(1, '\0');

template<class T>
bool
Fits(Compare::Result aResult, const T& aHeld, const T& aWanted)
{
  switch (aResult) {
    case Compare::Result::Equal:
      return aHeld == aWanted;
    case Compare::Result::Greater:
      return aHeld > aWanted;
    case Compare::Result::Less:
      return aHeld < aWanted;
    case Compare::Result::NotEqual:
      return aHeld != aWanted;
  }
  return false;
}

std::int64_t
NumberOf(const KeyValue& aKv, Compare::Target aTarget)
{
  switch (aTarget) {
    case Compare::Target::Create:
      return aKv.createRevision;
    case Compare::Target::Mod:
      return aKv.modRevision;
    case Compare::Target::Lease:
      return aKv.lease;
    default:
      return aKv.version;
  }
}

bool
IsBefore(const StoreEvent& aEvent, std::int64_t aRevision)
{
  return aEvent.kv.modRevision < aRevision;
}

} // namespace

bool
KeyRange::Contains(const std::string& aKey) const
{
  if (this->end.empty()) {
    return aKey == this->key;
  }
  return aKey >= this->key && (this->end == kNoEnd || aKey < this->end);
}

bool
KvStore::Holds(const Compare& aCompare) const
{
  const auto found = this->data.find(aCompare.key);
  const bool exists = found != this->data.end();
  if (aCompare.target == Compare::Target::Value) {
    // As in etcd, no condition on the value holds for an absent key.
    return exists && Fits(aCompare.result, found->second.value, aCompare.value);
  }
  const KeyValue absent;
  return Fits(aCompare.result,
              NumberOf(exists ? found->second : absent, aCompare.target),
              aCompare.number);
}

absl::StatusOr<std::vector<OperationResult>>
KvStore::Apply(std::span<const Operation> aOperations)
{
  for (const Operation& operation : aOperations) {
    if (operation.lease != 0 && !this->leases.contains(operation.lease)) {
      return absl::NotFoundError("etcdserver: requested lease not found");
    }
  }
  const std::int64_t next = this->revision + 1;
  std::vector<OperationResult> results;
  results.reserve(aOperations.size());
  for (const Operation& operation : aOperations) {
    results.push_back(this->ApplyOne(operation, next));
  }
  if (!this->history.empty() && this->history.back().kv.modRevision == next) {
    this->revision = next;
  }
  return results;
}

OperationResult
KvStore::ApplyOne(const Operation& aOperation, std::int64_t aRevision)
{
  OperationResult result = this->Read(aOperation);
  if (aOperation.kind == Operation::Kind::Put) {
    this->Put(aOperation, aRevision);
  } else if (aOperation.kind == Operation::Kind::Delete) {
    for (const KeyValue& kv : result.kvs) {
      this->Delete(kv.key, aRevision);
    }
  }
  return result;
}

OperationResult
KvStore::Read(const Operation& aOperation) const
{
  OperationResult result;
  result.kind = aOperation.kind;
  for (const std::string& key : this->KeysIn(aOperation.range)) {
    ++result.count;
    if (aOperation.limit == 0 || result.kvs.size() < aOperation.limit) {
      result.kvs.push_back(this->data.at(key));
    }
  }
  return result;
}

std::vector<std::string>
KvStore::KeysIn(const KeyRange& aRange) const
{
  std::vector<std::string> keys;
  for (auto at = this->data.lower_bound(aRange.key);
       at != this->data.end() && aRange.Contains(at->first);
       ++at) {
    keys.push_back(at->first);
  }
  return keys;
}

void
KvStore::Put(const Operation& aOperation, std::int64_t aRevision)
{
  StoreEvent event;
  const auto [at, isNew] = this->data.try_emplace(aOperation.range.key);
  KeyValue& kv = at->second;
  if (!isNew) {
    event.previous = kv;
  }
  kv.key = aOperation.range.key;
  kv.value = aOperation.value;
  kv.createRevision = isNew ? aRevision : kv.createRevision;
  kv.modRevision = aRevision;
  ++kv.version;
  kv.lease = aOperation.lease;
  event.kv = kv;
  this->Remember(std::move(event));
}

void
KvStore::Delete(const std::string& aKey, std::int64_t aRevision)
{
  StoreEvent event;
  event.isDelete = true;
  event.kv.key = aKey;
  event.kv.modRevision = aRevision;
  event.previous = std::move(this->data.at(aKey));
  this->data.erase(aKey);
  this->Remember(std::move(event));
}

void
KvStore::Remember(StoreEvent aEvent)
{
  if (aEvent.previous && aEvent.previous->lease != 0) {
    const auto lease = this->leases.find(aEvent.previous->lease);
    aEvent.previousTtl =
      lease == this->leases.end() ? 0 : lease->second.ttlSeconds;
  }
  this->history.push_back(std::move(aEvent));
  if (this->history.size() > kMaxHistory) {
    this->compactRevision = this->history.front().kv.modRevision + 1;
    this->history.pop_front();
  }
}

std::vector<StoreEvent>
KvStore::EventsFrom(std::int64_t aRevision, const KeyRange& aRange) const
{
  std::vector<StoreEvent> events;
  for (auto at = std::lower_bound(
         this->history.begin(), this->history.end(), aRevision, IsBefore);
       at != this->history.end();
       ++at) {
    if (aRange.Contains(at->kv.key)) {
      events.push_back(*at);
    }
  }
  return events;
}

absl::Status
KvStore::Compact(std::int64_t aRevision)
{
  if (aRevision <= this->compactRevision) {
    return absl::OutOfRangeError(
      "etcdserver: mvcc: required revision has been compacted");
  }
  if (aRevision > this->revision) {
    return absl::OutOfRangeError(
      "etcdserver: mvcc: required revision is a future revision");
  }
  this->compactRevision = aRevision;
  this->history.erase(
    this->history.begin(),
    std::lower_bound(
      this->history.begin(), this->history.end(), aRevision, IsBefore));
  return absl::OkStatus();
}

absl::Status
KvStore::RollBackTo(std::int64_t aRevision, TimePoint aNow)
{
  if (aRevision < std::max<std::int64_t>(this->compactRevision, 1) ||
      aRevision > this->revision) {
    return absl::OutOfRangeError("no history of that revision");
  }
  while (!this->history.empty() &&
         !IsBefore(this->history.back(), aRevision + 1)) {
    this->Undo(this->history.back(), aNow);
    this->history.pop_back();
  }
  this->revision = aRevision;
  return absl::OkStatus();
}

void
KvStore::Undo(const StoreEvent& aEvent, TimePoint aNow)
{
  if (!aEvent.previous) {
    this->data.erase(aEvent.kv.key);
    return;
  }
  this->data[aEvent.kv.key] = *aEvent.previous;
  if (aEvent.previous->lease != 0) {
    this->Grant(aEvent.previous->lease, aEvent.previousTtl, aNow);
  }
}

std::optional<std::int64_t>
KvStore::Grant(std::int64_t aId, std::int64_t aTtlSeconds, TimePoint aNow)
{
  const std::int64_t id = aId != 0 ? aId : this->nextLease++;
  const std::int64_t ttl = std::max<std::int64_t>(aTtlSeconds, 1);
  if (!this->leases.try_emplace(id, Lease{ ttl, aNow + seconds(ttl) }).second) {
    return std::nullopt;
  }
  return id;
}

bool
KvStore::Revoke(std::int64_t aId)
{
  if (!this->leases.contains(aId)) {
    return false;
  }
  const std::int64_t next = this->revision + 1;
  for (const std::string& key : this->KeysOf(aId)) {
    this->Delete(key, next);
    this->revision = next;
  }
  this->leases.erase(aId);
  return true;
}

std::optional<std::int64_t>
KvStore::KeepAlive(std::int64_t aId, TimePoint aNow)
{
  const auto found = this->leases.find(aId);
  if (found == this->leases.end()) {
    return std::nullopt;
  }
  found->second.expiry = aNow + seconds(found->second.ttlSeconds);
  return found->second.ttlSeconds;
}

std::optional<KvStore::LeaseInfo>
KvStore::TimeToLive(std::int64_t aId, TimePoint aNow) const
{
  const auto found = this->leases.find(aId);
  if (found == this->leases.end()) {
    return std::nullopt;
  }
  const auto left =
    std::chrono::ceil<seconds>(found->second.expiry - aNow).count();
  return LeaseInfo{ std::max<std::int64_t>(left, 0),
                    found->second.ttlSeconds,
                    this->KeysOf(aId) };
}

std::vector<std::string>
KvStore::KeysOf(std::int64_t aLease) const
{
  std::vector<std::string> keys;
  for (const auto& [key, kv] : this->data) {
    if (kv.lease == aLease) {
      keys.push_back(key);
    }
  }
  return keys;
}

bool
KvStore::ExpireLeases(TimePoint aNow)
{
  std::vector<std::int64_t> lapsed;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expiry <= aNow) {
      lapsed.push_back(id);
    }
  }
  for (const std::int64_t id : lapsed) {
    this->Revoke(id);
  }
  return !lapsed.empty();
}

} // namespace dogwoodvale::standins
