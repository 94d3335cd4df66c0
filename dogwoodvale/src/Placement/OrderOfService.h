#ifndef DOGWOODVALE_PLACEMENT_ORDEROFSERVICE_H
#define DOGWOODVALE_PLACEMENT_ORDEROFSERVICE_H

#include <cstdint>

#include "WorkTable.h"

namespace dogwoodvale {

/// Places in the order in which a backend server takes requests, 0 first, of
/// those of one rank.
struct OrderPlaces
{
  std::uint32_t inTime = 0;
  /// Of those that will miss their target anyway: behind all others of their
  /// rank, ahead of every later rank. The same as inTime where the ranks take
  /// up the places.
  std::uint32_t late = 0;
};

/// \param aRank of \p aRanks, see RouteTable::RankOf(). The last ranks get two
/// places each as far as there are places: what is long and can wait stands
/// there.
OrderPlaces
PlacesOf(std::uint32_t aRank, std::uint32_t aRanks);

} // namespace dogwoodvale

#endif
