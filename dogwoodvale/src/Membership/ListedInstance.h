#ifndef DOGWOODVALE_MEMBERSHIP_LISTEDINSTANCE_H
#define DOGWOODVALE_MEMBERSHIP_LISTEDINSTANCE_H

#include <cstdint>

#include "dogwoodvale/Settings"

namespace dogwoodvale {

enum class ListedState : std::uint8_t
{
  Live,
  Leaving,
};

/// One item of the platform's list of instances, which may be out of date.
struct ListedInstance
{
  InstanceName name;
  Role role = Role::Sidecar;
  /// Empty for entries.
  ServiceName service;
  DataCentreName dataCentre;
  RegionName region;
  /// The address for connections from its peers.
  SocketAddress address;
  ListedState state = ListedState::Live;

  bool operator==(const ListedInstance&) const = default;
};

} // namespace dogwoodvale

#endif
