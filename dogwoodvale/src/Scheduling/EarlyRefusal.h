#ifndef DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H
#define DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H

#include <absl/container/flat_hash_map.h>

#include "WaitEstimator.h"

namespace dogwoodvale {

/// Admission control: refuses a request on arrival when the server is not
/// expected to start it in time, so that the caller (or the entry) can try
/// another server or retry later instead of waiting for a time-out.
///
/// A class whose arrival rate exceeds its start rate has a standing queue. Its
/// arrivals are refused early, before the late requests of the class have
/// waited beyond its bound. Otherwise the queue comes from a burst, which the
/// server drains without refusals, and a longer wait is allowed.
class EarlyRefusal
{
public:
  struct Options
  {
    /// Maximum expected wait at admission, as a fraction of the class's
    /// maxWait; in (0, 1]. The default is below 1 as requests that become late
    /// wait longer than was expected on their arrival.
    double shareOfMaxWait = 0.25;
    /// The same while the server keeps up; in [shareOfMaxWait, 1].
    double shareInBurst = 0.5;
    /// The server keeps up while the arrival rate of the class is at most this
    /// multiple of its start rate; at least 1.
    double maxArrivalsPerStart = 1.25;
  };

  /// \return InvalidArgument when an option is out of its range.
  static absl::StatusOr<EarlyRefusal> Create(const Options& aOptions);

  /// Whether \p aArrival should be refused: a request of its class already
  /// waits beyond the bound, or its expected wait exceeds the allowed share of
  /// the bound or the caller's remaining time. Depends only on its class and on
  /// its own and higher tiers; never true for a class with an empty queue.
  /// Counts the arrival (unless the class is beyond its bound), so call it once
  /// per request.
  ///
  /// \param aRemaining time left until the caller's deadline
  bool Refuses(const AbstractRequestQueue& aQueue,
               const WaitEstimator& aStarts,
               const QueuedRequest& aArrival,
               Duration aRemaining,
               TimePoint aNow);

private:
  explicit EarlyRefusal(const Options& aOptions)
    : options(aOptions)
  {
  }

  /// Exponentially decayed count of the arrivals of a class, including refused
  /// ones.
  struct ArrivalCount
  {
    double count = 0;
    /// Time of the last arrival.
    TimePoint at{};
    /// Queue length of the class at that time.
    std::size_t queueLength = 0;
  };

  /// Counts one arrival; returns the arrival rate of the class per second.
  double CountArrival(const AbstractRequestQueue& aQueue,
                      const ClassName& aClass,
                      Duration aTimeConstant,
                      TimePoint aNow);

  Options options;
  absl::flat_hash_map<ClassName, ArrivalCount> arrivals;
};

} // namespace dogwoodvale

#endif
