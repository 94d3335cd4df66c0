#ifndef DOGWOODVALE_STORE_ORDERPLAN_H
#define DOGWOODVALE_STORE_ORDERPLAN_H

#include <span>
#include <vector>

#include "EngineOrders.h"
#include "dogwoodvale/Configuration"

namespace dogwoodvale {

/// The orders that bring an engine from \p aState to \p aWanted: models first,
/// then their adapters, and only when all of those are there, what is no longer
/// wanted goes. What is loading already isn't ordered again.
std::vector<EngineOrder>
PlanOrders(std::span<const ModelPlacement> aWanted, const EngineState& aState);

/// Whether all that is wanted is there and served.
bool
IsSettled(std::span<const ModelPlacement> aWanted, const EngineState& aState);

/// Whether the engine serves any of the wanted models, of whatever version.
bool
ServesAny(std::span<const ModelPlacement> aWanted, const EngineState& aState);

} // namespace dogwoodvale

#endif
