#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Gateway"
#include "support/Choosing.h"

using namespace dogwoodvale;
using test::Chosen;

namespace {

constexpr Duration kTight = milliseconds(200);
constexpr Duration kLoose = milliseconds(800);

TimePoint
At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1)) + aTime;
}

DirectCandidate
Server(const std::string& aName, bool aIsReserved)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.slots = 10;
  candidate.isReserved = aIsReserved;
  return candidate;
}

/// Streams with a loose bound whose longest pause is this.
void
PlayLoose(PauseProfile& aProfile, Duration aLongest)
{
  for (int i = 0; i < 500; ++i) {
    aProfile.OnRequest(i % 3 == 0 ? kTight : kLoose);
    aProfile.OnStream(kLoose, aLongest);
  }
}

} // namespace

TEST_CASE("streams with the tightest bound are interactive where others pause",
          "[placement]")
{
  PauseProfile profile;
  PlayLoose(profile, milliseconds(180));
  CHECK(profile.IsInteractive(kTight));
  CHECK_FALSE(profile.IsInteractive(kLoose));
  // Nothing is gained by keeping them apart where no one has to pause.
  PlayLoose(profile, milliseconds(40));
  CHECK_FALSE(profile.IsInteractive(kTight));
  CHECK_FALSE(profile.HasInteractive());
}

TEST_CASE("a service with one bound keeps nobody apart", "[placement]")
{
  PauseProfile profile;
  for (int i = 0; i < 300; ++i) {
    profile.OnRequest(kTight);
    profile.OnStream(kTight, milliseconds(500));
  }
  CHECK_FALSE(profile.IsInteractive(kTight));
}

// A route with a bound of 10 ms is added for one caller. If it made all others
// loose, the streams that were kept apart until then would be late.
TEST_CASE("a bound that few requests have decides for nobody", "[placement]")
{
  PauseProfile profile;
  PlayLoose(profile, milliseconds(180));
  profile.OnRequest(milliseconds(10));
  CHECK(profile.IsInteractive(kTight));
}

TEST_CASE("reserved servers follow the interactive work", "[placement]")
{
  ReservedServers servers;
  servers.Update(0, 96, 52, At(seconds(0)));
  CHECK(servers.Count() == 0);
  servers.Update(200, 96, 52, At(seconds(1)));
  CHECK(servers.Count() == 5);
  // A burst is followed at once, a lull after a while.
  servers.Update(400, 96, 52, At(seconds(2)));
  CHECK(servers.Count() == 9);
  servers.Update(100, 96, 52, At(milliseconds(2200)));
  CHECK(servers.Count() == 8);
  servers.Update(100, 96, 52, At(seconds(30)));
  CHECK(servers.Count() == 3);
}

