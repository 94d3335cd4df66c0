#ifndef DOGWOODVALE_TEST_SUPPORT_BARESITE_H
#define DOGWOODVALE_TEST_SUPPORT_BARESITE_H

#include <catch2/catch.hpp>

#include "PlatformSite.h"

namespace dogwoodvale::test {

/// How a server ends a connection.
enum class Ending : std::uint8_t
{
  Close,
  Reset,
};

/// A site with bare servers, of which the test writes every byte.
class BareSite : public PlatformSite
{
public:
  explicit BareSite(int aServers = 1)
    : PlatformSite(0)
  {
    for (int i = 1; i <= aServers; ++i) {
      this->listeners.push_back(RawSocket::Listen());
      this->store->Put(
        fmt::format("servers/b{}", i),
        fmt::format(
          R"({{"service":"s","address":"{}","zone":"z","slots":4,)"
          R"("state":"ready","sequence":1,"born":{},"version":"v1"}})",
          this->listeners.back().Address().ToString(),
          kBorn));
    }
    this->gateway = &this->ReadyGateway();
  }

  /// Sends a caller's request and takes it at the server that it goes to.
  /// \return that server's index.
  std::size_t Begin(const std::string& aPath,
                    const std::string& aProtocol = "HTTP/1.1")
  {
    std::string text = RequestText(aPath, "a-1", "Connection: close\r\n");
    text.replace(text.find("HTTP/1.1"), aProtocol.size(), aProtocol);
    this->caller = RawSocket::Connect(this->gateway->CallerAddress());
    this->caller.Send(text);
    return this->Take();
  }

  /// Puts a configuration in force whose limit of bodies is \p aBytes.
  void AllowBodies(std::size_t aBytes)
  {
    this->maxBodyBytes = aBytes;
    this->PutConfiguration(2);
    REQUIRE(this->Until([&] {
      return this->gateway->Statusz().find("\"routes_version\" : 2") !=
             std::string::npos;
    }));
  }

  /// Sends a request whose body no server reads to its end.
  void BeginUpload(const std::string& aPath, const std::string& aBody)
  {
    this->caller = RawSocket::Connect(this->gateway->CallerAddress());
    std::string left =
      RequestText(aPath, "a-1", "Connection: close\r\n", aBody);
    const bool isPassedOn = this->Until([&] {
      const ssize_t count = this->caller.Send(left);
      left.erase(0, std::size_t(std::max<ssize_t>(count, 0)));
      return this->listeners[0].Accept(this->server);
    });
    INFO(this->caller.Read());
    REQUIRE(isPassedOn);
    REQUIRE(this->Until([&] { return this->server.Peek() > 0; }));
  }

  /// Sends another caller's request, which goes to the server on the connection
  /// of the one before.
  void BeginOnSameConnection(const std::string& aPath, const std::string& aId)
  {
    this->server.received.clear();
    this->caller = RawSocket::Connect(this->gateway->CallerAddress());
    this->caller.Send(RequestText(aPath, aId, "Connection: close\r\n"));
    REQUIRE(this->Until([&] { return this->server.Has("\r\n\r\nbody"); }));
  }

  /// Takes the next request at any server.
  std::size_t Take()
  {
    std::size_t at = 0;
    this->server.Close();
    this->server = RawSocket();
    REQUIRE(this->Until([&] {
      for (std::size_t i = 0; i < this->listeners.size(); ++i) {
        if (this->listeners[i].Accept(this->server)) {
          at = i;
        }
      }
      return this->server.Has("\r\n\r\nbody");
    }));
    return at;
  }

  /// Writes the bytes and ends the connection once the gateway has read them.
  void Answer(const std::string& aBytes, Ending aEnding)
  {
    this->server.Send(aBytes);
    this->Until([] { return false; }, milliseconds(30));
    if (aEnding == Ending::Reset) {
      this->server.Reset();
    } else {
      this->server.Close();
    }
  }

  /// \return what the caller got, once its connection is closed.
  const std::string& Received()
  {
    REQUIRE(this->Until([&] { return this->caller.IsClosed(); }));
    return this->caller.received;
  }

  std::vector<RawSocket> listeners;
  RawSocket server;
  RawSocket caller;
  Gateway* gateway = nullptr;
};

inline bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace dogwoodvale::test

#endif
