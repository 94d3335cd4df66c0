#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

const InstanceName kFirst("e1@1");
const InstanceName kSecond("e2@1");

TimePoint
At(Duration aTime)
{
  return TimePoint{} + seconds(1000) + aTime;
}

ServerLoad
Load(std::uint32_t aRunning, std::optional<double> aTimeFactor = std::nullopt)
{
  return { aRunning, 0, 64, aTimeFactor };
}

ReportedLoads
KnowingBoth()
{
  ReportedLoads loads;
  loads.Add(kFirst);
  loads.Add(kSecond);
  return loads;
}

void
ReportByPeer(ReportedLoads& aLoads, const LoadUpdate& aUpdate, TimePoint aNow)
{
  aLoads.OnPeerReports({ &aUpdate, 1 }, aNow);
}

DirectInstance
Listed(const InstanceName& aName)
{
  DirectInstance instance;
  instance.name = aName;
  instance.server = aName;
  instance.service = ServiceName("s");
  instance.address = { "127.0.0.1", 9 };
  instance.slots = 64;
  return instance;
}

DirectService
SomeService()
{
  DirectService service;
  service.name = ServiceName("s");
  service.maxConnections = 100;
  return service;
}

BackendAnswer
Stating(std::optional<ServerLoad> aLoad)
{
  BackendAnswer answer;
  answer.status = 200;
  answer.load = aLoad;
  return answer;
}

} // namespace

TEST_CASE("the newest report of a server counts", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  CHECK_FALSE(loads.Recent(kFirst, At(seconds(0))).has_value());
  loads.OnReport(kFirst, Load(3), At(seconds(0)));
  loads.OnReport(kFirst, Load(5, 1.2), At(milliseconds(10)));
  CHECK(loads.Recent(kFirst, At(milliseconds(10))) == Load(5, 1.2));
  CHECK_FALSE(loads.Recent(kSecond, At(milliseconds(10))).has_value());
  ReportByPeer(
    loads, { kFirst, Load(7), milliseconds(5) }, At(milliseconds(20)));
  CHECK(loads.Recent(kFirst, At(milliseconds(20))) == Load(7));
  CHECK(loads.RecentCount(At(milliseconds(20))) == 1);
  CHECK(loads.IgnoredCount() == 0);
}

// Guards against digests that arrive late and replace what is known by what was
// true before.
TEST_CASE("an older report of another gateway changes nothing", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, Load(5, 1.0), At(milliseconds(100)));
  ReportByPeer(
    loads, { kFirst, Load(60, 3.0), milliseconds(31) }, At(milliseconds(130)));
  CHECK(loads.Recent(kFirst, At(milliseconds(130))) == Load(5, 1.0));
  CHECK(loads.MeanTimeFactor(kFirst, At(milliseconds(130))) == Approx(1.0));
  // It is still this gateway's own report that the others lack.
  CHECK(loads.TakeUpdates(At(milliseconds(130))).size() == 1);
}

// Guards against a digest held up somewhere, or of a gateway that stood still,
// that counts as news.
TEST_CASE("reports over two seconds old are ignored", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  ReportByPeer(
    loads, { kFirst, Load(5, 2.0), milliseconds(2001) }, At(seconds(0)));
  ReportByPeer(
    loads, { kFirst, Load(5, 2.0), milliseconds(-1) }, At(seconds(0)));
  CHECK_FALSE(loads.MeanTimeFactor(kFirst, At(seconds(0))).has_value());
  CHECK(loads.IgnoredCount() == 2);
  ReportByPeer(
    loads, { kFirst, Load(5, 2.0), milliseconds(2000) }, At(seconds(0)));
  CHECK(loads.MeanTimeFactor(kFirst, At(seconds(0))).has_value());
  // Too old to state the present number of requests.
  CHECK_FALSE(loads.Recent(kFirst, At(seconds(0))).has_value());
  CHECK(loads.IgnoredCount() == 2);
}

