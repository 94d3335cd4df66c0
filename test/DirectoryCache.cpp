#include <catch2/catch.hpp>

#include "dogwoodvale/Gateway"
#include "support/FakeStore.h"

using namespace dogwoodvale;
using test::FakeStore;

namespace {

/// Encodes routes as a version number, instances as "STATE" or "STATE@START".
class PlainFormat final : public DirectoryFormat
{
public:
  std::string RoutesPrefix() const override { return "routes"; }
  std::string InstancesPrefix() const override { return "instances/"; }
  absl::StatusOr<std::shared_ptr<const RouteTable>> ParseRoutes(
    std::string_view aValue,
    Epoch aInForce) const override
  {
    RouteTableParts parts;
    parts.version = std::strtoull(std::string(aValue).c_str(), nullptr, 10);
    if (parts.version != 0 && parts.version <= aInForce) {
      return nullptr;
    }
    return RouteTable::Create(parts);
  }
  absl::StatusOr<DirectInstance> ParseInstance(
    std::string_view aKey,
    std::string_view aValue) const override
  {
    DirectInstance instance;
    const std::string value(aValue);
    if (value == "unreadable") {
      return absl::DataLossError("not an entry");
    }
    instance.server = InstanceName(aKey.substr(10));
    const std::size_t at = value.find('@');
    if (at != std::string::npos) {
      instance.started = std::strtoull(value.c_str() + at + 1, nullptr, 10);
    }
    instance.name = IncarnationName(instance.server.Value(), instance.started);
    instance.service = ServiceName("s");
    instance.address = { "127.0.0.1", 80 };
    instance.leaving = value.starts_with("leaving");
    return instance;
  }
};

class Observer final : public DirectoryObserver
{
public:
  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    this->versions.push_back(aRoutes->Version());
  }
  void OnInstances(std::span<const DirectInstance> aInstances) override
  {
    this->instances.assign(aInstances.begin(), aInstances.end());
  }
  void OnGateways(std::span<const GatewayMember> aGateways) override
  {
    this->gateways = aGateways.size();
  }
  void OnListRead(TimePoint aBegun) override { this->lastBegun = aBegun; }
  bool Has(const std::string& aName) const
  {
    return std::ranges::any_of(
      this->instances, [&](const DirectInstance& aOne) {
        return aOne.name.Value() == aName && !aOne.leaving;
      });
  }

  std::vector<Epoch> versions;
  std::vector<DirectInstance> instances;
  std::size_t gateways = 0;
  TimePoint lastBegun{};
};

struct Setup
{
  explicit Setup(FakeStore::Mode aMode = FakeStore::Mode::Up)
  {
    this->store.mode = aMode;
    this->store.Write("routes", "5");
    this->store.Write("instances/e1", "ready");
    this->store.Write("instances/e2", "ready");
    this->directory.Start();
    REQUIRE(this->Until([&] { return this->observer.instances.size() == 2; }));
  }
  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(4)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }
  void Pass(Duration aTime) const
  {
    this->loop->RunUntil([] { return false; }, aTime);
  }
  void Remove(const std::string& aKey)
  {
    auto data = this->store.Backup();
    data.erase(aKey);
    this->store.Restore(data);
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  FakeStore store{ *loop };
  PlainFormat format;
  Observer observer;
  DirectoryCache directory{ *loop,
                            store,
                            format,
                            { { InstanceName("g1"), { "127.0.0.1", 9 } },
                              milliseconds(50) },
                            observer };
};

} // namespace

TEST_CASE("routes of an equal or lower version are rejected", "[directory]")
{
  Setup setup;
  setup.store.Write("routes", "4");
  setup.store.Write("routes", "5");
  setup.Pass(milliseconds(100));
  CHECK(setup.observer.versions == std::vector<Epoch>{ 5 });
  CHECK_FALSE(setup.directory.Routes().Apply("3", "g2"));
  CHECK(setup.directory.Routes().Apply("9", "g2"));
  CHECK(setup.directory.Routes().Version() == 9);
  CHECK_FALSE(setup.directory.Routes().Apply("0", "g2"));
}

// Guards against an outdated list that looks new, as its answer waited while
// the process was suspended.
TEST_CASE("a list whose read took long is as old as its beginning",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "ready");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1"); }));
  setup.store.latency = milliseconds(500);
  const TimePoint slow = Now();
  REQUIRE(setup.Until([&] { return setup.observer.lastBegun > slow; }));
  CHECK(setup.directory.InstancesAge(Now()) >= milliseconds(490));
}

TEST_CASE("an outdated entry does not bring back a leaving server",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "leaving");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  setup.store.Write("instances/e1", "ready");
  setup.Pass(milliseconds(200));
  CHECK_FALSE(setup.observer.Has("e1"));
}

