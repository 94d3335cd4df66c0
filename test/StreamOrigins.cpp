#include <map>
#include <set>

#include <catch2/catch.hpp>

#include <rapidcheck/catch.h>

#include "dogwoodvale/Gateway"
#include "dogwoodvale/Resumption"
#include "support/FakeStore.h"

using namespace dogwoodvale;

namespace {

const ServiceName kService("s");
constexpr Duration kLifetime = seconds(10);
const TimePoint kStart = TimePoint() + seconds(100);

StreamOrigin
At(const std::string& aVersion)
{
  return { kService, aVersion };
}

std::vector<StreamOrigin>
ServersOf(const std::vector<std::string>& aVersions)
{
  std::vector<StreamOrigin> servers;
  for (const std::string& version : aVersions) {
    servers.push_back(At(version));
  }
  return servers;
}

} // namespace

TEST_CASE("an unknown software version equals none", "[versions]")
{
  CHECK(IsSameSoftware("v1", "v1"));
  CHECK_FALSE(IsSameSoftware("v1", "v1.1"));
  CHECK_FALSE(IsSameSoftware("", ""));
  CHECK_FALSE(IsSameSoftware("", "v1"));
}

TEST_CASE("the key of a stream depends on customer and attempt", "[versions]")
{
  const StreamKey key = StreamKeyOf(CustomerName("a"), "id", "secret");
  CHECK(key != 0);
  CHECK(key == StreamKeyOf(CustomerName("a"), "id", "secret"));
  CHECK(key != StreamKeyOf(CustomerName("b"), "id", "secret"));
  CHECK(key != StreamKeyOf(CustomerName("a"), "id2", "secret"));
  CHECK(key != StreamKeyOf(CustomerName("a"), "id", "another"));
  CHECK(StreamKeyOf(CustomerName("a"), "", "secret") == 0);
}

// Guards against taking a service for uniform that had another version lately.
TEST_CASE("a service is uniform since its last other version", "[versions]")
{
  SoftwareHistory history;
  CHECK_FALSE(history.UniformOf(kService, kStart));
  history.OnList(ServersOf({ "v1", "v1" }), kStart);
  const TimePoint later = kStart + seconds(20);
  REQUIRE(history.UniformOf(kService, later));
  CHECK(history.UniformOf(kService, later)->length == seconds(20));
  SECTION("a second version")
  {
    history.OnList(ServersOf({ "v1", "v2" }), later);
    CHECK_FALSE(history.UniformOf(kService, later));
    history.OnList(ServersOf({ "v2" }), later + seconds(3));
    CHECK(history.UniformOf(kService, later + seconds(5))->length ==
          seconds(2));
    CHECK(history.UniformOf(kService, later + seconds(5))->version == "v2");
  }
  SECTION("no server for a while")
  {
    history.OnList({}, later);
    CHECK_FALSE(history.UniformOf(kService, later));
    history.OnList(ServersOf({ "v1" }), later + seconds(1));
    CHECK(history.UniformOf(kService, later + seconds(1))->length ==
          seconds(0));
  }
  SECTION("a server of unknown version")
  {
    history.OnList(ServersOf({ "v1", "" }), later);
    CHECK_FALSE(history.UniformOf(kService, later));
    history.OnList(ServersOf({ "" }), later);
    CHECK_FALSE(history.UniformOf(kService, later));
  }
  SECTION("an outdated list")
  {
    history.OnGap(later);
    CHECK(history.UniformOf(kService, later)->length == seconds(0));
  }
  SECTION("what another gateway has seen")
  {
    history.OnGap(later);
    history.Adopt(kService, { "v2", seconds(30) }, later);
    CHECK(history.UniformOf(kService, later)->length == seconds(0));
    history.Adopt(kService, { "v1", seconds(30) }, later);
    CHECK(history.UniformOf(kService, later)->length == seconds(30));
  }
}

