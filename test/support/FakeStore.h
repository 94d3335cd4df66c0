#ifndef DOGWOODVALE_TEST_SUPPORT_FAKESTORE_H
#define DOGWOODVALE_TEST_SUPPORT_FAKESTORE_H

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "dogwoodvale/Store"

namespace dogwoodvale::test {

/// The platform's store in this process: keys, revisions, leases and watches,
/// with outages, lost replies and older data on demand.
class FakeStore : public StoreClient
{
public:
  explicit FakeStore(EventLoop& aLoop)
    : loop(aLoop)
  {
  }

  enum class Mode : std::uint8_t
  {
    Up,
    Down,
    /// What is asked for happens and the reply is lost.
    LosesReplies,
    /// More reads than it serves in a second; only stale ones are not counted.
    OnlyStaleReads,
  };
  Mode mode = Mode::Up;
  Duration latency{ 0 };

  std::string ValueOf(const std::string& aKey) const
  {
    const auto found = this->data.find(aKey);
    return found == this->data.end() ? "" : found->second.value;
  }
  /// The store comes back as an older copy of itself: leases are gone, and
  /// numbers of leases and revisions are given out again.
  void Rewind(std::map<std::string, KeyValue> aData)
  {
    ++this->era;
    this->leases.clear();
    this->lastLease = 0;
    std::erase_if(aData,
                  [](const auto& aItem) { return aItem.second.lease != 0; });
    this->Restore(std::move(aData));
  }
  StoreEra Era() const override { return this->toldEra; }
  /// All data; give it back to Restore() for a store that lost what came since.
  std::map<std::string, KeyValue> Backup() const { return this->data; }
  void Restore(std::map<std::string, KeyValue> aData)
  {
    this->data = std::move(aData);
    this->revision = 1;
    for (const auto& [key, value] : this->data) {
      this->revision = std::max(this->revision, value.modRevision);
    }
    for (Watcher* watcher : this->watchers) {
      watcher->Snapshot();
    }
  }
  void Write(const std::string& aKey, const std::string& aValue)
  {
    this->Apply({ .kind = Operation::Kind::Put, .key = aKey, .value = aValue },
                nullptr);
  }
  void ExpireLease(LeaseId aLease)
  {
    this->leases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : this->data) {
      if (value.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Apply({ .kind = Operation::Kind::Delete, .key = key, .value = {} },
                  nullptr);
    }
  }
  std::size_t GrantedLeases() const { return this->leases.size(); }
  std::size_t Watchers() const { return this->watchers.size(); }

  std::unique_ptr<StoreCall> Range(const RangeQuery& aQuery,
                                   RangeHandler aHandler) override
  {
    return this->Later([this, aQuery, aHandler] {
      const bool isServed =
        this->mode == Mode::Up ||
        (this->mode == Mode::OnlyStaleReads && aQuery.allowStale);
      if (!isServed) {
        aHandler(absl::UnavailableError("store down"));
        return;
      }
      this->toldEra = this->era;
      aHandler(RangeResult{ .revision = this->revision,
                            .values = this->Read(aQuery.key, aQuery.isPrefix),
                            .era = this->era });
    });
  }

  std::unique_ptr<StoreCall> Commit(const Transaction& aTransaction,
                                    WriteHandler aHandler) override
  {
    return this->Later([this, aTransaction, aHandler] {
      if (this->mode == Mode::Down) {
        aHandler({ .outcome = WriteOutcome::NotApplied,
                   .status = absl::UnavailableError("store down"),
                   .reads = {} });
        return;
      }
      WriteResult result = this->Run(aTransaction);
      result.era = this->era;
      if (this->mode == Mode::LosesReplies) {
        aHandler({ .outcome = WriteOutcome::Unknown,
                   .status = absl::DeadlineExceededError("no answer in time"),
                   .reads = {} });
        return;
      }
      this->toldEra = this->era;
      aHandler(result);
    });
  }

  std::unique_ptr<StoreCall> GrantLease(Duration aTtl,
                                        LeaseHandler aHandler) override
  {
    return this->Later([this, aTtl, aHandler] {
      if (this->mode != Mode::Up) {
        aHandler(absl::UnavailableError("store down"));
        return;
      }
      this->leases[++this->lastLease] = aTtl;
      this->toldEra = this->era;
      aHandler(LeaseGrant{ this->lastLease, aTtl, this->era });
    });
  }

  std::unique_ptr<StoreCall> KeepAlive(LeaseId aLease,
                                       LeaseHandler aHandler) override
  {
    return this->Later([this, aLease, aHandler] {
      if (this->mode != Mode::Up) {
        aHandler(absl::UnavailableError("store down"));
      } else if (!this->leases.contains(aLease)) {
        aHandler(absl::NotFoundError("the lease has lapsed"));
      } else {
        this->toldEra = this->era;
        aHandler(LeaseGrant{ aLease, this->leases[aLease], this->era });
      }
    });
  }

  std::unique_ptr<StoreCall> RevokeLease(LeaseId aLease,
                                         WriteHandler aHandler) override
  {
    return this->Later([this, aLease, aHandler] {
      this->ExpireLease(aLease);
      aHandler({ .outcome = WriteOutcome::Applied, .status = {}, .reads = {} });
    });
  }

