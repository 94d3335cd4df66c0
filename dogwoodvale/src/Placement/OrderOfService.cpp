#include "OrderOfService.h"

#include <algorithm>

namespace dogwoodvale {

OrderPlaces
PlacesOf(std::uint32_t aRank, std::uint32_t aRanks)
{
  constexpr std::uint32_t kPlaces = BackendWork::kRanks;
  const std::uint32_t spare = kPlaces - std::min(kPlaces, aRanks);
  const std::uint32_t firstWithTwo = aRanks - std::min(aRanks, spare);
  if (aRank < firstWithTwo) {
    const std::uint32_t place = std::min(aRank, kPlaces - 1);
    return { place, place };
  }
  const std::uint32_t place =
    std::min(aRank + (aRank - firstWithTwo), kPlaces - 1);
  return { place, std::min(place + 1, kPlaces - 1) };
}

} // namespace dogwoodvale
