#include "CallerLimits.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Callers' connections get one part in this many of the descriptors; the rest
/// is for backend servers, the store, gateways and listeners.
constexpr std::uint32_t kDescriptorShareForCallers = 2;
/// Callers may use a connection up to the configured idle time; closing a
/// little later keeps their last request from crossing the close.
constexpr int kIdleTimeoutTenths = 13;
constexpr Duration kLeastReadTimeout = seconds(20);

} // namespace

CallerBounds
BoundsOf(const CallerLimits& aLimits, std::uint32_t aDescriptors)
{
  CallerBounds bounds;
  bounds.connections = aDescriptors / kDescriptorShareForCallers;
  if (aLimits.headerBytes > 0) {
    bounds.headerBytes = aLimits.headerBytes;
  }
  if (aLimits.bodyBytes > 0) {
    bounds.bodyBytes = aLimits.bodyBytes;
  }
  if (aLimits.idleTimeout > Duration::zero()) {
    bounds.idleTimeout = aLimits.idleTimeout * kIdleTimeoutTenths / 10;
  }
  bounds.readTimeout = std::max(kLeastReadTimeout, aLimits.headerTimeout);
  return bounds;
}

} // namespace dogwoodvale