TEST_CASE("at most a quarter of the servers is reserved", "[placement]")
{
  REQUIRE(rc::check([] {
    const auto servers = *rc::gen::inRange<std::size_t>(0, 400);
    const auto slots = *rc::gen::inRange<std::uint32_t>(0, 2000);
    ReservedServers reserved;
    reserved.Update(
      *rc::gen::inRange<std::uint64_t>(0, 100'000), slots, servers, At({}));
    RC_ASSERT(4 * reserved.Count() <= servers);
  }));
}

TEST_CASE("long prompts and interactive requests have servers of their own",
          "[placement]")
{
  DirectDemand interactive;
  interactive.promptTokens = 1000;
  interactive.isInteractive = true;
  DirectDemand longDemand;
  longDemand.promptTokens = 9000;
  longDemand.isLong = true;
  std::vector<DirectCandidate> servers{ Server("kept", true),
                                        Server("reads", false) };
  servers[0].work.requests = 5;
  servers[1].work.PrefillAt(0) = 50'000;
  CHECK(Chosen(servers, interactive) == "kept");
  CHECK(Chosen(servers, longDemand) == "reads");
  // More interactive ones than the reserved servers take go on elsewhere.
  servers[0].work.requests = 10;
  servers[1].work.PrefillAt(0) = 0;
  CHECK(Chosen(servers, interactive) == "reads");
  // All that are meant for long prompts are taken out.
  servers[1].standing = Standing::Ejected;
  CHECK(Chosen(servers, longDemand) == "kept");
  // With no other server left a long prompt is not refused for the order.
  servers.pop_back();
  CHECK(Chosen(servers, longDemand) == "kept");
}

// Long prompts fill the queues of the last rank; one of the first rank is read
// before them. It would be refused or sent past the holder of its shared part.
TEST_CASE("reading of a later rank is not ahead of a request", "[placement]")
{
  BackendWork work;
  work.PrefillAt(0) = 10;
  work.PrefillAt(4) = 500;
  work.PrefillAt(200) = 3000;
  CHECK(work.PrefillUpTo(0) == 10);
  CHECK(work.PrefillUpTo(4) == 510);
  CHECK(work.Prefill() == 3510);
  DirectDemand urgent;
  urgent.promptTokens = 9000;
  urgent.isLong = true;
  urgent.rank = 1;
  std::vector<DirectCandidate> servers{ Server("holds", false),
                                        Server("empty", false) };
  servers[0].cachedTokens = 6000;
  servers[0].work.PrefillAt(8) = 500'000;
  CHECK(Chosen(servers, urgent) == "holds");
  urgent.rank = 8;
  CHECK(Chosen(servers, urgent) == "empty");
}

// Ten gateways get requests with the same new part within one digest's way.
// Each would choose a server that looks idle, and the part would be read ten
// times.
TEST_CASE("gateways that know nothing of each other read a new part once",
          "[placement]")
{
  const std::vector<PromptPart> parts{ { 77, 6000 }, { 1, 500 } };
  std::set<std::string> readers;
  for (std::uint64_t gateway = 0; gateway < 10; ++gateway) {
    auto loop = *EventLoop::Create();
    BackendPool pool(*loop, {});
    std::vector<DirectInstance> instances;
    for (int i = 0; i < 12; ++i) {
      DirectInstance instance;
      instance.name = InstanceName(fmt::format("e{}", i));
      instance.service = ServiceName("model");
      instance.address = { "127.0.0.1", 80 };
      instance.slots = 10;
      instances.push_back(instance);
    }
    pool.SetInstances(instances);
    DirectDemand demand;
    demand.promptTokens = 6500;
    demand.steps = StepsOf(parts);
    demand.sharedTokens = SharedTokens(demand.steps);
    demand.isLong = true;
    const DirectService service{ ServiceName("model"), 100, 10, 0 };
    const auto candidates = pool.Candidates(service, demand, {}, At({}));
    std::mt19937_64 random(gateway);
    const auto chosen = DirectChooser::Create("expected_delay")
                          ->Choose(candidates, demand, random);
    REQUIRE(chosen.has_value());
    readers.insert(candidates[*chosen].name.Value());
  }
  CHECK(readers.size() == 1);
}

// One gateway of four hears only one other. If it counted just what these two
// have under way it would reserve half of what the others do, and send long
// prompts to servers where they keep interactive requests.
TEST_CASE("a gateway that hears few others reserves as much as they do",
          "[placement]")
{
  auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  std::vector<DirectInstance> instances;
  for (int i = 0; i < 20; ++i) {
    DirectInstance instance;
    instance.name = InstanceName(fmt::format("e{}", i));
    instance.service = ServiceName("model");
    instance.address = { "127.0.0.1", 80 };
    instance.slots = 40;
    instances.push_back(instance);
  }
  pool.SetInstances(instances);
  pool.SetGateways(4, 4, 1, 0);
  BackendWork work;
  work.requests = 20;
  work.interactive = 20;
  const TimePoint now = At(seconds(1));
  pool.Work().AddOwn(InstanceName("e0"), work);
  const std::vector<WorkLine> others{ { InstanceName("e1"), work } };
  pool.Work().SetPeer(InstanceName("g2"), others, now);
  pool.Tend(now);
  CHECK(pool.ReservedCount() == 4);
}

// Notes get nothing for two seconds while scans of over twice their size begin:
// reserved servers are full of notes, and one with free turns looks worse for
// the scans that wait there, which a note passes.
TEST_CASE("an urgent request passes later ones that wait at a full server",
          "[placement]")
{
  const auto full = [](const std::string& aName, std::uint32_t aUrgent) {
    DirectCandidate server;
    server.name = InstanceName(aName);
    server.slots = 32;
    server.work.requests = 50;
    server.work.RequestsAt(0) = aUrgent;
    server.work.RequestsAt(1) = 50 - aUrgent;
    return server;
  };
  DirectDemand note;
  note.promptTokens = 800;
  note.rank = 0;
  note.turnRank = 0;
  const std::vector<DirectCandidate> servers{ full("notes", 40),
                                              full("scans", 10) };
  CHECK(Chosen(servers, note) == "scans");
  // A scan waits behind all of them, wherever it goes.
  DirectDemand scan = note;
  scan.rank = scan.turnRank = 1;
  CHECK(DirectCost(servers[0], scan, 0) == DirectCost(servers[1], scan, 0));
  // What an older gateway tells without ranks may be ahead of anything.
  DirectCandidate untold = servers[1];
  untold.work.requestsByRank = {};
  CHECK(DirectCost(untold, note, 0) > DirectCost(servers[0], note, 0));
}