TEST_CASE("records of streams expire and are bounded", "[versions]")
{
  StreamOrigins origins;
  origins.OnSent(1, At("v1"), kLifetime, true, kStart);
  CHECK(origins.Find(1, kStart)->origin == At("v1"));
  CHECK(origins.Find(1, kStart)->isOwn);
  CHECK_FALSE(origins.Find(1, kStart + kLifetime));
  origins.Expire(kStart + kLifetime);
  CHECK(origins.Count() == 0);
  origins.OnSent(0, At("v1"), kLifetime, true, kStart);
  CHECK(origins.Count() == 0);
  for (StreamKey key = 1; key <= StreamOrigins::kMaxRecords + 10; ++key) {
    origins.OnSent(key, At("v1"), kLifetime + milliseconds(key), false, kStart);
  }
  CHECK(origins.Count() == StreamOrigins::kMaxRecords);
  CHECK_FALSE(origins.Find(1, kStart));
  CHECK(origins.Find(StreamOrigins::kMaxRecords + 10, kStart));
}

TEST_CASE("a record is reported three times, in bounded reports", "[versions]")
{
  StreamOrigins origins;
  constexpr StreamKey kCount = StreamOrigins::kMaxUpdates + 5;
  for (StreamKey key = 1; key <= kCount; ++key) {
    origins.OnSent(key, At("v1"), kLifetime, true, kStart);
  }
  std::map<StreamKey, int> reports;
  for (int i = 0; i < 10; ++i) {
    const auto updates = origins.TakeUpdates(kStart);
    CHECK(updates.size() <= StreamOrigins::kMaxUpdates);
    for (const OriginUpdate& update : updates) {
      ++reports[update.key];
    }
  }
  CHECK(reports.size() == kCount);
  for (const auto& [key, count] : reports) {
    CHECK(count == StreamOrigins::kReports);
  }
}

TEST_CASE("streams that were not reported are reported on demand", "[versions]")
{
  StreamOrigins origins;
  origins.OnSent(1, At("v1"), kLifetime, false, kStart);
  CHECK(origins.TakeUpdates(kStart).empty());
  origins.ReportAll(ServiceName("other"));
  CHECK(origins.TakeUpdates(kStart).empty());
  origins.ReportAll(kService);
  CHECK(origins.TakeUpdates(kStart).size() == 1);
  origins.ReportAll(kService);
  CHECK(origins.TakeUpdates(kStart).size() == 1);
  CHECK(origins.TakeUpdates(kStart).size() == 1);
  CHECK(origins.TakeUpdates(kStart).empty());
}

// Guards against a former server of an attempt that stays on record elsewhere.
TEST_CASE("a retry at another version replaces the reported record",
          "[versions]")
{
  StreamOrigins sender;
  StreamOrigins receiver;
  sender.OnSent(1, At("v1"), kLifetime, true, kStart);
  receiver.Apply(sender.TakeUpdates(kStart), kStart);
  CHECK(receiver.Find(1, kStart)->origin == At("v1"));
  sender.OnSent(1, At("v2"), kLifetime, false, kStart);
  receiver.Apply(sender.TakeUpdates(kStart), kStart);
  CHECK(receiver.Find(1, kStart)->origin == At("v2"));
  CHECK_FALSE(receiver.Find(1, kStart)->isOwn);
}

// Guards against a wrong version after lost reports: one of the three that
// follow a change is enough.
TEST_CASE("a record is right once one report has arrived", "[versions]")
{
  rc::prop("lost reports", [] {
    StreamOrigins sender;
    StreamOrigins receiver;
    std::map<StreamKey, StreamOrigin> last;
    std::set<StreamKey> arrived;
    TimePoint now = kStart;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(1, 100));
      if (*rc::gen::inRange(0, 3) > 0) {
        const auto key = static_cast<StreamKey>(*rc::gen::inRange(1, 6));
        const StreamOrigin origin =
          At(*rc::gen::element<std::string>("v1", "v2", "v3"));
        sender.OnSent(key, origin, kLifetime, true, now);
        last[key] = origin;
        arrived.erase(key);
      }
      const auto updates = sender.TakeUpdates(now);
      if (*rc::gen::inRange(0, 3) > 0) {
        receiver.Apply(updates, now);
        for (const OriginUpdate& update : updates) {
          arrived.insert(update.key);
        }
      }
      for (const StreamKey key : arrived) {
        const auto found = receiver.Find(key, now);
        RC_ASSERT(found.has_value());
        RC_ASSERT(found->origin == last[key]);
      }
    }
  });
}

