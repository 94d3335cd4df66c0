#ifndef DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H
#define DOGWOODVALE_SCHEDULING_EARLYREFUSAL_H

#include <absl/container/flat_hash_map.h>

#include "WaitEstimator.h"

namespace dogwoodvale {

/// Refuses at once what the server could not start in good time, so that the
/// caller (or the entry) goes elsewhere or comes back later, rather than learn
/// the same after a wait.
///
/// A class that gets more newcomers than the server starts has a queue that
/// stands: they are refused before the late ones of the class have waited
/// beyond its bound. Otherwise the queue is a burst's, which the server works
/// off by itself, and a longer wait is allowed.
class EarlyRefusal
{
public:
  struct Options
  {
    /// Longest expected wait at admission, as a share of the class's bound;
    /// above 0, at most 1. Below 1 since those that become late wait for longer
    /// than what is expected at their arrival.
    double shareOfMaxWait = 0.25;
    /// The same while the server keeps up; at least shareOfMaxWait, at most 1.
    double shareInBurst = 0.5;
    /// The server keeps up with at most so many newcomers for each start; at
    /// least 1.
    double keepsUpWith = 1.25;
  };

  /// \return InvalidArgument when an option is out of its range.
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

  /// Newcomers of a class, also those that were refused; older ones fade.
  struct Offered
  {
    double count = 0;
    TimePoint at{};
    /// Of the class, when the last of them came.
    std::size_t waiting = 0;
  };

  /// Newcomers of the class a second, this one included.
  double OfferedRate(const AbstractRequestQueue& aQueue,
                     const ClassName& aClass,
                     Duration aMemory,
                     TimePoint aNow);

  Options options;
  absl::flat_hash_map<ClassName, Offered> offered;
};

} // namespace dogwoodvale

#endif
