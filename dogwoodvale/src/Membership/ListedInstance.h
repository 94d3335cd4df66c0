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

/// One line of the platform's list; true some time ago.
struct ListedInstance
{
  InstanceName name;
  Role role = Role::Sidecar;
  /// Empty for entries.
  ServiceName service;
  DataCentreName dataCentre;
  RegionName region;
  /// Where its peers reach it.
  SocketAddress address;
  ListedState state = ListedState::Live;

  bool operator==(const ListedInstance&) const = default;
};

} // namespace dogwoodvale

#endif
