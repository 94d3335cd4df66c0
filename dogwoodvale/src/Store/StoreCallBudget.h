#ifndef DOGWOODVALE_STORE_STORECALLBUDGET_H
#define DOGWOODVALE_STORE_STORECALLBUDGET_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Token bucket that limits one process's calls to the store.
///
/// The rate that the store can serve grows more slowly than the fleet. Without
/// a limit per process, all processes call at once when an outage ends, and
/// overload the store again.
class StoreCallBudget
{
public:
  StoreCallBudget(double aCallsPerSecond, double aBurst, TimePoint aNow);

  /// Takes the token of one call if there is one.
  bool TryTake(TimePoint aNow);
  /// Takes a token even if that overdraws the bucket, by up to one burst: for
  /// lease renewals, as a delayed renewal would lose the lease.
  bool TryTakeUrgent(TimePoint aNow);
  /// Time until TryTake may succeed; zero if it would succeed now.
  Duration Wait(TimePoint aNow) const;

private:
  double TokensAt(TimePoint aNow) const;
  double callsPerSecond;
  double burst;
  double tokens;
  TimePoint updatedAt;
};

} // namespace dogwoodvale

#endif
