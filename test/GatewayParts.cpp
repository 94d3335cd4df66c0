#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>
#include <msgpack.hpp>
#include <rapidcheck.h>

#include <set>

#include "dogwoodvale/Gateway"
#include "support/Choosing.h"

using namespace dogwoodvale;
using test::Chosen;

namespace {

TimePoint
At(Duration aTime)
{
  return TimePoint{} + seconds(1000) + aTime;
}

std::string
Event(std::uint64_t aId)
{
  return fmt::format("id: {}\ndata: p{}\n\n", aId, aId);
}

} // namespace

TEST_CASE("the event splitter returns whole events for any chunking",
          "[events]")
{
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange(1, 8);
    std::string all;
    for (int i = 1; i <= count; ++i) {
      all += Event(static_cast<std::uint64_t>(i));
    }
    const bool isWindows = *rc::gen::arbitrary<bool>();
    if (isWindows) {
      all = absl::StrReplaceAll(all, { { "\n", "\r\n" } });
    }
    EventSplitter splitter(std::nullopt);
    std::string given;
    for (std::size_t at = 0; at < all.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 20);
      const auto part = splitter.Feed(std::string_view(all).substr(at, size));
      RC_ASSERT(part.ok());
      RC_ASSERT(part->empty() ||
                part->ends_with(isWindows ? "\r\n\r\n" : "\n\n"));
      given += *part;
      at += size;
    }
    RC_ASSERT(given == all);
    RC_ASSERT(splitter.LastId() == std::uint64_t(count));
    RC_ASSERT(!splitter.HasPartialEvent());
  }));
}

// Guards against joining two runs into one answer: a server asked to resume a
// stream restarts it or skips events.
TEST_CASE("a resumed stream must continue the event ids", "[events]")
{
  EventSplitter again(std::uint64_t(7));
  CHECK(again.Feed(Event(8)).ok());
  EventSplitter anew(std::uint64_t(7));
  CHECK_FALSE(anew.Feed(Event(1)).ok());
  EventSplitter skips(std::uint64_t(7));
  CHECK_FALSE(skips.Feed(Event(9)).ok());
  EventSplitter twice(std::nullopt);
  CHECK_FALSE(twice.Feed(Event(1) + Event(1)).ok());
}

// Guards against a retry storm from several gateways. Whatever requests each
// sees, the retries in every window stay below the fixed extra plus the share
// of the requests of that window, the one before it or the one half a window
// before it, whichever has most.
TEST_CASE("retries stay within the budget in every window", "[retries]")
{
  CHECK(rc::check([] {
    const auto gateways = *rc::gen::inRange<std::size_t>(1, 5);
    const Duration window = seconds(10);
    std::vector<RetryWindow> windows;
    for (std::size_t i = 0; i < gateways; ++i) {
      windows.emplace_back(RetryWindowSettings{ window, 0.2, 12 });
      windows.back().SetGateways(gateways);
    }
    std::vector<Duration> requests;
    std::vector<Duration> retries;
    Duration now{ 0 };
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 200));
      RetryWindow& one = windows[*rc::gen::inRange<std::size_t>(0, gateways)];
      if (*rc::gen::inRange(0, 3) > 0) {
        one.OnRequest(At(now));
        requests.push_back(now);
      } else if (one.TryTake(At(now))) {
        retries.push_back(now);
      }
    }
    for (const Duration end : retries) {
      const auto countIn = [&](const std::vector<Duration>& aTimes,
                               Duration aEnd) {
        return std::ranges::count_if(aTimes, [&](Duration aTime) {
          return aTime <= aEnd && aTime > aEnd - window;
        });
      };
      const auto taken = countIn(retries, end);
      const auto asked = std::max({ countIn(requests, end),
                                    countIn(requests, end - window / 2),
                                    countIn(requests, end - window) });
      RC_ASSERT(double(taken) <= 0.2 * double(asked) + 12);
    }
  }));
}

