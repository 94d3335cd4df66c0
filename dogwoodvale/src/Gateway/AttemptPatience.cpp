#include "AttemptPatience.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// A first sign that takes this many times a route's target says that the
/// server hangs: waiting longer would leave no time for another.
constexpr int kFirstSignTargets = 3;
/// A pause between events this many times the route's bound says the same.
constexpr int kGapTargets = 5;
/// No verdict on silence before this, however short a target is: a lost packet
/// alone costs a few hundred milliseconds.
constexpr Duration kLeastPatience = milliseconds(900);

} // namespace

AttemptPatience
PatienceFor(const HostRoute& aRoute, std::uint32_t aAttempts, Duration aLeft)
{
  const bool hasNext = aRoute.MayRepeat() && aAttempts + 1 < aRoute.maxAttempts;
  if (!hasNext) {
    return {};
  }
  AttemptPatience patience;
  patience.firstSign = std::min(
    std::max(kLeastPatience, kFirstSignTargets * aRoute.target), aLeft / 2);
  patience.betweenEvents =
    std::max(kLeastPatience, kGapTargets * aRoute.targetGap);
  return patience;
}

} // namespace dogwoodvale
