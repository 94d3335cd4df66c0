#ifndef DOGWOODVALE_ROUTING_CELLS_H
#define DOGWOODVALE_ROUTING_CELLS_H

#include <cstddef>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Splits a large fleet into cells: gateways of one cell share the backend
/// servers of that cell and tell each other what they have under way there.
///
/// Every gateway that tells every other of its work can do so less often the
/// more there are. With 300, what each knows of a server is seconds old: they
/// all send to the one that was idle then, and requests queue there. In a cell
/// the news stays as fresh as in a fleet of that size, and so does the work of
/// choosing.

/// Gateways that share a cell, about: with so many, each hears of every other
/// some six times a second at the pace that PeerExchange keeps.
inline constexpr std::size_t kGatewaysPerCell = 32;

/// How many cells a fleet of so many gateways has.
/// \param aNow cells until now; kept as long as they are not half too large or
/// too small, since each change moves servers and leaves their caches behind.
std::size_t
CellCount(std::size_t aGateways, std::size_t aNow);

/// The cell of a gateway or a backend server: the same at every gateway that
/// counts as many cells. One more cell moves only those that go to it.
std::size_t
CellOf(const InstanceName& aName, std::size_t aCells);

} // namespace dogwoodvale

#endif
