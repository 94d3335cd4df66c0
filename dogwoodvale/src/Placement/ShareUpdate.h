#ifndef DOGWOODVALE_PLACEMENT_SHAREUPDATE_H
#define DOGWOODVALE_PLACEMENT_SHAREUPDATE_H

#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Recent use of a service by one customer, in tokens times seconds.
struct CustomerUse
{
  CustomerName customer;
  double use = 0;

  bool operator==(const CustomerUse&) const = default;
};

/// Recent use of a service through one gateway.
struct ShareUpdate
{
  ServiceName service;
  /// The customers with the largest use.
  std::vector<CustomerUse> busiest;
  /// Use of all other customers together, and their number.
  double otherUse = 0;
  std::uint32_t otherCustomers = 0;

  bool operator==(const ShareUpdate&) const = default;
};

} // namespace dogwoodvale

#endif
