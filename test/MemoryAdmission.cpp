#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "support/Choosing.h"
#include "support/LoadSimulation.h"

using namespace dogwoodvale;
using test::Chosen;
using test::Fleet;
using test::LoadSimulation;
using test::RequestKind;

namespace {

constexpr std::uint64_t kCache = 100'000;

DirectCandidate
Server(const std::string& aName, std::uint64_t aHeldTokens)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.slots = 64;
  candidate.cacheTokens = kCache;
  candidate.work.requests = 10;
  candidate.work.uncachedMemoryTokens = aHeldTokens;
  return candidate;
}

DirectDemand
Demand(std::uint32_t aPromptTokens, std::uint32_t aAnswerTokens)
{
  DirectDemand demand;
  demand.promptTokens = aPromptTokens;
  demand.memoryTokens = aPromptTokens + aAnswerTokens;
  return demand;
}

/// The choice without admission by memory.
std::string
ChosenWithout(const std::vector<DirectCandidate>& aServers,
              DirectDemand aDemand)
{
  aDemand.memoryTokens = 0;
  return Chosen(aServers, aDemand);
}

} // namespace

// Guards against a cache filled to the last token: its requests are preempted
// as soon as one answer is longer than expected.
TEST_CASE("a server lacks memory before its cache is full", "[placement]")
{
  const MemoryUse use{ .heldTokens = 80'000, .requests = 40, .slots = 64 };
  CHECK_FALSE(LacksMemory(kCache, use, 5000));
  CHECK(LacksMemory(kCache, use, 5001));
  // A request larger than any server's memory lacks it at an idle one as well.
  CHECK(LacksMemory(kCache, {}, 90'000));
  // Nothing is known of the cache.
  CHECK_FALSE(LacksMemory(0, use, 1'000'000));
}

// An overload fills the queues. If the memory of waiting requests counted, no
// server would seem to have any, and prompts would leave the servers that have
// their shared parts cached.
TEST_CASE("requests that wait for a slot hold no memory", "[placement]")
{
  const MemoryUse full{ .heldTokens = 64'000, .requests = 16, .slots = 16 };
  CHECK_FALSE(LacksMemory(kCache, full, 4000));
  const MemoryUse queueing{ .heldTokens = 160'000,
                            .requests = 40,
                            .slots = 16 };
  CHECK_FALSE(LacksMemory(kCache, queueing, 4000));
  const MemoryUse large{ .heldTokens = 240'000, .requests = 40, .slots = 16 };
  CHECK(LacksMemory(kCache, large, 6000));
  const MemoryUse unknownSlots{ .heldTokens = 160'000, .requests = 40 };
  CHECK(LacksMemory(kCache, unknownSlots, 4000));
}

TEST_CASE("a server that lacks memory lacks it for a larger request too",
          "[placement]")
{
  REQUIRE(rc::check([] {
    MemoryUse use;
    use.heldTokens = *rc::gen::inRange<std::uint64_t>(0, 300'000);
    use.requests = *rc::gen::inRange<std::uint32_t>(0, 100);
    use.slots = *rc::gen::inRange<std::uint32_t>(0, 100);
    const auto tokens = *rc::gen::inRange<std::uint64_t>(0, 100'000);
    const auto more = *rc::gen::inRange<std::uint64_t>(0, 100'000);
    RC_ASSERT(!LacksMemory(kCache, use, tokens) ||
              LacksMemory(kCache, use, tokens + more));
  }));
}

// The cost of repeated prefill draws requests to the server that has their
// shared part cached, however little memory it has left.
TEST_CASE("a server without memory gets no request while another has room",
          "[placement]")
{
  std::vector<DirectCandidate> servers{ Server("cached", 84'000),
                                        Server("room", 60'000) };
  servers[0].cachedTokens = 6000;
  servers[1].work.PrefillAt(0) = 50'000;
  DirectDemand demand = Demand(7000, 500);
  CHECK(ChosenWithout(servers, demand) == "cached");
  CHECK(Chosen(servers, demand) == "room");
  // What is cached there takes no memory again.
  servers[0].work.uncachedMemoryTokens = 83'500;
  CHECK(Chosen(servers, demand) == "cached");
  // An ejected server is no alternative.
  servers[0].work.uncachedMemoryTokens = 84'000;
  servers[1].healthState = HealthState::Ejected;
  CHECK(Chosen(servers, demand) == "cached");
  // A service whose cache size is unknown is placed as without the check.
  servers[1].healthState = HealthState::InService;
  servers[0].cacheTokens = servers[1].cacheTokens = 0;
  CHECK(Chosen(servers, demand) == "cached");
}

// Guards against starvation of large requests behind small ones: a server does
// not become worse for a large request than for a small one unless another has
// room for it, and if none has room it is placed all the same.
TEST_CASE("where no or each server has room the choice is as without the check",
          "[placement]")
{
  REQUIRE(rc::check([] {
    const bool isFull = *rc::gen::arbitrary<bool>();
    const auto demand = Demand(*rc::gen::inRange<std::uint32_t>(100, 9000),
                               *rc::gen::inRange<std::uint32_t>(10, 1000));
    std::vector<DirectCandidate> servers;
    for (int i = 0; i < 4; ++i) {
      DirectCandidate& server = servers.emplace_back(Server(
        fmt::format("s{}", i),
        *rc::gen::inRange<std::uint64_t>(0, 70'000) + (isFull ? kCache : 0)));
      server.work.PrefillAt(0) = *rc::gen::inRange<std::uint64_t>(0, 30'000);
    }
    RC_ASSERT(Chosen(servers, demand) == ChosenWithout(servers, demand));
  }));
}

// Reserved servers are planned by slots. Streams with long answers fill their
// memory before their slots, while other servers have room.
TEST_CASE("interactive requests leave reserved servers that lack memory",
          "[placement]")
{
  std::vector<DirectCandidate> servers{ Server("reserved", 85'000),
                                        Server("other", 60'000) };
  servers[0].isReserved = true;
  servers[1].work.PrefillAt(0) = 20'000;
  DirectDemand demand = Demand(800, 300);
  demand.isInteractive = true;
  CHECK(ChosenWithout(servers, demand) == "reserved");
  CHECK(Chosen(servers, demand) == "other");
  // No server has room: the reserved one, as without the check.
  servers[1].work.uncachedMemoryTokens = 85'000;
  servers[1].work.PrefillAt(0) = 0;
  servers[0].work.PrefillAt(0) = 20'000;
  CHECK(Chosen(servers, demand) == "reserved");
  // Long prompts stay out of the reserved servers.
  servers[0].work.uncachedMemoryTokens = 0;
  DirectDemand longDemand = Demand(9000, 50);
  longDemand.isLong = true;
  CHECK(Chosen(servers, longDemand) == "other");
}

// A preempted stream pauses until its whole context is computed again, so a
// server whose pauses are too long is better than one without memory.
TEST_CASE("lack of memory is worse than long pauses", "[placement]")
{
  std::vector<DirectCandidate> servers{ Server("lacks", 85'000),
                                        Server("pauses", 60'000) };
  servers[0].predicted.emplace().longPause = milliseconds(100);
  servers[1].predicted.emplace().longPause = milliseconds(300);
  DirectDemand demand = Demand(800, 300);
  demand.isInteractive = true;
  demand.bounds = { milliseconds(200), milliseconds(300) };
  CHECK(ChosenWithout(servers, demand) == "lacks");
  CHECK(Chosen(servers, demand) == "pauses");
  // Neither has memory: the one within the bound.
  servers[1].work.uncachedMemoryTokens = 85'000;
  CHECK(Chosen(servers, demand) == "lacks");
}

// Requests with the same shared part hold it once. If each counted it whole, a
// server would seem full with a third of its memory in use.
TEST_CASE("a request counts without the cached part of its prompt",
          "[placement]")
{
  std::vector<DirectCandidate> servers{ Server("only", 10'000) };
  servers[0].cachedTokens = 6000;
  std::mt19937_64 random(1);
  Placer placer(DirectChooser::Create("expected_delay"), {});
  DirectDemand demand = Demand(9000, 50);
  PlacementRequest request{ demand, {} };
  request.outputTokens = 50;
  const auto place = [&] {
    return *placer.Place(servers, request, {}, random);
  };
  CHECK(place().work.memoryTokens == 9050);
  CHECK(place().work.uncachedMemoryTokens == 3050);
  CHECK_FALSE(place().exceedsMemory);
  servers[0].work.uncachedMemoryTokens = 85'000;
  CHECK(place().exceedsMemory);
  demand.memoryTokens = 0;
  CHECK_FALSE(place().exceedsMemory);
}

// Streams with answers of 500 tokens (cues) share 18 engines with long prompts
// (digests). The reserved servers have slots for 96 cues but memory for 40: in
// one step of seven an engine holds more than its cache, and would preempt a
// stream, while the other engines have room.
TEST_CASE("engines do not exceed their memory while others have room",
          "[placement]")
{
  std::string results;
  const auto runWith = [&results](bool aAdmission, std::uint64_t aSeed) {
    Fleet fleet;
    fleet.engines = 18;
    fleet.engine.slots = 96;
    fleet.engine.base = Duration(3550);
    fleet.engine.perSequence = Duration(46);
    fleet.engine.perPrefillToken = Duration(9);
    fleet.engine.prefillChunk = 4096;
    fleet.tokensPerEvent = 5;
    fleet.gateways = 12;
    fleet.cacheTokens = 80'000;
    GatewayDecisions decisions;
    decisions.memoryAdmission = aAdmission;
    RequestKind digest{ 80, 6300, 2720, 120, 100, seconds(1), milliseconds(800),
                        5 };
    RequestKind cue{
      60, 350, 1110, 500, 280, milliseconds(250), milliseconds(200), 0
    };
    LoadSimulation simulation(fleet, decisions, { digest, cue }, aSeed);
    simulation.Run(seconds(6));
    const auto got = simulation.Run(seconds(8));
    results +=
      fmt::format("seed {} {}: steps over memory {:.4f}, on time: cues "
                  "{:.3f}, digests {:.3f}; ",
                  aSeed,
                  aAdmission ? "with" : "without",
                  simulation.OverfullShare(),
                  got[1].OnTimeShare(),
                  got[0].OnTimeShare());
    return simulation.OverfullShare();
  };
  double without = 0;
  double with = 0;
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    without += runWith(false, seed);
    with += runWith(true, seed);
  }
  INFO(results);
  CHECK(without > 0.1);
  CHECK(with <= 0.1 * without);
}
