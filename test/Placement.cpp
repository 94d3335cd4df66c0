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

/// Records requests of both bounds, and streams with the loose bound that have
/// this longest pause.
void
RecordLoose(PauseProfile& aProfile, Duration aLongest)
{
  for (int i = 0; i < 500; ++i) {
    aProfile.OnRequest(i % 3 == 0 ? kTight : kLoose);
    aProfile.OnStream(kLoose, aLongest);
  }
}

} // namespace

TEST_CASE("streams with the tightest bound are interactive if others pause",
          "[placement]")
{
  PauseProfile profile;
  RecordLoose(profile, milliseconds(180));
  CHECK(profile.IsInteractive(kTight));
  CHECK_FALSE(profile.IsInteractive(kLoose));
  // There is no reason to separate them if no stream has long pauses.
  RecordLoose(profile, milliseconds(40));
  CHECK_FALSE(profile.IsInteractive(kTight));
  CHECK_FALSE(profile.HasInteractive());
}

TEST_CASE("a service with a single bound has no interactive requests",
          "[placement]")
{
  PauseProfile profile;
  for (int i = 0; i < 300; ++i) {
    profile.OnRequest(kTight);
    profile.OnStream(kTight, milliseconds(500));
  }
  CHECK_FALSE(profile.IsInteractive(kTight));
}

// A route with a bound of 10 ms is added for one caller. If all other bounds
// counted as loose from then on, streams separated until then would be late.
TEST_CASE("a bound that few requests have is not the tightest", "[placement]")
{
  PauseProfile profile;
  RecordLoose(profile, milliseconds(180));
  profile.OnRequest(milliseconds(10));
  CHECK(profile.IsInteractive(kTight));
}

TEST_CASE("the number of reserved servers follows the interactive requests",
          "[placement]")
{
  ReservedServers servers;
  servers.Update(0, 96, 52, At(seconds(0)));
  CHECK(servers.Count() == 0);
  servers.Update(200, 96, 52, At(seconds(1)));
  CHECK(servers.Count() == 5);
  // It rises at once with a burst and falls slowly in a lull.
  servers.Update(400, 96, 52, At(seconds(2)));
  CHECK(servers.Count() == 9);
  servers.Update(100, 96, 52, At(milliseconds(2200)));
  CHECK(servers.Count() == 8);
  servers.Update(100, 96, 52, At(seconds(30)));
  CHECK(servers.Count() == 3);
}

TEST_CASE("at most a quarter of the servers are reserved", "[placement]")
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

TEST_CASE("long prompts and interactive requests use separate servers",
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
  // Interactive requests beyond the capacity of the reserved servers use the
  // others.
  servers[0].work.requests = 10;
  servers[1].work.PrefillAt(0) = 0;
  CHECK(Chosen(servers, interactive) == "reads");
  // All servers for long prompts are ejected.
  servers[1].healthState = HealthState::Ejected;
  CHECK(Chosen(servers, longDemand) == "kept");
  // If only reserved servers are left, a long prompt uses them.
  servers.pop_back();
  CHECK(Chosen(servers, longDemand) == "kept");
}

// Long prompts of the last rank fill the queues; a prompt of an earlier rank is
// prefilled before them. If they counted as ahead of it, it would be refused or
// sent to a server without its shared part.
TEST_CASE("prefill of a later rank is not ahead of a request", "[placement]")
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

// Ten gateways get requests with the same new part before a digest arrives. If
// each chose a server that looks idle, the part would be prefilled ten times.
TEST_CASE("gateways without reports of each other prefill a new part once",
          "[placement]")
{
  const std::vector<PromptPart> parts{ { 77, 6000 }, { 1, 500 } };
  std::set<std::string> chosenServers;
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
    chosenServers.insert(candidates[*chosen].name.Value());
  }
  CHECK(chosenServers.size() == 1);
}

// One gateway of four receives digests of only one other. If it counted only
// the requests of these two it would reserve half as many servers as the others
// do and send long prompts to servers that they reserve.
TEST_CASE("a gateway that hears from few others reserves as many servers",
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
  pool.RunMaintenance(now);
  CHECK(pool.ReservedCount() == 4);
}

// Guards against starvation of urgent short requests (notes), of which none
// begins for two seconds while scans, of over twice their size and a later
// rank, do: the reserved servers are full of notes, and a server that serves
// few notes looks worse because of the scans that wait there, although a note
// overtakes them.
TEST_CASE("an urgent request overtakes later ones that wait at a full server",
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
  note.queueRank = 0;
  const std::vector<DirectCandidate> servers{ full("notes", 40),
                                              full("scans", 10) };
  CHECK(Chosen(servers, note) == "scans");
  // A scan waits behind all of them at either server.
  DirectDemand scan = note;
  scan.rank = scan.queueRank = 1;
  CHECK(DirectCost(servers[0], scan, 0) == DirectCost(servers[1], scan, 0));
  // Requests that an older gateway reports without ranks count as ahead.
  DirectCandidate unranked = servers[1];
  unranked.work.requestsByRank = {};
  CHECK(DirectCost(unranked, note, 0) > DirectCost(servers[0], note, 0));
}
