#ifndef DOGWOODVALE_CORE_CLOCK_H
#define DOGWOODVALE_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace dogwoodvale {

/// Monotonic time. Budgets cross processes as remaining durations, never as
/// time points, since two machines' clocks do not agree.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads the monotonic clock. Decision code takes a TimePoint instead.
inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// The span from \p aFrom to \p aTo in microseconds; negative if reversed.
inline Duration
Between(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<Duration>(aTo - aFrom);
}

/// In whole milliseconds, as logs and status pages tell times.
constexpr std::int64_t
WholeMillis(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

/// How long the machine has been suspended since its boot: time that passed for
/// others and that the monotonic clock has not counted.
Duration
SuspendedTime();

/// The time of day by this machine's clock, since 1970. It may be off, and
/// jump.
milliseconds
TimeOfDay();

} // namespace dogwoodvale

#endif
