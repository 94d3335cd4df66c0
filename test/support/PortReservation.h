#ifndef DOGWOODVALE_TEST_SUPPORT_PORTRESERVATION_H
#define DOGWOODVALE_TEST_SUPPORT_PORTRESERVATION_H

#include <cstdint>
#include <random>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dogwoodvale::test {

/// A port of 127.0.0.1 on which nobody else listens, by TCP or UDP, for what
/// must know its port before it binds it. Other tests, of this process or
/// another, choose another port for as long as this lives.
class PortReservation
{
public:
  /// Below the ports that the system gives to sockets that name none, and
  /// below those of the tests over real processes.
  static constexpr std::uint16_t kFirst = 10'000;
  static constexpr std::uint16_t kLast = 14'999;

  static PortReservation Draw()
  {
    std::random_device entropy;
    std::uniform_int_distribution<std::uint16_t> draw(kFirst, kLast);
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const std::uint16_t port = draw(entropy);
      // Held on an address that only reservations use, so that the port stays
      // free where it is to be used.
      PortReservation made(port, Bind(SOCK_STREAM, kReservations, port));
      if (made.held >= 0 && IsFree(SOCK_STREAM, port) &&
          IsFree(SOCK_DGRAM, port)) {
        return made;
      }
    }
    throw std::runtime_error("no port is free for a test");
  }
  ~PortReservation()
  {
    if (this->held >= 0) {
      close(this->held);
    }
  }

  PortReservation(PortReservation&& aOther) noexcept
    : port(aOther.port)
    , held(std::exchange(aOther.held, -1))
  {
  }
  PortReservation& operator=(PortReservation&&) = delete;

  std::uint16_t Port() const { return this->port; }

private:
  PortReservation(std::uint16_t aPort, int aHeld)
    : port(aPort)
    , held(aHeld)
  {
  }

  static constexpr int kAttempts = 100;
  static constexpr in_addr_t kReservations = 0x7F000002; // 127.0.0.2

  /// \return the socket, or -1 where the port is in use.
  static int Bind(int aType, in_addr_t aHost, std::uint16_t aPort)
  {
    const int made = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(aPort);
    at.sin_addr.s_addr = htonl(aHost);
    if (bind(made, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
      close(made);
      return -1;
    }
    return made;
  }

  static bool IsFree(int aType, std::uint16_t aPort)
  {
    const int probe = Bind(aType, INADDR_LOOPBACK, aPort);
    if (probe < 0) {
      return false;
    }
    close(probe);
    return true;
  }

  std::uint16_t port;
  /// The socket that keeps others from drawing the port; -1 if there is none.
  int held;
};

} // namespace dogwoodvale::test

#endif
