#ifndef DOGWOODVALE_ROUTING_TOKENBUCKET_H
#define DOGWOODVALE_ROUTING_TOKENBUCKET_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Tokens that refill at a steady rate up to a bound.
class TokenBucket
{
public:
  /// \param aRate tokens a second.
  /// \param aBurst the most tokens held; so many at first.
  TokenBucket(double aRate, double aBurst)
    : TokenBucket(aRate, aBurst, aBurst)
  {
  }

  /// \param aInitial tokens held at first.
  TokenBucket(double aRate, double aBurst, double aInitial)
    : rate(aRate)
    , burst(aBurst)
    , tokens(aInitial)
  {
  }

  /// Takes \p aCount tokens, or none and gives false.
  bool TryTake(double aCount, TimePoint aNow)
  {
    this->Refill(aNow);
    if (this->tokens < aCount) {
      return false;
    }
    this->tokens -= aCount;
    return true;
  }

  /// Adds tokens beside the steady rate, up to the bound.
  void Deposit(double aCount)
  {
    this->tokens = std::min(this->burst, this->tokens + aCount);
  }

  /// How long until \p aCount tokens are there; Duration::max() if never.
  Duration UntilAvailable(double aCount, TimePoint aNow)
  {
    this->Refill(aNow);
    if (this->tokens >= aCount) {
      return Duration{ 0 };
    }
    if (this->rate <= 0.0 || aCount > this->burst) {
      return Duration::max();
    }
    const double wait = (aCount - this->tokens) / this->rate;
    return Duration{ static_cast<Duration::rep>(wait * 1e6) + 1 };
  }

  double Available(TimePoint aNow)
  {
    this->Refill(aNow);
    return this->tokens;
  }

private:
  void Refill(TimePoint aNow)
  {
    if (this->refilled != TimePoint{} && aNow > this->refilled) {
      const std::chrono::duration<double> passed = aNow - this->refilled;
      this->Deposit(passed.count() * this->rate);
    }
    this->refilled = std::max(this->refilled, aNow);
  }

  double rate;
  double burst;
  double tokens;
  TimePoint refilled{};
};

} // namespace dogwoodvale

#endif
