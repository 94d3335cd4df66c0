#ifndef DOGWOODVALE_HTTP_SOCKETS_H
#define DOGWOODVALE_HTTP_SOCKETS_H

#include <memory>

#include <sys/socket.h>

#include <event2/listener.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

struct RawAddress
{
  sockaddr_storage storage{};
  socklen_t size = 0;

  const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&this->storage);
  }
};

/// The system's form of an address; fails for what is not an IP number.
absl::StatusOr<RawAddress>
ToRawAddress(const SocketAddress& aAddress);

/// Where a socket is bound; an empty address if it isn't.
SocketAddress
LocalAddress(int aSocket);

using ListenerPointer =
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)>;

/// Longest queue of connections that are not accepted yet.
inline constexpr int kLongestBacklog = 1024;

/// Listens; accepted sockets are non-blocking and closed on exec.
absl::StatusOr<ListenerPointer>
Listen(EventLoop& aLoop,
       const SocketAddress& aAddress,
       evconnlistener_cb aAccept,
       void* aContext,
       int aBacklog = kLongestBacklog);

/// Bounds what may lie unread in a socket, or in each socket that a listening
/// one accepts.
void
SetReceiveBuffer(int aSocket, std::size_t aBytes);

} // namespace dogwoodvale::internal

#endif
