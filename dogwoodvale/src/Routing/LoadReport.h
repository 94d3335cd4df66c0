#ifndef DOGWOODVALE_ROUTING_LOADREPORT_H
#define DOGWOODVALE_ROUTING_LOADREPORT_H

#include <cstdint>
#include <vector>

namespace dogwoodvale {

/// A sidecar's load as it was when the message that carries it was sent.
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// The concurrency limit.
  std::uint32_t limit = 0;
  std::uint64_t queuedTokens = 0;
  /// Recent median wait to the first token, in microseconds.
  std::uint32_t firstTokenMicros = 0;
  /// Recent time between tokens, in microseconds.
  std::uint32_t stepMicros = 0;
  /// Requests queued, by tier.
  std::vector<std::uint32_t> queuedByTier;
};

} // namespace dogwoodvale

#endif