// A server drains, exits and restarts under the same name. If its new entry
// were taken for the leaving one, the server would stay unused and callers
// would queue at the others.
TEST_CASE("a server that restarts under its name is used again", "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "leaving@100");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  setup.store.Write("instances/e1", "ready@200");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@200"); }));
  CHECK_FALSE(setup.observer.Has("e1@100"));
  CHECK(setup.observer.instances.size() == 2);
}

// An outdated list still has a server as it was before its restart. Using it
// would route requests alternately by the lost cache and by the new one.
TEST_CASE("an outdated list does not bring back an earlier incarnation",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "ready@200");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@200"); }));
  SECTION("in the store's own list")
  {
    setup.store.Write("instances/e1", "ready@100");
    setup.Pass(milliseconds(200));
    CHECK_FALSE(setup.observer.Has("e1@100"));
  }
  SECTION("from a gateway that doesn't send the start")
  {
    setup.store.mode = FakeStore::Mode::Down;
    setup.Pass(milliseconds(100));
    setup.directory.ApplyInstances(
      R"({"age_ms":1,"instances":[{"name":"e1","service":"s",)"
      R"("address":"127.0.0.1:80","data_centre":"z","slots":1,)"
      R"("leaving":false}]})",
      "g2");
    CHECK(setup.observer.Has("e1@200"));
    CHECK(setup.observer.instances.size() == 1);
  }
}

// Guards against a server that is lost as another writer has stated a later
// start in its entry.
TEST_CASE("a server that writes its own start again is used again",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "ready@100");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@100"); }));
  setup.store.Write("instances/e1", "ready@900");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@900"); }));
  setup.store.Write("instances/e1", "ready@100");
  setup.Pass(milliseconds(200));
  CHECK_FALSE(setup.observer.Has("e1@100"));
  setup.store.Write("instances/e1", "ready@100");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@100"); }));
  CHECK(setup.observer.instances.size() == 2);
  // The next incarnation is as any other.
  setup.store.Write("instances/e1", "ready@200");
  CHECK(setup.Until([&] { return setup.observer.Has("e1@200"); }));
}

// A server's entry is overwritten with malformed data, also during an outage of
// the store. Requests must not go on to the address of the former entry.
TEST_CASE("a server whose entry becomes malformed is removed from the list",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "unreadable");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  CHECK(setup.observer.Has("e2"));
  CHECK(setup.directory.RejectedCount() == 1);
  setup.store.Write("instances/e1", "ready");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1"); }));
  CHECK(setup.directory.RejectedCount() == 0);
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.store.Write("instances/e1", "unreadable");
  setup.store.mode = FakeStore::Mode::Up;
  // Well before entries that expired in the outage are dropped.
  CHECK(
    setup.Until([&] { return !setup.observer.Has("e1"); }, milliseconds(1000)));
  CHECK(setup.observer.Has("e2"));
}

// Entries expire during an outage of the store, and live servers write theirs
// again only about a second later. Dropping the missing ones at once would
// leave half of the servers unused.
TEST_CASE("entries that expire in a store outage are kept for a grace period",
          "[directory]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.Remove("instances/e1");
  CHECK(setup.observer.Has("e1"));
  setup.store.mode = FakeStore::Mode::Up;
  setup.Pass(milliseconds(1000));
  CHECK(setup.observer.Has("e1"));
  CHECK(setup.Until([&] { return !setup.observer.Has("e1"); }));
}

// Only this gateway loses the store, and a server leaves meanwhile. Keeping the
// missing entry afterwards sent a request to the server 3.4 s after it had
// left.
TEST_CASE(
  "a server that left while only this gateway lost the store is dropped",
  "[directory]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.Remove("instances/e1");
  setup.directory.OnPeerStoreContact(seconds(30), Now());
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(
    setup.Until([&] { return !setup.observer.Has("e1"); }, milliseconds(500)));
}

