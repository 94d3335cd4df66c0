#include "PredictedTimes.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// \return (\p aTime / \p aLimit) to the fourth power; 0 without a limit.
double
FourthPower(Duration aTime, Duration aLimit)
{
  if (aLimit <= Duration::zero()) {
    return 0.0;
  }
  const double ratio =
    static_cast<double>(aTime.count()) / static_cast<double>(aLimit.count());
  return ratio * ratio * ratio * ratio;
}

} // namespace

std::optional<PredictedTimes>
PredictTimes(const DecodeModel& aModel, const PredictionInput& aInput)
{
  // The prompt delays the streams in the second to come, to which the rates
  // refer.
  DecodeLoad after = aInput.load;
  after.requests += 1.0;
  after.tokensPerSecond += aInput.prefillTokens;
  after.promptsPerSecond += 1.0;
  const std::optional<Duration> longPauseBefore = aModel.LongPause(aInput.load);
  const std::optional<Duration> longPause = aModel.LongPause(after);
  if (!longPauseBefore || !longPause) {
    return std::nullopt;
  }
  PredictedTimes times;
  times.presentSlowness = aInput.presentTimeFactor / aInput.serviceTimeFactor;
  times.meanSlowness = aInput.load.timeFactor / aInput.serviceTimeFactor;
  times.longPauseBefore = *longPauseBefore;
  times.longPause = *longPause;
  if (aInput.tokensPerMicro > 0) {
    // Slots become free over a longer time than a slow period lasts.
    const double tokens =
      times.presentSlowness * (aInput.prefillAhead + aInput.prefillTokens) +
      times.meanSlowness * aInput.queueTokens;
    times.firstToken =
      Duration(static_cast<Duration::rep>(tokens / aInput.tokensPerMicro));
  }
  return times;
}

double
PredictedCost(const PredictedTimes& aTimes,
              const PauseBounds& aBounds,
              std::uint32_t aStreams)
{
  const double before = FourthPower(aTimes.longPauseBefore, aBounds.pause);
  const double after = FourthPower(aTimes.longPause, aBounds.pause);
  return after + FourthPower(aTimes.firstToken, aBounds.firstToken) +
         aStreams * std::max(after - before, 0.0);
}

} // namespace dogwoodvale
