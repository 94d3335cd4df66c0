#include "AdaptiveConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Token samples in a window, per request that may run: as many steps.
constexpr double kStepsPerWindow = 16;
/// First tokens needed for a median.
constexpr std::size_t kFirstTokens = 8;
/// One window takes the limit down to no less than this share.
constexpr double kMostDecrease = 0.8;
/// Below this share of what is allowed the limit may rise.
constexpr double kHeadroom = 0.9;
/// Lowest times are forgotten this fast per window: what was lowest before a
/// change of model or hardware must not hold the limit down for ever.
constexpr double kForgetting = 1.02;
/// A server that misses the target even unloaded may be slowed by this much.
constexpr double kUnloadedStretch = 1.25;

double
TakeMedian(std::vector<double>& aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  const double median = *middle;
  aValues.clear();
  return median;
}

} // namespace

absl::StatusOr<AdaptiveConcurrencyLimit>
AdaptiveConcurrencyLimit::Create(const Options& aOptions)
{
  if (aOptions.minimum < 1 || aOptions.minimum > aOptions.initial ||
      aOptions.initial > aOptions.maximum) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "concurrency limit: need 1 <= {} <= {} <= {}",
                     aOptions.minimum,
                     aOptions.initial,
                     aOptions.maximum);
  }
  if (aOptions.tokenTarget <= Duration(0) ||
      !(aOptions.firstTokenTolerance > 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "concurrency limit: target {} us must be positive, "
                     "tolerance {} above 1",
                     aOptions.tokenTarget.count(),
                     aOptions.firstTokenTolerance);
  }
  return AdaptiveConcurrencyLimit(aOptions);
}

std::uint32_t
AdaptiveConcurrencyLimit::Limit() const
{
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(this->limit));
}

void
AdaptiveConcurrencyLimit::OnStart(TimePoint)
{
  ++this->inFlight;
  this->limitReached |= this->inFlight >= this->Limit();
}

void
AdaptiveConcurrencyLimit::OnFirstToken(Duration aWait,
                                       std::uint32_t aPromptTokens)
{
  const double wait = std::max<double>(1, static_cast<double>(aWait.count()));
  const auto size = std::min<std::size_t>(
    static_cast<std::size_t>(std::bit_width(aPromptTokens)), kPromptSizes - 1);
  double& lowest = this->lowestFirstToken.at(size);
  lowest = lowest == 0 ? wait : std::min(lowest, wait);
  this->ratios.push_back(wait / lowest);
  // Answers of a single token bring no intervals that would close the window.
  if (this->tokens == 0 && this->ratios.size() >= 2 * kFirstTokens) {
    this->Adjust();
  }
}

void
AdaptiveConcurrencyLimit::OnToken(Duration aInterval)
{
  this->tokenSum += static_cast<double>(aInterval.count());
  ++this->tokens;
  this->CloseWindowWhenFull();
}

void
AdaptiveConcurrencyLimit::OnFinish(TimePoint)
{
  if (this->inFlight > 0) {
    --this->inFlight;
  }
}

void
AdaptiveConcurrencyLimit::CloseWindowWhenFull()
{
  if (this->tokens >= kStepsPerWindow * this->limit) {
    this->Adjust();
  }
}

void
AdaptiveConcurrencyLimit::Adjust()
{
  this->signal = std::max(this->StepSignal(), this->FirstTokenSignal());
  if (this->signal > 1) {
    this->sawCongestion = true;
    this->limit *= std::max(kMostDecrease, 1 / this->signal);
  } else if (this->signal < kHeadroom && this->limitReached) {
    this->limit += this->sawCongestion ? 1 : this->limit / 2;
  }
  this->limit = std::clamp<double>(
    this->limit, this->options.minimum, this->options.maximum);
  this->lowestStep *= kForgetting;
  for (double& lowest : this->lowestFirstToken) {
    lowest *= kForgetting;
  }
  this->tokenSum = 0;
  this->tokens = 0;
  this->limitReached = this->inFlight >= this->Limit();
}

double
AdaptiveConcurrencyLimit::StepSignal()
{
  if (this->tokens == 0) {
    return 0;
  }
  const double mean = std::max(1.0, this->tokenSum / this->tokens);
  this->stepTime = Duration(std::llround(mean));
  this->lowestStep =
    this->lowestStep == 0 ? mean : std::min(this->lowestStep, mean);
  this->NoteUnloadedStep(mean);
  const auto target = static_cast<double>(this->options.tokenTarget.count());
  return mean / std::max(target, kUnloadedStretch * this->unloadedStep);
}

void
AdaptiveConcurrencyLimit::NoteUnloadedStep(double aMean)
{
  const auto target = static_cast<double>(this->options.tokenTarget.count());
  if (aMean <= target) {
    this->unloadedStep = 0;
  } else if (this->Limit() <= this->options.minimum ||
             aMean < this->unloadedStep) {
    this->unloadedStep = aMean;
  }
}

double
AdaptiveConcurrencyLimit::FirstTokenSignal()
{
  if (this->ratios.size() < kFirstTokens) {
    return 0;
  }
  const double slowdown =
    this->lowestStep == 0
      ? 1
      : std::max(
          1.0, static_cast<double>(this->stepTime.count()) / this->lowestStep);
  return TakeMedian(this->ratios) / slowdown /
         this->options.firstTokenTolerance;
}

} // namespace dogwoodvale
