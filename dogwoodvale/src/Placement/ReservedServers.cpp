#include "ReservedServers.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

/// Share of a reserved server's slots that is planned to be taken: the rest is
/// for a burst until the number has followed, and for the loss of a server.
constexpr double kPlannedOccupancy = 0.5;
/// In which the peak falls to a third. Longer than the answers take, so that a
/// lull between two waves does not give the servers back to long prompts.
constexpr Duration kPeakFall = seconds(4);
/// At most this share of the servers. A reserved server reads next to nothing,
/// so in a burst of interactive requests a larger share takes more from the
/// long prompts than it gives. What finds no room goes where least is read.
constexpr double kMostShare = 0.25;

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
  const double decay = std::exp(-age / static_cast<double>(kPeakFall.count()));
  this->updatedAt = aNow;
  this->peak = std::max(this->peak * decay, static_cast<double>(aInteractive));
  const double most = std::floor(kMostShare * static_cast<double>(aServers));
  const double needed =
    std::ceil(this->peak / (kPlannedOccupancy * std::max(aSlots, 1U)));
  this->count = static_cast<std::size_t>(std::min(needed, most));
}

} // namespace dogwoodvale
