#ifndef DOGWOODVALE_TEST_RAWSOCKETS_H
#define DOGWOODVALE_TEST_RAWSOCKETS_H

#include <string>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::test {

/// \param aPort 0 for any that is free.
inline sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A bare TCP end on loopback, so that a test decides every byte.
class RawSocket
{
public:
  explicit RawSocket(int aDescriptor = -1)
    : descriptor(aDescriptor)
  {
  }
  RawSocket(RawSocket&& aOther) noexcept
    : received(std::move(aOther.received))
    , closed(aOther.closed)
    , wasReset(aOther.wasReset)
    , descriptor(std::exchange(aOther.descriptor, -1))
  {
  }
  RawSocket& operator=(RawSocket&& aOther) noexcept
  {
    this->Close();
    this->received = std::move(aOther.received);
    this->closed = aOther.closed;
    this->wasReset = aOther.wasReset;
    this->descriptor = std::exchange(aOther.descriptor, -1);
    return *this;
  }
  ~RawSocket() { this->Close(); }

  static RawSocket Unconnected()
  {
    return RawSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  }

  static RawSocket Connect(const SocketAddress& aAddress)
  {
    RawSocket made = Unconnected();
    made.ConnectTo(aAddress);
    return made;
  }

  void ConnectTo(const SocketAddress& aAddress) const
  {
    sockaddr_in to = Loopback(aAddress.port);
    connect(this->descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  }

  /// \param aPort 0 for any that is free.
  static RawSocket Listen(int aBacklog = 16, std::uint16_t aPort = 0)
  {
    RawSocket made(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    // A port whose earlier connections still wait is taken too.
    const int on = 1;
    setsockopt(made.descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = Loopback(aPort);
    bind(made.descriptor, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    listen(made.descriptor, aBacklog);
    return made;
  }

  SocketAddress Address() const
  {
    sockaddr_in at{};
    socklen_t size = sizeof(at);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&at), &size);
    return { "127.0.0.1", ntohs(at.sin_port) };
  }

  /// Takes a waiting connection, if any, in place of \p aOut.
  bool Accept(RawSocket& aOut)
  {
    const int taken = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (taken < 0) {
      return false;
    }
    aOut = RawSocket(taken);
    return true;
  }

  int Descriptor() const { return this->descriptor; }

  /// \return how many bytes the system took without waiting.
  ssize_t Send(std::string_view aBytes)
  {
    return send(this->descriptor,
                aBytes.data(),
                aBytes.size(),
                MSG_DONTWAIT | MSG_NOSIGNAL);
  }

  /// Takes in what has come; for use in RunUntil's condition.
  const std::string& Read()
  {
    char bytes[4096];
    ssize_t count = 0;
    while (!this->closed) {
      count = recv(this->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count <= 0) {
        this->wasReset = count < 0 && errno == ECONNRESET;
        this->closed = count == 0 || this->wasReset;
        break;
      }
      this->received.append(bytes, std::size_t(count));
    }
    return this->received;
  }

  /// \return how many bytes have come, one at most, and leaves them there.
  ssize_t Peek() const
  {
    char byte = 0;
    return recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  }

  bool Has(std::string_view aText)
  {
    return this->Read().find(aText) != std::string::npos;
  }

  bool IsClosed()
  {
    this->Read();
    return this->closed;
  }

  /// Ends what this end sends, in order.
  void EndSending() const { shutdown(this->descriptor, SHUT_WR); }

  /// Closes in such a way that the other end sees a reset.
  void Reset()
  {
    const linger now{ 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->Close();
  }

  void Close()
  {
    if (this->descriptor >= 0) {
      close(std::exchange(this->descriptor, -1));
    }
  }

  std::string received;
  bool closed = false;
  bool wasReset = false;

private:
  int descriptor;
};

} // namespace dogwoodvale::test

#endif