// Guards against the word of a gateway whose list is older than the own one.
TEST_CASE("a claim of one version does not count against the own list",
          "[versions]")
{
  const auto loop = *EventLoop::Create();
  std::string path;
  const auto fetch = [&path](const SocketAddress& /*aFrom*/,
                             const std::string& aPath) {
    path = aPath;
    return true;
  };
  test::FakeStore store(*loop);
  OriginArchive archive(store, { InstanceName("g1"), "secret" });
  OriginFinder finder(*loop, fetch, archive, seconds(1));
  const std::vector<GatewayMember> others{ { InstanceName("g2"), {} } };
  finder.SetGateways(others, 1, 0);
  const bool isMixed = GENERATE(false, true);
  std::vector<DirectInstance> servers(2);
  servers[0].service = servers[1].service = kService;
  servers[0].softwareVersion = "v1";
  servers[1].softwareVersion = isMixed ? "v2" : "v1";
  finder.OnInstances(servers, kStart);
  HostRoute route;
  route.services = { { kService, 1 } };
  route.timeout = seconds(5);
  std::mt19937_64 random(1);
  std::optional<FoundOrigin> found;
  bool isEnded = false;
  const auto query =
    finder.Ask(1, route, random, [&](const std::optional<FoundOrigin>& aFound) {
      found = aFound;
      isEnded = true;
    });
  finder.OnDocument(
    path,
    R"({"service":"s","software_version":"v1","uniform_ms":60000})",
    kStart);
  // If the claim does not count, the store is asked.
  CHECK(loop->RunUntil([&] { return isEnded; }, OriginFinder::kAskTimeout));
  CHECK(found.has_value() == !isMixed);
}

// Guards against taking a service for uniform while a caller that waits for
// longer than the route's timeouts may resume a stream of another version.
TEST_CASE("an older stream is never taken for one of the only version",
          "[versions]")
{
  rc::prop("no take-up within its caller's limit gets another version", [] {
    const auto seconds = [](int aFrom, int aUntil) {
      return milliseconds(1000 * *rc::gen::inRange(aFrom, aUntil));
    };
    const auto loop = *EventLoop::Create();
    test::FakeStore store(*loop);
    OriginArchive archive(store, { InstanceName("g1"), "secret" });
    OriginFinder finder(
      *loop,
      [](const SocketAddress& /*aFrom*/, const std::string& /*aPath*/) {
        return true;
      },
      archive,
      milliseconds(1000));
    HostRoute route;
    route.services = { { kService, 1 } };
    route.timeout = seconds(1, 20);
    const Duration limit = seconds(1, 60);
    // The stream began at kStart at a server of v1, which leaves later.
    const TimePoint leaves = kStart + seconds(1, 30);
    const TimePoint starts = kStart + seconds(-30, 60);
    std::vector<DirectInstance> servers(2);
    servers[0].service = servers[1].service = kService;
    servers[0].softwareVersion = "v1";
    servers[1].softwareVersion = "v2";
    const auto list = [&](TimePoint aAt) {
      finder.OnInstances(std::span(servers).subspan(aAt < leaves ? 0 : 1), aAt);
    };
    list(starts);
    finder.SetListCurrent(true, starts);
    if (starts < leaves) {
      list(leaves);
    }
    finder.OnTimeLimit(route, limit);
    const TimePoint resumed = std::max(starts, kStart + seconds(0, 60));
    RC_PRE(resumed <= kStart + limit);
    const auto found = finder.Find(1, route, resumed);
    RC_ASSERT((!found || found->origin.softwareVersion == "v1"));
  });
}

