#include "CellView.h"

#include "dogwoodvale/Routing"

namespace dogwoodvale {

CellView
ViewCells(const InstanceName& aSelf,
          std::span<const GatewayMember> aGateways,
          std::size_t aBefore)
{
  CellView view;
  view.cells = CellCount(aGateways.size(), aBefore);
  view.own = CellOf(aSelf, view.cells);
  for (const GatewayMember& gateway : aGateways) {
    if (CellOf(gateway.name, view.cells) == view.own) {
      view.members.push_back(gateway);
    }
  }
  if (view.cells != aBefore) {
    Log(LogLevel::Info,
        "cells",
        "count",
        view.cells,
        "before",
        aBefore,
        "own",
        view.own,
        "gateways",
        view.members.size());
  }
  return view;
}

} // namespace dogwoodvale
