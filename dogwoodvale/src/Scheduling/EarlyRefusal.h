#ifndef DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H
#define DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H

#include <absl/container/flat_hash_map.h>

#include "WaitEstimator.h"

namespace dogwoodvale {

/// Refuses at once what the server could not start in good time, so that the
/// caller (or the entry) goes elsewhere or comes back later, rather than learn
/// the same after a wait.
///
/// A queue that stands is told from one that passes by how long a class's
/// expected wait has been too long without a break (as CoDel tells them). A
/// burst that the server works off by itself refuses nobody; under lasting
/// overload newcomers are refused before the late ones of their class have
/// waited beyond its bound.
class EarlyRefusal
{
public:
  struct Options
  {
    /// Longest expected wait at admission, as a share of the class's bound;
    /// above 0, at most 1. Below 1 since those that become late wait for longer
    /// than what is expected at their arrival.
    double shareOfMaxWait = 0.25;
    /// The same while the queue may still pass: at least shareOfMaxWait, at
    /// most 1. A wait above shareOfMaxWait that lasts for that share of the
    /// bound is a standing one.
    double shareInBurst = 0.375;
  };

  /// \return InvalidArgument when a share is out of its range.
  static absl::StatusOr<EarlyRefusal> Create(const Options& aOptions);

  /// Whether \p aNewcomer should be refused: its class is beyond its bound
  /// already, or its expected wait exceeds its share of the bound or the
  /// caller's remaining time. Depends on its own class and on its own and
  /// higher tiers only; never true for a class with nothing waiting.
  ///
  /// \param aRemaining what is left of the caller's deadline
  bool Refuses(const AbstractRequestQueue& aQueue,
               const WaitEstimator& aStarts,
               const QueuedRequest& aNewcomer,
               Duration aRemaining,
               TimePoint aNow);

private:
  explicit EarlyRefusal(const Options& aOptions)
    : options(aOptions)
  {
  }

  /// Whether the class's expected wait has been above its share for long.
  bool IsStanding(const QueuedRequest& aNewcomer, double aWait, TimePoint aNow);

  Options options;
  /// Since when each class's expected wait has been above its share.
  absl::flat_hash_map<ClassName, TimePoint> aboveSince;
};

} // namespace dogwoodvale

#endif
