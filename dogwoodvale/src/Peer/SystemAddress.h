#ifndef DOGWOODVALE_PEER_SYSTEMADDRESS_H
#define DOGWOODVALE_PEER_SYSTEMADDRESS_H

#include <sys/socket.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// An address as the system's calls take it.
class SystemAddress
{
public:
  static absl::StatusOr<SystemAddress> Create(const SocketAddress& aAddress);
  /// The address that \p aSocket is bound to.
  static SystemAddress OfSocket(int aSocket);

  sockaddr* Data() { return reinterpret_cast<sockaddr*>(&this->storage); }
  int Size() const { return static_cast<int>(this->size); }
  SocketAddress ToSocketAddress() const;

private:
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);
};

} // namespace dogwoodvale::internal

#endif
