#ifndef DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H
#define DOGWOODVALE_SCHEDULING_ADAPTIVECONCURRENCYLIMIT_H

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "ConcurrencyLimit.h"

namespace dogwoodvale {

/// Limit adapted to the server's step time (the time between two tokens of a
/// request) and to the number of requests queued inside the server.
///
/// There are two overload signals:
/// - The mean step time exceeds its target. The limit is lowered in proportion.
/// - Requests queue inside the server. First tokens then take longer than the
///   lowest time seen for prompts of similar length, by more than the slowdown
///   of the steps explains. By Little's law, this excess times the completion
///   rate is the number of queued requests, and the limit is lowered by it.
///   Requests without a first token contribute no such time; a server that
///   holds some of its requests back is detected by the number of requests that
///   await their first token.
///
/// Without a signal, and if the limit was reached, the limit rises by half per
/// window until the first overload, and by one per window afterwards.
///
/// The limit so follows a slow server down to where its step time meets the
/// target, and back up when the server recovers. A server that misses the
/// target even at the minimum limit gets the load that slows its steps by at
/// most a quarter: less work would cost goodput without meeting the target.
class AdaptiveConcurrencyLimit : public ConcurrencyLimit
{
public:
  struct Options
  {
    /// Bounds and initial value of the limit, in requests.
    std::uint32_t minimum = 1;
    std::uint32_t maximum = 256;
    std::uint32_t initial = 8;
    /// Target of the time between tokens, from the classes' service levels.
    Duration tokenTarget = milliseconds(38);
    /// A request whose first token took less than this multiple of the expected
    /// time is taken as not queued inside the server; above 1.
    double firstTokenTolerance = 1.5;
  };

  /// \return InvalidArgument unless 1 <= minimum <= initial <= maximum,
  /// tokenTarget is positive and firstTokenTolerance is above 1.
  static absl::StatusOr<AdaptiveConcurrencyLimit> Create(
    const Options& aOptions);

  std::uint32_t Limit() const override;
  void OnStart(TimePoint aNow) override;
  void OnFirstToken(Duration aWait, std::uint32_t aPromptTokens) override;
  void OnToken(Duration aInterval) override;
  void OnFinish(TimePoint aNow) override;
  void OnFinishWithoutFirstToken(TimePoint aNow) override;
  double QueueingSignal() const override { return this->signal; }

  /// Mean time between tokens in the last complete window; zero before the
  /// first one.
  Duration StepTime() const { return this->stepTime; }

private:
  /// Number of prompt length buckets; one for each power of two.
  static constexpr std::size_t kPromptBuckets = 24;

  explicit AdaptiveConcurrencyLimit(const Options& aOptions)
    : options(aOptions)
    , limit(aOptions.initial)
  {
  }
  void CloseWindowWhenFull();
  void Adjust();
  /// Mean step time over the target; 0 without samples.
  double StepRatio();
  /// Estimated number of requests queued inside the server.
  double QueuedInServer();
  double QueuedByFirstTokenTimes();
  double QueuedByAwaitingCount();
  void RemoveAwaiting();
  /// Time covered by the current estimate, in microseconds.
  double EstimateSpan() const;
  /// Step time over its baseline; at least 1.
  double Slowdown() const;
  void LowerTo(double aLimit);
  void StartWindow();
  void RecordTime(TimePoint aNow);
  void UpdateUnloadedStep(double aMean);

  Options options;
  double limit;
  double signal = 0;
  Duration stepTime{ 0 };
  bool wasLowered = false;
  /// Baselines: lowest time to first token by prompt length bucket and lowest
  /// mean step time, in microseconds; 0 when unknown. They rise slowly, see
  /// kBaselineGrowthPerWindow.
  std::array<double, kPromptBuckets> firstTokenBaseline{};
  double stepBaseline = 0;
  /// Step time at the minimum limit while even that misses the target, in
  /// microseconds; 0 otherwise.
  double unloadedStep = 0;

  // State of the current window.
  /// Sum of the intervals between tokens, in microseconds, and their number.
  double intervalSum = 0;
  std::uint32_t intervals = 0;
  bool limitReached = false;

  /// Time to a first token, and the baseline of its bucket, in microseconds.
  struct FirstTokenSample
  {
    double wait = 0;
    double baseline = 0;
  };
  // State of the current estimate of the requests queued inside the server,
  // which may span several windows. \sa QueuedInServer
  std::vector<FirstTokenSample> firstTokens;
  std::uint32_t windows = 0;
  std::uint32_t finishes = 0;
  /// Start times of the requests that await their first token, oldest first.
  /// Kept across estimates.
  std::deque<TimePoint> awaitingFirstToken;
  /// When the current estimate began; nullopt before the first start.
  std::optional<TimePoint> estimateStart;
  /// Time of the last start or finish.
  TimePoint latest;
};

} // namespace dogwoodvale

#endif
