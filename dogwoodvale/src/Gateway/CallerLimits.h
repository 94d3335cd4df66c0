#ifndef DOGWOODVALE_GATEWAY_CALLERLIMITS_H
#define DOGWOODVALE_GATEWAY_CALLERLIMITS_H

#include <cstdint>

#include "dogwoodvale/Configuration"
#include "dogwoodvale/Http"

namespace dogwoodvale {

/// What callers may send and how long they may take, by the configuration in
/// force; what it does not say stays at the server's own bound.
/// \param aDescriptors that the process may hold.
CallerBounds
BoundsOf(const CallerLimits& aLimits, std::uint32_t aDescriptors);

} // namespace dogwoodvale

#endif
