#include "CapacityFinding.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Whether the work ahead of a request delays it noticeably. Its own size does
/// not count: a prompt that takes longer than its target at an idle server
/// lacks no capacity, and would be refused for ever.
bool
IsDelayed(const Placement& aPlaced, Duration aTarget)
{
  const bool fitsAlone = aPlaced.firstToken - aPlaced.wait <= aTarget;
  return aPlaced.wait > (fitsAlone ? Duration::zero() : aTarget);
}

} // namespace

CapacityFinding
FindCapacity(std::span<const DirectCandidate> aCandidates,
             const PlacementRequest& aRequest,
             const Placement* aPlaced)
{
  CapacityFinding finding;
  // Servers with an unknown number of slots are never full.
  finding.areAllFull =
    std::ranges::none_of(aCandidates, [&](const DirectCandidate& aOne) {
      const bool mayUse = aRequest.demand.isInteractive || !aOne.isReserved;
      return mayUse && (aOne.slots == 0 || aOne.work.requests < aOne.slots);
    });
  if (aPlaced != nullptr && IsDelayed(*aPlaced, aRequest.target)) {
    finding.isLate = aPlaced->timeliness != Timeliness::InTime;
    finding.isBeyondTarget = aPlaced->firstToken > aRequest.target;
    finding.isFarBeyondTarget = aPlaced->firstToken > 2 * aRequest.target;
  }
  return finding;
}

} // namespace dogwoodvale
