#ifndef DOGWOODVALE_ROUTING_CELLS_H
#define DOGWOODVALE_ROUTING_CELLS_H

#include <cstddef>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// \file Cells.h
/// Splits a large fleet into cells. The gateways of a cell share the backend
/// servers of that cell and exchange their in-flight counts for them.
///
/// If every gateway sent its load to every other, the update interval would
/// grow with the size of the fleet. With 300 gateways the load known for a
/// server is seconds old: all gateways send to the server that was idle then,
/// and requests queue there. Within a cell, the age of the load data and the
/// cost of a choice stay those of a fleet of the cell's size.

/// Target number of gateways per cell. With 32, each gateway gets about six
/// updates a second from every other at the sending rate of PeerExchange.
inline constexpr std::size_t kGatewaysPerCell = 32;

/// The number of cells for a fleet of \p aGateways gateways; at least 1.
/// \param aNow the current number of cells. It is kept while the mean cell size
/// is between 1/2 and 3/2 of kGatewaysPerCell, because each change reassigns
/// servers, whose prompt caches are then of no use to their new gateways.
std::size_t
CellCount(std::size_t aGateways, std::size_t aNow);

/// The cell of a gateway or backend server, from 0, by rendezvous hashing: the
/// same at all gateways that use the same number of cells. Adding a cell moves
/// only the names that the new cell gets.
std::size_t
CellOf(const InstanceName& aName, std::size_t aCells);

} // namespace dogwoodvale

#endif
