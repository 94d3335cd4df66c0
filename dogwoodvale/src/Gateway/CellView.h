#ifndef DOGWOODVALE_GATEWAY_CELLVIEW_H
#define DOGWOODVALE_GATEWAY_CELLVIEW_H

#include <span>
#include <vector>

#include "DirectoryKeeper.h"

namespace dogwoodvale {

/// The cells of a site as one gateway counts them, see Routing/Cells.h.
struct CellView
{
  std::size_t cells = 1;
  /// This gateway's own cell.
  std::size_t own = 0;
  /// The gateways of it.
  std::vector<GatewayMember> members;
};

/// \param aBefore cells until now; a change is logged.
CellView
ViewCells(const InstanceName& aSelf,
          std::span<const GatewayMember> aGateways,
          std::size_t aBefore);

} // namespace dogwoodvale

#endif
