#include "WaitEstimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dogwoodvale {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMinRetrySeconds = 0.1;
constexpr double kMaxRetrySeconds = 30;
constexpr double kMillisecondsPerSecond = 1000;

/// A class counts as backlogged once its oldest request has waited for the time
/// constant divided by this: its start rate then reflects what the server
/// provides, no longer the demand.
constexpr int kBacklogDivisor = 4;

/// Maximum number of classes whose rates are kept.
constexpr std::size_t kMaxClasses = 1024;
/// Classes with a decayed count below this may be evicted.
constexpr double kNegligibleCount = 0.01;
/// Lower bound of the time since the first start in RateOf, as a fraction of
/// the time constant.
constexpr double kMinAge = 0.05;

/// Time in seconds to start \p aAhead requests at \p aRate per second.
double
SecondsToStart(std::size_t aAhead, double aRate)
{
  if (aAhead == 0) {
    return 0;
  }
  return aRate > 0 ? static_cast<double>(aAhead) / aRate
                   : std::numeric_limits<double>::infinity();
}

} // namespace

absl::StatusOr<WaitEstimator>
WaitEstimator::Create(Duration aTimeConstant)
{
  if (aTimeConstant <= Duration(0)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "wait estimator: the time constant must be positive");
  }
  return WaitEstimator(aTimeConstant);
}

void
WaitEstimator::OnStart(Tier aTier, TimePoint aNow)
{
  if (!this->firstStart) {
    this->firstStart = aNow;
  }
  this->Count(this->starts.at(std::min<Tier>(aTier, kTierCount - 1)), aNow);
}

void
WaitEstimator::OnStart(const QueuedRequest& aRequest, TimePoint aNow)
{
  this->OnStart(aRequest.tier, aNow);
  if (this->classes.size() >= kMaxClasses &&
      !this->classes.contains(aRequest.className)) {
    this->EvictDecayed(aNow);
  }
  this->Count(this->classes[aRequest.className], aNow);
}

void
WaitEstimator::Count(DecayedCount& aCount, TimePoint aNow) const
{
  const double gap = static_cast<double>(Between(aCount.at, aNow).count()) /
                     static_cast<double>(this->timeConstant.count());
  aCount.count = aCount.count * std::exp(-std::max(0.0, gap)) + 1;
  aCount.at = aNow;
}

void
WaitEstimator::EvictDecayed(TimePoint aNow)
{
  const double minRate = kNegligibleCount * kMicrosecondsPerSecond /
                         static_cast<double>(this->timeConstant.count());
  absl::erase_if(this->classes, [&](const auto& aClass) {
    return this->RateOf(aClass.second, aNow) < minRate;
  });
  if (this->classes.size() >= kMaxClasses) {
    this->classes.clear();
  }
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
WaitEstimator::StartRateOf(const ClassName& aClass, TimePoint aNow) const
{
  const auto found = this->classes.find(aClass);
  return found == this->classes.end() ? 0 : this->RateOf(found->second, aNow);
}

double
WaitEstimator::RateOf(const DecayedCount& aCount, TimePoint aNow) const
{
  if (!this->firstStart) {
    return 0;
  }
  const auto span = static_cast<double>(this->timeConstant.count());
  const auto gap = static_cast<double>(Between(aCount.at, aNow).count());
  const auto age =
    static_cast<double>(Between(*this->firstStart, aNow).count());
  // Until several time constants have passed since the first start, the decayed
  // count underestimates the rate; uncorrected, a sidecar that has just started
  // would refuse requests that its server could serve.
  const double coverage = 1 - std::exp(-std::max(kMinAge, age / span));
  return aCount.count * std::exp(-std::max(0.0, gap) / span) *
         kMicrosecondsPerSecond / (span * coverage);
}

double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow)
{
  const double remainingRate =
    aStarts.StartRate(aNow) - aStarts.StartRateAbove(aTier, aNow);
  return SecondsToStart(aQueue.SizeAtOrAbove(aTier), remainingRate);
}

double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              const QueuedRequest& aArrival,
              TimePoint aNow)
{
  const ClassName& className = aArrival.className;
  const double byClass = SecondsToStart(aQueue.SizeOfClass(className),
                                        aStarts.StartRateOf(className, aNow));
  if (aQueue.OldestWait(className, aNow) >=
      aStarts.TimeConstant() / kBacklogDivisor) {
    return byClass;
  }
  return std::min(byClass, EstimatedWait(aQueue, aStarts, aArrival.tier, aNow));
}

milliseconds
RetryAfter(double aWaitSeconds, double aRandom)
{
  const double wait =
    std::clamp(aWaitSeconds, kMinRetrySeconds, kMaxRetrySeconds);
  return milliseconds(
    std::llround(wait * (0.5 + aRandom) * kMillisecondsPerSecond));
}

} // namespace dogwoodvale
