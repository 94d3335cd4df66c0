#include "WaitEstimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dogwoodvale {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kShortestRetrySeconds = 0.1;
constexpr double kLongestRetrySeconds = 30;
constexpr double kMillisecondsPerSecond = 1000;

} // namespace

absl::StatusOr<WaitEstimator>
WaitEstimator::Create(Duration aMemory)
{
  if (aMemory <= Duration(0)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "the memory of a wait estimator must be positive");
  }
  return WaitEstimator(aMemory);
}

void
WaitEstimator::OnStart(Tier aTier, TimePoint aNow)
{
  Decayed& decayed = this->starts.at(std::min<Tier>(aTier, kTierCount - 1));
  const double gap = static_cast<double>(Between(decayed.at, aNow).count()) /
                     static_cast<double>(this->memory.count());
  decayed.count = decayed.count * std::exp(-std::max(0.0, gap)) + 1;
  decayed.at = aNow;
}

double
WaitEstimator::StartRate(TimePoint aNow) const
{
  return this->StartRateAbove(kTierCount, aNow);
}

double
WaitEstimator::StartRateAbove(Tier aTier, TimePoint aNow) const
{
  double rate = 0;
  for (std::size_t tier = 0; tier < aTier && tier < kTierCount; ++tier) {
    rate += this->RateOf(this->starts.at(tier), aNow);
  }
  return rate;
}

double
WaitEstimator::RateOf(const Decayed& aCount, TimePoint aNow) const
{
  const auto span = static_cast<double>(this->memory.count());
  const auto gap = static_cast<double>(Between(aCount.at, aNow).count());
  return aCount.count * std::exp(-std::max(0.0, gap) / span) *
         kMicrosecondsPerSecond / span;
}

double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow)
{
  const auto before = static_cast<double>(aQueue.SizeAtOrAbove(aTier));
  if (before == 0) {
    return 0;
  }
  const double left =
    aStarts.StartRate(aNow) - aStarts.StartRateAbove(aTier, aNow);
  return left > 0 ? before / left : std::numeric_limits<double>::infinity();
}

milliseconds
RetryAfter(double aWaitSeconds, double aRandom)
{
  const double wait =
    std::clamp(aWaitSeconds, kShortestRetrySeconds, kLongestRetrySeconds);
  return milliseconds(
    std::llround(wait * (0.5 + aRandom) * kMillisecondsPerSecond));
}

} // namespace dogwoodvale
