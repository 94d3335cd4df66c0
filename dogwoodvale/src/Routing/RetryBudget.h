#ifndef DOGWOODVALE_ROUTING_RETRYBUDGET_H
#define DOGWOODVALE_ROUTING_RETRYBUDGET_H

#include <cstdint>
#include <random>

#include "TokenBucket.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Bounds of a RetryBudget.
struct RetryBudgetSettings
{
  /// Retries earned by each success.
  double perSuccess = 0.08;
  /// Retries a second that need no success, so that a quiet class has some.
  double floorPerSecond = 0.02;
  /// The most retries saved up.
  double burst = 10.0;
  /// Saved up before the first success.
  double initial = 2.0;
};

/// Bounds the retries of one class.
///
/// Without it every failure becomes several requests, so that an overload feeds
/// itself. Since retries are earned by successes, a service that fails
/// altogether gets no more than the floor and what was saved up: at most
/// initial + perSuccess * successes + floorPerSecond * seconds, ever.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings = {});

  void OnSuccess();

  /// Takes one retry, or gives false: the failure is final.
  /// \param aCost less than 1 for a second hop after an early refusal, which
  /// costs the engines nothing.
  bool TryTake(TimePoint aNow, double aCost = 1.0);

  double Available(TimePoint aNow) { return this->bucket.Available(aNow); }

private:
  RetryBudgetSettings settings;
  TokenBucket bucket;
};

/// How long to wait before retry number \p aAttempt (from 1): random between
/// nothing and a bound that doubles ("full jitter"), so that requests which
/// failed together do not come back together.
Duration
RetryBackoff(std::uint32_t aAttempt, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
