#ifndef DOGWOODVALE_RESUMPTION_STREAMORIGIN_H
#define DOGWOODVALE_RESUMPTION_STREAMORIGIN_H

#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Keyed hash that identifies one attempt of a customer; 0 for none.
using StreamKey = std::uint64_t;

/// \param aSecret shared by all gateways. With the customer hashed too, nobody
/// finds the stream of another customer by its attempt id.
/// \return 0 if \p aAttemptId is empty.
StreamKey
StreamKeyOf(const CustomerName& aCustomer,
            std::string_view aAttemptId,
            std::string_view aSecret);

/// What wrote the first event of a stream.
struct StreamOrigin
{
  ServiceName service;
  /// Empty if the server stated none; no server may then continue the stream.
  std::string softwareVersion;

  bool operator==(const StreamOrigin&) const = default;
};

/// Whether what a server of one version writes continues what one of the other
/// wrote. An unknown version equals none, not even another unknown one.
bool
IsSameSoftware(std::string_view aLeft, std::string_view aRight);

} // namespace dogwoodvale

#endif
