#include "SuspensionWatch.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

SuspensionWatch::SuspensionWatch(EventLoop& aLoop, Handler aHandler)
  : handler(std::move(aHandler))
  , suspendedBefore(SuspendedTime())
  , lastCheck(Now())
  , timer(aLoop, [this] { this->Check(); })
{
  this->timer.StartRepeating(kPeriod);
}

void
SuspensionWatch::Check()
{
  const TimePoint now = Now();
  const Duration suspended = SuspendedTime();
  // A process alone that is stopped sees the steady clock jump instead.
  const Duration late = Between(this->lastCheck, now) - kPeriod;
  const Duration lost = std::max(suspended - this->suspendedBefore, late);
  this->suspendedBefore = suspended;
  this->lastCheck = now;
  if (lost >= kLeastReported) {
    this->handler(lost);
  }
}

} // namespace dogwoodvale