// Guards against entries that are never removed, and against values that no
// server states, e.g. of a gateway with another bound.
TEST_CASE("reports of unknown servers and invalid reports are ignored",
          "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  const InstanceName unknown("e3@1");
  loads.OnReport(unknown, Load(5), At(seconds(0)));
  ReportByPeer(loads, { unknown, Load(5), milliseconds(0) }, At(seconds(0)));
  CHECK_FALSE(loads.Recent(unknown, At(seconds(0))).has_value());
  CHECK(loads.RequestsAt(unknown, 4, At(seconds(0))) == 4);
  for (const ServerLoad& invalid :
       { ServerLoad{ 0, 0, 0, std::nullopt },
         ServerLoad{ 65, 0, 64, std::nullopt },
         ServerLoad{ 1, 0, 100'001, std::nullopt },
         ServerLoad{ 1, 0, 64, 0.0 },
         ServerLoad{ 1, 0, 64, 100.01 },
         ServerLoad{ 1, 0, 64, std::numeric_limits<double>::quiet_NaN() } }) {
    ReportByPeer(loads, { kFirst, invalid, milliseconds(0) }, At(seconds(0)));
    loads.OnReport(kFirst, invalid, At(seconds(0)));
  }
  CHECK_FALSE(loads.Recent(kFirst, At(seconds(0))).has_value());
  CHECK(loads.IgnoredCount() == 14);
  CHECK(loads.TakeUpdates(At(seconds(0))).empty());
}

TEST_CASE("a stale report is not used", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, Load(9, 2.0), At(seconds(0)));
  CHECK(loads.PresentTimeFactor(kFirst, At(milliseconds(250))) == 2.0);
  CHECK_FALSE(
    loads.PresentTimeFactor(kFirst, At(milliseconds(251))).has_value());
  CHECK(loads.RequestsAt(kFirst, 4, At(milliseconds(500))) == 9);
  CHECK(loads.RecentCount(At(milliseconds(500))) == 1);
  CHECK(loads.RequestsAt(kFirst, 4, At(milliseconds(501))) == 4);
  CHECK_FALSE(loads.Recent(kFirst, At(milliseconds(501))).has_value());
  CHECK_FALSE(
    loads.ReportedRequests(kFirst, At(milliseconds(501))).has_value());
  CHECK(loads.RecentCount(At(milliseconds(501))) == 0);
}

// Guards against a server that restarts, empty and at another speed, and is
// judged by what it reported before.
TEST_CASE("a report of another incarnation does not count", "[loads]")
{
  ReportedLoads loads;
  const InstanceName before("e1@1");
  const InstanceName after("e1@2");
  loads.Add(before);
  loads.OnReport(before, Load(60, 3.0), At(seconds(0)));
  loads.Add(after);
  CHECK_FALSE(loads.Recent(after, At(seconds(0))).has_value());
  CHECK_FALSE(loads.MeanTimeFactor(after, At(seconds(0))).has_value());
  loads.Forget(before);
  ReportByPeer(
    loads, { before, Load(60, 3.0), milliseconds(1) }, At(milliseconds(1)));
  CHECK(loads.RecentCount(At(milliseconds(1))) == 0);
  CHECK(loads.IgnoredCount() == 1);
  // Nothing of the first incarnation is left if its name is listed again.
  loads.Add(before);
  CHECK_FALSE(loads.MeanTimeFactor(before, At(milliseconds(1))).has_value());
  CHECK(loads.TakeUpdates(At(milliseconds(1))).empty());
}

// Guards against an average of reports instead of times: a fast server answers,
// and thus reports, more often than the same server in a slow period.
TEST_CASE("the mean time factor is weighted by time", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  // 0.5 at every ms of 300 ms, then 2.0 at every 50 ms of 300 ms, repeatedly.
  TimePoint now = At(seconds(0));
  for (int period = 0; period < 50; ++period) {
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(1);
      loads.OnReport(kFirst, Load(1, 0.5), now);
    }
    for (int i = 0; i < 6; ++i) {
      now += milliseconds(50);
      loads.OnReport(kFirst, Load(1, 2.0), now);
    }
  }
  // The last slow period has a little more weight than the mean 1.25.
  CHECK(*loads.MeanTimeFactor(kFirst, now) == Approx(1.25).margin(0.1));
  CHECK(loads.PresentTimeFactor(kFirst, now) == 2.0);
}

