#include "LoadShedding.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Longest wait, in halves of the target. A limit of one target refuses more
/// requests and serves no more, since the expected wait is accurate only to
/// about half of its value.
constexpr int kMaxWaitHalves = 3;
/// Longest wait of prompts that others overtake, in targets. Behind a longer
/// queue many callers disconnect before they are served.
constexpr int kMaxLateWaitTargets = 3;
/// Shortest delay: the load would not have changed at an immediate retry.
constexpr Duration kMinRetryAfter = milliseconds(100);
/// Callers disconnect after this time or, if that is longer, after so many
/// times the target or the bound on pauses of their route.
constexpr Duration kMinPatience = seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatiencePauses = 8;
/// Longest expected drain. No service goes without any free slot for longer
/// unless its servers fail, and callers should then notice their recovery.
constexpr Duration kMaxDrainTime = seconds(10);

} // namespace

bool
IsWaitTooLong(Duration aWait, Duration aTarget)
{
  return aWait > kMaxWaitHalves * aTarget / 2;
}

bool
IsLateWaitTooLong(Duration aWait, Duration aTarget)
{
  return aWait > kMaxLateWaitTargets * aTarget;
}

Duration
CallerPatience(Duration aTarget, Duration aMaxPause)
{
  return std::max(
    { kMinPatience, kPatienceTargets * aTarget, kPatiencePauses * aMaxPause });
}

Duration
DrainTime(double aWaiting, double aPerSecond)
{
  constexpr double kMicros = 1e6;
  const auto longest = static_cast<double>(kMaxDrainTime.count());
  const double micros = aPerSecond <= 0
                          ? longest
                          : std::min(longest, aWaiting / aPerSecond * kMicros);
  return Duration(static_cast<Duration::rep>(micros));
}

milliseconds
DrawRetryAfter(Duration aWait, Duration aTarget, std::mt19937_64& aRandom)
{
  const Duration minDelay = std::max(kMinRetryAfter, aWait - aTarget / 2);
  std::uniform_int_distribution<Duration::rep> draw(minDelay.count(),
                                                    2 * minDelay.count());
  return std::chrono::duration_cast<milliseconds>(Duration(draw(aRandom)));
}

} // namespace dogwoodvale
