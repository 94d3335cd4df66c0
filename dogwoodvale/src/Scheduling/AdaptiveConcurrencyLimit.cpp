#include "AdaptiveConcurrencyLimit.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Token samples in a window, per request that may run: as many steps.
constexpr double kStepsPerWindow = 16;
/// First tokens, or else windows, needed to judge the waiting inside: where
/// answers are long, first tokens are rare.
constexpr std::size_t kFirstTokens = 8;
constexpr std::uint32_t kWindowsPerJudgement = 4;
/// One window takes the limit down to no less than this share.
constexpr double kMostDecrease = 0.8;
/// Below this share of what is allowed the limit may rise.
constexpr double kHeadroom = 0.9;
/// Lowest times are forgotten this fast per window: what was lowest before a
/// change of model or hardware must not hold the limit down for ever.
constexpr double kForgetting = 1.02;
/// A server that misses the target even unloaded may be slowed by this much.
constexpr double kUnloadedStretch = 1.25;

/// Requests waiting inside the server: below the first the limit may rise,
/// above the second it comes down. Between them, and while there is nothing to
/// judge by, it stays.
constexpr double kFewWaiting = 0.25;
constexpr double kManyWaiting = 0.75;

/// Requests without a first token are taken as waiting inside beyond this many,
/// plus this multiple of what the usual times account for.
constexpr double kUnansweredAlways = 2;
constexpr double kUnansweredFactor = 4;
constexpr Duration kLongestUnanswered = seconds(10);

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
AdaptiveConcurrencyLimit::OnStart(TimePoint aNow)
{
  this->NoteTime(aNow);
  ++this->inFlight;
  this->unanswered.push_back(aNow);
  this->limitReached |= this->inFlight >= this->Limit();
}

void
AdaptiveConcurrencyLimit::OnFirstToken(Duration aWait,
                                       std::uint32_t aPromptTokens)
{
  this->DropUnanswered();
  const double wait = std::max<double>(1, static_cast<double>(aWait.count()));
  const auto size = std::min<std::size_t>(
    static_cast<std::size_t>(std::bit_width(aPromptTokens)), kPromptSizes - 1);
  double& lowest = this->lowestFirstToken.at(size);
  lowest = lowest == 0 ? wait : std::min(lowest, wait);
  this->firstTokens.push_back({ wait, lowest });
  // Answers of a single token bring no intervals that would close the window.
  if (this->tokens == 0 && this->firstTokens.size() >= 2 * kFirstTokens) {
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
AdaptiveConcurrencyLimit::OnFinish(TimePoint aNow)
{
  this->NoteTime(aNow);
  ++this->finishes;
  if (this->inFlight > 0) {
    --this->inFlight;
  }
}

void
AdaptiveConcurrencyLimit::OnFinishUnanswered(TimePoint aNow)
{
  this->DropUnanswered();
  this->OnFinish(aNow);
}

void
AdaptiveConcurrencyLimit::NoteTime(TimePoint aNow)
{
  if (!this->windowStart) {
    this->windowStart = aNow;
  }
  this->latest = aNow;
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
  const double step = this->StepSignal();
  const double waiting = this->WaitingInside();
  this->signal = std::max(step, waiting / kManyWaiting);
  if (step > 1) {
    this->LowerTo(this->limit / step);
  } else if (waiting > kManyWaiting) {
    this->LowerTo(this->limit - waiting + kFewWaiting);
  } else if (step < kHeadroom && waiting < kFewWaiting && this->limitReached) {
    this->limit += this->wasLowered ? 1 : this->limit / 2;
  }
  this->limit = std::clamp<double>(
    this->limit, this->options.minimum, this->options.maximum);
  this->StartWindow();
}

void
AdaptiveConcurrencyLimit::LowerTo(double aLimit)
{
  // Until what runs has come down to the last limit, the signs still tell of
  // the load before it. Lowering again on them would stop all starts, those of
  // the highest tier too, for as long as the longest answers run.
  if (this->inFlight > this->Limit()) {
    return;
  }
  this->wasLowered = true;
  this->limit = std::max(aLimit, kMostDecrease * this->limit);
}

void
AdaptiveConcurrencyLimit::StartWindow()
{
  ++this->windows;
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
AdaptiveConcurrencyLimit::WaitingInside()
{
  if (this->firstTokens.size() < kFirstTokens &&
      this->windows < kWindowsPerJudgement) {
    return (kFewWaiting + kManyWaiting) / 2;
  }
  const double waiting =
    std::max(this->MedianWaiting(), this->UnansweredWaiting());
  this->firstTokens.clear();
  this->windows = 0;
  this->finishes = 0;
  this->windowStart = this->latest;
  return waiting;
}

double
AdaptiveConcurrencyLimit::MedianWaiting()
{
  const double span = this->JudgedSpan();
  if (this->firstTokens.empty() || span <= 0) {
    return 0;
  }
  std::vector<double> extra;
  for (const FirstToken& token : this->firstTokens) {
    const double usual = token.lowest * this->Slowdown();
    extra.push_back(token.wait < this->options.firstTokenTolerance * usual
                      ? 0
                      : token.wait - usual);
  }
  return MedianOf(extra) * this->finishes / span;
}

double
AdaptiveConcurrencyLimit::UnansweredWaiting()
{
  const double span = this->JudgedSpan();
  if (span <= 0) {
    return 0;
  }
  // A start whose end was not told would count for ever and hold the limit at
  // the minimum; no engine makes a request wait this long.
  while (!this->unanswered.empty() &&
         Between(this->unanswered.front(), this->latest) > kLongestUnanswered) {
    this->unanswered.pop_front();
  }
  double usual = 0;
  for (const FirstToken& token : this->firstTokens) {
    usual += token.lowest * this->Slowdown();
  }
  // Prefills that run side by side take several times as long as one alone.
  return static_cast<double>(this->unanswered.size()) - kUnansweredAlways -
         kUnansweredFactor * usual / span;
}

void
AdaptiveConcurrencyLimit::DropUnanswered()
{
  // Which one was answered does not matter for their number. Taking the newest
  // leaves those whose end was not told in front, where they are forgotten.
  if (!this->unanswered.empty()) {
    this->unanswered.pop_back();
  }
}

double
AdaptiveConcurrencyLimit::JudgedSpan() const
{
  return this->windowStart
           ? static_cast<double>(
               Between(*this->windowStart, this->latest).count())
           : 0;
}

double
AdaptiveConcurrencyLimit::Slowdown() const
{
  return this->lowestStep == 0
           ? 1
           : std::max(1.0,
                      static_cast<double>(this->stepTime.count()) /
                        this->lowestStep);
}

} // namespace dogwoodvale
