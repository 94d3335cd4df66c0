#include "DirectChoice.h"

#include <algorithm>

#include "MemoryAdmission.h"

namespace dogwoodvale {

namespace {

/// Weight of a position in the queue of a full server, relative to the time
/// until a slot becomes free. A few positions make a request late for certain,
/// while one that shares an engine with long prompts may still be in time.
constexpr double kQueuePositionWeight = 8.0;
/// Prefill tokens equivalent to one running request, which slows every decoding
/// step a little.
constexpr double kTokensPerRunningRequest = 8.0;
/// Weight of the delay to a request that runs at the server, relative to the
/// delay to the request being placed. A weight of 1 would minimise the sum of
/// delays.
constexpr double kDelayToOthersWeight = 0.3;
/// Weight of a token that is prefilled although another server has it cached,
/// in addition to the delay itself: it takes capacity from all requests and
/// stores the same part in a second cache.
constexpr double kRepeatedPrefillWeight = 20.0;
/// Upper bound of this cost, in multiples of the tokens prefilled within the
/// request's latency target: it waits for a server that has the part cached
/// only as long as it may still be in time there.
constexpr double kMaxRepeatedPrefillTargets = 1.0;
/// Fraction of the cache above which running requests begin to preempt others.
constexpr double kFullCacheFraction = 0.85;

/// Tokens that the server would prefill although another candidate has them
/// cached or, as the home server of a new shared part, should prefill them.
double
RepeatedPrefillTokens(const DirectCandidate& aCandidate,
                      const DirectDemand& aDemand,
                      std::uint32_t aMostCached)
{
  const std::uint32_t fresh =
    aDemand.sharedTokens - std::min(aDemand.sharedTokens, aMostCached);
  const std::uint32_t wanted = aMostCached + fresh;
  const std::uint32_t covered =
    aCandidate.cachedTokens + (aCandidate.isHome ? fresh : 0);
  return wanted - std::min(wanted, covered);
}

double
RepeatedPrefillCost(const DirectCandidate& aCandidate,
                    const DirectDemand& aDemand,
                    std::uint32_t aMostCached)
{
  const double cost = kRepeatedPrefillWeight *
                      RepeatedPrefillTokens(aCandidate, aDemand, aMostCached);
  return aDemand.tokensPerTarget > 0
           ? std::min(cost,
                      kMaxRepeatedPrefillTargets * aDemand.tokensPerTarget)
           : cost;
}

double
ModelCost(const DirectCandidate& aCandidate,
          const DirectDemand& aDemand,
          std::uint32_t aMostCached)
{
  const BackendWork& work = aCandidate.work;
  const std::uint32_t prefill =
    aDemand.promptTokens -
    std::min(aDemand.promptTokens, aCandidate.cachedTokens);
  const double present =
    aCandidate.predicted ? aCandidate.predicted->presentSlowness : 1.0;
  const double mean =
    aCandidate.predicted ? aCandidate.predicted->meanSlowness : 1.0;
  double tokens =
    present * (static_cast<double>(work.PrefillUpTo(aDemand.rank)) + prefill);
  tokens += mean * RepeatedPrefillCost(aCandidate, aDemand, aMostCached);
  if (aDemand.isLong) {
    // Every answer that is generated there stalls while this prompt is
    // prefilled.
    tokens += mean * kDelayToOthersWeight * prefill * work.requests;
  } else {
    // Recent prefill of long prompts predicts the prefill during this answer.
    tokens += mean * aCandidate.recentLongTokens;
    tokens += mean * kTokensPerRunningRequest * work.requests;
  }
  tokens += mean * kQueuePositionWeight * aDemand.tokensPerQueuePosition *
            QueuePositionOf(aCandidate, aDemand);
  const auto memory =
    static_cast<double>(work.memoryTokens + aDemand.promptTokens);
  const double usableMemory =
    kFullCacheFraction * static_cast<double>(aCandidate.cacheTokens);
  if (aCandidate.cacheTokens > 0 && memory > usableMemory) {
    tokens += memory - usableMemory;
  }
  return tokens;
}

} // namespace

bool
IsUnavailable(const DirectCandidate& aCandidate)
{
  return aCandidate.healthState == HealthState::Ejected ||
         (aCandidate.healthState == HealthState::Probing &&
          aCandidate.work.requests > 0);
}

std::uint32_t
QueuePositionOf(const DirectCandidate& aCandidate, const DirectDemand& aDemand)
{
  const BackendWork& work = aCandidate.work;
  if (aCandidate.slots == 0 || work.requests < aCandidate.slots) {
    return 0;
  }
  // Gateways of older versions do not report ranks: count these requests as
  // ahead.
  const std::uint32_t unranked =
    work.requests -
    std::min(work.requests, work.RequestsUpTo(BackendWork::kRanks - 1));
  const std::uint32_t ahead = work.RequestsUpTo(aDemand.queueRank) + unranked;
  return ahead - std::min(ahead, aCandidate.slots) + 1;
}

bool
ExceedsPauseBound(const DirectCandidate& aCandidate,
                  const DirectDemand& aDemand)
{
  return aDemand.isInteractive && aCandidate.predicted &&
         aCandidate.predicted->longPause > aDemand.bounds.pause;
}

bool
ExceedsMemory(const DirectCandidate& aCandidate, const DirectDemand& aDemand)
{
  if (aDemand.memoryTokens == 0) {
    return false;
  }
  MemoryUse use;
  use.heldTokens = aCandidate.work.uncachedMemoryTokens;
  use.requests = aCandidate.work.requests;
  use.slots = aCandidate.slots;
  const std::uint64_t added =
    aDemand.memoryTokens -
    std::min<std::uint64_t>(aDemand.memoryTokens, aCandidate.cachedTokens);
  return LacksMemory(aCandidate.cacheTokens, use, added);
}

double
DirectCost(const DirectCandidate& aCandidate,
           const DirectDemand& aDemand,
           std::uint32_t aMostCached)
{
  // Compared only among servers that exceed the bound. Pauses there are long
  // for all streams, so the shortest is best.
  if (ExceedsPauseBound(aCandidate, aDemand)) {
    return static_cast<double>(aCandidate.predicted->longPause.count());
  }
  if (aDemand.isInteractive && aCandidate.predicted) {
    return PredictedCost(
      *aCandidate.predicted, aDemand.bounds, aCandidate.work.interactive);
  }
  if (aDemand.promptTokens > 0) {
    return ModelCost(aCandidate, aDemand, aMostCached);
  }
  const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
  return (aCandidate.work.requests + 1) / slots;
}

} // namespace dogwoodvale