TEST_CASE("the work reported by gateways adds up and expires", "[work]")
{
  WorkTable table;
  const InstanceName e1("e1");
  table.AddOwn(e1, { 2, { 100 }, 10 });
  const std::vector<WorkLine> first{ { e1, { 3, { 50 }, 5 } } };
  table.SetPeer(InstanceName("g2"), first, At(seconds(0)));
  CHECK(table.Total(e1) == BackendWork{ 5, { 150 }, 15 });
  const std::vector<WorkLine> second{ { e1, { 1, { 0 }, 1 } } };
  table.SetPeer(InstanceName("g2"), second, At(milliseconds(100)));
  CHECK(table.Total(e1) == BackendWork{ 3, { 100 }, 11 });
  CHECK(table.Expire(At(milliseconds(900))).empty());
  CHECK(table.Expire(At(seconds(2))).size() == 1);
  CHECK(table.Total(e1) == table.Own(e1));
  table.RemoveOwn(e1, { 9, { 900 }, 90 });
  CHECK(table.Total(e1).IsZero());
  CHECK(table.OwnLines().empty());
}

TEST_CASE("a prompt's step is cached only with all steps before it", "[prompt]")
{
  const std::vector<PromptPart> parts{ { 1, 100 }, { 2, 50 } };
  const std::vector<PromptPart> other{ { 3, 100 }, { 2, 50 } };
  const auto steps = StepsOf(parts);
  REQUIRE(steps.size() == 2);
  CHECK(steps[1].hash != StepsOf(other)[1].hash);
  // Cached steps of one model are of no use to another.
  CHECK(steps[1].hash != StepsOf(parts, "other")[1].hash);
  const InstanceName e1("e1");
  CacheTracker caches;
  caches.OnUsed(e1, std::span(steps).last(1), 0);
  CHECK(caches.CachedPrefixTokens(e1, steps) == 0);
  caches.OnUsed(e1, std::span(steps).first(1), 0);
  CHECK(caches.CachedPrefixTokens(e1, steps) == 150);
  CHECK(caches.CachedPrefixTokens(InstanceName("e2"), steps) == 0);
}

// Guards against placing prompts by a shared prefix that the server's cache has
// evicted since: they wait in its queue and are prefilled in full.
TEST_CASE("an evicted prefix is not expected in the cache", "[prompt]")
{
  constexpr std::uint64_t kRoom = 1000;
  const InstanceName server("e1");
  CacheTracker caches;
  const auto use = [&](std::uint64_t aShared, std::uint64_t aOwn) {
    const std::vector<PromptPart> parts{ { aShared, 300 }, { aOwn, 100 } };
    caches.OnUsed(server, StepsOf(parts), kRoom);
  };
  const auto held = [&](std::uint64_t aShared) {
    const std::vector<PromptPart> parts{ { aShared, 300 } };
    return caches.CachedPrefixTokens(server, StepsOf(parts));
  };
  use(1, 10);
  use(2, 20);
  CHECK(held(1) == 300);
  use(1, 11);
  use(3, 30);
  // The first was used again since, the second was not.
  CHECK(held(1) == 300);
  CHECK(held(2) == 0);
  CHECK(held(3) == 300);
  caches.Forget(server);
  CHECK(held(3) == 0);
}

TEST_CASE("the expected cache content fits into the cache", "[prompt]")
{
  CHECK(rc::check([] {
    const auto room = *rc::gen::inRange<std::uint64_t>(1, 5000);
    const auto prompts = *rc::gen::container<std::vector<std::vector<int>>>(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30)));
    CacheTracker caches;
    const InstanceName server("e1");
    for (const std::vector<int>& prompt : prompts) {
      std::vector<PromptPart> parts;
      std::uint64_t tokens = 0;
      for (const int id : prompt) {
        parts.push_back({ static_cast<std::uint64_t>(id),
                          static_cast<std::uint32_t>(10 + 40 * id) });
        tokens += parts.back().tokens;
      }
      const auto steps = StepsOf(parts);
      caches.OnUsed(server, steps, room);
      RC_ASSERT(caches.CachedPrefixTokens(server, steps) <=
                std::max<std::uint64_t>(room, tokens));
      RC_ASSERT(tokens > room ||
                caches.CachedPrefixTokens(server, steps) == tokens);
      RC_ASSERT(caches.StepCount() <= std::max<std::size_t>(room / 10, 1));
    }
  }));
}

