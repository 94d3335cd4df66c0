#ifndef DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H

#include <array>
#include <cstddef>
#include <vector>

#include "ConcurrencyLimit.h"

namespace dogwoodvale {

/// A limit learned from the server's step time and from waiting inside it.
///
/// Two signs of too much work: the time between tokens exceeds its target, or
/// first tokens take longer than a multiple of the lowest time seen for prompts
/// of like size, beyond what the steps themselves have become slower by. Either
/// brings the limit down by a factor at the end of a window; with neither, and
/// with the limit in use, it rises by one (by half until the first sign).
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
    /// First token: multiple of the lowest seen that still counts as no
    /// queueing; above 1.
    double firstTokenTolerance = 2;
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
  double FirstTokenSignal();
  void NoteUnloadedStep(double aMean);

  Options options;
  double limit;
  double signal = 0;
  Duration stepTime{ 0 };
  bool sawCongestion = false;
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
  /// First tokens over the lowest for their size; kept until there are enough
  /// for a median.
  std::vector<double> ratios;
};

} // namespace dogwoodvale

#endif
