#include <catch2/catch.hpp>

#include "dogwoodvale/Gateway"
#include "support/FakeStore.h"

using namespace dogwoodvale;
using test::FakeStore;

namespace {

/// Routes as a version number, instances as "STATE" or "STATE@START".
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
};

struct Setup
{
  explicit Setup(FakeStore::Mode aMode = FakeStore::Mode::Up)
  {
    this->store.mode = aMode;
    this->store.Write("routes", "5");
    this->store.Write("instances/e1", "ready");
    this->store.Write("instances/e2", "ready");
    this->keeper.Start();
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
  DirectoryKeeper keeper{ *loop,
                          store,
                          format,
                          { { InstanceName("g1"), { "127.0.0.1", 9 } },
                            milliseconds(50) },
                          observer };
};

} // namespace

TEST_CASE("only a higher version is taken", "[directory]")
{
  Setup setup;
  setup.store.Write("routes", "4");
  setup.store.Write("routes", "5");
  setup.Pass(milliseconds(100));
  CHECK(setup.observer.versions == std::vector<Epoch>{ 5 });
  CHECK_FALSE(setup.keeper.Routes().Take("3", "g2"));
  CHECK(setup.keeper.Routes().Take("9", "g2"));
  CHECK(setup.keeper.Routes().Version() == 9);
  CHECK_FALSE(setup.keeper.Routes().Take("0", "g2"));
}

TEST_CASE("a server that leaves does not come back by an older list",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "leaving");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  setup.store.Write("instances/e1", "ready");
  setup.Pass(milliseconds(200));
  CHECK_FALSE(setup.observer.Has("e1"));
}

// A server drains, ends and starts again under its name. Callers wait behind
// the servers that are left, since its entry is read as the one that said it
// leaves.
TEST_CASE("a server that starts again under its name is used again",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "leaving@100");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  setup.store.Write("instances/e1", "ready@200");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1@200"); }));
  CHECK_FALSE(setup.observer.Has("e1@100"));
  CHECK(setup.observer.instances.size() == 2);
}

// Another gateway's list still has the server before its restart: requests
// would be placed by a cache that is gone, then by the new one, in turn.
TEST_CASE("an earlier incarnation that is told late replaces none",
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
  SECTION("by a gateway that doesn't tell the start")
  {
    setup.store.mode = FakeStore::Mode::Down;
    setup.Pass(milliseconds(100));
    setup.keeper.TakeInstances(
      R"({"age_ms":1,"instances":[{"name":"e1","service":"s",)"
      R"("address":"127.0.0.1:80","data_centre":"z","slots":1,)"
      R"("leaving":false}]})",
      "g2");
    CHECK(setup.observer.Has("e1@200"));
    CHECK(setup.observer.instances.size() == 1);
  }
}

// Something else writes where a server had its entry, while the store comes and
// goes. Requests would go on to an address that nobody vouches for.
TEST_CASE("an entry that becomes unreadable names no server from then on",
          "[directory]")
{
  Setup setup;
  setup.store.Write("instances/e1", "unreadable");
  REQUIRE(setup.Until([&] { return !setup.observer.Has("e1"); }));
  CHECK(setup.observer.Has("e2"));
  CHECK(setup.keeper.RejectedCount() == 1);
  setup.store.Write("instances/e1", "ready");
  REQUIRE(setup.Until([&] { return setup.observer.Has("e1"); }));
  CHECK(setup.keeper.RejectedCount() == 0);
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.store.Write("instances/e1", "unreadable");
  setup.store.mode = FakeStore::Mode::Up;
  // Well before the entries that lapsed in the outage are given up.
  CHECK(
    setup.Until([&] { return !setup.observer.Has("e1"); }, milliseconds(1000)));
  CHECK(setup.observer.Has("e2"));
}

