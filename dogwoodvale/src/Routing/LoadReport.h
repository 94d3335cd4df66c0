#ifndef DOGWOODVALE_ROUTING_LOADREPORT_H
#define DOGWOODVALE_ROUTING_LOADREPORT_H

#include <cstdint>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Load of a backend server as reported by its sidecar in peer messages.
struct LoadReport
{
  /// Requests running in the engine.
  std::uint32_t running = 0;
  /// Requests waiting in the sidecar's queue.
  std::uint32_t queued = 0;
  /// Those of running and queued that were sent by the entry that receives the
  /// report. The receiver subtracts them and uses its own exact count instead,
  /// so that only the count of other entries' requests is as old as the report.
  std::uint32_t fromReader = 0;
  /// The sidecar's concurrency limit; 0 while unknown.
  std::uint32_t limit = 0;
  /// Estimated tokens of the queued requests.
  std::uint64_t queuedTokens = 0;
  /// Recent median time from arrival to the first token.
  std::uint32_t firstTokenMicros = 0;
  /// Recent median duration of one engine step; 0 while unknown.
  std::uint32_t stepMicros = 0;
  /// Queued requests by tier; missing tiers are empty.
  std::vector<std::uint32_t> queuedByTier;

  bool operator==(const LoadReport&) const = default;
};

/// Estimated time until the queue is empty if each slot generates one token per
/// step: the minimum Retry-After for a refused request. Zero while unknown.
inline Duration
ExpectedDrain(const LoadReport& aReport)
{
  if (aReport.limit == 0) {
    return Duration{ 0 };
  }
  return Duration{ static_cast<Duration::rep>(
    aReport.queuedTokens * aReport.stepMicros / aReport.limit) };
}

} // namespace dogwoodvale

#endif
