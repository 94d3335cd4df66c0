#ifndef DOGWOODVALE_ROUTING_BACKENDTABLE_H
#define DOGWOODVALE_ROUTING_BACKENDTABLE_H

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "LoadReport.h"
#include "PrefixIndex.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// State of a server in outlier detection, see HealthTracker.
enum class HealthState : std::uint8_t
{
  InService,
  /// Gets one request at a time, to find out whether it has recovered.
  Probing,
  /// Gets no requests.
  Ejected,
};

/// Outcome of one attempt at a backend server.
enum class SendResult : std::uint8_t
{
  Completed,
  /// Refused early and not run, see ShouldRefuseEarly(). Not a failure for
  /// outlier detection.
  Refused,
  Failed,
  /// Cancelled by the caller or by this entry.
  Cancelled,
};

/// Concurrency limit assumed until the server reports one.
inline constexpr double kDefaultSlots = 8.0;

/// State that this entry keeps about one backend server and its sidecar.
struct Backend
{
  InstanceName name;
  DataCentreName dataCentre;
  /// Connected and not draining.
  bool available = false;
  HealthState healthState = HealthState::InService;
  LoadReport report;
  /// Time of the last report; TimePoint{} before the first.
  TimePoint reportedAt{};
  /// Requests sent by this entry that have not ended.
  std::uint32_t inFlight = 0;
  /// Estimated tokens of those requests.
  std::uint64_t inFlightTokens = 0;
  std::array<std::uint32_t, kTierCount> inFlightByTier{};
  /// Moving average of the time to the first token; 0 until there is a sample.
  double firstTokenMicros = 0.0;
  /// Requests ever sent there by this entry.
  std::uint64_t sent = 0;

  bool HasReport() const { return this->reportedAt != TimePoint{}; }

  /// The reported concurrency limit, or kDefaultSlots before it is reported.
  double Slots() const
  {
    return this->report.limit == 0 ? kDefaultSlots : this->report.limit;
  }

  /// Requests per slot: those of other entries by the last report, plus this
  /// entry's own in flight.
  double Load() const
  {
    return (this->ReportedByOthers() + this->inFlight) / this->Slots();
  }

  /// Requests of other entries at the server, by the last report.
  double ReportedByOthers() const
  {
    const std::uint32_t all = this->report.running + this->report.queued;
    return all - std::min(all, this->report.fromReader);
  }

  /// Whether new requests may be sent there.
  bool IsUsable() const
  {
    return this->available &&
           (this->healthState == HealthState::InService ||
            (this->healthState == HealthState::Probing && this->inFlight == 0));
  }
};

/// The backend servers of one service that are in this entry's subset.
///
/// All functions except Upsert() ignore names that are not in the table, since
/// reports and completions may arrive after a server was removed.
class BackendTable
{
public:
  explicit BackendTable(PrefixIndexSettings aPrefixes = {});

  /// Adds a server, initially unavailable, or updates its data centre.
  void Upsert(const InstanceName& aName, const DataCentreName& aDataCentre);
  void Remove(const InstanceName& aName);

  /// \param aAvailable whether it is connected and not draining.
  void SetAvailable(const InstanceName& aName, bool aAvailable);
  void SetHealthState(const InstanceName& aName, HealthState aState);

  void OnLoadReport(const InstanceName& aName,
                    const LoadReport& aReport,
                    TimePoint aNow);
  void OnSent(const InstanceName& aName,
              std::uint64_t aEstimatedTokens,
              Tier aTier);
  /// \param aFirstToken time from sending to the first token; zero if none
  /// arrived.
  void OnEnded(const InstanceName& aName,
               std::uint64_t aEstimatedTokens,
               Tier aTier,
               SendResult aResult,
               Duration aFirstToken,
               TimePoint aNow);

  /// Null if unknown. Valid until the next Upsert or Remove.
  const Backend* Find(const InstanceName& aName) const;
  /// In unspecified order. Valid until the next Upsert or Remove.
  std::span<const Backend> All() const { return this->backends; }
  std::size_t AvailableCount() const;
  std::size_t UsableCount() const;
  /// Mean of Backend::Load() over the available servers that have reported.
  /// Above 1 when requests queue; 0 if none has reported.
  double MeanLoad() const;
  /// Mean number of other entries' requests per slot over all servers that have
  /// reported; 0 if none has.
  double MeanOthersPerSlot() const;

  /// Hints about which servers have which prompt prefix cached.
  PrefixIndex& Prefixes() { return this->prefixes; }
  const PrefixIndex& Prefixes() const { return this->prefixes; }

private:
  Backend* FindMutable(const InstanceName& aName);
  /// Adds the server's report to the running sums (\p aSign 1) or subtracts it
  /// (-1).
  void AddReportToSums(const Backend& aBackend, double aSign);

  std::vector<Backend> backends;
  absl::flat_hash_map<InstanceName, std::size_t> positions;
  PrefixIndex prefixes;
  /// Sum of other entries' requests per slot over the servers that reported.
  double othersSum = 0.0;
  std::size_t reportedCount = 0;
};

} // namespace dogwoodvale

#endif
