#ifndef DOGWOODVALE_PLACEMENT_CAPACITYFINDING_H
#define DOGWOODVALE_PLACEMENT_CAPACITYFINDING_H

#include <span>

#include "Placer.h"

namespace dogwoodvale {

/// What the placement of one request shows of the capacity of its service.
struct CapacityFinding
{
  /// All servers that the request may use have as many requests as slots, or
  /// there is none.
  bool areAllFull = false;
  /// Its first token is expected too late, see Timeliness, because of the work
  /// ahead of it. The same holds for the members below.
  bool isLate = false;
  /// Its first token is expected after its target, or twice its target. For
  /// interactive requests, whose timeliness is always in time.
  bool isBeyondTarget = false;
  bool isFarBeyondTarget = false;

  /// Whether the request counts as one that found no capacity, see
  /// CapacityShortage.
  bool IsWithoutCapacity() const
  {
    return this->areAllFull || this->isLate || this->isBeyondTarget;
  }
  /// Whether the request is refused if its customer is over its share. An
  /// interactive request is sent up to twice its target: a customer's excess
  /// then delays the others of its rank by at most half of the time after which
  /// their callers disconnect (four targets or more).
  bool IsRefusedWhenOver() const
  {
    return this->areAllFull || this->isLate || this->isFarBeyondTarget;
  }
};

/// \param aPlaced null if there was no candidate to choose.
CapacityFinding
FindCapacity(std::span<const DirectCandidate> aCandidates,
             const PlacementRequest& aRequest,
             const Placement* aPlaced);

} // namespace dogwoodvale

#endif
