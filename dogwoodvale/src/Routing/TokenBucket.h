#ifndef DOGWOODVALE_ROUTING_TOKENBUCKET_H
#define DOGWOODVALE_ROUTING_TOKENBUCKET_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Token bucket that refills at a constant rate up to its burst size.
class TokenBucket
{
public:
  /// \param aRate tokens per second.
  /// \param aBurst maximum number of tokens; the bucket starts full.
  TokenBucket(double aRate, double aBurst)
    : TokenBucket(aRate, aBurst, aBurst)
  {
  }

  /// \param aInitial number of tokens at the start.
  TokenBucket(double aRate, double aBurst, double aInitial)
    : rate(aRate)
    , burst(aBurst)
    , tokens(aInitial)
  {
  }

  /// Takes \p aCount tokens.
  /// \return false, and takes none, if there are fewer.
  bool TryTake(double aCount, TimePoint aNow)
  {
    this->Refill(aNow);
    if (this->tokens < aCount) {
      return false;
    }
    this->tokens -= aCount;
    return true;
  }

  /// Adds tokens in addition to the constant rate, up to the burst size.
  void Deposit(double aCount)
  {
    this->tokens = std::min(this->burst, this->tokens + aCount);
  }

  /// Time until \p aCount tokens are available; Duration::max() if never.
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

  /// Number of tokens at \p aNow.
  double Available(TimePoint aNow)
  {
    this->Refill(aNow);
    return this->tokens;
  }

private:
  void Refill(TimePoint aNow)
  {
    if (this->refilledAt != TimePoint{} && aNow > this->refilledAt) {
      const std::chrono::duration<double> passed = aNow - this->refilledAt;
      this->Deposit(passed.count() * this->rate);
    }
    this->refilledAt = std::max(this->refilledAt, aNow);
  }

  double rate;
  double burst;
  double tokens;
  /// Time of the last refill; TimePoint{} before the first use, from which on
  /// the bucket refills.
  TimePoint refilledAt{};
};

} // namespace dogwoodvale

#endif
