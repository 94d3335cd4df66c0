#ifndef DOGWOODVALE_STORE_STORETYPES_H
#define DOGWOODVALE_STORE_STORETYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The store's change counter, shared by all keys.
using Revision = std::int64_t;
using LeaseId = std::int64_t;
/// How many times the store was restored from an older copy of its data. A
/// restore loses all writes acknowledged since that copy and all leases, and
/// assigns the same revisions and lease ids again; so revisions of different
/// eras are not comparable. 0 if the store does not report it.
using StoreEra = std::uint64_t;

struct KeyValue
{
  std::string key;
  std::string value;
  /// Revision of the change that created the key; a key that was deleted and
  /// created again has a new one.
  Revision createRevision = 0;
  /// Revision of the key's latest change.
  Revision modRevision = 0;
  /// Number of changes since creation; 1 after creation.
  std::int64_t version = 0;
  /// The lease the key is attached to; 0: none.
  LeaseId lease = 0;
};

struct RangeQuery
{
  std::string key;
  /// All keys that start with \c key.
  bool isPrefix = false;
  /// Maximum number of values returned; 0: unlimited.
  std::int64_t limit = 0;
  /// Accepts a result that is some seconds old, which is cheaper for the store.
  bool allowStale = false;
  /// Leaves the values out of the result.
  bool keysOnly = false;
};

struct RangeResult
{
  /// The store's revision when it answered.
  Revision revision = 0;
  std::vector<KeyValue> values;
  bool hasMore = false;
  /// The era of all values.
  StoreEra era = 0;
};

/// Holds if the property \c target of the key equals \c number (\c value for
/// Target::Value). An absent key has revisions and version 0.
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

/// Runs all of \c then if all comparisons of \c when hold, else all of
/// \c otherwise. Atomic.
struct Transaction
{
  std::vector<Compare> when;
  std::vector<Operation> then;
  std::vector<Operation> otherwise;
};

/// The outcome of a write.
enum class WriteOutcome : std::uint8_t
{
  Applied,
  /// It took no effect and never will.
  NotApplied,
  /// It was sent and no valid response came, so it may or may not have taken
  /// effect: read the key back to find out.
  Unknown,
};

std::string_view
WriteOutcomeName(WriteOutcome aOutcome);

struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  /// OK when applied; FailedPrecondition when a comparison did not hold; else
  /// the error of the store or of the connection.
  absl::Status status;
  /// The store's revision after the write; 0 if unknown.
  Revision revision = 0;
  /// Results of the range operations of the branch that ran, in order.
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
