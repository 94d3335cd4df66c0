#include "SuspensionDetector.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

SuspensionDetector::SuspensionDetector(EventLoop& aLoop, Handler aHandler)
  : handler(std::move(aHandler))
  , suspendedBefore(SuspendedTime())
  , lastCheck(Now())
  , timer(aLoop, [this] { this->Check(); })
{
  this->timer.StartRepeating(kPeriod);
}

void
SuspensionDetector::Check()
{
  const TimePoint now = Now();
  const Duration suspended = SuspendedTime();
  // If only the process is stopped, not the machine, the steady clock advances
  // and the timer fires late.
  const Duration late = Between(this->lastCheck, now) - kPeriod;
  const Duration lost = std::max(suspended - this->suspendedBefore, late);
  this->suspendedBefore = suspended;
  this->lastCheck = now;
  if (lost >= kMinReported) {
    this->handler(lost);
  }
}

} // namespace dogwoodvale
