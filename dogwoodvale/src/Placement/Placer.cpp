#include "Placer.h"

#include <algorithm>
#include <utility>

#include "LoadShedding.h"

namespace dogwoodvale {

namespace {

/// Fraction of the target from which an expected first token counts as late.
/// Below 1, because in an overload more urgent prompts keep arriving and
/// overtake a prompt while it waits.
constexpr double kLateFraction = 0.9;

/// Tokens of the prompt that the server has to prefill itself.
std::uint32_t
PrefillTokensOf(const DirectDemand& aDemand,
                const DirectCandidate& aServer,
                const std::optional<FetchSource>& aFetch)
{
  const std::uint32_t saved =
    aServer.cachedTokens + (aFetch ? aFetch->tokens : 0);
  return aDemand.promptTokens - std::min(aDemand.promptTokens, saved);
}

Duration
WaitBehind(const PrefillStatistics& aStatistics,
           const DirectCandidate& aServer,
           std::uint64_t aTokens)
{
  return aStatistics.WaitBehind(aServer.name, aTokens)
    .value_or(Duration::zero());
}

BackendWork
WorkOf(const DirectCandidate& aServer,
       const PlacementRequest& aRequest,
       std::uint32_t aPrefillTokens,
       std::uint32_t aPriority)
{
  BackendWork work;
  work.requests = 1;
  work.PrefillAt(aPriority) = aPrefillTokens;
  work.RequestsAt(aPriority) = 1;
  work.memoryTokens = aRequest.demand.promptTokens + aRequest.outputTokens;
  work.uncachedMemoryTokens =
    work.memoryTokens -
    std::min<std::uint64_t>(work.memoryTokens, aServer.cachedTokens);
  work.interactive = aRequest.demand.isInteractive ? 1 : 0;
  return work;
}

} // namespace

std::string_view
TimelinessName(Timeliness aTimeliness)
{
  switch (aTimeliness) {
    case Timeliness::InTime:
      return "in_time";
    case Timeliness::Late:
      return "late";
    case Timeliness::Hopeless:
      return "hopeless";
  }
  return "hopeless";
}

Placer::Options
Placer::OptionsOf(const GatewayDecisions& aDecisions)
{
  Options options;
  options.fetchesCaches = aDecisions.cacheFetch;
  options.lateLast = aDecisions.lateLast;
  options.rankedReading = aDecisions.rankedReading;
  return options;
}

Placer::Placer(std::unique_ptr<DirectChooser> aChooser, Options aOptions)
  : chooser(std::move(aChooser))
  , fetches(CacheFetchPolicy::Create(aOptions.fetchesCaches))
  , options(aOptions)
{
}

std::optional<Placement>
Placer::Place(std::span<const DirectCandidate> aCandidates,
              const PlacementRequest& aRequest,
              const PrefillStatistics& aStatistics,
              std::mt19937_64& aRandom)
{
  const std::optional<std::size_t> chosen =
    this->chooser->Choose(aCandidates, aRequest.demand, aRandom);
  if (!chosen) {
    return std::nullopt;
  }
  Placement placement;
  placement.server = *chosen;
  const DirectCandidate& server = aCandidates[*chosen];
  for (const DirectCandidate& candidate : aCandidates) {
    placement.mostCachedTokens =
      std::max(placement.mostCachedTokens, candidate.cachedTokens);
  }
  placement.exceedsMemory = ExceedsMemory(server, aRequest.demand);
  if (!aRequest.mayHaveBeenPrefilled) {
    placement.fetch = this->fetches->SourceFor(aCandidates, *chosen, aRandom);
  }
  const std::uint32_t prefillTokens =
    PrefillTokensOf(aRequest.demand, server, placement.fetch);
  this->SetExpectations(
    server, aRequest, prefillTokens, aStatistics, placement);
  placement.work = WorkOf(server, aRequest, prefillTokens, placement.priority);
  return placement;
}

void
Placer::SetExpectations(const DirectCandidate& aServer,
                        const PlacementRequest& aRequest,
                        std::uint32_t aPrefillTokens,
                        const PrefillStatistics& aStatistics,
                        Placement& aPlacement) const
{
  const auto setPriority = [&](std::uint32_t aPriority) {
    aPlacement.priority = aPriority;
    aPlacement.prefillAhead = aServer.work.PrefillUpTo(
      this->options.rankedReading ? aPriority : BackendWork::kRanks - 1);
    aPlacement.wait = WaitBehind(aStatistics, aServer, aPlacement.prefillAhead);
    aPlacement.firstToken = WaitBehind(
      aStatistics, aServer, aPlacement.prefillAhead + aPrefillTokens);
  };
  setPriority(aRequest.priorities.inTime);
  // The servers schedule short prompts between the long ones by themselves.
  if (!aRequest.demand.isLong || aRequest.hasBegun) {
    return;
  }
  if (!this->options.lateLast) {
    if (aRequest.isFirst && IsWaitTooLong(aPlacement.wait, aRequest.target)) {
      aPlacement.timeliness = Timeliness::Hopeless;
    }
    return;
  }
  const auto limit = Duration(static_cast<Duration::rep>(
    kLateFraction * static_cast<double>(aRequest.target.count())));
  if (aRequest.spent + aPlacement.firstToken <= limit) {
    return;
  }
  setPriority(aRequest.priorities.late);
  aPlacement.timeliness =
    aRequest.isFirst && IsLateWaitTooLong(aPlacement.wait, aRequest.target)
      ? Timeliness::Hopeless
      : Timeliness::Late;
}

} // namespace dogwoodvale
