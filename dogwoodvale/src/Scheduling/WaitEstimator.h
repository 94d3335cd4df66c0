#ifndef DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H
#define DOGWOODVALE_SCHEDULING_WAITESTIMATOR_H

#include <array>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "AbstractRequestQueue.h"

namespace dogwoodvale {

/// Measures the rates at which requests start, by tier and by class, with
/// exponential decay. EstimatedWait derives expected waits from them.
class WaitEstimator
{
public:
  /// \param aTimeConstant time constant of the decay; positive
  /// \return InvalidArgument when \p aTimeConstant is not positive.
  static absl::StatusOr<WaitEstimator> Create(Duration aTimeConstant);

  /// Time constant of the decay.
  Duration TimeConstant() const { return this->timeConstant; }

  /// A request of \p aTier was dequeued and started; not counted for a class.
  void OnStart(Tier aTier, TimePoint aNow);

  /// \p aRequest was dequeued and started; counted for its tier and its class.
  void OnStart(const QueuedRequest& aRequest, TimePoint aNow);

  /// Recent starts per second, over all tiers.
  double StartRate(TimePoint aNow) const;

  /// Recent starts per second in tiers above \p aTier.
  double StartRateAbove(Tier aTier, TimePoint aNow) const;

  /// Recent starts per second of one class.
  double StartRateOf(const ClassName& aClass, TimePoint aNow) const;

private:
  /// Exponentially decayed count, as of a time.
  struct DecayedCount
  {
    double count = 0;
    TimePoint at;
  };

  explicit WaitEstimator(Duration aTimeConstant)
    : timeConstant(aTimeConstant)
  {
  }
  void Count(DecayedCount& aCount, TimePoint aNow) const;
  double RateOf(const DecayedCount& aCount, TimePoint aNow) const;
  /// Drops classes whose count has decayed to almost nothing; all of them if
  /// that frees no room.
  void EvictDecayed(TimePoint aNow);

  Duration timeConstant;
  std::array<DecayedCount, kTierCount> starts{};
  absl::flat_hash_map<ClassName, DecayedCount> classes;
  std::optional<TimePoint> firstStart;
};

/// Expected wait, in seconds, of a request that arrives in \p aTier: the number
/// of requests queued in this and higher tiers over the start rate that higher
/// tiers leave. Zero when none is queued ahead, infinite when nothing has
/// started recently. Ignores classes: a burst of one class raises the estimate
/// of its whole tier.
double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow);

/// Expected wait, in seconds, of \p aArrival. Starts must have been reported
/// with WaitEstimator::OnStart(const QueuedRequest&, TimePoint).
///
/// For a class that has been backlogged for a while: the queue length of the
/// class over its start rate. Otherwise the smaller of this and the estimate by
/// tier, as the start rate of a class says little while its demand has only
/// just risen.
///
/// Neither counts lower tiers, so a burst there does not raise the estimate of
/// a higher tier. The estimate is zero for a class with an empty queue, so that
/// admission control cannot starve a class.
double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              const QueuedRequest& aArrival,
              TimePoint aNow);

/// Time after which a refused caller should retry: the expected wait, clamped
/// to [0.1 s, 30 s], times a jitter of 0.5 + \p aRandom, so that refused
/// callers do not retry all at once.
///
/// \param aRandom in [0, 1)
milliseconds
RetryAfter(double aWaitSeconds, double aRandom);

} // namespace dogwoodvale

#endif
