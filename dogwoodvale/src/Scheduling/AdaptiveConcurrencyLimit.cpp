#include "AdaptiveConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Token samples in a window, per request that may run.
constexpr double kSamplesPerSlot = 16;
constexpr std::uint32_t kFirstTokensPerWindow = 16;
/// One window takes the limit down to no less than this share.
constexpr double kMostDecrease = 0.7;
/// Below this share of the target the limit may rise.
constexpr double kHeadroom = 0.9;
/// The lowest first-token time is forgotten this fast per window, so that a
/// server that has become slower for good is not held at the minimum.
constexpr double kForgetting = 1.02;

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
  double& least = this->lowest.at(size);
  least = least == 0 ? wait : std::min(least, wait);
  this->ratioSum += wait / least;
  ++this->firstTokens;
  this->CloseWindowWhenFull();
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
  if (this->tokens < kSamplesPerSlot * this->limit &&
      this->firstTokens < kFirstTokensPerWindow) {
    return;
  }
  this->Adjust();
  this->tokenSum = 0;
  this->tokens = 0;
  this->ratioSum = 0;
  this->firstTokens = 0;
  this->limitReached = this->inFlight >= this->Limit();
}

void
AdaptiveConcurrencyLimit::Adjust()
{
  double worst = 0;
  if (this->tokens > 0) {
    const double mean = this->tokenSum / this->tokens;
    this->stepTime = Duration(std::llround(mean));
    worst = mean / static_cast<double>(this->options.tokenTarget.count());
  }
  if (this->firstTokens > 0) {
    const double ratio = this->ratioSum / this->firstTokens;
    worst = std::max(worst, ratio / this->options.firstTokenTolerance);
  }
  this->signal = worst;
  if (worst > 1) {
    this->sawCongestion = true;
    this->limit *= std::max(kMostDecrease, 1 / worst);
  } else if (worst < kHeadroom && this->limitReached) {
    this->limit += this->sawCongestion ? 1 : this->limit / 2;
  }
  this->limit = std::clamp<double>(
    this->limit, this->options.minimum, this->options.maximum);
  for (double& least : this->lowest) {
    least *= kForgetting;
  }
}

} // namespace dogwoodvale
