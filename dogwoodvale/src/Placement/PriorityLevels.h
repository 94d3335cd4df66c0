#ifndef DOGWOODVALE_PLACEMENT_PRIORITYLEVELS_H
#define DOGWOODVALE_PLACEMENT_PRIORITYLEVELS_H

#include <cstdint>

#include "WorkTable.h"

namespace dogwoodvale {

/// Scheduling priorities at a backend server of the requests of one rank;
/// 0 is served first.
struct PriorityLevels
{
  /// Of requests that can meet their latency target.
  std::uint32_t inTime = 0;
  /// Of requests that will miss it anyway: behind all others of their rank and
  /// ahead of every later rank. Equal to inTime where there are not enough
  /// priorities for two per rank.
  std::uint32_t late = 0;
};

/// \param aRank of \p aRanks ranks, see RouteTable::RankOf(). There are
/// BackendWork::kRanks priorities; those left over give a second one to the
/// last ranks, which hold the long requests that can wait.
PriorityLevels
PriorityLevelsOf(std::uint32_t aRank, std::uint32_t aRanks);

} // namespace dogwoodvale

#endif