// Half of the servers get no more work after an outage of the store: their
// entries lapsed while it was down, and they are back only a second later.
TEST_CASE("entries that lapse while the store is down are kept for a while",
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

// A request reaches a server 3.4 s after it left: the store had turned only
// this gateway away, and on its return the missing entry was kept.
TEST_CASE("what left while only this gateway was turned away is gone",
          "[directory]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.Remove("instances/e1");
  setup.keeper.NoteOthersContact(seconds(30), Now());
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(
    setup.Until([&] { return !setup.observer.Has("e1"); }, milliseconds(500)));
}

TEST_CASE("another gateway's list counts only if it is newer", "[directory]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  const std::string own = setup.keeper.InstancesDocument(Now());
  setup.Pass(milliseconds(100));
  const auto with = [](int aAge) {
    return fmt::format(
      R"({{"age_ms":{},"instances":[{{"name":"e7","service":"s",)"
      R"("address":"127.0.0.1:81","data_centre":"z","slots":1,)"
      R"("leaving":false}}]}})",
      aAge);
  };
  setup.keeper.TakeInstances(with(60'000), "g2");
  CHECK_FALSE(setup.observer.Has("e7"));
  setup.keeper.TakeInstances("not a list", "g2");
  setup.keeper.TakeInstances(with(1), "g2");
  CHECK(setup.observer.Has("e7"));
  CHECK_FALSE(setup.observer.Has("e1"));
  CHECK(own.find("\"e1\"") != std::string::npos);
}

TEST_CASE("a gateway joins the others and leaves them", "[directory]")
{
  Setup setup;
  REQUIRE(setup.Until([&] { return setup.observer.gateways == 1; }));
  CHECK(setup.store.GrantedLeases() == 1);
  setup.keeper.Leave();
  CHECK(setup.Until([&] { return setup.store.GrantedLeases() == 0; }));
}

// All gateways of a site end at once and begin anew: one of another version
// hands out a list in which a field has another type, and reading it threw.
TEST_CASE("documents of a wrong shape change nothing and end nothing",
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
    CHECK_NOTHROW(setup.keeper.TakeInstances(document, "g2"));
    CHECK(setup.observer.Has("e1"));
    CHECK_FALSE(setup.observer.Has("e7"));
  }
  setup.store.Write("dogwoodvale/gateways/g2", R"({"peers":{}})");
  setup.store.Write("dogwoodvale/gateways/g3", R"([])");
  setup.store.Write("dogwoodvale/gateways/g4", R"({"peers":"127.0.0.1:7"})");
  CHECK(setup.Until([&] { return setup.observer.gateways == 2; }));
}

// No gateway of a large site serves for half a minute after all were killed:
// each reads the whole list at once, the store turns most of them away for too
// many reads, and they ask again together.
TEST_CASE("a first list may be old, a later one may not", "[directory]")
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

/// A keeper of which nothing is kept beside the list any more.
struct SettledSetup : Setup
{
  SettledSetup()
  {
    this->Pass(DirectoryKeeper::kReturnGrace + milliseconds(200));
  }
  std::uint64_t CallsIn(Duration aTime, bool aTold)
  {
    const std::uint64_t before = this->store.CallsSent();
    for (Duration at{ 0 }; at < aTime; at += milliseconds(10)) {
      if (aTold) {
        this->keeper.NoteOthersList(
          { this->keeper.List(Now()).sum, milliseconds(1) }, Now());
      }
      this->Pass(milliseconds(10));
    }
    return this->store.CallsSent() - before;
  }
};

} // namespace

// A request reaches a server 3.1 s after it said that it leaves: gateways told
// each other that their list is fresh, each time by some milliseconds too
// young, and none of them read it.
TEST_CASE("a list that others call fresh is read by oneself all the same",
          "[directory]")
{
  SettledSetup setup;
  const std::uint64_t alone = setup.CallsIn(milliseconds(900), false);
  const std::uint64_t told = setup.CallsIn(milliseconds(900), true);
  // Of 18 periods, and at least every one and a half of them.
  CHECK(told < alone);
  CHECK(told >= 10);
  // Its age is that of the gateway's own read.
  setup.keeper.NoteOthersList({ setup.keeper.List(Now()).sum, milliseconds(0) },
                              Now());
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(200));
  setup.keeper.NoteOthersList({ setup.keeper.List(Now()).sum, milliseconds(0) },
                              Now());
  CHECK(setup.keeper.List(Now()).age >= milliseconds(150));
}

TEST_CASE("a newer list that others have is read at once", "[directory]")
{
  SettledSetup setup;
  const std::uint64_t sum = setup.keeper.List(Now()).sum;
  REQUIRE(sum != 0);
  setup.store.mode = FakeStore::Mode::Down;
  setup.Pass(milliseconds(100));
  setup.keeper.NoteOthersList({ sum + 1, milliseconds(0) }, Now());
  CHECK_FALSE(setup.keeper.IsBehind(Now()));
  CHECK(setup.Until([&] { return setup.keeper.IsBehind(Now()); }));
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(setup.Until([&] { return !setup.keeper.IsBehind(Now()); }));
}
