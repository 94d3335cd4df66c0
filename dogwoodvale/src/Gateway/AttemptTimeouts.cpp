#include "AttemptTimeouts.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Multiple of the route's latency target without a response after which the
/// server is taken to hang: waiting longer would leave no time for another.
constexpr int kFirstResponseTargets = 3;
/// The same for a pause between events, as a multiple of the route's target
/// gap.
constexpr int kGapTargets = 5;
/// Lower bound of the time-outs, however short the target: retransmitting one
/// lost packet takes a few hundred milliseconds.
constexpr Duration kMinTimeout = milliseconds(900);

} // namespace

AttemptTimeouts
TimeoutsFor(const HostRoute& aRoute, std::uint32_t aAttempts, Duration aLeft)
{
  const bool hasNext = aRoute.MayRepeat() && aAttempts + 1 < aRoute.maxAttempts;
  if (!hasNext) {
    return {};
  }
  AttemptTimeouts timeouts;
  timeouts.firstResponse = std::min(
    std::max(kMinTimeout, kFirstResponseTargets * aRoute.target), aLeft / 2);
  timeouts.betweenEvents =
    std::max(kMinTimeout, kGapTargets * aRoute.targetGap);
  return timeouts;
}

} // namespace dogwoodvale
