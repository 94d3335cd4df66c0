#include <array>
#include <thread>

#include <catch2/catch.hpp>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::RawSocket;

namespace {

/// Longer than a gateway waits for an event, and within a caller's time limit.
constexpr int kPauseMillis = 1150;

bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

Json::Value
Pause()
{
  Json::Value fault(Json::objectValue);
  fault["pause_ms"] = kPauseMillis;
  return fault;
}

bool
IsWhole(const std::string& aAnswer)
{
  return Has(aAnswer, "HTTP/1.1 200") && Has(aAnswer, "piece 5") &&
         Has(aAnswer, "\r\n0\r\n\r\n");
}

/// A site whose engines each pause once in each run.
class PausingSite : public PlatformSite
{
public:
  explicit PausingSite(const std::vector<std::string>& aVersions)
    : PlatformSite(0)
  {
    for (const std::string& version : aVersions) {
      standins::SealedEngineSettings settings;
      settings.softwareVersion = version;
      this->AddEngine(fmt::format("e{}", this->engines.size() + 1), settings)
        .SetFault(Pause());
    }
    this->gateway = &this->ReadyGateway();
  }

  std::size_t RunCount() const
  {
    std::size_t count = 0;
    for (const auto& engine : this->engines) {
      count += engine->Runs().size();
    }
    return count;
  }

  /// A server that the test plays itself.
  void RegisterAddress(const std::string& aName, const SocketAddress& aAddress)
  {
    this->store->Put(
      "servers/" + aName,
      fmt::format(R"({{"service":"s","address":"{}","zone":"z","slots":4,)"
                  R"("state":"ready","sequence":1,"born":{},"version":"v1"}})",
                  aAddress.ToString(),
                  kBorn));
  }

  /// Takes the engines off the list and waits until no request reaches them.
  void RemoveEngines()
  {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->store->Remove(fmt::format("servers/e{}", i + 1));
    }
    // The list is read every 100 ms.
    this->Until([] { return false; }, milliseconds(500));
  }

  Gateway* gateway = nullptr;
};

} // namespace

// Guards against cutting off the caller of a server that only pauses: no other
// server is there to follow it.
TEST_CASE("a stream goes on after a pause of its only server", "[silence]")
{
  PausingSite site({ "v1" });
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// The same where the other servers have another version of the software.
TEST_CASE("a stream waits for the server of its version", "[silence]")
{
  PausingSite site({ "v1", "v2" });
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// The same before the first event, and for an answer that comes whole.
TEST_CASE("an answer comes after a pause of the only server", "[silence]")
{
  PausingSite site({ "v1" });
  CHECK(Has(site.Ask(*site.gateway, "/again/x", "id-1"), "HTTP/1.1 200"));
  CHECK(site.RunCount() == 1);
}

// The same where the retry budget lets no other server follow.
TEST_CASE("a stream outlasts a pause while no retry is left", "[silence]")
{
  PausingSite site({ "v1", "v1" });
  DaemonSettings settings;
  settings.gateway.retryRatio = 0;
  settings.gateway.retryExtra = 0;
  site.gateway->Reload(settings);
  CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", "id-1")));
  CHECK(site.RunCount() == 1);
}

// Guards against keeping a caller with a silent server while another can go on.
TEST_CASE("another server takes a silent stream over", "[silence]")
{
  PausingSite site({ "v1", "v1" });
  Json::Value clear(Json::objectValue);
  clear["clear"] = true;
  site.engines[1]->SetFault(clear);
  // Servers with equal load are chosen at random.
  constexpr int kMost = 60;
  for (int i = 0; i < kMost && site.engines[0]->Runs().empty(); ++i) {
    const TimePoint sent = Now();
    CHECK(IsWhole(site.Ask(*site.gateway, "/stream/x", fmt::format("{}", i))));
    CHECK(Between(sent, Now()) < milliseconds(kPauseMillis));
  }
  CHECK(site.engines[0]->Runs().size() == 1);
}

// Guards against taking the gateway's own delay for a server's silence: the
// rest of the stream has arrived before the time-out is noticed.
TEST_CASE("bytes that have arrived and are not read are no silence",
          "[silence]")
{
  PausingSite site({ "v1", "v1" });
  std::array<RawSocket, 2> listeners = { RawSocket::Listen(),
                                         RawSocket::Listen() };
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    site.RegisterAddress(fmt::format("r{}", i + 1), listeners[i].Address());
  }
  site.RemoveEngines();
  RawSocket caller = RawSocket::Connect(site.gateway->CallerAddress());
  caller.Send(PlatformSite::RequestText("/stream/x", "id-1"));
  RawSocket server;
  REQUIRE(site.Until([&] {
    return listeners[0].Accept(server) || listeners[1].Accept(server);
  }));
  REQUIRE(site.Until([&] { return server.Has("\r\n\r\n"); }));
  server.Send(PlatformSite::AnswerHead("id-1") +
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "11\r\nid: 1\ndata: one\n\n\r\n");
  REQUIRE(site.Until([&] { return caller.Has("data: one"); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  server.Send("11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  CHECK(site.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }, seconds(1)));
  CHECK(caller.Has("data: two"));
  RawSocket other;
  CHECK_FALSE(listeners[0].Accept(other));
  CHECK_FALSE(listeners[1].Accept(other));
}
