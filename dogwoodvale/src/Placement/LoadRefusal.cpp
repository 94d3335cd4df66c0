#include "LoadRefusal.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// In halves of the target. One target refuses more and serves no more: the
/// wait is known to about a half of itself.
constexpr int kMostWaitHalves = 3;
/// In targets, for those that let the others pass. Behind a longer queue many
/// callers leave before they are served.
constexpr int kMostLateWaitTargets = 3;
/// A caller that came back at once would find nothing changed.
constexpr Duration kLeastRetryAfter = milliseconds(100);

} // namespace

bool
IsWaitTooLong(Duration aWait, Duration aTarget)
{
  return aWait > kMostWaitHalves * aTarget / 2;
}

bool
IsLateWaitTooLong(Duration aWait, Duration aTarget)
{
  return aWait > kMostLateWaitTargets * aTarget;
}

milliseconds
DrawRetryAfter(Duration aWait, Duration aTarget, std::mt19937_64& aRandom)
{
  const Duration least = std::max(kLeastRetryAfter, aWait - aTarget / 2);
  std::uniform_int_distribution<Duration::rep> draw(least.count(),
                                                    2 * least.count());
  return std::chrono::duration_cast<milliseconds>(Duration(draw(aRandom)));
}

} // namespace dogwoodvale
