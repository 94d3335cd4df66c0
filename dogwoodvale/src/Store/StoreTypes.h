#ifndef DOGWOODVALE_STORE_STORETYPES_H
#define DOGWOODVALE_STORE_STORETYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The store's counter of changes, over all keys.
using Revision = std::int64_t;
using LeaseId = std::int64_t;
/// How often the store has come back from an older copy of its data. What it
/// acknowledged since that copy is gone, leases are, and revisions are given
/// out again: those of two eras don't compare. 0 where the store doesn't tell.
using StoreEra = std::uint64_t;

struct KeyValue
{
  std::string key;
  std::string value;
  /// Of the change that created the key; a new life of a key has a new one.
  Revision createRevision = 0;
  /// Of the key's latest change.
  Revision modRevision = 0;
  /// Changes since creation.
  std::int64_t version = 0;
  /// 0: none.
  LeaseId lease = 0;
};

struct RangeQuery
{
  std::string key;
  /// All keys that start with \c key.
  bool isPrefix = false;
  /// 0: no bound.
  std::int64_t limit = 0;
  /// The answer may be some seconds old; cheaper for the store.
  bool allowStale = false;
  /// Answer with keys alone.
  bool keysOnly = false;
};

struct RangeResult
{
  /// The store's revision when it answered.
  Revision revision = 0;
  std::vector<KeyValue> values;
  bool hasMore = false;
  /// All values are of this era.
  StoreEra era = 0;
};

/// Holds if the key's property equals the value; an absent key has revisions
/// and version 0.
struct Compare
{
  enum class Target : std::uint8_t
  {
    CreateRevision,
    ModRevision,
    Version,
    Value,
  };
  std::string key;
  Target target = Target::ModRevision;
  std::int64_t number = 0;
  /// For Target::Value.
  std::string value;
};

struct Operation
{
  enum class Kind : std::uint8_t
  {
    Put,
    Delete,
    Range,
  };
  Kind kind = Kind::Put;
  std::string key;
  std::string value;
  LeaseId lease = 0;
  /// For Delete and Range.
  bool isPrefix = false;
};

/// All of \c then if all of \c when holds, else all of \c otherwise; whole or
/// not at all.
struct Transaction
{
  std::vector<Compare> when;
  std::vector<Operation> then;
  std::vector<Operation> otherwise;
};

/// What became of a write.
enum class WriteOutcome : std::uint8_t
{
  Applied,
  /// It took no effect and never will.
  NotApplied,
  /// It was sent and no answer came: read back to settle it.
  Unknown,
};

std::string_view
WriteOutcomeName(WriteOutcome aOutcome);

struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  /// OK when applied; FailedPrecondition when a comparison did not hold; else
  /// why it was refused or what was lost.
  absl::Status status;
  /// The store's revision after it, if known.
  Revision revision = 0;
  /// What the range operations of the branch that ran have read, in order.
  std::vector<std::vector<KeyValue>> reads;
  StoreEra era = 0;
};

struct LeaseGrant
{
  LeaseId id = 0;
  Duration ttl{ 0 };
  StoreEra era = 0;
};

/// One change of a key.
struct StoreChange
{
  enum class Kind : std::uint8_t
  {
    Put,
    Delete,
  };
  Kind kind = Kind::Put;
  KeyValue value;
};

} // namespace dogwoodvale

#endif