namespace {

DirectCandidate
Candidate(const char* aName, std::uint32_t aRequests, std::uint64_t aPrefill)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.work = { aRequests, aPrefill, 0 };
  candidate.slots = 8;
  return candidate;
}

DirectDemand
Demand(std::uint32_t aTokens, bool aIsLong)
{
  DirectDemand demand;
  demand.promptTokens = aTokens;
  demand.isLong = aIsLong;
  return demand;
}

} // namespace

// Guards against long gaps in interactive streams on a lightly loaded server
// that prefills long prompts between their steps.
TEST_CASE("long prompts and short answers use different servers", "[choice]")
{
  DirectDemand longDemand = Demand(9000, true);
  DirectDemand shortDemand = Demand(800, false);
  std::vector<DirectCandidate> engines{ Candidate("notes", 6, 0),
                                        Candidate("scans", 2, 0) };
  engines[1].recentLongTokens = 30'000;
  CHECK(Chosen(engines, longDemand) == "scans");
  CHECK(Chosen(engines, shortDemand) == "notes");
}

TEST_CASE(
  "a prompt goes to the server that has it cached unless that is far behind",
  "[choice]")
{
  DirectDemand demand = Demand(9000, true);
  demand.tokensPerTarget = 40'000;
  std::vector<DirectCandidate> engines{ Candidate("holds", 1, 2000),
                                        Candidate("empty", 1, 0) };
  engines[0].cachedTokens = 6000;
  CHECK(Chosen(engines, demand) == "holds");
  // A shorter wait alone does not justify a second prefill of the prefix.
  engines[0].work.PrefillAt(0) = 20'000;
  CHECK(Chosen(engines, demand) == "holds");
  engines[0].work.PrefillAt(0) = 50'000;
  CHECK(Chosen(engines, demand) == "empty");
}

// Guards against interactive requests queueing 20 deep for a slot while servers
// with long prompts have free slots.
TEST_CASE("a full server is not chosen while others have free slots",
          "[choice]")
{
  DirectDemand demand = Demand(800, false);
  demand.tokensPerQueuePosition = 2000;
  std::vector<DirectCandidate> engines{ Candidate("full", 20, 0),
                                        Candidate("reads", 2, 5000) };
  engines[1].recentLongTokens = 30'000;
  CHECK(Chosen(engines, demand) == "reads");
  engines[0].work.requests = 7;
  CHECK(Chosen(engines, demand) == "full");
}

