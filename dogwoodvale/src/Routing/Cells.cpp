#include "Cells.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace dogwoodvale {

std::size_t
CellCount(std::size_t aGateways, std::size_t aNow)
{
  const std::size_t now = std::max<std::size_t>(aNow, 1);
  const bool isTooLarge = 2 * aGateways > 3 * kGatewaysPerCell * now;
  const bool isTooSmall = now > 1 && 2 * aGateways < kGatewaysPerCell * now;
  if (!isTooLarge && !isTooSmall) {
    return now;
  }
  return std::max<std::size_t>(
    (aGateways + kGatewaysPerCell / 2) / kGatewaysPerCell, 1);
}

std::size_t
CellOf(const InstanceName& aName, std::size_t aCells)
{
  // Highest random weight: an added cell takes only the names for which its own
  // score is the highest.
  std::size_t best = 0;
  std::uint64_t bestScore = 0;
  for (std::size_t cell = 0; cell < aCells; ++cell) {
    const std::uint64_t score = XXH3_64bits_withSeed(
      aName.Value().data(), aName.Value().size(), cell + 1);
    if (cell == 0 || score > bestScore) {
      best = cell;
      bestScore = score;
    }
  }
  return best;
}

} // namespace dogwoodvale
