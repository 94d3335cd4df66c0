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

/// What HealthTracker allows a server.
enum class Standing : std::uint8_t
{
  InService,
  /// One request at a time, to see whether it has recovered.
  OnTrial,
  Ejected,
};

/// How a request that was sent to a backend server ended there.
enum class SendResult : std::uint8_t
{
  Completed,
  /// Refused early, not run; says nothing against the server's health.
  Refused,
  Failed,
  /// Given up by the caller or this entry.
  Cancelled,
};

/// Taken for a concurrency limit that is not known yet.
inline constexpr double kGuessedSlots = 8.0;

/// What this entry knows of one sidecar and its backend server.
struct Backend
{
  InstanceName name;
  DataCentreName dataCentre;
  bool available = false;
  Standing standing = Standing::InService;
  LoadReport report;
  /// Epoch of the clock until the first report.
  TimePoint reportedAt{};
  /// Own requests there that have not ended.
  std::uint32_t inFlight = 0;
  std::uint64_t inFlightTokens = 0;
  std::array<std::uint32_t, kTierCount> inFlightByTier{};
  /// Smoothed latency to the first token; 0 until one is known.
  double firstTokenMicros = 0.0;
  std::uint64_t sent = 0;

  bool HasReport() const { return this->reportedAt != TimePoint{}; }

  /// The reported concurrency limit, or a guess until one is reported.
  double Slots() const
  {
    return this->report.limit == 0 ? kGuessedSlots : this->report.limit;
  }

  /// Requests there per slot, by the last report and own work since.
  double Load() const
  {
    return (this->ReportedOthers() + this->inFlight) / this->Slots();
  }

  /// Requests of other entries there, by the last report.
  double ReportedOthers() const
  {
    const std::uint32_t all = this->report.running + this->report.queued;
    return all - std::min(all, this->report.fromReader);
  }

  /// Whether new requests may go there.
  bool IsUsable() const
  {
    return this->available &&
           (this->standing == Standing::InService ||
            (this->standing == Standing::OnTrial && this->inFlight == 0));
  }
};

/// Per service, what this entry knows of each sidecar in its subset.
///
/// All calls but Upsert ignore names that are not in the table, since reports
/// and endings may come after a server has left.
class BackendTable
{
public:
  explicit BackendTable(PrefixIndexSettings aPrefixes = {});

  /// Adds a server, unavailable at first; or changes its data centre.
  void Upsert(const InstanceName& aName, const DataCentreName& aDataCentre);
  void Remove(const InstanceName& aName);

  /// Connected and not draining.
  void SetAvailable(const InstanceName& aName, bool aAvailable);
  void SetStanding(const InstanceName& aName, Standing aStanding);

  void OnLoadReport(const InstanceName& aName,
                    const LoadReport& aReport,
                    TimePoint aNow);
  void OnSent(const InstanceName& aName,
              std::uint64_t aEstimatedTokens,
              Tier aTier);
  /// \param aFirstToken from sending to the first token; zero if none came.
  void OnEnded(const InstanceName& aName,
               std::uint64_t aEstimatedTokens,
               Tier aTier,
               SendResult aResult,
               Duration aFirstToken,
               TimePoint aNow);

  /// Null if unknown. Valid until the next Upsert or Remove.
  const Backend* Find(const InstanceName& aName) const;
  /// In no order that means anything. Valid until the next Upsert or Remove.
  std::span<const Backend> All() const { return this->backends; }
  std::size_t AvailableCount() const;
  std::size_t UsableCount() const;
  /// Mean over the available servers that have reported, of the requests there
  /// per slot; above 1 when there are queues, 0 when nothing is known.
  double MeanLoad() const;
  /// Mean over the servers that have reported, of the requests of other
  /// entries per slot.
  double MeanOthersPerSlot() const;

  /// Hints about which server holds which prompt prefix.
  PrefixIndex& Prefixes() { return this->prefixes; }
  const PrefixIndex& Prefixes() const { return this->prefixes; }

private:
  Backend* FindMutable(const InstanceName& aName);
  void CountReport(const Backend& aBackend, double aSign);

  std::vector<Backend> backends;
  absl::flat_hash_map<InstanceName, std::size_t> positions;
  PrefixIndex prefixes;
  double othersSum = 0.0;
  std::size_t reportedCount = 0;
};

} // namespace dogwoodvale

#endif
