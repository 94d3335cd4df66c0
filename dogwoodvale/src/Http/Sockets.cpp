#include "Sockets.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>

namespace dogwoodvale::internal {

absl::StatusOr<RawAddress>
ToRawAddress(const SocketAddress& aAddress)
{
  RawAddress raw;
  auto& four = reinterpret_cast<sockaddr_in&>(raw.storage);
  auto& six = reinterpret_cast<sockaddr_in6&>(raw.storage);
  if (inet_pton(AF_INET, aAddress.ip.c_str(), &four.sin_addr) == 1) {
    four.sin_family = AF_INET;
    four.sin_port = htons(aAddress.port);
    raw.size = sizeof(four);
  } else if (inet_pton(AF_INET6, aAddress.ip.c_str(), &six.sin6_addr) == 1) {
    six.sin6_family = AF_INET6;
    six.sin6_port = htons(aAddress.port);
    raw.size = sizeof(six);
  } else {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is not an address",
                     aAddress.ToString());
  }
  return raw;
}

SocketAddress
LocalAddress(int aSocket)
{
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return {};
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET6) {
    const auto& six = reinterpret_cast<const sockaddr_in6&>(storage);
    inet_ntop(AF_INET6, &six.sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(six.sin6_port) };
  }
  const auto& four = reinterpret_cast<const sockaddr_in&>(storage);
  inet_ntop(AF_INET, &four.sin_addr, text.data(), text.size());
  return { text.data(), ntohs(four.sin_port) };
}

absl::StatusOr<ListenerPointer>
Listen(EventLoop& aLoop,
       const SocketAddress& aAddress,
       evconnlistener_cb aAccept,
       void* aContext,
       int aBacklog)
{
  auto raw = ToRawAddress(aAddress);
  if (!raw.ok()) {
    return raw.status();
  }
  ListenerPointer listener(evconnlistener_new_bind(aLoop.Base(),
                                                   aAccept,
                                                   aContext,
                                                   LEV_OPT_CLOSE_ON_FREE |
                                                     LEV_OPT_REUSEABLE |
                                                     LEV_OPT_CLOSE_ON_EXEC,
                                                   aBacklog,
                                                   raw->Get(),
                                                   static_cast<int>(raw->size)),
                           &evconnlistener_free);
  if (listener == nullptr) {
    return MakeError(absl::StatusCode::kUnavailable,
                     "cannot listen at {}: {}",
                     aAddress.ToString(),
                     std::strerror(errno));
  }
  return listener;
}

void
SetReceiveBuffer(int aSocket, std::size_t aBytes)
{
  // Linux doubles the value, to cover its own records of each segment.
  const int bytes = static_cast<int>(aBytes / 2);
  setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

} // namespace dogwoodvale::internal
