#include "dogwoodvale/Store"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

StoreCallBudget::StoreCallBudget(double aCallsPerSecond,
                                 double aBurst,
                                 TimePoint aNow)
  : callsPerSecond(aCallsPerSecond)
  , burst(std::max(1.0, aBurst))
  , tokens(this->burst)
  , updatedAt(aNow)
{
}

double
StoreCallBudget::TokensAt(TimePoint aNow) const
{
  const double passed =
    std::chrono::duration<double>(aNow - this->updatedAt).count();
  return std::min(this->burst,
                  this->tokens + std::max(0.0, passed) * this->callsPerSecond);
}

bool
StoreCallBudget::TryTake(TimePoint aNow)
{
  const double now = this->TokensAt(aNow);
  if (now < 1) {
    return false;
  }
  this->tokens = now - 1;
  this->updatedAt = aNow;
  return true;
}

bool
StoreCallBudget::TryTakeUrgent(TimePoint aNow)
{
  const double now = this->TokensAt(aNow);
  if (now < 1 - this->burst) {
    return false;
  }
  this->tokens = now - 1;
  this->updatedAt = aNow;
  return true;
}

Duration
StoreCallBudget::Wait(TimePoint aNow) const
{
  const double deficit = 1 - this->TokensAt(aNow);
  if (deficit <= 0) {
    return Duration(0);
  }
  const double micros = deficit / this->callsPerSecond * 1e6;
  return Duration(static_cast<Duration::rep>(std::ceil(micros)));
}

} // namespace dogwoodvale
