#include "Placer.h"

#include <algorithm>
#include <utility>

#include "LoadRefusal.h"

namespace dogwoodvale {

namespace {

/// Share of the target from which an expected first token counts as late. Below
/// one, as a rush goes on while a prompt waits and more urgent ones pass it.
constexpr double kLateShare = 0.9;

/// Tokens of the prompt that the server has to read itself.
std::uint32_t
TokensToRead(const DirectDemand& aDemand,
             const DirectCandidate& aServer,
             const std::optional<FetchSource>& aFetch)
{
  const std::uint32_t spared =
    aServer.cachedTokens + (aFetch ? aFetch->tokens : 0);
  return aDemand.promptTokens - std::min(aDemand.promptTokens, spared);
}

Duration
WaitBehind(const PrefillFlow& aFlow,
           const DirectCandidate& aServer,
           std::uint64_t aTokens)
{
  return aFlow.WaitBehind(aServer.name, aTokens).value_or(Duration::zero());
}

BackendWork
WorkOf(const PlacementRequest& aRequest,
       std::uint32_t aToRead,
       std::uint32_t aPlace)
{
  BackendWork work;
  work.requests = 1;
  work.PrefillAt(aPlace) = aToRead;
  work.RequestsAt(aPlace) = 1;
  work.memoryTokens = aRequest.demand.promptTokens + aRequest.outputTokens;
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
              const PrefillFlow& aFlow,
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
  if (!aRequest.wasRead) {
    placement.fetch = this->fetches->SourceFor(aCandidates, *chosen, aRandom);
  }
  const std::uint32_t toRead =
    TokensToRead(aRequest.demand, server, placement.fetch);
  this->Judge(server, aRequest, toRead, aFlow, placement);
  placement.work = WorkOf(aRequest, toRead, placement.place);
  return placement;
}

void
Placer::Judge(const DirectCandidate& aServer,
              const PlacementRequest& aRequest,
              std::uint32_t aToRead,
              const PrefillFlow& aFlow,
              Placement& aPlacement) const
{
  const auto stand = [&](std::uint32_t aPlace) {
    aPlacement.place = aPlace;
    aPlacement.prefillAhead = aServer.work.PrefillUpTo(
      this->options.rankedReading ? aPlace : BackendWork::kRanks - 1);
    aPlacement.wait = WaitBehind(aFlow, aServer, aPlacement.prefillAhead);
    aPlacement.firstToken =
      WaitBehind(aFlow, aServer, aPlacement.prefillAhead + aToRead);
  };
  stand(aRequest.places.inTime);
  // Short prompts are read between the long ones, by the servers' own order.
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
    kLateShare * static_cast<double>(aRequest.target.count())));
  if (aRequest.spent + aPlacement.firstToken <= limit) {
    return;
  }
  stand(aRequest.places.late);
  aPlacement.timeliness =
    aRequest.isFirst && IsLateWaitTooLong(aPlacement.wait, aRequest.target)
      ? Timeliness::Hopeless
      : Timeliness::Late;
}

} // namespace dogwoodvale
