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

/// A class that has waited this part of the memory is started at the rate that
/// the server has for it, no longer at the rate that it asks for.
constexpr int kBackloggedShare = 4;

/// Classes whose rates are kept.
constexpr std::size_t kMaxClasses = 1024;
/// A count below this tells nothing any more.
constexpr double kFaded = 0.01;
/// Shortest time since the first start that a rate is taken over, as a share of
/// the memory.
constexpr double kShortestAge = 0.05;

/// How long a queue takes to start as many as wait.
double
WaitFor(std::size_t aBefore, double aRate)
{
  if (aBefore == 0) {
    return 0;
  }
  return aRate > 0 ? static_cast<double>(aBefore) / aRate
                   : std::numeric_limits<double>::infinity();
}

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
    this->ForgetFaded(aNow);
  }
  this->Count(this->classes[aRequest.className], aNow);
}

void
WaitEstimator::Count(Decayed& aCount, TimePoint aNow) const
{
  const double gap = static_cast<double>(Between(aCount.at, aNow).count()) /
                     static_cast<double>(this->memory.count());
  aCount.count = aCount.count * std::exp(-std::max(0.0, gap)) + 1;
  aCount.at = aNow;
}

void
WaitEstimator::ForgetFaded(TimePoint aNow)
{
  const double least =
    kFaded * kMicrosecondsPerSecond / static_cast<double>(this->memory.count());
  absl::erase_if(this->classes, [&](const auto& aClass) {
    return this->RateOf(aClass.second, aNow) < least;
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
WaitEstimator::RateOf(const Decayed& aCount, TimePoint aNow) const
{
  if (!this->firstStart) {
    return 0;
  }
  const auto span = static_cast<double>(this->memory.count());
  const auto gap = static_cast<double>(Between(aCount.at, aNow).count());
  const auto age =
    static_cast<double>(Between(*this->firstStart, aNow).count());
  // Counts that have not yet had their full time would tell too low a rate, and
  // a server just started would refuse what it could serve.
  const double full = 1 - std::exp(-std::max(kShortestAge, age / span));
  return aCount.count * std::exp(-std::max(0.0, gap) / span) *
         kMicrosecondsPerSecond / (span * full);
}

double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              Tier aTier,
              TimePoint aNow)
{
  const double left =
    aStarts.StartRate(aNow) - aStarts.StartRateAbove(aTier, aNow);
  return WaitFor(aQueue.SizeAtOrAbove(aTier), left);
}

double
EstimatedWait(const AbstractRequestQueue& aQueue,
              const WaitEstimator& aStarts,
              const QueuedRequest& aNewcomer,
              TimePoint aNow)
{
  const ClassName& className = aNewcomer.className;
  const double byClass = WaitFor(aQueue.SizeOfClass(className),
                                 aStarts.StartRateOf(className, aNow));
  if (aQueue.OldestWait(className, aNow) >=
      aStarts.Memory() / kBackloggedShare) {
    return byClass;
  }
  return std::min(byClass,
                  EstimatedWait(aQueue, aStarts, aNewcomer.tier, aNow));
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
