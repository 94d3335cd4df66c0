#ifndef DOGWOODVALE_STANDINS_KVSTORE_H
#define DOGWOODVALE_STANDINS_KVSTORE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// One key, or all from `key` up to `end` (exclusive), as in etcd: an end of
/// one zero byte means no upper bound.
struct KeyRange
{
  std::string key;
  std::string end; ///< empty for one key

  bool Contains(const std::string& aKey) const;
};

struct KeyValue
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct StoreEvent
{
  bool isDelete = false;
  KeyValue kv; ///< of a deletion only the key and its revision
  std::optional<KeyValue> previous;
  std::int64_t previousTtl = 0; ///< of the lease of `previous`, in seconds
};

/// A condition of a transaction.
struct Compare
{
  enum class Target
  {
    Version,
    Create,
    Mod,
    Value,
    Lease,
  };
  enum class Result
  {
    Equal,
    Greater,
    Less,
    NotEqual,
  };
  Target target = Target::Version;
  Result result = Result::Equal;
  std::string key;
  std::int64_t number = 0; ///< for all targets but Value
  std::string value;
};

/// One step of a transaction; a plain put, range or deletion is one of one.
struct Operation
{
  enum class Kind
  {
    Range,
    Put,
    Delete,
  };
  Kind kind = Kind::Range;
  KeyRange range;
  std::string value;
  std::int64_t lease = 0;
  std::size_t limit = 0; ///< 0 for none
};

struct OperationResult
{
  Operation::Kind kind = Operation::Kind::Range;
  std::vector<KeyValue> kvs; ///< found, or what was there before
  std::int64_t count = 0;    ///< found regardless of the limit, or deleted
};

/// The store's data with revisions, leases and history, as etcd's; no I/O.
class KvStore
{
public:
  std::int64_t Revision() const { return this->revision; }
  std::int64_t CompactRevision() const { return this->compactRevision; }

  bool Holds(const Compare& aCompare) const;
  /// Applies all at one revision, or none: NotFound for an unknown lease.
  absl::StatusOr<std::vector<OperationResult>> Apply(
    std::span<const Operation> aOperations);

  /// Events at \p aRevision and later on keys of \p aRange, oldest first.
  std::vector<StoreEvent> EventsFrom(std::int64_t aRevision,
                                     const KeyRange& aRange) const;
  /// Forgets the history before \p aRevision; OutOfRange if it has been
  /// forgotten already or lies in the future.
  absl::Status Compact(std::int64_t aRevision);
  /// Brings the data of \p aRevision back, as a restored backup would;
  /// OutOfRange as with Compact.
  absl::Status RollBackTo(std::int64_t aRevision, TimePoint aNow);

  /// \param aId 0 draws one. \return nothing if the id is taken.
  std::optional<std::int64_t> Grant(std::int64_t aId,
                                    std::int64_t aTtlSeconds,
                                    TimePoint aNow);
  /// Deletes the lease and its keys; false if there is none.
  bool Revoke(std::int64_t aId);
  /// \return the seconds granted anew, nothing if there is no such lease.
  std::optional<std::int64_t> KeepAlive(std::int64_t aId, TimePoint aNow);

  struct LeaseInfo
  {
    std::int64_t leftSeconds;
    std::int64_t grantedSeconds;
    std::vector<std::string> keys;
  };
  std::optional<LeaseInfo> TimeToLive(std::int64_t aId, TimePoint aNow) const;
  /// \return whether any had lapsed.
  bool ExpireLeases(TimePoint aNow);

private:
  struct Lease
  {
    std::int64_t ttlSeconds;
    TimePoint expiry;
  };
  using Data = std::map<std::string, KeyValue>;

  std::vector<std::string> KeysIn(const KeyRange& aRange) const;
  std::vector<std::string> KeysOf(std::int64_t aLease) const;
  OperationResult ApplyOne(const Operation& aOperation, std::int64_t aRevision);
  OperationResult Read(const Operation& aOperation) const;
  void Remember(StoreEvent aEvent);
  void Put(const Operation& aOperation, std::int64_t aRevision);
  void Delete(const std::string& aKey, std::int64_t aRevision);
  void Undo(const StoreEvent& aEvent, TimePoint aNow);

  Data data;
  std::deque<StoreEvent> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 1;
  std::int64_t compactRevision = 0;
  /// Beyond what a double holds, as the real ids are.
  std::int64_t nextLease = 7587862072907233281;
};

} // namespace dogwoodvale::standins

#endif
