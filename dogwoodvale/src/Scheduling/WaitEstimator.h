#ifndef DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H
#define DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H

#include <array>

#include "AbstractRequestQueue.h"

namespace dogwoodvale {

/// Measures how fast requests start, to tell a newcomer how long it would wait.
class WaitEstimator
{
public:
  /// \param aMemory time over which older starts fade; positive
  static absl::StatusOr<WaitEstimator> Create(Duration aMemory);

  /// A request of \p aTier was dequeued and started.
  void OnStart(Tier aTier, TimePoint aNow);

  /// Starts a second of recent, over all tiers.
  double StartRate(TimePoint aNow) const;

  /// Starts a second of tiers above \p aTier.
  double StartRateAbove(Tier aTier, TimePoint aNow) const;

private:
  struct Decayed
  {
    double count = 0;
    TimePoint at;
  };

  explicit WaitEstimator(Duration aMemory)
    : memory(aMemory)
  {
  }
  double RateOf(const Decayed& aCount, TimePoint aNow) const;

  Duration memory;
  std::array<Decayed, kTierCount> starts{};
};

/// Expected wait in seconds of a newcomer of \p aTier: those before it over
/// the rate of starts that higher tiers leave. Zero with nobody before it,
/// infinite when nothing has started lately.
///
/// Only its own and higher tiers count, so a burst of a lower tier refuses
/// nobody above it.
double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow);

/// When a refused caller should come back: the expected wait, spread by
/// \p aRandom in [0, 1) so that the refused do not return all at once.
milliseconds
RetryAfter(double aWaitSeconds, double aRandom);

} // namespace dogwoodvale

#endif
