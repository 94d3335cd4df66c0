#ifndef DOGWOODVALE_REQUESTS_STARTRECORD_H
#define DOGWOODVALE_REQUESTS_STARTRECORD_H

#include <cstddef>
#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Limits of a StartRecord.
struct StartRecordSettings
{
  /// Retention time of ids. Longer than the lifetime of any request, including
  /// its time in transit.
  Duration window = seconds(900);
  /// Maximum number of ids held individually.
  std::size_t maxIds = 65536;
  /// Maximum number of entry incarnations held. When the limit is reached,
  /// requests of a new incarnation are refused.
  std::size_t maxEntries = 8192;
  /// An entry incarnation that sent nothing for this long has terminated; none
  /// of its connections, or messages written to them, can remain.
  seconds entryTimeToLive{ 24 * 3600 };
};

/// Authoritative record, held by the sidecar, of the requests that were started
/// at its backend server. After a request was sent, only this record can
/// establish NotRun.
///
/// Call Begin() right before the request is sent to the engine, and Bar()
/// before NotRun is reported to anyone. If Begin() returns false, answer with
/// the result of Bar().
///
/// Ids are held individually for the window. An entry numbers its requests
/// consecutively, so evicted ids are covered by a low watermark per entry: an
/// id at or below it can neither start nor be reported as NotRun. So a delayed
/// start message never starts a barred request, nor any request twice,
/// regardless of the delay and of jumps of this process's clock.
class StartRecord
{
public:
  explicit StartRecord(StartRecordSettings aSettings = {});

  /// Records the start of a request.
  /// \param aRemaining time left until the request's deadline; a request that
  /// could outlive the window is refused.
  /// \return whether the request may be sent to the engine; true at most once
  /// for an id.
  bool Begin(const RequestId& aId, Duration aRemaining, TimePoint aNow);

  /// Bars the id permanently unless it was started. \return NotRun if it was
  /// not started and never will be, otherwise MayHaveRun.
  Disposition Bar(const RequestId& aId, TimePoint aNow);

  std::size_t IdCount() const { return this->order.size(); }
  std::size_t EntryCount() const { return this->entries.size(); }

private:
  enum class StartState : std::uint8_t
  {
    Started,
    Barred,
  };

  struct Entry
  {
    absl::flat_hash_map<std::uint64_t, StartState> states;
    /// Highest evicted sequence number. Whether ids up to this one were started
    /// is no longer known.
    std::uint64_t evictedUpTo = 0;
    TimePoint lastSeen{};
  };

  struct OrderedId
  {
    RequestId id;
    TimePoint at;
  };

  void Insert(Entry& aEntry,
              const RequestId& aId,
              StartState aState,
              TimePoint aNow);
  void EvictExpired(TimePoint aNow);
  void EvictOldest();
  Entry* FindOrAddEntry(Incarnation aEntry, TimePoint aNow);
  void EvictExpiredEntries(TimePoint aNow);

  StartRecordSettings settings;
  absl::flat_hash_map<Incarnation, Entry> entries;
  std::deque<OrderedId> order;
};

} // namespace dogwoodvale

#endif