// Guards against classes of speed that change with every slow period.
TEST_CASE("the mean time factor follows a lasting change within seconds",
          "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  TimePoint now = At(seconds(0));
  const auto report = [&](double aFactor, Duration aFor) {
    for (Duration spent(0); spent < aFor; spent += milliseconds(20)) {
      now += milliseconds(20);
      loads.OnReport(kFirst, Load(1, aFactor), now);
    }
    return *loads.MeanTimeFactor(kFirst, now);
  };
  CHECK(report(1.0, seconds(10)) == Approx(1.0));
  // 1 - exp(-0.3 / 3) of the difference, then 1 - exp(-1) of it.
  CHECK(report(2.5, milliseconds(300)) == Approx(1.143).margin(0.01));
  CHECK(report(1.0, seconds(30)) == Approx(1.0).margin(0.01));
  CHECK(report(2.0, seconds(3)) == Approx(1.632).margin(0.01));
}

// Guards against a first report in a slow period that counts for seconds.
TEST_CASE("the first report does not outweigh the following ones", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, Load(1, 3.0), At(seconds(0)));
  CHECK(loads.MeanTimeFactor(kFirst, At(seconds(0))) == Approx(3.0));
  for (int i = 1; i <= 50; ++i) {
    loads.OnReport(kFirst, Load(1, 1.0), At(i * milliseconds(20)));
  }
  CHECK(*loads.MeanTimeFactor(kFirst, At(seconds(1))) < 1.2);
}

// Guards against a server without answers that is taken for fast or slow for
// ever by what it once reported.
TEST_CASE("the mean time factor fades when reports cease", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, Load(1, 0.5), At(seconds(0)));
  // Reports without a factor do not keep it.
  loads.OnReport(kFirst, Load(1), At(seconds(1)));
  CHECK(loads.MeanTimeFactor(kFirst, At(seconds(3))) == Approx(0.5));
  double last = 0.5;
  for (int second = 4; second < 30; ++second) {
    const auto factor = loads.MeanTimeFactor(kFirst, At(seconds(second)));
    REQUIRE(factor.has_value());
    CHECK(*factor > last);
    CHECK(*factor < 1.0);
    last = *factor;
  }
  CHECK(last > 0.95);
  CHECK_FALSE(loads.MeanTimeFactor(kFirst, At(seconds(30))).has_value());
  // After a long silence the new figure counts, not the old one.
  loads.OnReport(kFirst, Load(1, 2.0), At(seconds(60)));
  CHECK(loads.MeanTimeFactor(kFirst, At(seconds(60))) == Approx(2.0));
}

TEST_CASE("the mean time factor lies between the reported ones", "[loads]")
{
  CHECK(rc::check([] {
    ReportedLoads loads = KnowingBoth();
    TimePoint now = At(seconds(0));
    double lowest = 100.0;
    double highest = 0.01;
    const int count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 5000));
      const double factor = *rc::gen::inRange(1, 10'001) / 100.0;
      lowest = std::min(lowest, factor);
      highest = std::max(highest, factor);
      if (*rc::gen::arbitrary<bool>()) {
        loads.OnReport(kFirst, Load(1, factor), now);
      } else {
        ReportByPeer(loads, { kFirst, Load(1, factor), {} }, now);
      }
      const double mean = *loads.MeanTimeFactor(kFirst, now);
      RC_ASSERT(mean >= lowest * 0.999999);
      RC_ASSERT(mean <= highest * 1.000001);
    }
  }));
}

