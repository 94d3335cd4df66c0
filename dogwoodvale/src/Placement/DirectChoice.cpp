#include "DirectChoice.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// How much a turn in the queue of a full server counts beside the time that it
/// takes. A few turns make a request late for certain, where one that shares an
/// engine with long prompts may still be in time.
constexpr double kTurnWeight = 8.0;
/// Prefill that one running request is taken to stand for: each slows every
/// step a little.
constexpr double kTokensPerRunningRequest = 8.0;
/// How much a token of delay to a request that runs there counts against one to
/// the request that is placed. One for one makes the sum of delays least.
constexpr double kDelayToOthers = 0.3;
/// How much reading a token again that another server has in its cache counts
/// beside the delay that it is: it takes capacity from all, and puts the same
/// part into a second cache.
constexpr double kReadAgain = 20.0;
/// At most so many of the request's targets: it waits for a holder as long as
/// it may still be in time there.
constexpr double kHolderTargets = 1.0;
/// Share of the cache above which running requests begin to preempt others.
constexpr double kFullCacheShare = 0.85;

/// Tokens that are read there although another server holds them, or reads them
/// for this request's shared parts.
double
TokensReadAgain(const DirectCandidate& aCandidate,
                const DirectDemand& aDemand,
                std::uint32_t aMostCached)
{
  const std::uint32_t fresh =
    aDemand.sharedTokens - std::min(aDemand.sharedTokens, aMostCached);
  const std::uint32_t wanted = aMostCached + fresh;
  const std::uint32_t held =
    aCandidate.cachedTokens + (aCandidate.isHome ? fresh : 0);
  return wanted - std::min(wanted, held);
}

double
ReadAgainCost(const DirectCandidate& aCandidate,
              const DirectDemand& aDemand,
              std::uint32_t aMostCached)
{
  const double cost =
    kReadAgain * TokensReadAgain(aCandidate, aDemand, aMostCached);
  return aDemand.tokensPerTarget > 0
           ? std::min(cost, kHolderTargets * aDemand.tokensPerTarget)
           : cost;
}

/// Slots that have to come free at the server before the request gets one.
/// Those of later ranks that wait there are passed.
std::uint32_t
TurnsUntilSlot(const DirectCandidate& aCandidate, const DirectDemand& aDemand)
{
  const BackendWork& work = aCandidate.work;
  if (aCandidate.slots == 0 || work.requests < aCandidate.slots) {
    return 0;
  }
  // A gateway of an older version doesn't tell ranks: these may be ahead.
  const std::uint32_t unranked =
    work.requests -
    std::min(work.requests, work.RequestsUpTo(BackendWork::kRanks - 1));
  const std::uint32_t ahead = work.RequestsUpTo(aDemand.turnRank) + unranked;
  return ahead - std::min(ahead, aCandidate.slots) + 1;
}

double
ModelCost(const DirectCandidate& aCandidate,
          const DirectDemand& aDemand,
          std::uint32_t aMostCached)
{
  const BackendWork& work = aCandidate.work;
  const std::uint32_t own =
    aDemand.promptTokens -
    std::min(aDemand.promptTokens, aCandidate.cachedTokens);
  double tokens = static_cast<double>(work.PrefillUpTo(aDemand.rank)) + own;
  tokens += ReadAgainCost(aCandidate, aDemand, aMostCached);
  if (aDemand.isLong) {
    // Every answer that is generated there waits while this prompt is read.
    tokens += kDelayToOthers * own * work.requests;
  } else {
    // What was read there lately is what will be read beside this answer.
    tokens += aCandidate.recentLongTokens;
    tokens += kTokensPerRunningRequest * work.requests;
  }
  tokens +=
    kTurnWeight * aDemand.tokensPerTurn * TurnsUntilSlot(aCandidate, aDemand);
  const auto memory =
    static_cast<double>(work.memoryTokens + aDemand.promptTokens);
  const double room =
    kFullCacheShare * static_cast<double>(aCandidate.cacheTokens);
  if (aCandidate.cacheTokens > 0 && memory > room) {
    tokens += memory - room;
  }
  return tokens;
}

} // namespace

double
DirectCost(const DirectCandidate& aCandidate,
           const DirectDemand& aDemand,
           std::uint32_t aMostCached)
{
  if (aDemand.promptTokens > 0) {
    return ModelCost(aCandidate, aDemand, aMostCached);
  }
  const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
  return (aCandidate.work.requests + 1) / slots;
}

} // namespace dogwoodvale