// Guards against taking a service for uniform at a gateway that was cut off,
// from the store, from the others or from both, while another version was
// there.
TEST_CASE("a gateway that was cut off takes no service for uniform wrongly",
          "[versions]")
{
  rc::prop("a stream of a version that others know of gets no other", [] {
    const auto drawn = [](int aFrom, int aUntil) {
      return milliseconds(100 * *rc::gen::inRange(aFrom, aUntil));
    };
    const auto loop = *EventLoop::Create();
    test::FakeStore store(*loop);
    OriginArchive archive(store, { InstanceName("g1"), "secret" });
    OriginFinder finder(
      *loop,
      [](const SocketAddress& /*aFrom*/, const std::string& /*aPath*/) {
        return false;
      },
      archive,
      seconds(3));
    HostRoute route;
    route.services = { { kService, 1 } };
    route.timeout = seconds(10);
    constexpr Duration kReadPeriod = milliseconds(500);
    constexpr Duration kMaxAge = milliseconds(1300);
    // A gateway notices after so long that it does not hear the others.
    constexpr Duration kNoticed = milliseconds(300);
    struct Span
    {
      TimePoint from;
      TimePoint until;
      bool Has(TimePoint aAt) const
      {
        return aAt >= this->from && aAt < this->until;
      }
    };
    const TimePoint storeCut = kStart + drawn(0, 40);
    const Span unread{ storeCut, storeCut + drawn(0, 80) };
    const TimePoint peersCut = kStart + drawn(0, 40);
    const Span unheard{ peersCut, peersCut + drawn(0, 80) };
    const TimePoint joins = kStart + drawn(0, 100);
    // Between two reads a version may come and go unseen.
    const Span second{ joins, joins + kMaxAge + kReadPeriod + drawn(0, 100) };
    const TimePoint begins =
      std::min(second.from + drawn(0, 40), second.until - milliseconds(100));
    const TimePoint resumed = begins + drawn(1, 150);
    RC_PRE(!unheard.Has(resumed) || resumed >= unheard.from + kNoticed);
    std::vector<DirectInstance> servers(2);
    servers[0].service = servers[1].service = kService;
    servers[0].softwareVersion = "v1";
    servers[1].softwareVersion = "v2";
    TimePoint lastRead = kStart - seconds(100);
    finder.OnInstances(std::span(servers).first(1), lastRead);
    finder.SetListCurrent(true, lastRead);
    int reports = 0;
    for (TimePoint now = kStart - seconds(2); now <= resumed;
         now += milliseconds(100)) {
      if (!unread.Has(now) && now - lastRead >= kReadPeriod) {
        finder.OnInstances(std::span(servers).first(second.Has(now) ? 2 : 1),
                           now);
        lastRead = now;
      }
      if (now > begins && !unheard.Has(now) && reports < 3) {
        PeerDigest digest;
        digest.origins = { { 1, At("v2"), seconds(20) } };
        finder.ApplyDigest(digest, now);
        ++reports;
      }
      // Reports are sent when the request is, and are lost if not heard then.
      reports += now > begins ? 1 : 0;
      finder.SetHearing(!unheard.Has(now) || !unheard.Has(now - kNoticed), now);
      if (lastRead == now) {
        finder.OnListRead(now, now);
      }
      finder.SetListCurrent(now - lastRead <= kMaxAge, now);
      finder.RunMaintenance(now);
    }
    const auto found = finder.Find(1, route, resumed);
    RC_ASSERT((!found || found->origin.softwareVersion == "v2"));
  });
}

// Guards against keeping nothing just as the older version leaves, and against
// writing for ever after it has.
TEST_CASE("a service is mixed until the streams of its last version ended",
          "[versions]")
{
  SoftwareHistory history;
  history.OnList(ServersOf({ "v1", "v1" }), kStart);
  CHECK_FALSE(history.WasMixed(kService, kLifetime, kStart));
  SECTION("two versions side by side")
  {
    history.OnList(ServersOf({ "v1", "v2" }), kStart + seconds(1));
    CHECK(history.WasMixed(kService, kLifetime, kStart + seconds(60)));
    history.OnList(ServersOf({ "v2" }), kStart + seconds(60));
    CHECK(history.WasMixed(kService, kLifetime, kStart + seconds(70)));
    CHECK_FALSE(history.WasMixed(kService, kLifetime, kStart + seconds(71)));
  }
  SECTION("one version after another")
  {
    history.OnList(ServersOf({ "v2" }), kStart + seconds(1));
    CHECK(history.WasMixed(kService, kLifetime, kStart + seconds(11)));
    CHECK_FALSE(history.WasMixed(kService, kLifetime, kStart + seconds(12)));
  }
  SECTION("the archive tells of another version")
  {
    history.OnOrigin(At("v1"), kStart + seconds(1));
    CHECK_FALSE(history.WasMixed(kService, kLifetime, kStart + seconds(1)));
    history.OnOrigin(At("v0"), kStart + seconds(1));
    CHECK(history.WasMixed(kService, kLifetime, kStart + seconds(11)));
  }
}

