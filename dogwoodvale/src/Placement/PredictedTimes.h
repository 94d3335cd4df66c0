#ifndef DOGWOODVALE_PLACEMENT_PREDICTEDTIMES_H
#define DOGWOODVALE_PLACEMENT_PREDICTEDTIMES_H

#include <cstdint>
#include <optional>

#include "DecodeModel.h"

namespace dogwoodvale {

/// Load of a server to which a request may be added.
struct PredictionInput
{
  /// Load without the request, with the server's mean time factor.
  DecodeLoad load;
  /// Time factor of the service's servers on average, and of this server at
  /// this moment.
  double serviceTimeFactor = 1.0;
  double presentTimeFactor = 1.0;
  /// Tokens of the request that the server has to prefill.
  double prefillTokens = 0;
  /// Tokens that it prefills before.
  double prefillAhead = 0;
  /// Prefill tokens equivalent to the wait for a slot.
  double queueTokens = 0;
  /// Tokens that the service's servers prefill per microsecond on average; 0
  /// until measured.
  double tokensPerMicro = 0;
};

/// Predicted times of a request at a server, and of the streams that run there.
struct PredictedTimes
{
  /// Time of work relative to the mean of the service's servers: at this
  /// moment, and over some seconds.
  double presentSlowness = 1.0;
  double meanSlowness = 1.0;
  /// 90th percentile of a stream's longest pause, without and with the request.
  Duration longPauseBefore{ 0 };
  Duration longPause{ 0 };
  /// Time to the first token of the request; zero until the service's prefill
  /// speed is measured.
  Duration firstToken{ 0 };
};

/// \return nothing until \p aModel is learned.
std::optional<PredictedTimes>
PredictTimes(const DecodeModel& aModel, const PredictionInput& aInput);

/// What an interactive request needs.
struct PauseBounds
{
  /// Bound on the pauses of its stream.
  Duration pause{ 0 };
  /// Target for the time to its first token; zero for none.
  Duration firstToken{ 0 };
};

/// Cost of adding an interactive request to a server; lower is better. It is
/// the sum of the fourth powers of (long pause / bound) and (first token /
/// target), so that the larger ratio decides, and of the growth of the former
/// for the interactive streams that run there.
/// \param aStreams their number.
double
PredictedCost(const PredictedTimes& aTimes,
              const PauseBounds& aBounds,
              std::uint32_t aStreams);

} // namespace dogwoodvale

#endif
