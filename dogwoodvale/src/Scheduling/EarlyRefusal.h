#ifndef DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H
#define DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H

#include "WaitEstimator.h"

namespace dogwoodvale {

/// Refuses at once what the server could not start in good time, so that the
/// caller (or the entry) goes elsewhere or comes back later, rather than learn
/// the same after a wait.
class EarlyRefusal
{
public:
  struct Options
  {
    /// Longest expected wait at admission, as a share of the class's bound;
    /// above 0, at most 1. Below 1 since those that become late wait for longer
    /// than what is expected at their arrival.
    double shareOfMaxWait = 0.25;
  };

  /// \return InvalidArgument when the share is out of its range.
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
               TimePoint aNow) const;

private:
  explicit EarlyRefusal(const Options& aOptions)
    : options(aOptions)
  {
  }

  Options options;
};

} // namespace dogwoodvale

#endif
