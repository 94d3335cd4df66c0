#ifndef DOGWOODVALE_CONFIGURATION_CUSTOMER_H
#define DOGWOODVALE_CONFIGURATION_CUSTOMER_H

#include <cstdint>
#include <string>
#include <vector>

#include "Grant.h"

namespace dogwoodvale {

/// A customer of the operators: keys, what it may use and how much.
struct Customer
{
  CustomerName name;
  /// SHA-256 of each API key, lower-case hexadecimal.
  std::vector<std::string> keyHashes;
  using Grant = dogwoodvale::Grant;
  /// What it may use; the first class of a service is its default there.
  GrantList grants;
  double weight = 1;
  /// Zero: no bound.
  double requestsPerSecond = 0;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;

  const Grant* FindGrant(const ServiceName& aService) const;
};

} // namespace dogwoodvale

#endif
