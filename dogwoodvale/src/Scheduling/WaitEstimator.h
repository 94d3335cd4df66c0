#ifndef DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H
#define DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H

#include <array>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "AbstractRequestQueue.h"

namespace dogwoodvale {

/// Measures how fast requests start, to tell a newcomer how long it would wait.
class WaitEstimator
{
public:
  /// \param aMemory time over which older starts fade; positive
  static absl::StatusOr<WaitEstimator> Create(Duration aMemory);

  /// The time over which older starts fade.
  Duration Memory() const { return this->memory; }

  /// A request of \p aTier was dequeued and started.
  void OnStart(Tier aTier, TimePoint aNow);

  /// \p aRequest was dequeued and started; counts for its class as well.
  void OnStart(const QueuedRequest& aRequest, TimePoint aNow);

  /// Starts a second of recent, over all tiers.
  double StartRate(TimePoint aNow) const;

  /// Starts a second of tiers above \p aTier.
  double StartRateAbove(Tier aTier, TimePoint aNow) const;

  /// Starts a second of one class.
  double StartRateOf(const ClassName& aClass, TimePoint aNow) const;

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
  void Count(Decayed& aCount, TimePoint aNow) const;
  double RateOf(const Decayed& aCount, TimePoint aNow) const;
  void ForgetFaded(TimePoint aNow);

  Duration memory;
  std::array<Decayed, kTierCount> starts{};
  absl::flat_hash_map<ClassName, Decayed> classes;
  std::optional<TimePoint> firstStart;
};

/// Expected wait in seconds of a newcomer of \p aTier: those of its own and
/// higher tiers over the rate of starts that higher tiers leave. Zero with
/// nobody before it, infinite when nothing has started lately. Knows no
/// classes: a burst in the tier counts against all of it.
double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow);

/// Expected wait in seconds of \p aNewcomer; starts must be told by request.
///
/// For a class that has had a backlog for a while, those of the class over the
/// class's own rate. Otherwise that or, if lower, the estimate by tier: the
/// class's own rate tells nothing when its demand has only just risen.
///
/// Lower tiers count in neither, so their burst refuses nobody above; and a
/// class with nothing waiting is never refused, so none starves by refusal.
double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              const QueuedRequest& aNewcomer,
              TimePoint aNow);

/// When a refused caller should come back: the expected wait, spread by
/// \p aRandom in [0, 1) so that the refused do not return all at once.
milliseconds
RetryAfter(double aWaitSeconds, double aRandom);

} // namespace dogwoodvale

#endif
