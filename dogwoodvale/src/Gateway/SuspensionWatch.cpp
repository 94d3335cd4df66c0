#include "SuspensionWatch.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace dogwoodvale {

namespace {

/// How far the clock since boot is ahead of the steady one.
Duration
BootLead()
{
  const auto read = [](clockid_t aClock) {
    timespec time{};
    clock_gettime(aClock, &time);
    return std::chrono::duration_cast<Duration>(
      seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  };
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

} // namespace

SuspensionWatch::SuspensionWatch(EventLoop& aLoop, Handler aHandler)
  : handler(std::move(aHandler))
  , lead(BootLead())
  , lastCheck(Now())
  , timer(aLoop, [this] { this->Check(); })
{
  this->timer.StartRepeating(kPeriod);
}

void
SuspensionWatch::Check()
{
  const TimePoint now = Now();
  const Duration newLead = BootLead();
  // A process alone that is stopped sees the steady clock jump instead.
  const Duration late = Between(this->lastCheck, now) - kPeriod;
  const Duration lost = std::max(newLead - this->lead, late);
  this->lead = newLead;
  this->lastCheck = now;
  if (lost >= kLeastReported) {
    this->handler(lost);
  }
}

} // namespace dogwoodvale
