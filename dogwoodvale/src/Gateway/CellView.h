#ifndef DOGWOODVALE_GATEWAY_CELLVIEW_H
#define DOGWOODVALE_GATEWAY_CELLVIEW_H

#include <span>
#include <vector>

#include "DirectoryCache.h"

namespace dogwoodvale {

/// The cells of a site as computed by one gateway, see Routing/Cells.h.
struct CellView
{
  /// Number of cells.
  std::size_t cells = 1;
  /// This gateway's own cell.
  std::size_t own = 0;
  /// The gateways of the own cell.
  std::vector<GatewayMember> members;
};

/// Computes the cells of a list of gateways.
/// \param aBefore the number of cells so far; a change is logged.
CellView
ViewCells(const InstanceName& aSelf,
          std::span<const GatewayMember> aGateways,
          std::size_t aBefore);

} // namespace dogwoodvale

#endif
