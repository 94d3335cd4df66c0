#include "DirectChooser.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>

namespace dogwoodvale {

namespace {

/// Goes by DirectCost(): reading that waits, caches, delay to others.
class ExpectedDelayChooser final : public DirectChooser
{
protected:
  double CostOf(const DirectCandidate& aCandidate,
                const DirectDemand& aDemand,
                std::uint32_t aMostCached) const override
  {
    return DirectCost(aCandidate, aDemand, aMostCached);
  }
};

/// Goes by requests under way for each slot. For comparison.
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

/// Takes the servers in turn, whatever their load. For comparison.
class RoundRobinDirectChooser final : public DirectChooser
{
protected:
  double CostOf(const DirectCandidate& aCandidate,
                const DirectDemand& /*aDemand*/,
                std::uint32_t /*aMostCached*/) const override
  {
    const auto found = this->turns.find(aCandidate.name);
    return found == this->turns.end() ? 0.0
                                      : static_cast<double>(found->second);
  }
  void OnChosen(const DirectCandidate& aCandidate) override
  {
    // Servers come and go for as long as the process runs.
    if (this->turns.size() > kMostKnown) {
      this->turns.clear();
    }
    this->turns[aCandidate.name] = ++this->last;
  }

private:
  static constexpr std::size_t kMostKnown = 10'000;
  /// When each server was last chosen, counted in choices.
  absl::flat_hash_map<InstanceName, std::uint64_t> turns;
  std::uint64_t last = 0;
};

/// Has no slot for one more, or soon has none: others know of it late.
bool
IsFull(const DirectCandidate& aCandidate)
{
  constexpr double kFullShare = 0.9;
  return aCandidate.slots > 0 &&
         aCandidate.work.requests >= kFullShare * aCandidate.slots;
}

/// Those that are ejected, and those on trial that have their one request.
bool
IsOut(const DirectCandidate& aCandidate)
{
  return aCandidate.standing == Standing::Ejected ||
         (aCandidate.standing == Standing::OnTrial &&
          aCandidate.work.requests > 0);
}

} // namespace

std::optional<std::size_t>
DirectChooser::Choose(std::span<const DirectCandidate> aCandidates,
                      const DirectDemand& aDemand,
                      std::mt19937_64& aRandom)
{
  std::optional<std::size_t> best =
    this->ChooseAmong(aCandidates, aDemand, Group::Own, aRandom);
  // Long prompts that wait go on waiting: on reserved servers they would make
  // more urgent answers late. Interactive ones that find these full share the
  // others, as they would with none reserved.
  const bool needsOthers =
    !best || IsOut(aCandidates[*best]) ||
    (aDemand.isInteractive && IsFull(aCandidates[*best]));
  if (needsOthers) {
    best = this->ChooseAmong(aCandidates, aDemand, Group::All, aRandom);
  }
  if (best) {
    this->OnChosen(aCandidates[*best]);
  }
  return best;
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
  bool bestIsOut = false;
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
    const bool isOut = IsOut(aCandidates[i]);
    const double cost = this->CostOf(aCandidates[i], aDemand, mostCached);
    const bool isBetter =
      !best || (bestIsOut && !isOut) || (bestIsOut == isOut && cost < bestCost);
    if (isBetter) {
      best = i;
      bestCost = cost;
      bestIsOut = isOut;
      ties = 1;
    } else if (bestIsOut == isOut && cost == bestCost &&
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
