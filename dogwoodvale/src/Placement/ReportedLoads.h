#ifndef DOGWOODVALE_PLACEMENT_REPORTEDLOADS_H
#define DOGWOODVALE_PLACEMENT_REPORTEDLOADS_H

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "LoadUpdate.h"

namespace dogwoodvale {

/// The newest load report of each backend server, received by this gateway in
/// an answer or by another one and sent in its digest.
///
/// It addresses servers that also do work of which no digest tells: that of
/// gateways whose digests do not arrive, and other work on the server's
/// machine, which its time factor shows.
///
/// Instances are incarnations, so a report of a server before its restart does
/// not count after it.
class ReportedLoads
{
public:
  /// An older report does not state the present number of requests: a request
  /// takes one to some seconds, so more than a tenth of them may have changed.
  static constexpr Duration kRecentFor = milliseconds(500);
  /// Other work on a machine slows its server for some hundreds of milliseconds
  /// at a time, so an older time factor does not state the present one.
  static constexpr Duration kPresentFor = milliseconds(250);
  /// Time constant of the mean time factor: longer than the slow periods, so
  /// that one of them does not reorder the servers, and short enough to follow
  /// a lasting change within the time of one request.
  static constexpr Duration kMeanTimeConstant = seconds(3);
  /// This long after the last report, nothing is known of the server's speed.
  static constexpr Duration kMeanFor = seconds(30);
  /// Reports of other gateways that are older on arrival are ignored.
  static constexpr Duration kMaxPeerAge = seconds(2);
  /// Bounds the digest: 64 updates take about 3 kB.
  static constexpr std::size_t kMaxUpdates = 64;
  /// Bounds the memory per server. A gateway sends no server this many requests
  /// within kRecentFor unless the server answers them as fast.
  static constexpr std::size_t kMaxSends = 1024;

  /// From now on reports of this instance are kept; no-op if they are already.
  void Add(const InstanceName& aInstance);
  /// The instance is gone: drops its report and ignores further ones.
  void Forget(const InstanceName& aInstance);

  /// An answer of the instance states this load.
  void OnReport(const InstanceName& aInstance,
                const ServerLoad& aLoad,
                TimePoint aNow);
  /// Another gateway's digest contains these reports. Those older than the
  /// known report of the instance change nothing.
  void OnPeerReports(std::span<const LoadUpdate> aUpdates, TimePoint aNow);
  /// This gateway sends a request to the instance.
  void OnSent(const InstanceName& aInstance, TimePoint aNow);
  /// An answer states a load that cannot be parsed.
  void OnMalformed() { ++this->malformed; }
  /// An answer states the load of another instance than the addressed one.
  void OnWrongInstance() { ++this->ignored; }

  /// The newest report; nothing if it is older than kRecentFor.
  std::optional<ServerLoad> Recent(const InstanceName& aInstance,
                                   TimePoint aNow) const;
  /// The time factor of the newest report; nothing if it states none or is
  /// older than kPresentFor.
  std::optional<double> PresentTimeFactor(const InstanceName& aInstance,
                                          TimePoint aNow) const;
  /// Time-weighted average of the time factor with the time constant
  /// kMeanTimeConstant. Once no report has stated a time factor for that long,
  /// it approaches 1 linearly; nothing after kMeanFor.
  std::optional<double> MeanTimeFactor(const InstanceName& aInstance,
                                       TimePoint aNow) const;
  /// Requests at the instance by its recent report, running and waiting, and
  /// those that this gateway has sent since; nothing without a recent report.
  std::optional<std::uint32_t> ReportedRequests(const InstanceName& aInstance,
                                                TimePoint aNow) const;
  /// The larger of \p aBelieved (requests according to the gateways, see
  /// WorkTable) and ReportedRequests().
  std::uint32_t RequestsAt(const InstanceName& aInstance,
                           std::uint32_t aBelieved,
                           TimePoint aNow) const;

  /// This gateway's own reports with a time factor that were not returned
  /// before, for its digest:
  /// at most the kMaxUpdates newest, newest first, one per instance.
  std::vector<LoadUpdate> TakeUpdates(TimePoint aNow);

  /// Instances with a recent report.
  std::size_t RecentCount(TimePoint aNow) const;
  /// Reports that could not be parsed, since the start.
  std::uint64_t MalformedCount() const { return this->malformed; }
  /// Reports not used since the start because they are of an unknown instance
  /// or another one than the addressed, too old on arrival, or invalid.
  std::uint64_t IgnoredCount() const { return this->ignored; }

private:
  struct Entry
  {
    /// The newest report, if any, and when it arrived at a gateway.
    std::optional<ServerLoad> load;
    TimePoint at{};
    /// The report is this gateway's own and was not put into a digest yet.
    bool isUnsent = false;
    /// Decayed sums of the time factors times their weights, and of the
    /// weights, as of the last report that states a time factor.
    double factorSum = 0;
    double factorWeight = 0;
    TimePoint factorAt{};
    /// When this gateway sent the instance requests, since the newest report.
    std::deque<TimePoint> sends;
  };

  /// \return null for an unknown instance.
  const Entry* Find(const InstanceName& aInstance) const;
  static void Take(Entry& aEntry,
                   const ServerLoad& aLoad,
                   TimePoint aAt,
                   bool aIsOwn);
  static void AddTimeFactor(Entry& aEntry, double aFactor, TimePoint aAt);

  absl::flat_hash_map<InstanceName, Entry> entries;
  std::uint64_t malformed = 0;
  std::uint64_t ignored = 0;
};

} // namespace dogwoodvale

#endif
