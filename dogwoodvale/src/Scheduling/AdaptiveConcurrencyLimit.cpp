#include "AdaptiveConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Length of a window, in token intervals per request of the limit; at full
/// load this is the number of engine steps.
constexpr double kStepsPerWindow = 16;
/// The requests queued inside the server are estimated after this many first
/// tokens, or after this many windows, as first tokens are rare where answers
/// are long.
constexpr std::size_t kFirstTokensPerEstimate = 8;
constexpr std::uint32_t kWindowsPerEstimate = 4;
/// Lower bound of the factor by which one window lowers the limit.
constexpr double kMinDecreaseFactor = 0.8;
/// The limit may rise only while the step time is below this fraction of the
/// allowed one.
constexpr double kMaxStepRatioToRaise = 0.9;
/// Factor by which the baselines rise per window, so that a baseline from
/// before a change of model or hardware does not hold the limit down for ever.
constexpr double kBaselineGrowthPerWindow = 1.02;
/// Allowed step time, as a multiple of the unloaded one, of a server that
/// misses the target even unloaded.
constexpr double kMaxSlowdownOverUnloaded = 1.25;

/// Watermarks of the requests queued inside the server. Below the low one the
/// limit may rise, above the high one it is lowered. Between them, and while
/// there are too few samples for an estimate, it stays.
constexpr double kQueuedLowWatermark = 0.25;
constexpr double kQueuedHighWatermark = 0.75;

/// Requests that await their first token count as queued inside the server
/// beyond the sum of this number and of this multiple of the number that the
/// baseline times explain.
constexpr double kAwaitingAllowance = 2;
constexpr double kAwaitingFactor = 4;
/// Age at which a request without a first token is no longer counted.
constexpr Duration kMaxAwaitingAge = seconds(10);