// Guards against all requests of a gateway following one good report until the
// next one arrives.
TEST_CASE("requests sent since a report are added to it", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, { 10, 2, 64, {} }, At(seconds(0)));
  loads.OnReport(kSecond, { 14, 0, 64, {} }, At(seconds(0)));
  int toFirst = 0;
  for (int i = 1; i <= 10; ++i) {
    const TimePoint now = At(i * milliseconds(1));
    const bool isFirst =
      loads.RequestsAt(kFirst, 0, now) <= loads.RequestsAt(kSecond, 0, now);
    loads.OnSent(isFirst ? kFirst : kSecond, now);
    toFirst += isFirst ? 1 : 0;
  }
  CHECK(toFirst == 6);
  CHECK(loads.RequestsAt(kFirst, 0, At(milliseconds(10))) == 18);
  CHECK(loads.RequestsAt(kFirst, 40, At(milliseconds(10))) == 40);
  // A report contains the requests that were sent before it, and no others.
  ReportByPeer(
    loads, { kFirst, Load(15), milliseconds(5) }, At(milliseconds(10)));
  const std::uint32_t since =
    loads.RequestsAt(kFirst, 0, At(milliseconds(10))) - 15;
  CHECK(since >= 1);
  CHECK(since < 6);
  loads.OnReport(kFirst, Load(20), At(milliseconds(11)));
  CHECK(loads.RequestsAt(kFirst, 0, At(milliseconds(11))) == 20);
}

// Guards against memory that grows with the requests, and overflow of the sum.
TEST_CASE("the requests counted since a report are bounded", "[loads]")
{
  ReportedLoads loads = KnowingBoth();
  loads.OnReport(kFirst, Load(1), At(seconds(0)));
  for (int i = 0; i < 5000; ++i) {
    loads.OnSent(kFirst, At(seconds(0)));
  }
  CHECK(loads.RequestsAt(kFirst, 0, At(seconds(0))) ==
        1 + ReportedLoads::kMaxSends);
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  loads.OnReport(kFirst, { 64, kMost, 64, {} }, At(milliseconds(1)));
  CHECK(loads.RequestsAt(kFirst, 0, At(milliseconds(1))) == kMost);
}

// Guards against digests that outgrow a datagram or repeat themselves.
TEST_CASE("own reports enter one digest, the newest ones first", "[loads]")
{
  constexpr std::size_t kServers = ReportedLoads::kMaxUpdates + 10;
  ReportedLoads loads;
  const auto name = [](std::size_t aNumber) {
    return InstanceName(fmt::format("e{}@1", aNumber));
  };
  for (std::size_t i = 0; i < kServers; ++i) {
    loads.Add(name(i));
    loads.OnReport(name(i), Load(1, 1.2), At(milliseconds(i)));
    loads.OnReport(name(i), Load(2, 1.2), At(milliseconds(i)));
  }
  const TimePoint now = At(milliseconds(100));
  const std::vector<LoadUpdate> first = loads.TakeUpdates(now);
  REQUIRE(first.size() == ReportedLoads::kMaxUpdates);
  CHECK(first[0] == LoadUpdate{ name(kServers - 1),
                                Load(2, 1.2),
                                milliseconds(100 - (kServers - 1)) });
  std::set<InstanceName> sent;
  for (const LoadUpdate& update : first) {
    sent.insert(update.instance);
  }
  CHECK(sent.size() == first.size());
  CHECK_FALSE(sent.contains(name(0)));
  CHECK(loads.TakeUpdates(now).size() == 10);
  CHECK(loads.TakeUpdates(now).empty());
  loads.OnReport(name(0), Load(3, 1.2), now);
  ReportByPeer(loads, { name(1), Load(3), milliseconds(0) }, now);
  // What another gateway reports is not sent on, so no report is ever younger
  // than it is.
  REQUIRE(loads.TakeUpdates(now).size() == 1);
  loads.OnReport(name(0), Load(3, 1.2), now);
  CHECK(loads.TakeUpdates(now + seconds(3)).empty());
  // Of no use to the others without a time factor.
  loads.OnReport(name(0), Load(3), now + seconds(4));
  CHECK(loads.TakeUpdates(now + seconds(4)).empty());
}

