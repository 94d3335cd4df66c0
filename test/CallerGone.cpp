#include <catch2/catch.hpp>

#include "support/CrashSite.h"

#include <thread>

using namespace dogwoodvale;
using test::CrashSite;
using test::PlatformSite;
using test::RawSocket;

// A gateway may read a request, or come to send it on, long after its caller
// has closed the connection: its machine is busy, or was suspended. The server
// would then work for nobody. In these tests the loop does not run while the
// caller closes, so that all that happened meanwhile is found in one turn.

namespace {

constexpr Duration kSettleTime = milliseconds(150);
constexpr const char* kIdempotent = "/again/x";

void
Run(const PlatformSite& aSite, Duration aTime)
{
  aSite.loop->RunUntil([] { return false; }, aTime);
}

/// How often a request reached an engine.
std::size_t
ArrivalCount(const PlatformSite& aSite, const std::string& aId)
{
  std::size_t count = 0;
  for (const auto& engine : aSite.engines) {
    count += static_cast<std::size_t>(std::ranges::count(
      engine->Arrivals(), aId, &standins::SealedArrival::id));
  }
  return count;
}

/// Whether the gateway holds no request any more.
bool
IsIdle(Gateway& aGateway)
{
  return aGateway.Statusz().find("\"requests\" : 0,") != std::string::npos;
}

/// Lists \p aServer, which is no stand-in, as the only one of the service.
void
ListOnly(const PlatformSite& aSite, const RawSocket& aServer)
{
  aSite.store->Put(
    "servers/by-hand",
    fmt::format(R"({{"service":"s","address":"{}","zone":"z","slots":4,)"
                R"("state":"ready","sequence":1,"born":{},"version":"v1"}})",
                aServer.Address().ToString(),
                PlatformSite::kBorn));
}

} // namespace

TEST_CASE("a request is not sent if its caller left before it was read",
          "[gone]")
{
  PlatformSite site(2);
  Gateway& gateway = site.ReadyGateway();
  // Leaves connections on which a request would be sent at once.
  for (int i = 0; i < 4; ++i) {
    site.Ask(gateway, kIdempotent, fmt::format("before-{}", i));
  }
  std::string more;
  SECTION("by a close") {}
  SECTION("by a close behind a second request")
  {
    more = PlatformSite::RequestText(kIdempotent, "second");
  }
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send(PlatformSite::RequestText(kIdempotent, "first") + more);
  caller.Close();
  Run(site, kSettleTime);
  CHECK(ArrivalCount(site, "first") == 0);
  CHECK(ArrivalCount(site, "second") == 0);
  CHECK(gateway.Ready().ok());
  CHECK(IsIdle(gateway));
  CHECK(site.Ask(gateway, kIdempotent, "after").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request is not retried if its caller left with the failure",
          "[gone]")
{
  PlatformSite site(0);
  RawSocket server = RawSocket::Listen();
  ListOnly(site, server);
  Gateway& gateway = site.ReadyGateway();
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send(PlatformSite::RequestText(kIdempotent, "retried"));
  RawSocket taken;
  REQUIRE(
    site.Until([&] { return server.Accept(taken) || taken.Has("retried"); }));
  REQUIRE(site.Until([&] { return taken.Has("retried"); }));
  site.AddEngine("e1");
  Run(site, milliseconds(300));
  // The failure becomes known first, the close in the same turn.
  taken.Reset();
  caller.Close();
  Run(site, kSettleTime);
  CHECK(ArrivalCount(site, "retried") == 0);
  CHECK(IsIdle(gateway));
}

TEST_CASE("a request is not sent if its caller left while it was connecting",
          "[gone]")
{
  PlatformSite site(0);
  // Takes one connection, and leaves further ones to be tried again.
  RawSocket server = RawSocket::Listen(0);
  RawSocket filler = RawSocket::Connect(server.Address());
  ListOnly(site, server);
  Gateway& gateway = site.ReadyGateway();
  RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
  caller.Send(PlatformSite::RequestText(kIdempotent, "connecting"));
  Run(site, kSettleTime);
  RawSocket first;
  REQUIRE(server.Accept(first));
  // The system tries again after a second: the connection is there first, and
  // the close in the same turn.
  std::this_thread::sleep_for(milliseconds(1'000));
  caller.Close();
  Run(site, kSettleTime);
  for (RawSocket taken; server.Accept(taken);) {
    CHECK_FALSE(taken.Has("connecting"));
  }
  CHECK(IsIdle(gateway));
}

TEST_CASE("a request is not sent if its caller left while it was held back",
          "[gone]")
{
  CrashSite site(4, 1, test::LongNotes());
  site.Send(0, "/note/stream/x", CrashSite::kCrashBody);
  REQUIRE(site.Until([&] { return !site.crashes.empty(); }));
  const std::size_t before = site.CrashingRuns();
  CrashSite::Try& held = site.Send(0, "/note/stream/x", CrashSite::kCrashBody);
  site.Run(milliseconds(60));
  CHECK(site.CrashingRuns() == before);
  held.socket.Close();
  std::this_thread::sleep_for(milliseconds(1'200));
  site.Run(kSettleTime);
  CHECK(site.CrashingRuns() == before);
  CHECK(IsIdle(*site.gateways[0]));
}

// What a request that leaves had occupied must serve the next one.
TEST_CASE("a server's slots are free again once their callers have left",
          "[gone]")
{
  PlatformSite site(1);
  Gateway& gateway = site.ReadyGateway();
  constexpr int kRounds = 3;
  constexpr int kCallers = 12;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<RawSocket> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(RawSocket::Connect(gateway.CallerAddress()));
      callers.back().Send(PlatformSite::RequestText(
        "/stream/x", fmt::format("left-{}-{}", round, i)));
    }
    Run(site, milliseconds(20));
    callers.clear();
    CHECK(site.Until([&] { return IsIdle(gateway); }, milliseconds(500)));
  }
  CHECK(site.Ask(gateway, kIdempotent, "after").starts_with("HTTP/1.1 200"));
}
