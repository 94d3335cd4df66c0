#include "PriorityLevels.h"

#include <algorithm>

namespace dogwoodvale {

PriorityLevels
PriorityLevelsOf(std::uint32_t aRank, std::uint32_t aRanks)
{
  constexpr std::uint32_t kPriorities = BackendWork::kRanks;
  const std::uint32_t spare = kPriorities - std::min(kPriorities, aRanks);
  const std::uint32_t firstRankWithTwo = aRanks - std::min(aRanks, spare);
  if (aRank < firstRankWithTwo) {
    const std::uint32_t priority = std::min(aRank, kPriorities - 1);
    return { priority, priority };
  }
  const std::uint32_t priority =
    std::min(aRank + (aRank - firstRankWithTwo), kPriorities - 1);
  return { priority, std::min(priority + 1, kPriorities - 1) };
}

} // namespace dogwoodvale