double
MedianOf(std::vector<double>& aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

absl::StatusOr<AdaptiveConcurrencyLimit>
AdaptiveConcurrencyLimit::Create(const Options& aOptions)
{
  if (aOptions.minimum < 1 || aOptions.minimum > aOptions.initial ||
      aOptions.initial > aOptions.maximum) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "concurrency limit: need 1 <= minimum {} <= initial {} "
                     "<= maximum {}",
                     aOptions.minimum,
                     aOptions.initial,
                     aOptions.maximum);
  }
  if (aOptions.tokenTarget <= Duration(0) ||
      !(aOptions.firstTokenTolerance > 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "concurrency limit: token target {} us must be positive "
                     "and first-token tolerance {} above 1",
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
AdaptiveConcurrencyLimit::OnStart(TimePoint aNow)
{
  this->RecordTime(aNow);
  ++this->inFlight;
  this->awaitingFirstToken.push_back(aNow);
  this->limitReached |= this->inFlight >= this->Limit();
}

void
AdaptiveConcurrencyLimit::OnFirstToken(Duration aWait,
                                       std::uint32_t aPromptTokens)
{
  this->RemoveAwaiting();
  const double wait = std::max<double>(1, static_cast<double>(aWait.count()));
  const auto bucket = std::min<std::size_t>(
    static_cast<std::size_t>(std::bit_width(aPromptTokens)),
    kPromptBuckets - 1);
  double& baseline = this->firstTokenBaseline.at(bucket);
  baseline = baseline == 0 ? wait : std::min(baseline, wait);
  this->firstTokens.push_back({ wait, baseline });
  // Answers of a single token yield no intervals, so the window would never
  // close.
  if (this->intervals == 0 &&
      this->firstTokens.size() >= 2 * kFirstTokensPerEstimate) {
    this->Adjust();
  }
}

void
AdaptiveConcurrencyLimit::OnToken(Duration aInterval)
{
  this->intervalSum += static_cast<double>(aInterval.count());
  ++this->intervals;
  this->CloseWindowWhenFull();
}

void
AdaptiveConcurrencyLimit::OnFinish(TimePoint aNow)
{
  this->RecordTime(aNow);
  ++this->finishes;
  if (this->inFlight > 0) {
    --this->inFlight;
  }
}

void
AdaptiveConcurrencyLimit::OnFinishWithoutFirstToken(TimePoint aNow)
{
  this->RemoveAwaiting();
  this->OnFinish(aNow);
}

void
AdaptiveConcurrencyLimit::RecordTime(TimePoint aNow)
{
  if (!this->estimateStart) {
    this->estimateStart = aNow;
  }
  this->latest = aNow;
}

void
AdaptiveConcurrencyLimit::CloseWindowWhenFull()
{
  if (this->intervals >= kStepsPerWindow * this->limit) {
    this->Adjust();
  }
}

void
AdaptiveConcurrencyLimit::Adjust()
{
  const double stepRatio = this->StepRatio();
  const double queued = this->QueuedInServer();
  this->signal = std::max(stepRatio, queued / kQueuedHighWatermark);
  if (stepRatio > 1) {
    this->LowerTo(this->limit / stepRatio);
  } else if (queued > kQueuedHighWatermark) {
    this->LowerTo(this->limit - queued + kQueuedLowWatermark);
  } else if (stepRatio < kMaxStepRatioToRaise && queued < kQueuedLowWatermark &&
             this->limitReached) {
    this->limit += this->wasLowered ? 1 : this->limit / 2;
  }
  this->limit = std::clamp<double>(
    this->limit, this->options.minimum, this->options.maximum);
  this->StartWindow();
}

void
AdaptiveConcurrencyLimit::LowerTo(double aLimit)
{
  // Until the requests in flight have fallen to the current limit, the samples
  // reflect the load before the last decrease. Lowering the limit again on them
  // would stop all starts, also of the highest tier, until the longest answers
  // have ended.
  if (this->inFlight > this->Limit()) {
    return;
  }
  this->wasLowered = true;
  this->limit = std::max(aLimit, kMinDecreaseFactor * this->limit);
}

void
AdaptiveConcurrencyLimit::StartWindow()
{
  ++this->windows;
  this->stepBaseline *= kBaselineGrowthPerWindow;
  for (double& baseline : this->firstTokenBaseline) {
    baseline *= kBaselineGrowthPerWindow;
  }
  this->intervalSum = 0;
  this->intervals = 0;
  this->limitReached = this->inFlight >= this->Limit();
}

double
AdaptiveConcurrencyLimit::StepRatio()
{
  if (this->intervals == 0) {
    return 0;
  }
  const double mean = std::max(1.0, this->intervalSum / this->intervals);
  this->stepTime = Duration(std::llround(mean));
  this->stepBaseline =
    this->stepBaseline == 0 ? mean : std::min(this->stepBaseline, mean);
  this->UpdateUnloadedStep(mean);
  const auto target = static_cast<double>(this->options.tokenTarget.count());
  return mean / std::max(target, kMaxSlowdownOverUnloaded * this->unloadedStep);
}

void
AdaptiveConcurrencyLimit::UpdateUnloadedStep(double aMean)
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
AdaptiveConcurrencyLimit::QueuedInServer()
{
  if (this->firstTokens.size() < kFirstTokensPerEstimate &&
      this->windows < kWindowsPerEstimate) {
    return (kQueuedLowWatermark + kQueuedHighWatermark) / 2;
  }
  const double queued =
    std::max(this->QueuedByFirstTokenTimes(), this->QueuedByAwaitingCount());
  this->firstTokens.clear();
  this->windows = 0;
  this->finishes = 0;
  this->estimateStart = this->latest;
  return queued;
}

double
AdaptiveConcurrencyLimit::QueuedByFirstTokenTimes()
{
  const double span = this->EstimateSpan();
  if (this->firstTokens.empty() || span <= 0) {
    return 0;
  }
  std::vector<double> excess;
  for (const FirstTokenSample& sample : this->firstTokens) {
    const double expected = sample.baseline * this->Slowdown();
    excess.push_back(sample.wait < this->options.firstTokenTolerance * expected
                       ? 0
                       : sample.wait - expected);
  }
  return MedianOf(excess) * this->finishes / span;
}

double
AdaptiveConcurrencyLimit::QueuedByAwaitingCount()
{
  const double span = this->EstimateSpan();
  if (span <= 0) {
    return 0;
  }
  // A start whose end was never reported would be counted for ever and hold the
  // limit at the minimum. No engine delays a first token this long.
  while (!this->awaitingFirstToken.empty() &&
         Between(this->awaitingFirstToken.front(), this->latest) >
           kMaxAwaitingAge) {
    this->awaitingFirstToken.pop_front();
  }
  double expected = 0;
  for (const FirstTokenSample& sample : this->firstTokens) {
    expected += sample.baseline * this->Slowdown();
  }
  // Concurrent prefills take several times as long as a single one; hence the
  // factor.
  return static_cast<double>(this->awaitingFirstToken.size()) -
         kAwaitingAllowance - kAwaitingFactor * expected / span;
}

void
AdaptiveConcurrencyLimit::RemoveAwaiting()
{
  // Only the number matters, not which request got its token. Removing the
  // newest leaves starts whose end was never reported at the front, where they
  // expire.
  if (!this->awaitingFirstToken.empty()) {
    this->awaitingFirstToken.pop_back();
  }
}

double
AdaptiveConcurrencyLimit::EstimateSpan() const
{
  return this->estimateStart
           ? static_cast<double>(
               Between(*this->estimateStart, this->latest).count())
           : 0;
}

double
AdaptiveConcurrencyLimit::Slowdown() const
{
  return this->stepBaseline == 0
           ? 1
           : std::max(1.0,
                      static_cast<double>(this->stepTime.count()) /
                        this->stepBaseline);
}

} // namespace dogwoodvale
