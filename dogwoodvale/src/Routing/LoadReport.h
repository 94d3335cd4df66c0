#ifndef DOGWOODVALE_ROUTING_LOADREPORT_H
#define DOGWOODVALE_ROUTING_LOADREPORT_H

#include <cstdint>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What a sidecar tells of its backend server; travels in peer messages.
struct LoadReport
{
  /// Requests that the engine is working on.
  std::uint32_t running = 0;
  /// Requests that wait in the sidecar's queue.
  std::uint32_t queued = 0;
  /// Of running and queued, those sent by the entry that reads the report. The
  /// reader knows its own part exactly and at once, so that only the others'
  /// part is as old as the report.
  std::uint32_t fromReader = 0;
  /// The sidecar's concurrency limit; 0 while unknown.
  std::uint32_t limit = 0;
  /// Estimated tokens of the queued requests.
  std::uint64_t queuedTokens = 0;
  /// Recent median from arrival to first token.
  std::uint32_t firstTokenMicros = 0;
  /// Recent median of one engine step; 0 while unknown.
  std::uint32_t stepMicros = 0;
  /// Queued requests by tier; missing tiers are empty.
  std::vector<std::uint32_t> queuedByTier;

  bool operator==(const LoadReport&) const = default;
};

/// How long the queue takes to drain, each slot giving one token a step; the
/// least that a refused caller should be told to wait. Zero while unknown.
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
