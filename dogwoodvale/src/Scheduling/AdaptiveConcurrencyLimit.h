#ifndef DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "ConcurrencyLimit.h"

namespace dogwoodvale {

/// A limit learned from the server's step time and from waiting inside it.
///
/// Two signs of too much work. The time between tokens exceeds its target: then
/// the limit comes down in proportion. Or first tokens take longer than the
/// lowest time seen for prompts of like size, beyond what the steps themselves
/// have become slower by: by Little's law that excess times the rate of
/// finishes is the number that wait inside, and the limit comes down by it.
/// Those that have no first token yet show in no such time; a server that holds
/// back some of its requests is told by their number.
/// With neither, and with the limit in use, it rises by half until the first
/// sign, and by one from there.
///
/// So it follows a straggler down, to where its tokens meet the target, and
/// back up. A server that misses the target even at the minimum is given the
/// work that slows it by no more than a quarter: starving it would cost goodput
/// and mend nothing.
class AdaptiveConcurrencyLimit : public ConcurrencyLimit
{
public:
  struct Options
  {
    std::uint32_t minimum = 1;
    std::uint32_t maximum = 256;
    std::uint32_t initial = 8;
    /// Between tokens, what the classes were promised.
    Duration tokenTarget = milliseconds(38);
    /// First token: below this multiple of the lowest seen it did not wait;
    /// above 1.
    double firstTokenTolerance = 1.5;
  };

  /// \return InvalidArgument unless 1 <= minimum <= initial <= maximum, the
  /// target is positive and the tolerance above 1.
  static absl::StatusOr<AdaptiveConcurrencyLimit> Create(
    const Options& aOptions);

  std::uint32_t Limit() const override;
  void OnStart(TimePoint aNow) override;
  void OnFirstToken(Duration aWait, std::uint32_t aPromptTokens) override;
  void OnToken(Duration aInterval) override;
  void OnFinish(TimePoint aNow) override;
  void OnFinishUnanswered(TimePoint aNow) override;
  double QueueingSignal() const override { return this->signal; }

  /// Mean time between tokens of the last whole window; zero before one.
  Duration StepTime() const { return this->stepTime; }

private:
  /// Prompts are told apart by the power of two of their length.
  static constexpr std::size_t kPromptSizes = 24;

  explicit AdaptiveConcurrencyLimit(const Options& aOptions)
    : options(aOptions)
    , limit(aOptions.initial)
  {
  }
  void CloseWindowWhenFull();
  void Adjust();
  double StepSignal();
  double WaitingInside();
  double MedianWaiting();
  double UnansweredWaiting();
  void DropUnanswered();
  double JudgedSpan() const;
  double Slowdown() const;
  void LowerTo(double aLimit);
  void StartWindow();
  void NoteTime(TimePoint aNow);
  void NoteUnloadedStep(double aMean);

  Options options;
  double limit;
  double signal = 0;
  Duration stepTime{ 0 };
  bool wasLowered = false;
  /// Lowest time to first token by prompt size and lowest mean step time, in
  /// microseconds; 0 when none. Slowly forgotten.
  std::array<double, kPromptSizes> lowestFirstToken{};
  double lowestStep = 0;
  /// Step time at the minimum limit while that misses the target; else 0.
  double unloadedStep = 0;

  // The window under way.
  double tokenSum = 0;
  std::uint32_t tokens = 0;
  bool limitReached = false;

  struct FirstToken
  {
    double wait = 0;
    double lowest = 0;
  };
  /// Kept until there are enough to judge by, with the finishes and the time
  /// since the last judgement.
  std::vector<FirstToken> firstTokens;
  std::uint32_t windows = 0;
  std::uint32_t finishes = 0;
  /// Starts of those in flight without a first token, oldest first.
  std::deque<TimePoint> unanswered;
  std::optional<TimePoint> windowStart;
  TimePoint latest;
};

} // namespace dogwoodvale

#endif