// Guards against records in the store that no other gateway would confirm: a
// retry may still replace what nobody was told of.
TEST_CASE("origins are shared once others are told of them", "[versions]")
{
  StreamOrigins origins;
  origins.OnSent(1, At("v1"), kLifetime, true, kStart);
  CHECK(origins.Shared(10, kStart).empty());
  const std::uint64_t before = origins.SharedRevision();
  origins.TakeUpdates(kStart);
  CHECK(origins.SharedRevision() != before);
  const std::vector<OriginUpdate> another{ { 2, At("v2"), seconds(20) } };
  origins.Apply(another, kStart);
  const auto shared = origins.Shared(10, kStart + seconds(1));
  REQUIRE(shared.size() == 2);
  CHECK(shared[0] == OriginUpdate{ 2, At("v2"), seconds(19) });
  CHECK(shared[1] == OriginUpdate{ 1, At("v1"), seconds(9) });
  CHECK(origins.Shared(1, kStart).size() == 1);
  CHECK(origins.Shared(10, kStart + kLifetime).size() == 1);
}

// Guards against origins of another site's secret or of corrupted bytes, and
// against a read for each stream of unknown origin.
TEST_CASE("the archive reads what gateways of its site have written",
          "[versions]")
{
  const auto loop = *EventLoop::Create();
  test::FakeStore store(*loop);
  const std::vector<OriginUpdate> origins{ { 7, At("v1"), seconds(5) } };
  const std::string writer = GENERATE("secret", "another secret");
  OriginArchive old(store, { InstanceName("g1"), writer });
  bool isKept = false;
  REQUIRE(old.MayWrite(Now()));
  old.Write(origins, [&](bool aIsKept) { isKept = aIsKept; });
  CHECK_FALSE(old.MayWrite(Now()));
  REQUIRE(loop->RunUntil([&] { return isKept; }, seconds(1)));
  OriginArchive fresh(store, { InstanceName("g2"), "secret" });
  std::optional<std::vector<OriginUpdate>> found;
  const auto keep = [&](std::span<const OriginUpdate> aOrigins) {
    found.emplace(aOrigins.begin(), aOrigins.end());
  };
  const TimePoint asked = Now();
  REQUIRE(fresh.Read(asked, keep));
  REQUIRE(loop->RunUntil([&] { return found.has_value(); }, seconds(1)));
  CHECK(*found == (writer == "secret" ? origins : std::vector<OriginUpdate>()));
  CHECK_FALSE(fresh.Read(asked + milliseconds(900), keep));
  CHECK(fresh.Read(asked + milliseconds(1000), keep));
}

// Guards against giving up on the store as the last gateway's refusal comes
// late.
TEST_CASE("a late refusal does not end the wait for the archive", "[versions]")
{
  const auto loop = *EventLoop::Create();
  test::FakeStore store(*loop);
  const std::vector<OriginUpdate> origins{ { 7, At("v1"), seconds(5) } };
  OriginArchive old(store, { InstanceName("g0"), "secret" });
  bool isKept = false;
  old.Write(origins, [&](bool aIsKept) { isKept = aIsKept; });
  REQUIRE(loop->RunUntil([&] { return isKept; }, seconds(1)));
  store.latency = milliseconds(150);
  std::string path;
  OriginArchive archive(store, { InstanceName("g1"), "secret" });
  OriginFinder finder(
    *loop,
    [&path](const SocketAddress& /*aFrom*/, const std::string& aPath) {
      path = aPath;
      return true;
    },
    archive,
    seconds(1));
  const std::vector<GatewayMember> others{ { InstanceName("g2"), {} } };
  finder.SetGateways(others, 1, 0);
  HostRoute route;
  route.services = { { kService, 1 } };
  route.timeout = seconds(5);
  std::mt19937_64 random(1);
  std::optional<FoundOrigin> found;
  bool isEnded = false;
  const auto query =
    finder.Ask(7, route, random, [&](const std::optional<FoundOrigin>& aFound) {
      found = aFound;
      isEnded = true;
    });
  loop->RunUntil([] { return false; },
                 OriginFinder::kAskTimeout + milliseconds(50));
  finder.OnFetchFailed(path);
  REQUIRE(loop->RunUntil([&] { return isEnded; }, seconds(1)));
  REQUIRE(found);
  CHECK(found->origin == At("v1"));
  CHECK(found->source == OriginSource::Archived);
}
