#ifndef DOGWOODVALE_CORE_SOCKETADDRESS_H
#define DOGWOODVALE_CORE_SOCKETADDRESS_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Status.h"

namespace dogwoodvale {

/// An IP number and a port; host names are not resolved.
struct SocketAddress
{
  std::string ip;
  std::uint16_t port = 0;

  // clang-tidy 14 takes the zero inside the comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SocketAddress&) const = default;

  /// Parses "1.2.3.4:80" or "[::1]:80".
  static absl::StatusOr<SocketAddress> Parse(std::string_view aText);
  /// The same for an address to connect to, whose port is not 0.
  static absl::StatusOr<SocketAddress> ParseRemote(std::string_view aText);

  std::string ToString() const;
};

} // namespace dogwoodvale

#endif
