#ifndef DOGWOODVALE_PLACEMENT_LOADUPDATE_H
#define DOGWOODVALE_PLACEMENT_LOADUPDATE_H

#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// A backend server's reported load, as one gateway sends it to the others.
struct LoadUpdate
{
  InstanceName instance;
  ServerLoad load;
  /// Time since the server's answer arrived at the sender.
  milliseconds age{ 0 };

  bool operator==(const LoadUpdate&) const = default;
};

} // namespace dogwoodvale

#endif
