#ifndef DOGWOODVALE_CONTROL_STATUSCOMMANDS_H
#define DOGWOODVALE_CONTROL_STATUSCOMMANDS_H

#include "CommandResult.h"
#include "FleetView.h"

namespace dogwoodvale {

/// What each process says of itself: role, epoch, incarnation, load, ejected,
/// stopping.
CommandResult
FleetStatus(FleetView& aFleet);

/// What each backend server should hold, what it was ordered and what is done.
CommandResult
FleetOrders(FleetView& aFleet);

} // namespace dogwoodvale

#endif