  std::unique_ptr<StoreWatch> Watch(const std::string& aPrefix,
                                    StoreWatchHandler& aHandler) override
  {
    ++this->calls;
    return std::make_unique<Watcher>(*this, aPrefix, aHandler);
  }

  std::uint64_t CallsSent() const override { return this->calls; }

private:
  class DelayedCall : public StoreCall
  {
  public:
    DelayedCall(EventLoop& aLoop, Duration aDelay, std::function<void()> aRun)
      : timer(aLoop, std::move(aRun))
    {
      this->timer.StartOnce(aDelay);
    }

  private:
    Timer timer;
  };

  class Watcher : public StoreWatch
  {
  public:
    Watcher(FakeStore& aStore, std::string aPrefix, StoreWatchHandler& aHandler)
      : store(aStore)
      , prefix(std::move(aPrefix))
      , handler(aHandler)
      , timer(aStore.loop, [this] { this->Snapshot(); })
    {
      this->store.watchers.insert(this);
      this->timer.StartOnce(aStore.latency);
    }
    ~Watcher() override { this->store.watchers.erase(this); }
    Watcher(const Watcher&) = delete;
    Watcher& operator=(const Watcher&) = delete;

    void Rearm() override { this->timer.StartOnce(this->store.latency); }
    void Check() override { this->Rearm(); }

    void Snapshot()
    {
      if (this->store.mode == Mode::Down) {
        this->handler.OnLost(absl::UnavailableError("store down"));
        this->timer.StartOnce(milliseconds(5));
        return;
      }
      this->handler.OnContact();
      this->handler.OnSnapshot(this->store.revision,
                               this->store.Read(this->prefix, true));
    }
    void OnChange(const StoreChange& aChange)
    {
      if (this->store.mode == Mode::Down) {
        this->timer.StartOnce(milliseconds(5));
      } else if (aChange.value.key.starts_with(this->prefix)) {
        this->handler.OnChanges(this->store.revision, std::span(&aChange, 1));
      }
    }

  private:
    FakeStore& store;
    std::string prefix;
    StoreWatchHandler& handler;
    Timer timer;
  };

  std::unique_ptr<StoreCall> Later(std::function<void()> aRun)
  {
    ++this->calls;
    return std::make_unique<DelayedCall>(
      this->loop, this->latency, std::move(aRun));
  }

  std::vector<KeyValue> Read(const std::string& aKey, bool aIsPrefix) const
  {
    std::vector<KeyValue> values;
    for (auto it = this->data.lower_bound(aKey); it != this->data.end(); ++it) {
      if (it->first != aKey && !(aIsPrefix && it->first.starts_with(aKey))) {
        break;
      }
      values.push_back(it->second);
    }
    return values;
  }

  bool Holds(const Compare& aCompare) const
  {
    const auto found = this->data.find(aCompare.key);
    const KeyValue value =
      found == this->data.end() ? KeyValue{} : found->second;
    switch (aCompare.target) {
      case Compare::Target::CreateRevision:
        return value.createRevision == aCompare.number;
      case Compare::Target::ModRevision:
        return value.modRevision == aCompare.number;
      case Compare::Target::Version:
        return value.version == aCompare.number;
      case Compare::Target::Value:
        return value.value == aCompare.value;
    }
    return false;
  }

  WriteResult Run(const Transaction& aTransaction)
  {
    const bool holds =
      std::all_of(aTransaction.when.begin(),
                  aTransaction.when.end(),
                  [&](const Compare& aOne) { return this->Holds(aOne); });
    WriteResult result{ .outcome = holds ? WriteOutcome::Applied
                                         : WriteOutcome::NotApplied,
                        .status = holds
                                    ? absl::OkStatus()
                                    : absl::FailedPreconditionError("changed"),
                        .reads = {} };
    for (const Operation& operation :
         holds ? aTransaction.then : aTransaction.otherwise) {
      this->Apply(operation, &result);
    }
    result.revision = this->revision;
    return result;
  }

  void Apply(const Operation& aOperation, WriteResult* aResult)
  {
    if (aOperation.kind == Operation::Kind::Range) {
      aResult->reads.push_back(this->Read(aOperation.key, aOperation.isPrefix));
      return;
    }
    StoreChange change;
    change.value.key = aOperation.key;
    if (aOperation.kind == Operation::Kind::Delete) {
      change.kind = StoreChange::Kind::Delete;
      if (this->data.erase(aOperation.key) == 0) {
        return;
      }
      ++this->revision;
    } else {
      KeyValue& value = this->data[aOperation.key];
      ++this->revision;
      value.key = aOperation.key;
      value.value = aOperation.value;
      value.lease = aOperation.lease;
      value.modRevision = this->revision;
      value.createRevision =
        value.version == 0 ? this->revision : value.createRevision;
      ++value.version;
      change.value = value;
    }
    const std::set<Watcher*> told = this->watchers;
    for (Watcher* watcher : told) {
      watcher->OnChange(change);
    }
  }

  EventLoop& loop;
  std::map<std::string, KeyValue> data;
  std::map<LeaseId, Duration> leases;
  std::set<Watcher*> watchers;
  Revision revision = 1;
  LeaseId lastLease = 0;
  StoreEra era = 1;
  /// The newest that an answer has told.
  StoreEra toldEra = 0;
  std::uint64_t calls = 0;
};

} // namespace dogwoodvale::test

#endif
