#ifndef DOGWOODVALE_ROUTING_RETRYBUDGET_H
#define DOGWOODVALE_ROUTING_RETRYBUDGET_H

#include <cstdint>
#include <random>

#include "TokenBucket.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Parameters of a RetryBudget.
struct RetryBudgetSettings
{
  /// Retries added to the budget by each success.
  double perSuccess = 0.08;
  /// Retries per second added regardless of successes, so that a class with
  /// little traffic has some.
  double floorPerSecond = 0.02;
  /// Maximum number of retries in the budget.
  double burst = 10.0;
  /// Retries in the budget at the start.
  double initial = 2.0;
};

/// Retry budget of one class of requests.
///
/// Without a budget each failure turns into several requests, which makes an
/// overload worse. The budget grows with successes, so a service that fails
/// completely gets only the floor and the saved budget. The total number of
/// retries is at most
/// initial + perSuccess * successes + floorPerSecond * seconds.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings = {});

  void OnSuccess();

  /// Takes a retry from the budget.
  /// \param aCost cost in retries; less than 1 for an attempt after an early
  /// refusal, which costs the engines nothing.
  /// \return false if the budget is too low; the request must not be retried.
  bool TryTake(TimePoint aNow, double aCost = 1.0);

  /// Retries in the budget at \p aNow.
  double Available(TimePoint aNow) { return this->bucket.Available(aNow); }

private:
  RetryBudgetSettings settings;
  TokenBucket bucket;
};

/// Back-off before retry number \p aAttempt (from 1): uniformly random between
/// zero and a bound that doubles from 10 ms to 640 ms ("full jitter"), so that
/// requests that failed together are not retried together.
Duration
RetryBackoff(std::uint32_t aAttempt, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
