#include "CallerLimits.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Caller connections may use one in this many file descriptors; the rest is
/// for backend servers, the store, other gateways and listeners.
constexpr std::uint32_t kDescriptorShareForCallers = 2;
/// Idle connections are closed at this many tenths of the configured idle time.
/// Callers may use a connection up to that time; closing later avoids a race
/// between their last request and the close.
constexpr int kIdleTimeoutTenths = 13;
constexpr Duration kMinReadTimeout = seconds(20);

} // namespace

CallerBounds
BoundsOf(const CallerLimits& aLimits,
         std::uint32_t aDescriptors,
         const MemoryShares& aMemory)
{
  CallerBounds bounds;
  bounds.connections = aDescriptors / kDescriptorShareForCallers;
  ApplyMemory(aMemory, bounds);
  if (aLimits.headerBytes > 0) {
    bounds.headerBytes = aLimits.headerBytes;
  }
  if (aLimits.bodyBytes > 0) {
    bounds.bodyBytes = aLimits.bodyBytes;
  }
  if (aLimits.idleTimeout > Duration::zero()) {
    bounds.idleTimeout = aLimits.idleTimeout * kIdleTimeoutTenths / 10;
  }
  bounds.readTimeout = std::max(kMinReadTimeout, aLimits.headerTimeout);
  return bounds;
}

} // namespace dogwoodvale