TEST_CASE("another gateway's list is applied only if it is newer",
          "[directory]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  const std::string own = setup.directory.InstancesDocument(Now());
  setup.Pass(milliseconds(100));
  const auto with = [](int aAge) {
    return fmt::format(
      R"({{"age_ms":{},"instances":[{{"name":"e7","service":"s",)"
      R"("address":"127.0.0.1:81","data_centre":"z","slots":1,)"
      R"("leaving":false}}]}})",
      aAge);
  };
  setup.directory.ApplyInstances(with(60'000), "g2");
  CHECK_FALSE(setup.observer.Has("e7"));
  setup.directory.ApplyInstances("not a list", "g2");
  setup.directory.ApplyInstances(with(1), "g2");
  CHECK(setup.observer.Has("e7"));
  CHECK_FALSE(setup.observer.Has("e1"));
  CHECK(own.find("\"e1\"") != std::string::npos);
}

TEST_CASE("a gateway registers with a lease and revokes it when it leaves",
          "[directory]")
{
  Setup setup;
  REQUIRE(setup.Until([&] { return setup.observer.gateways == 1; }));
  CHECK(setup.store.GrantedLeases() == 1);
  setup.directory.Leave();
  CHECK(setup.Until([&] { return setup.store.GrantedLeases() == 0; }));
}

// A gateway of another version sends a list in which a field has another type.
// An exception while parsing it would crash all gateways of a site at once.
TEST_CASE("malformed documents are ignored and throw no exception",
          "[directory]")
{
  Setup setup;
  REQUIRE(setup.Until([&] { return setup.observer.gateways == 1; }));
  const std::vector<std::string> wrong = {
    "7",
    R"({"age_ms":[1],"instances":[]})",
    R"({"age_ms":1,"instances":[7]})",
    R"({"age_ms":1,"instances":[{"name":{},"address":"127.0.0.1:1"}]})",
    R"({"age_ms":-9e99,"instances":[{"name":"e7","service":"s",)"
    R"("address":"127.0.0.1:1","data_centre":"z","slots":-1}]})",
  };
  for (const std::string& document : wrong) {
    INFO(document);
    CHECK_NOTHROW(setup.directory.ApplyInstances(document, "g2"));
    CHECK(setup.observer.Has("e1"));
    CHECK_FALSE(setup.observer.Has("e7"));
  }
  setup.store.Write("dogwoodvale/gateways/g2", R"({"peers":{}})");
  setup.store.Write("dogwoodvale/gateways/g3", R"([])");
  setup.store.Write("dogwoodvale/gateways/g4", R"({"peers":"127.0.0.1:7"})");
  CHECK(setup.Until([&] { return setup.observer.gateways == 2; }));
}

// All gateways of a large site are killed and restart together. Their
// consistent reads of the whole list exceed the store's limit and are retried
// together, so that no gateway serves for half a minute; a stale first read
// avoids that.
TEST_CASE("the first read of the list may be stale, later ones may not",
          "[directory]")
{
  Setup setup(FakeStore::Mode::OnlyStaleReads);
  CHECK(setup.observer.Has("e1"));
  setup.store.Write("instances/e1", "leaving");
  setup.Pass(milliseconds(300));
  CHECK(setup.observer.Has("e1"));
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(setup.Until([&] { return !setup.observer.Has("e1"); }));
}

namespace {

/// A directory past the grace period, which lists exactly what the store has.
struct SettledSetup : Setup
{
  SettledSetup()
  {
    this->Pass(DirectoryCache::kReturnGrace + milliseconds(200));
  }
  std::uint64_t CallsIn(Duration aTime, bool aWithReports)
  {
    const std::uint64_t before = this->store.CallsSent();
    for (Duration at{ 0 }; at < aTime; at += milliseconds(10)) {
      if (aWithReports) {
        this->directory.OnPeerList(
          { this->directory.List(Now()).checksum, milliseconds(1) }, Now());
      }
      this->Pass(milliseconds(10));
    }
    return this->store.CallsSent() - before;
  }
};

} // namespace

// Gateways report to each other that their list is fresh, each time some
// milliseconds too young, until none of them reads it: a request reached a
// server 3.1 s after it had announced its departure.
TEST_CASE("reports of a fresh list don't postpone own reads without limit",
          "[directory]")
{
  SettledSetup setup;
  const std::uint64_t alone = setup.CallsIn(milliseconds(900), false);
  const std::uint64_t withReports = setup.CallsIn(milliseconds(900), true);
  // 900 ms are 18 periods; a read takes place at least every 1.5 periods.
  CHECK(withReports < alone);
  CHECK(withReports >= 10);
  // The reported age is that of the gateway's own read.
  setup.directory.OnPeerList(
    { setup.directory.List(Now()).checksum, milliseconds(0) }, Now());
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.directory.OnPeerList(
    { setup.directory.List(Now()).checksum, milliseconds(0) }, Now());
  CHECK(setup.directory.List(Now()).age >= milliseconds(150));
}

TEST_CASE("a newer list reported by another gateway is read at once",
          "[directory]")
{
  SettledSetup setup;
  const std::uint64_t sum = setup.directory.List(Now()).checksum;
  REQUIRE(sum != 0);
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(100));
  setup.directory.OnPeerList({ sum + 1, milliseconds(0) }, Now());
  CHECK_FALSE(setup.directory.IsBehind(Now()));
  CHECK(setup.Until([&] { return setup.directory.IsBehind(Now()); }));
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(setup.Until([&] { return !setup.directory.IsBehind(Now()); }));
}