TEST_CASE("prefill speed and request duration are measured", "[prefill]")
{
  PrefillStatistics flow;
  CHECK_FALSE(flow.TokensPerQueuePosition(8).has_value());
  flow.OnRequest(1000);
  flow.OnRequestTime(seconds(2));
  // Short prompts give no sample of the speed.
  flow.OnFirstToken(InstanceName("e1"), 10, milliseconds(50));
  CHECK_FALSE(flow.TokensPerQueuePosition(8).has_value());
  flow.OnFirstToken(InstanceName("e1"), 10'000, milliseconds(250));
  REQUIRE(flow.TokensPerQueuePosition(8).has_value());
  CHECK(*flow.TokensPerQueuePosition(8) == Approx(40.0 * 2000 / 8));
  CHECK_FALSE(flow.TokensPerQueuePosition(0).has_value());
}

TEST_CASE("ejected servers are chosen only if there is no other", "[choice]")
{
  const DirectDemand demand;
  std::vector<DirectCandidate> servers{ Candidate("out", 0, 0),
                                        Candidate("busy", 7, 0) };
  servers[0].healthState = HealthState::Ejected;
  CHECK(Chosen(servers, demand) == "busy");
  servers.pop_back();
  CHECK(Chosen(servers, demand) == "out");
  CHECK(Chosen({}, demand).empty());
}

TEST_CASE("the threshold of a long prompt follows the prompts seen",
          "[prefill]")
{
  PrefillStatistics flow;
  CHECK_FALSE(flow.IsLong(100'000));
  for (int i = 0; i < 100; ++i) {
    flow.OnRequest(i % 3 == 0 ? 9000 : 800);
  }
  CHECK(flow.IsLong(9000));
  CHECK_FALSE(flow.IsLong(800));
  const InstanceName e1("e1");
  flow.OnRequestTime(seconds(1));
  flow.OnLongPrompt(e1, 5000, At(seconds(0)));
  CHECK(flow.RecentLongTokens(e1, At(seconds(0))) == Approx(5000));
  CHECK(flow.RecentLongTokens(e1, At(seconds(1))) ==
        Approx(5000 / 2.71828).epsilon(0.01));
  flow.Forget(e1);
  CHECK(flow.RecentLongTokens(e1, At(seconds(1))) == 0);
}

TEST_CASE("a digest is decoded unchanged or rejected", "[digest]")
{
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.incarnation = 7;
  digest.sequence = 8;
  digest.routes.version = 9;
  digest.storeContact = milliseconds(1234);
  digest.work = { { InstanceName("e1"), { 1, { 0, 2 }, 3, 1 } } };
  digest.routed = { { InstanceName("e2"), { { 4, 40 }, { 5, 50 } }, 6 } };
  digest.crashes.evidence = { { 10, 11, CrashWeight::Late },
                              { 42, 43, CrashWeight::Early, 44 } };
  digest.crashes.verdicts = { { 12, 13, true, seconds(14) } };
  digest.suspectsInFlight = { 15 };
  digest.rates = { { InstanceName("e3"), 2.5, milliseconds(16) },
                   { InstanceName("e4"), std::nullopt, milliseconds(17) } };
  digest.leaving = { { InstanceName("e5"), milliseconds(18) } };
  digest.loads = {
    { InstanceName("e6"), { 19, 20, 21, 1.37 }, milliseconds(22) },
    { InstanceName("e7"), { 0, 0, 1, std::nullopt }, milliseconds(0) }
  };
  DecodeUpdate decode;
  decode.service = ServiceName("s1");
  for (std::size_t i = 0; i < decode.matrix.size(); ++i) {
    decode.matrix[i] = 0.1 + static_cast<double>(i);
  }
  decode.vector = { 17.0, 0.56, 7.6, -2.9 };
  decode.weight = 23.5;
  decode.interactiveStreams = 24.5;
  decode.interactiveTokens = 25.5;
  decode.interactiveIntervals = 26.5;
  decode.longestToMean = 3.7;
  decode.residuals = { { InstanceName("e8"), -0.5, 27.5 },
                       { InstanceName("e9"), 0.25, 28.5 } };
  DecodeUpdate empty;
  empty.service = ServiceName("s2");
  digest.decode = { decode, empty };
  digest.ranks = { { ServiceName("s1"), 2, 29, 30, 31 },
                   { ServiceName("s2"), 3, 0, 0, 0 } };
  digest.shares = { { ServiceName("s1"),
                      { { CustomerName("c1"), 32.5 },
                        { CustomerName("c2"), 33.5 } },
                      34.5,
                      35 },
                    { ServiceName("s2"), {}, 0, 0 } };
  digest.origins = {
    { 36, { ServiceName("s1"), "v1" }, milliseconds(37) },
    { 38, { ServiceName("s1"), "v1" }, milliseconds(39) },
    { 40, { ServiceName("s1"), "v2" }, milliseconds(41) },
  };
  digest.streamLifetimes[ServiceName("s1")] = seconds(45);
  const std::string bytes = WriteDigest(digest, "secret");
  const auto read = ReadDigest(bytes, "secret");
  REQUIRE(read.ok());
  CHECK(read->gateway == digest.gateway);
  CHECK(read->incarnation == 7);
  CHECK(read->sequence == 8);
  CHECK(read->routes.version == 9);
  CHECK(read->storeContact == milliseconds(1234));
  REQUIRE(read->work.size() == 1);
  CHECK(read->work[0].work == digest.work[0].work);
  REQUIRE(read->routed.size() == 1);
  CHECK(read->routed[0].steps == digest.routed[0].steps);
  CHECK(read->routed[0].longTokens == 6);
  CHECK(read->crashes.evidence == digest.crashes.evidence);
  CHECK(read->crashes.verdicts == digest.crashes.verdicts);
  CHECK(read->suspectsInFlight == digest.suspectsInFlight);
  CHECK(read->rates == digest.rates);
  CHECK(read->leaving == digest.leaving);
  CHECK(read->loads == digest.loads);
  CHECK(read->decode == digest.decode);
  CHECK(read->ranks == digest.ranks);
  CHECK(read->shares == digest.shares);
  CHECK(read->origins == digest.origins);
  CHECK(read->streamLifetimes == digest.streamLifetimes);
  CHECK_FALSE(ReadDigest(bytes, "another").ok());
  CHECK(rc::check([&bytes] {
    std::string changed = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    changed[at] = static_cast<char>(changed[at] ^ 1);
    RC_ASSERT(!ReadDigest(changed, "secret").ok());
  }));
}

// Guards a rolling upgrade: digests of the previous version have seven fields,
// without crash reports, and must still be decoded.
TEST_CASE("a digest of the previous version is decoded", "[digest]")
{
  using Older = std::tuple<std::string,
                           std::uint64_t,
                           std::uint64_t,
                           std::uint64_t,
                           std::int64_t,
                           std::vector<int>,
                           std::vector<int>>;
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, Older("g1", 7, 8, 9, 1234, {}, {}));
  const std::string packed(buffer.data(), buffer.size());
  const auto read =
    ReadDigest(KeyedDigest(packed, "secret") + packed, "secret");
  REQUIRE(read.ok());
  CHECK(read->sequence == 8);
  CHECK(read->crashes.IsEmpty());
}

// Guards a rolling upgrade: a gateway of an older version does not report
// memory without cached parts. If that counted as 0, its requests would be
// forgotten and servers would get more than their memory holds.
TEST_CASE("all memory of a gateway of an older version counts", "[digest]")
{
  using OlderWork = std::tuple<std::string,
                               std::uint32_t,
                               std::uint64_t,
                               std::uint64_t,
                               std::uint32_t,
                               std::vector<std::uint64_t>,
                               std::vector<std::uint32_t>>;
  using Older = std::tuple<std::string,
                           std::uint64_t,
                           std::uint64_t,
                           std::uint64_t,
                           std::int64_t,
                           std::vector<OlderWork>,
                           std::vector<int>>;
  msgpack::sbuffer buffer;
  msgpack::pack(
    buffer,
    Older("g1", 7, 8, 9, 1234, { OlderWork("e1", 3, 0, 9050, 0, {}, {}) }, {}));
  const std::string packed(buffer.data(), buffer.size());
  const auto older =
    ReadDigest(KeyedDigest(packed, "secret") + packed, "secret");
  REQUIRE(older.ok());
  REQUIRE(older->work.size() == 1);
  CHECK(older->work[0].work.uncachedMemoryTokens == 9050);
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.work.resize(1);
  digest.work[0].instance = InstanceName("e1");
  digest.work[0].work.memoryTokens = 9050;
  digest.work[0].work.uncachedMemoryTokens = 0;
  const auto read = ReadDigest(WriteDigest(digest, "secret"), "secret");
  REQUIRE(read.ok());
  CHECK(read->work[0].work == digest.work[0].work);
}

// Guards a rolling upgrade to the version that appends loads, decode sums,
// ranks, shares, origins and evidence against parts: a digest that ends with
// the departures is still decoded, and the leading fields of a new one can be
// read by the older version.
TEST_CASE("a digest without the appended fields is decoded", "[digest]")
{
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.incarnation = 7;
  digest.sequence = 8;
  digest.rates = { { InstanceName("e3"), 2.5, milliseconds(16) } };
  digest.leaving = { { InstanceName("e5"), milliseconds(18) } };
  digest.loads = { { InstanceName("e6"), { 1, 2, 3, 1.5 }, milliseconds(4) } };
  digest.decode.resize(1);
  digest.ranks = { { ServiceName("s"), 1, 2, 3, 4 } };
  digest.shares = { { ServiceName("s"), {}, 1.5, 2 } };
  digest.origins = { { 5, { ServiceName("s"), "v1" }, milliseconds(6) } };
  digest.crashes.evidence = { { 7, 8, CrashWeight::Early, 9 } };
  digest.streamLifetimes[ServiceName("s")] = seconds(10);
  const std::string bytes =
    WriteDigest(digest, "secret").substr(kKeyedDigestBytes);
  const auto whole = msgpack::unpack(bytes.data(), bytes.size());
  std::vector<msgpack::object> fields;
  whole.get().convert(fields);
  constexpr std::size_t kAppended = 8;
  constexpr std::size_t kOlderFields = 18;
  REQUIRE(fields.size() == kOlderFields + kAppended);
  // From no appended field to all but one.
  for (std::size_t count = kOlderFields; count < fields.size(); ++count) {
    msgpack::sbuffer buffer;
    msgpack::pack(
      buffer,
      std::vector<msgpack::object>(
        fields.begin(), fields.begin() + static_cast<std::ptrdiff_t>(count)));
    const std::string older(buffer.data(), buffer.size());
    const auto read =
      ReadDigest(KeyedDigest(older, "secret") + older, "secret");
    REQUIRE(read.ok());
    CHECK(read->sequence == 8);
    CHECK(read->rates == digest.rates);
    CHECK(read->leaving == digest.leaving);
    CHECK(read->loads.empty() == (count == kOlderFields));
    CHECK(read->decode.size() == (count > kOlderFields + 1 ? 1 : 0));
    CHECK(read->ranks.size() == (count > kOlderFields + 2 ? 1 : 0));
    CHECK(read->shares.size() == (count > kOlderFields + 3 ? 1 : 0));
    CHECK(read->origins.size() == (count > kOlderFields + 4 ? 1 : 0));
    CHECK(read->crashes.IsEmpty() == (count <= kOlderFields + 5));
    CHECK(read->streamLifetimes.empty() == (count <= kOlderFields + 6));
    CHECK_FALSE(read->routes.age);
  }
}

TEST_CASE("a suspension of the process is detected", "[suspension]")
{
  const auto loop = *EventLoop::Create();
  Duration lost{ 0 };
  SuspensionDetector watch(*loop, [&](Duration aLost) { lost = aLost; });
  loop->RunUntil([] { return false; }, milliseconds(600));
  CHECK(lost == Duration::zero());
  usleep(800'000);
  loop->RunUntil([&] { return lost > Duration::zero(); }, seconds(1));
  CHECK(lost >= milliseconds(300));
}

// Guards against every long prompt missing its target in an overload: each
// waits in a queue longer than its target, so the wait must be estimated before
// a prompt joins.
TEST_CASE("the wait in a queue is estimated from measured speed", "[prefill]")
{
  PrefillStatistics flow;
  const InstanceName fast("fast");
  const InstanceName slow("slow");
  CHECK_FALSE(flow.WaitBehind(fast, 1000).has_value());
  for (int i = 0; i < 50; ++i) {
    flow.OnFirstToken(fast, 40'000, milliseconds(1000));
  }
  for (int i = 0; i < 10; ++i) {
    flow.OnFirstToken(slow, 40'000, milliseconds(4000));
  }
  const Duration quick = *flow.WaitBehind(fast, 40'000);
  const Duration late = *flow.WaitBehind(slow, 40'000);
  CHECK(quick > milliseconds(900));
  CHECK(quick < milliseconds(1300));
  CHECK(late > 2 * quick);
  flow.Forget(slow);
  CHECK(flow.WaitBehind(slow, 40'000) == quick);
}

// Guards against ejecting healthy servers as slow because they prefill long
// prompts and so answer later than others.
TEST_CASE("a server with much prefill is not ejected as slow", "[prefill]")
{
  PrefillStatistics flow;
  for (int i = 0; i < 40; ++i) {
    flow.OnRequest(i % 2 == 0 ? 9000 : 800);
    flow.OnFirstToken(InstanceName("e1"), 9000, milliseconds(225));
  }
  CHECK_FALSE(flow.HealthSample(800, 800, milliseconds(40)).has_value());
  const Duration alone = *flow.HealthSample(9000, 9000, milliseconds(225));
  const Duration behind = *flow.HealthSample(9000, 45'000, milliseconds(1125));
  const Duration sick = *flow.HealthSample(9000, 9000, milliseconds(1125));
  CHECK(behind < 2 * alone);
  CHECK(sick > 4 * alone);
}

// Guards against waiting out the time limit for a server that hangs with its
// connection open while no other server is tried.
TEST_CASE("only attempts that another may follow have time-outs", "[patience]")
{
  HostRoute route;
  route.kind = RouteKind::Streaming;
  route.isResumable = true;
  route.maxAttempts = 2;
  route.target = milliseconds(600);
  route.targetGap = milliseconds(200);
  const AttemptTimeouts first = TimeoutsFor(route, 0, seconds(6));
  CHECK(first.firstResponse == milliseconds(1800));
  CHECK(first.betweenEvents == milliseconds(1000));
  // Half of the remaining time is left for the other server.
  CHECK(TimeoutsFor(route, 0, seconds(2)).firstResponse == seconds(1));
  CHECK(TimeoutsFor(route, 1, seconds(6)).firstResponse == Duration::zero());
  route.isResumable = false;
  CHECK(TimeoutsFor(route, 0, seconds(6)).firstResponse == Duration::zero());
}

TEST_CASE(
  "retry times after an overload refusal fit the wait and are spread out",
  "[refusal]")
{
  CHECK_FALSE(IsWaitTooLong(milliseconds(900), milliseconds(600)));
  CHECK(IsWaitTooLong(milliseconds(901), milliseconds(600)));
  CHECK_FALSE(IsLateWaitTooLong(milliseconds(1800), milliseconds(600)));
  CHECK(IsLateWaitTooLong(milliseconds(1801), milliseconds(600)));
  std::mt19937_64 random(3);
  std::set<milliseconds> drawn;
  for (int i = 0; i < 50; ++i) {
    drawn.insert(DrawRetryAfter(seconds(2), milliseconds(600), random));
  }
  CHECK(*drawn.begin() >= milliseconds(1700));
  CHECK(*drawn.rbegin() <= milliseconds(3400));
  CHECK(drawn.size() > 20);
  CHECK(DrawRetryAfter(Duration::zero(), seconds(1), random) >=
        milliseconds(100));
}

TEST_CASE("the baseline choosers use turns or request counts only", "[choice]")
{
  std::mt19937_64 random(1);
  std::vector<DirectCandidate> engines{ Candidate("a", 3, 9000),
                                        Candidate("b", 2, 50'000),
                                        Candidate("c", 5, 0) };
  const DirectDemand demand = Demand(9000, true);
  const auto least = DirectChooser::Create("least_requests");
  CHECK(least->Choose(engines, demand, random) == 1U);
  const auto turns = DirectChooser::Create("round_robin");
  std::multiset<std::size_t> taken;
  for (int i = 0; i < 30; ++i) {
    taken.insert(*turns->Choose(engines, demand, random));
  }
  CHECK(taken.count(0) == 10);
  CHECK(taken.count(1) == 10);
  engines[2].healthState = HealthState::Ejected;
  CHECK(*turns->Choose(engines, demand, random) != 2);
  CHECK(DirectChooser::Create("best") == nullptr);
}
