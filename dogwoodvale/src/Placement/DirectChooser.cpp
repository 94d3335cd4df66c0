#include "DirectChooser.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>

namespace dogwoodvale {

namespace {

/// Compares servers by DirectCost(): queued prefill, cached parts and delay to
/// other requests.
class ExpectedDelayChooser final : public DirectChooser
{
protected:
  double CostOf(const DirectCandidate& aCandidate,
                const DirectDemand& aDemand,
                std::uint32_t aMostCached) const override
  {
    return DirectCost(aCandidate, aDemand, aMostCached);
  }
  bool ExceedsBound(const DirectCandidate& aCandidate,
                    const DirectDemand& aDemand) const override
  {
    return ExceedsPauseBound(aCandidate, aDemand);
  }
  bool ExceedsMemory(const DirectCandidate& aCandidate,
                     const DirectDemand& aDemand) const override
  {
    return dogwoodvale::ExceedsMemory(aCandidate, aDemand);
  }
};

/// Compares servers by requests in flight per slot. A baseline for comparison.
class LeastRequestsDirectChooser final : public DirectChooser
{
protected:
  double CostOf(const DirectCandidate& aCandidate,
                const DirectDemand& /*aDemand*/,
                std::uint32_t /*aMostCached*/) const override
  {
    const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
    return aCandidate.work.requests / slots;
  }
};

/// Chooses the servers in turn regardless of load. A baseline for comparison.
class RoundRobinDirectChooser final : public DirectChooser
{
protected:
  double CostOf(const DirectCandidate& aCandidate,
                const DirectDemand& /*aDemand*/,
                std::uint32_t /*aMostCached*/) const override
  {
    const auto found = this->lastChosenAt.find(aCandidate.name);
    return found == this->lastChosenAt.end()
             ? 0.0
             : static_cast<double>(found->second);
  }
  void OnChosen(const DirectCandidate& aCandidate) override
  {
    // Bounds the map, as servers are replaced while the process runs.
    if (this->lastChosenAt.size() > kMaxServers) {
      this->lastChosenAt.clear();
    }
    this->lastChosenAt[aCandidate.name] = ++this->choices;
  }

private:
  static constexpr std::size_t kMaxServers = 10'000;
  /// Number of the choice at which each server was last chosen.
  absl::flat_hash_map<InstanceName, std::uint64_t> lastChosenAt;
  std::uint64_t choices = 0;
};

/// Whether it has no free slot or soon has none: the work that other gateways
/// have sent to it is known only after a delay.
bool
IsFull(const DirectCandidate& aCandidate)
{
  constexpr double kFullFraction = 0.9;
  return aCandidate.slots > 0 &&
         aCandidate.work.requests >= kFullFraction * aCandidate.slots;
}

} // namespace

std::optional<std::size_t>
DirectChooser::Choose(std::span<const DirectCandidate> aCandidates,
                      const DirectDemand& aDemand,
                      std::mt19937_64& aRandom)
{
  std::optional<std::size_t> best =
    this->ChooseAmong(aCandidates, aDemand, Group::Designated, aRandom);
  // Long prompts stay out of the reserved servers even if they have to wait:
  // there they would make more urgent answers late. Interactive requests that
  // find the reserved servers full, or with pauses beyond their bound, share
  // the others, as they would if none were reserved.
  const bool needsAll = !best || IsUnavailable(aCandidates[*best]) ||
                        (aDemand.isInteractive &&
                         (IsFull(aCandidates[*best]) ||
                          this->ExceedsBound(aCandidates[*best], aDemand)));
  if (needsAll) {
    best = this->ChooseAmong(aCandidates, aDemand, Group::All, aRandom);
  } else if (aDemand.isInteractive &&
             this->ExceedsMemory(aCandidates[*best], aDemand)) {
    // Where the other servers have no memory either, the request stays on the
    // reserved ones.
    const std::optional<std::size_t> other =
      this->ChooseAmong(aCandidates, aDemand, Group::All, aRandom);
    const bool hasRoom = !IsUnavailable(aCandidates[*other]) &&
                         !this->ExceedsMemory(aCandidates[*other], aDemand);
    best = hasRoom ? other : best;
  }
  if (best) {
    this->OnChosen(aCandidates[*best]);
  }
  return best;
}

DirectChooser::Suitability
DirectChooser::SuitabilityOf(const DirectCandidate& aCandidate,
                             const DirectDemand& aDemand) const
{
  if (IsUnavailable(aCandidate)) {
    return Suitability::Unavailable;
  }
  const bool exceedsBound = this->ExceedsBound(aCandidate, aDemand);
  if (this->ExceedsMemory(aCandidate, aDemand)) {
    return exceedsBound ? Suitability::ExceedsMemoryAndBound
                        : Suitability::ExceedsMemory;
  }
  return exceedsBound ? Suitability::ExceedsBound : Suitability::Suitable;
}

std::optional<std::size_t>
DirectChooser::ChooseAmong(std::span<const DirectCandidate> aCandidates,
                           const DirectDemand& aDemand,
                           Group aGroup,
                           std::mt19937_64& aRandom) const
{
  const auto isMember = [&](const DirectCandidate& aCandidate) {
    return aGroup == Group::All ||
           aCandidate.isReserved == aDemand.isInteractive;
  };
  std::optional<std::size_t> best;
  double bestCost = 0;
  Suitability bestSuitability = Suitability::Unavailable;
  std::uint32_t ties = 0;
  std::uint32_t mostCached = 0;
  for (const DirectCandidate& candidate : aCandidates) {
    if (isMember(candidate)) {
      mostCached = std::max(mostCached, candidate.cachedTokens);
    }
  }
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!isMember(aCandidates[i])) {
      continue;
    }
    const Suitability suitability =
      this->SuitabilityOf(aCandidates[i], aDemand);
    const double cost = this->CostOf(aCandidates[i], aDemand, mostCached);
    const bool isBetter = !best || suitability < bestSuitability ||
                          (suitability == bestSuitability && cost < bestCost);
    if (isBetter) {
      best = i;
      bestCost = cost;
      bestSuitability = suitability;
      ties = 1;
    } else if (suitability == bestSuitability && cost == bestCost &&
               std::uniform_int_distribution<std::uint32_t>(0, ties++)(
                 aRandom) == 0) {
      best = i;
    }
  }
  return best;
}

std::unique_ptr<DirectChooser>
DirectChooser::Create(std::string_view aName)
{
  if (aName == "expected_delay") {
    return std::make_unique<ExpectedDelayChooser>();
  }
  if (aName == "least_requests") {
    return std::make_unique<LeastRequestsDirectChooser>();
  }
  if (aName == "round_robin") {
    return std::make_unique<RoundRobinDirectChooser>();
  }
  return nullptr;
}

} // namespace dogwoodvale
