#include "SystemAddress.h"

#include <array>
#include <cstring>

#include <arpa/inet.h>

namespace dogwoodvale::internal {

absl::StatusOr<SystemAddress>
SystemAddress::Create(const SocketAddress& aAddress)
{
  SystemAddress made;
  sockaddr_in four{};
  sockaddr_in6 six{};
  // libevent's own parser refuses port 0, which asks for any free one.
  if (inet_pton(AF_INET, aAddress.ip.c_str(), &four.sin_addr) == 1) {
    four.sin_family = AF_INET;
    four.sin_port = htons(aAddress.port);
    made.size = sizeof(four);
    std::memcpy(&made.storage, &four, sizeof(four));
    return made;
  }
  if (inet_pton(AF_INET6, aAddress.ip.c_str(), &six.sin6_addr) == 1) {
    six.sin6_family = AF_INET6;
    six.sin6_port = htons(aAddress.port);
    made.size = sizeof(six);
    std::memcpy(&made.storage, &six, sizeof(six));
    return made;
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "\"{}\" is not an IP number",
                   aAddress.ip);
}

SystemAddress
SystemAddress::OfSocket(int aSocket)
{
  SystemAddress made;
  getsockname(aSocket, made.Data(), &made.size);
  return made;
}

SocketAddress
SystemAddress::ToSocketAddress() const
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (this->storage.ss_family == AF_INET6) {
    sockaddr_in6 six{};
    std::memcpy(&six, &this->storage, sizeof(six));
    inet_ntop(AF_INET6, &six.sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(six.sin6_port) };
  }
  sockaddr_in four{};
  std::memcpy(&four, &this->storage, sizeof(four));
  inet_ntop(AF_INET, &four.sin_addr, text.data(), text.size());
  return { text.data(), ntohs(four.sin_port) };
}

} // namespace dogwoodvale::internal
