#ifndef DOGWOODVALE_RESUMPTION_STREAMORIGINS_H
#define DOGWOODVALE_RESUMPTION_STREAMORIGINS_H

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "StreamOrigin.h"

namespace dogwoodvale {

/// The origin of one stream as gateways report it to each other.
struct OriginUpdate
{
  StreamKey key = 0;
  StreamOrigin origin;
  /// How long the caller may still resume the stream.
  milliseconds left{ 0 };

  bool operator==(const OriginUpdate&) const = default;
};

/// The origins of streams that their callers may still resume, those of this
/// gateway and those that others report.
class StreamOrigins
{
public:
  struct Found
  {
    StreamOrigin origin;
    /// Whether the stream began at this gateway.
    bool isOwn = false;
  };

  /// This gateway sends a request whose answer may be a stream's first event.
  /// Replaces what was recorded for an earlier server of the same attempt.
  /// \param aIsReported whether other gateways are told.
  void OnSent(StreamKey aKey,
              const StreamOrigin& aOrigin,
              Duration aLifetime,
              bool aIsReported,
              TimePoint aNow);
  /// Tells the other gateways of all own streams of the service that they have
  /// not been told of.
  void ReportAll(const ServiceName& aService);
  /// Takes in what another gateway reports.
  void Apply(std::span<const OriginUpdate> aUpdates, TimePoint aNow);
  std::optional<Found> Find(StreamKey aKey, TimePoint aNow) const;
  /// Whether another gateway may take the own stream for one of the recorded
  /// origin: it was told, or infers it as it was not.
  bool IsKnownElsewhere(StreamKey aKey) const;
  /// What to report now. Each record is reported kReports times, as a report
  /// may be lost.
  std::vector<OriginUpdate> TakeUpdates(TimePoint aNow);
  /// The records that other gateways hold too, the ones that expire last first,
  /// at most \p aMost.
  std::vector<OriginUpdate> Shared(std::size_t aMost, TimePoint aNow) const;
  /// Changes with each record that is added to Shared(), or replaced there.
  std::uint64_t SharedRevision() const { return this->sharedRevision; }
  /// Drops the records that have expired.
  void Expire(TimePoint aNow);
  std::size_t Count() const { return this->records.size(); }

  static constexpr int kReports = 3;
  /// Most records of one report: 10 kB of the 60 kB of a datagram.
  static constexpr std::size_t kMaxUpdates = 512;
  /// At most 5 MB. The ones that expire first are dropped.
  static constexpr std::size_t kMaxRecords = 65'536;
  /// Bound on the lifetime of a record, whatever a caller's time limit is.
  static constexpr Duration kMaxLifetime = seconds(600);
  /// A lifetime that another process states.
  static Duration LifetimeFromMillis(std::int64_t aMillis)
  {
    constexpr std::int64_t kMost =
      std::chrono::duration_cast<milliseconds>(kMaxLifetime).count();
    return milliseconds(std::clamp<std::int64_t>(aMillis, 0, kMost));
  }

private:
  struct Record
  {
    StreamOrigin origin;
    TimePoint expiresAt{};
    bool isOwn = false;
    /// How often it is still to be reported.
    int reportsLeft = 0;
    bool wasReported = false;
    /// A report has been taken for sending.
    bool wasTaken = false;

    bool IsShared() const { return !this->isOwn || this->wasTaken; }
  };

  void Insert(StreamKey aKey, Record aRecord);
  void Report(StreamKey aKey, Record& aRecord);

  absl::flat_hash_map<StreamKey, Record> records;
  std::multimap<TimePoint, StreamKey> byExpiry;
  /// Records with reports left, the ones reported least recently first.
  std::vector<StreamKey> pending;
  std::uint64_t sharedRevision = 0;
};

} // namespace dogwoodvale

#endif
