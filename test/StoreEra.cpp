#include <catch2/catch.hpp>

#include "dogwoodvale/Gateway"
#include "support/FakeStore.h"
#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::FakeStore;

namespace {

struct Observer : SlotLeaseObserver
{
  void OnSlotAcquired() override { ++this->acquired; }
  void OnSlotLost() override { ++this->lost; }
  int acquired = 0;
  int lost = 0;
};

DirectInstance
Server(const std::string& aName, bool aLeaving = false)
{
  DirectInstance instance;
  instance.name = InstanceName(aName);
  instance.server = instance.name;
  instance.leaving = aLeaving;
  return instance;
}

Instances
ListOf(std::initializer_list<DirectInstance> aServers)
{
  Instances list;
  for (const DirectInstance& server : aServers) {
    list[server.name] = server;
  }
  return list;
}

TimePoint
At(Duration aTime)
{
  return TimePoint{} + seconds(1000) + aTime;
}

} // namespace

// Two holders give orders with one token: the store lost the first one's lease,
// and the second's key was created at a revision that was given out before.
TEST_CASE("a lease ends with its era, and tokens rise over eras", "[era]")
{
  const auto loop = *EventLoop::Create();
  FakeStore store(*loop);
  Observer observer;
  const auto before = store.Backup();
  SlotLease lease(
    *loop, store, "slot", "me", { seconds(3), seconds(1) }, observer);
  lease.Acquire();
  REQUIRE(loop->RunUntil([&] { return observer.acquired == 1; }, seconds(2)));
  const FencingToken first = lease.Fencing();
  CHECK(lease.MayOrder(Now()));
  store.Rewind(before);
  // Any answer of the store tells of it.
  bool hasRead = false;
  const auto call =
    store.Range({ .key = "any" },
                [&](const absl::StatusOr<RangeResult>&) { hasRead = true; });
  REQUIRE(loop->RunUntil([&] { return hasRead; }, seconds(1)));
  CHECK_FALSE(lease.MayOrder(Now()));
  REQUIRE(loop->RunUntil([&] { return observer.acquired == 2; }, seconds(5)));
  CHECK(lease.Fencing() > first);
}

// A gateway that stops ends another's lease: the number of its own, which went
// with the era before, has been given out again.
TEST_CASE("the number of a lease of the era before is another's", "[era]")
{
  const auto loop = *EventLoop::Create();
  FakeStore store(*loop);
  GatewayRoster first(*loop,
                      store,
                      { InstanceName("g1"), { "127.0.0.1", 1 } },
                      [](std::span<const GatewayMember>) {});
  first.Start();
  REQUIRE(loop->RunUntil(
    [&] { return !store.ValueOf("dogwoodvale/gateways/g1").empty(); },
    seconds(2)));
  store.Rewind({});
  GatewayRoster second(*loop,
                       store,
                       { InstanceName("g2"), { "127.0.0.1", 2 } },
                       [](std::span<const GatewayMember>) {});
  second.Start();
  REQUIRE(loop->RunUntil(
    [&] { return !store.ValueOf("dogwoodvale/gateways/g2").empty(); },
    seconds(2)));
  SECTION("the first gateway joins again")
  {
    CHECK(loop->RunUntil(
      [&] { return !store.ValueOf("dogwoodvale/gateways/g1").empty(); },
      seconds(3)));
  }
  SECTION("the first gateway leaves")
  {
    first.Leave();
    loop->RunUntil([] { return false; }, milliseconds(100));
  }
  CHECK_FALSE(store.ValueOf("dogwoodvale/gateways/g2").empty());
}

// Requests go to servers that left ten seconds ago: the copy of the store that
// came back still lists them, until their entries lapse.
TEST_CASE("servers that left are not back with an older copy", "[era]")
{
  Departures departures;
  const Instances all = ListOf({ Server("a"), Server("b"), Server("c") });
  const Instances left = ListOf({ Server("b"), Server("c", true) });
  departures.OnChange(all, left, At(seconds(0)));
  departures.OnChange(left, ListOf({ Server("b") }), At(seconds(1)));
  Instances read = all;
  departures.DropGhosts(read, At(seconds(10)));
  CHECK(read.size() == 3);
  departures.DistrustUntil(At(seconds(20)));
  departures.DropGhosts(read, At(seconds(11)));
  REQUIRE(read.size() == 1);
  CHECK(read.contains(InstanceName("b")));
  // One that is still listed afterwards renews its entry: it lives.
  Instances later = all;
  departures.DropGhosts(later, At(seconds(21)));
  CHECK(later.size() == 3);
}

TEST_CASE("a quarantine is kept again by who kept it", "[era]")
{
  const auto loop = *EventLoop::Create();
  FakeStore store(*loop);
  QuarantineKeeper keeper(*loop, store, [](const QuarantineVerdict&) {});
  keeper.Tend();
  QuarantineVerdict verdict;
  verdict.request = 7;
  verdict.round = 1;
  verdict.left = seconds(60);
  keeper.Keep(verdict);
  const std::string key =
    fmt::format("{}{}", QuarantineKeeper::kPrefix, FingerprintText(7));
  REQUIRE(
    loop->RunUntil([&] { return !store.ValueOf(key).empty(); }, seconds(2)));
  keeper.Tend();
  store.Rewind({});
  CHECK(store.ValueOf(key).empty());
  bool hasRead = false;
  const auto call =
    store.Range({ .key = "any" },
                [&](const absl::StatusOr<RangeResult>&) { hasRead = true; });
  REQUIRE(loop->RunUntil([&] { return hasRead; }, seconds(1)));
  keeper.Tend();
  CHECK(
    loop->RunUntil([&] { return !store.ValueOf(key).empty(); }, seconds(2)));
}

// A change of the configuration is not seen for ten seconds: the watch goes on
// from a revision of the era before, which the store has passed again.
TEST_CASE("a change is seen after the store went back", "[era]")
{
  test::PlatformSite site(1);
  const std::int64_t before = site.store->Revision();
  site.PutConfiguration(5);
  Gateway& gateway = site.ReadyGateway();
  const auto hasVersion = [&](int aVersion) {
    return gateway.Statusz().find(fmt::format("\"routes_version\" : {}",
                                              aVersion)) != std::string::npos;
  };
  REQUIRE(site.Until([&] { return hasVersion(5); }));
  site.store->GoBackTo(before);
  site.Register("e1", *site.engines[0], "ready");
  site.Until([] { return false; }, milliseconds(600));
  // The older copy's configuration does not come into force.
  CHECK(hasVersion(5));
  CHECK(gateway.Ready().ok());
  site.PutConfiguration(6);
  CHECK(site.Until([&] { return hasVersion(6); }, seconds(2)));
  CHECK(site.Ask(gateway, "/again/x", "id1").find(" 200 ") !=
        std::string::npos);
}
