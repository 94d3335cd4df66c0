#ifndef DOGWOODVALE_GATEWAY_CALLERLIMITS_H
#define DOGWOODVALE_GATEWAY_CALLERLIMITS_H

#include <cstdint>

#include "dogwoodvale/Configuration"
#include "dogwoodvale/Http"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Bounds on the size and duration of callers' requests, from the configuration
/// in force; a limit that it does not set keeps the default of CallerBounds.
/// \param aDescriptors file descriptors that the process may open.
/// \param aMemory shares of the memory that the process may use.
CallerBounds
BoundsOf(const CallerLimits& aLimits,
         std::uint32_t aDescriptors,
         const MemoryShares& aMemory);

} // namespace dogwoodvale

#endif
