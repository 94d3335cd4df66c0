#ifndef DOGWOODVALE_STORE_STORECALLBUDGET_H
#define DOGWOODVALE_STORE_STORECALLBUDGET_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Bounds a process's calls to the store: a token bucket.
///
/// The store's rate grows more slowly than the fleet. Without a bound of each
/// process, an outage ends with every process calling at once, and the store
/// goes down again.
class StoreCallBudget
{
public:
  StoreCallBudget(double aCallsPerSecond, double aBurst, TimePoint aNow);

  /// Takes a call's token if there is one.
  bool TryTake(TimePoint aNow);
  /// Takes a token ahead of others, leaving a debt of up to one burst: for
  /// renewals of leases, whose delay would cost the lease.
  bool TryTakeUrgent(TimePoint aNow);
  /// How long until TryTake may succeed; zero if it would now.
  Duration Wait(TimePoint aNow) const;

private:
  double Level(TimePoint aNow) const;
  double perSecond;
  double burst;
  double level;
  TimePoint updatedAt;
};

} // namespace dogwoodvale

#endif
