#include "dogwoodvale/Store"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

StoreCallBudget::StoreCallBudget(double aCallsPerSecond,
                                 double aBurst,
                                 TimePoint aNow)
  : perSecond(aCallsPerSecond)
  , burst(std::max(1.0, aBurst))
  , level(this->burst)
  , updatedAt(aNow)
{
}

double
StoreCallBudget::Level(TimePoint aNow) const
{
  const double passed =
    std::chrono::duration<double>(aNow - this->updatedAt).count();
  return std::min(this->burst,
                  this->level + std::max(0.0, passed) * this->perSecond);
}

bool
StoreCallBudget::TryTake(TimePoint aNow)
{
  const double now = this->Level(aNow);
  if (now < 1) {
    return false;
  }
  this->level = now - 1;
  this->updatedAt = aNow;
  return true;
}

bool
StoreCallBudget::TryTakeUrgent(TimePoint aNow)
{
  const double now = this->Level(aNow);
  if (now < 1 - this->burst) {
    return false;
  }
  this->level = now - 1;
  this->updatedAt = aNow;
  return true;
}

Duration
StoreCallBudget::Wait(TimePoint aNow) const
{
  const double missing = 1 - this->Level(aNow);
  if (missing <= 0) {
    return Duration(0);
  }
  const double micros = missing / this->perSecond * 1e6;
  return Duration(static_cast<Duration::rep>(std::ceil(micros)));
}

} // namespace dogwoodvale
