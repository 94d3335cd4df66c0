#include "RetryBudget.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr Duration kInitialBackoff = milliseconds(10);
constexpr Duration kMaxBackoff = milliseconds(640);
constexpr std::uint32_t kMaxDoublings = 6;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : settings(aSettings)
  , bucket(aSettings.floorPerSecond, aSettings.burst, aSettings.initial)
{
}

void
RetryBudget::OnSuccess()
{
  this->bucket.Deposit(this->settings.perSuccess);
}

bool
RetryBudget::TryTake(TimePoint aNow, double aCost)
{
  return this->bucket.TryTake(aCost, aNow);
}

Duration
RetryBackoff(std::uint32_t aAttempt, std::mt19937_64& aRandom)
{
  const std::uint32_t doublings =
    std::min(std::max(aAttempt, 1U) - 1, kMaxDoublings);
  const Duration bound =
    std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
  std::uniform_int_distribution<Duration::rep> wait(0, bound.count());
  return Duration{ wait(aRandom) };
}

} // namespace dogwoodvale
