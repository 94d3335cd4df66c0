#include "ReservedServers.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

/// Planned share of a reserved server's slots in use. The rest is for a burst,
/// until more servers are reserved, and for the loss of a server.
constexpr double kPlannedOccupancy = 0.5;
/// Time constant of the decay of the peak, in which it falls to 1/e. Longer
/// than the answers take, so that a lull between two bursts does not give the
/// servers back to long prompts.
constexpr Duration kPeakDecayTime = seconds(4);
/// Maximum share of the servers that is reserved. A reserved server does hardly
/// any prefill, so in a burst of interactive requests a larger share costs the
/// long prompts more than the interactive requests gain. Interactive requests
/// that find no free slot there go to the server with the least prefill.
constexpr double kMaxReservedShare = 0.25;

} // namespace

std::uint64_t
ReservationOrder(const InstanceName& aInstance)
{
  constexpr std::uint64_t kSeed = 0x7265736572766564;
  return XXH3_64bits_withSeed(
    aInstance.Value().data(), aInstance.Value().size(), kSeed);
}

void
ReservedServers::Seed(double aPeak, TimePoint aNow)
{
  if (aPeak > this->peak) {
    this->peak = aPeak;
    this->updatedAt = aNow;
  }
}

void
ReservedServers::Update(std::uint64_t aInteractive,
                        std::uint32_t aSlots,
                        std::size_t aServers,
                        TimePoint aNow)
{
  const auto age = static_cast<double>(Between(this->updatedAt, aNow).count());
  const double decay =
    std::exp(-age / static_cast<double>(kPeakDecayTime.count()));
  this->updatedAt = aNow;
  this->peak = std::max(this->peak * decay, static_cast<double>(aInteractive));
  const double maxCount =
    std::floor(kMaxReservedShare * static_cast<double>(aServers));
  const double needed =
    std::ceil(this->peak / (kPlannedOccupancy * std::max(aSlots, 1U)));
  this->count = static_cast<std::size_t>(std::min(needed, maxCount));
}

} // namespace dogwoodvale