// The four rows of the page's table on reports: absent, malformed, stale or of
// another instance, they are counted and placement goes by believed work.
TEST_CASE("a pool takes in only reports that are true of its servers",
          "[loads]")
{
  auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  const DirectInstance instance = Listed(kFirst);
  pool.SetInstances({ &instance, 1 });
  const TimePoint now = Now();
  const auto candidate = [&](TimePoint aNow) {
    const auto found = pool.Candidates(SomeService(), {}, {}, aNow);
    REQUIRE(found.size() == 1);
    return found[0];
  };
  const auto isUnreported = [](const DirectCandidate& aCandidate) {
    return !aCandidate.reportedRequests && !aCandidate.presentTimeFactor &&
           aCandidate.timeFactor == 1.0;
  };
  SECTION("absent")
  {
    pool.OnStatedLoad(kFirst, Stating(std::nullopt), now);
    CHECK(isUnreported(candidate(now)));
    CHECK(pool.Loads().RecentCount(now) == 0);
  }
  SECTION("malformed")
  {
    BackendAnswer malformed;
    malformed.isLoadMalformed = true;
    pool.OnStatedLoad(kFirst, malformed, now);
    CHECK(isUnreported(candidate(now)));
    CHECK(pool.Loads().MalformedCount() == 1);
  }
  SECTION("of another instance")
  {
    BackendAnswer other = Stating(Load(5, 2.0));
    other.wrongInstance = true;
    pool.OnStatedLoad(kFirst, other, now);
    CHECK(isUnreported(candidate(now)));
    CHECK(pool.Loads().IgnoredCount() == 1);
  }
  SECTION("its own")
  {
    pool.OnStatedLoad(kFirst, Stating(Load(5, 2.0)), now);
    REQUIRE(pool.Acquire(kFirst, {}, now) != nullptr);
    CHECK(candidate(now).reportedRequests == 6U);
    CHECK(candidate(now).timeFactor == Approx(2.0));
    CHECK(candidate(now).presentTimeFactor == 2.0);
    CHECK(candidate(now).work.requests == 0);
    const TimePoint later = now + seconds(1);
    CHECK_FALSE(candidate(later).reportedRequests.has_value());
    CHECK_FALSE(candidate(later).presentTimeFactor.has_value());
    CHECK(pool.Loads().RecentCount(later) == 0);
  }
  SECTION("another gateway's")
  {
    PeerDigest digest;
    digest.gateway = InstanceName("g2");
    digest.loads = { { kFirst, Load(7, 1.5), milliseconds(10) },
                     { kSecond, Load(7, 1.5), milliseconds(10) } };
    pool.ApplyDigest(digest, now);
    CHECK(candidate(now).reportedRequests == 7U);
    CHECK(pool.Loads().IgnoredCount() == 1);
    CHECK(pool.Loads().TakeUpdates(now).empty());
  }
  SECTION("of a server that is removed")
  {
    pool.OnStatedLoad(kFirst, Stating(Load(5, 2.0)), now);
    pool.SetInstances({});
    pool.RunMaintenance(now);
    REQUIRE(pool.Count() == 0);
    CHECK(pool.Loads().RecentCount(now) == 0);
    CHECK(pool.Loads().TakeUpdates(now).empty());
  }
}

TEST_CASE("with reported_load off, no report is taken in or sent", "[loads]")
{
  auto loop = *EventLoop::Create();
  BackendPool::Options options;
  options.decisions.reportedLoad = false;
  BackendPool pool(*loop, options);
  const DirectInstance instance = Listed(kFirst);
  pool.SetInstances({ &instance, 1 });
  const TimePoint now = Now();
  pool.OnStatedLoad(kFirst, Stating(Load(5, 2.0)), now);
  BackendAnswer malformed;
  malformed.isLoadMalformed = true;
  pool.OnStatedLoad(kFirst, malformed, now);
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.loads = { { kFirst, Load(7, 1.5), milliseconds(10) } };
  pool.ApplyDigest(digest, now);
  const auto found = pool.Candidates(SomeService(), {}, {}, now);
  REQUIRE(found.size() == 1);
  CHECK_FALSE(found[0].reportedRequests.has_value());
  CHECK_FALSE(found[0].presentTimeFactor.has_value());
  CHECK(found[0].timeFactor == 1.0);
  CHECK(pool.Loads().MalformedCount() == 0);
  CHECK(pool.Loads().IgnoredCount() == 0);
  CHECK(pool.Loads().TakeUpdates(now).empty());
}
