#ifndef DOGWOODVALE_GATEWAY_PEERDOCUMENTS_H
#define DOGWOODVALE_GATEWAY_PEERDOCUMENTS_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Ports.h"

namespace dogwoodvale {

/// The backend servers as one gateway tells them to another.
struct InstanceList
{
  /// Since the store last told them.
  milliseconds age{ 0 };
  std::vector<DirectInstance> instances;
};

std::string
WriteInstanceList(const InstanceList& aList);

/// \return DataLoss for what no gateway of this version writes. Nothing of it
/// is taken then: half a list would look like servers that have left.
absl::StatusOr<InstanceList>
ReadInstanceList(std::string_view aText);

/// A gateway's own entry in the store: where others reach it.
std::string
WriteGatewayEntry(const SocketAddress& aPeers);

absl::StatusOr<SocketAddress>
ReadGatewayEntry(std::string_view aText);

} // namespace dogwoodvale

#endif
