#ifndef DOGWOODVALE_REQUESTS_STARTRECORD_H
#define DOGWOODVALE_REQUESTS_STARTRECORD_H

#include <cstddef>
#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Bounds of a StartRecord.
struct StartRecordSettings
{
  /// Longer than any request lives, its time on the way included.
  Duration window = seconds(900);
  /// The most ids held one by one.
  std::size_t maxIds = 65536;
  /// The most entry incarnations held. When all are in use, requests of a new
  /// one are refused.
  std::size_t maxEntries = 8192;
  /// An entry incarnation that was silent for so long is gone for good, and so
  /// are its connections and all that it wrote to them.
  seconds entryLife{ 24 * 3600 };
};

/// The truth on which requests were started at one backend server, kept by its
/// sidecar. Only this makes NotRun true after a request was sent.
///
/// Call Begin() right before the request goes to the engine, and Bar() before
/// anyone is told NotRun. Where Begin() gives false, answer with what Bar()
/// then gives.
///
/// Ids are held one by one for the window. An entry numbers its requests, so
/// what is forgotten is covered by a floor per entry: an id at or below it can
/// neither begin any more nor be called NotRun. So a start message that comes
/// late, however late and whatever this process's clock did, begins nothing
/// that was barred, and nothing twice.
class StartRecord
{
public:
  explicit StartRecord(StartRecordSettings aSettings = {});

  /// \param aRemaining the rest of the request's budget; a request that could
  /// outlive the window can't begin.
  /// \return whether the request may go to the engine, once.
  bool Begin(const RequestId& aId, Duration aRemaining, TimePoint aNow);

  /// Bars the id for good unless it was started. \return NotRun if it never
  /// was and never will be, else MayHaveRun.
  Disposition Bar(const RequestId& aId, TimePoint aNow);

  std::size_t IdCount() const { return this->order.size(); }
  std::size_t EntryCount() const { return this->entries.size(); }

private:
  enum class Fate : std::uint8_t
  {
    Started,
    Barred,
  };

  struct Entry
  {
    absl::flat_hash_map<std::uint64_t, Fate> fates;
    /// Ids up to and including this one are forgotten.
    std::uint64_t floor = 0;
    TimePoint lastSeen{};
  };

  struct Noted
  {
    RequestId id;
    TimePoint at;
  };

  void Note(Entry& aEntry, const RequestId& aId, Fate aFate, TimePoint aNow);
  void Forget(TimePoint aNow);
  void ForgetOldest();
  Entry* FindOrAddEntry(Incarnation aEntry, TimePoint aNow);
  void ForgetGoneEntries(TimePoint aNow);

  StartRecordSettings settings;
  absl::flat_hash_map<Incarnation, Entry> entries;
  std::deque<Noted> order;
};

} // namespace dogwoodvale

#endif
