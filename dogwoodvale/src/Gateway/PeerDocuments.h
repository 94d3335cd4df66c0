#ifndef DOGWOODVALE_GATEWAY_PEERDOCUMENTS_H
#define DOGWOODVALE_GATEWAY_PEERDOCUMENTS_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Ports.h"

namespace dogwoodvale {

/// The list of backend servers that one gateway sends to another.
struct InstanceList
{
  /// Time since the list was read from the store.
  milliseconds age{ 0 };
  std::vector<DirectInstance> instances;
};

std::string
WriteInstanceList(const InstanceList& aList);

/// \return DataLoss for a document that no gateway of this version writes. It
/// is rejected as a whole: missing servers would be taken for ones that have
/// left.
absl::StatusOr<InstanceList>
ReadInstanceList(std::string_view aText);

/// A gateway's entry in the store: the address at which others reach it.
std::string
WriteGatewayEntry(const SocketAddress& aPeers);

/// \return an error for text that is no such entry.
absl::StatusOr<SocketAddress>
ReadGatewayEntry(std::string_view aText);

} // namespace dogwoodvale

#endif
