#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr std::uint32_t kPriorities = BackendWork::kRanks;
constexpr Duration kTarget = milliseconds(600);

DirectCandidate
Server(const std::string& aName, std::uint32_t aCached)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.dataCentre = DataCentreName("a");
  candidate.softwareVersion = "v1";
  candidate.slots = 10;
  candidate.cachedTokens = aCached;
  return candidate;
}

DirectDemand
LongDemand()
{
  DirectDemand demand;
  demand.promptTokens = 9000;
  demand.sharedTokens = 6000;
  demand.isLong = true;
  return demand;
}

/// A measured speed of 20 tokens per millisecond at every server.
PrefillStatistics
MeasuredStatistics()
{
  PrefillStatistics statistics;
  for (int i = 0; i < 20; ++i) {
    statistics.OnRequest(9000);
    statistics.OnFirstToken(InstanceName("any"), 9000, milliseconds(450));
  }
  return statistics;
}

std::string
SourceOf(std::vector<DirectCandidate> aCandidates, std::uint64_t aSeed = 1)
{
  std::mt19937_64 random(aSeed);
  const auto source =
    CacheFetchPolicy::Create(true)->SourceFor(aCandidates, 0, random);
  return source ? source->instance.Value() : "";
}

std::optional<Placement>
Placed(std::span<const DirectCandidate> aCandidates,
       const PlacementRequest& aRequest,
       Placer::Options aOptions = {})
{
  std::mt19937_64 random(1);
  Placer placer(DirectChooser::Create("expected_delay"), aOptions);
  return placer.Place(aCandidates, aRequest, MeasuredStatistics(), random);
}

PlacementRequest
Request(const DirectDemand& aDemand)
{
  PlacementRequest request{ aDemand, { 4, 5 } };
  request.target = kTarget;
  return request;
}

} // namespace

TEST_CASE("missing parts are copied from the server that holds most of them",
          "[fetch]")
{
  std::vector<DirectCandidate> servers{ Server("chosen", 500),
                                        Server("some", 2500),
                                        Server("most", 6300) };
  std::mt19937_64 random(1);
  const auto source =
    CacheFetchPolicy::Create(true)->SourceFor(servers, 0, random);
  REQUIRE(source.has_value());
  CHECK(source->instance == InstanceName("most"));
  CHECK(source->tokens == 5800);
  CHECK_FALSE(
    CacheFetchPolicy::Create(false)->SourceFor(servers, 0, random).has_value());
  // An ejected server may not answer.
  servers[2].healthState = HealthState::Ejected;
  CHECK(SourceOf(servers) == "some");
  // A transfer takes longer than the prefill of so few tokens.
  servers[1].cachedTokens = 600;
  CHECK(SourceOf(servers).empty());
}

// Guards against parts that another software version has written.
TEST_CASE("parts are not copied between software versions", "[fetch]")
{
  std::vector<DirectCandidate> servers{ Server("chosen", 500),
                                        Server("some", 2500),
                                        Server("most", 6300) };
  servers[2].softwareVersion = "v2";
  CHECK(SourceOf(servers) == "some");
  servers[0].softwareVersion.clear();
  servers[1].softwareVersion.clear();
  CHECK(SourceOf(servers).empty());
}

// If all copies of a popular part came from one server, they would queue on its
// link, and each prompt would wait for the copies before it.
TEST_CASE("copies come from several holders in the same data centre", "[fetch]")
{
  std::vector<DirectCandidate> servers{ Server("chosen", 0),
                                        Server("near-1", 6000),
                                        Server("near-2", 6000),
                                        Server("far", 6000) };
  servers[3].dataCentre = DataCentreName("b");
  std::map<std::string, int> sources;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    ++sources[SourceOf(servers, seed)];
  }
  CHECK(sources["near-1"] > 50);
  CHECK(sources["near-2"] > 50);
  CHECK(sources.size() == 2);
}

TEST_CASE("copied tokens do not count as prefill for the requests behind",
          "[fetch]")
{
  const DirectDemand demand = LongDemand();
  // The server that holds the part has a long queue.
  std::vector<DirectCandidate> servers{ Server("empty", 0),
                                        Server("holds", 6000) };
  servers[1].work.PrefillAt(0) = 500'000;
  const auto placed = Placed(servers, Request(demand));
  REQUIRE(placed.has_value());
  CHECK(placed->server == 0);
  REQUIRE(placed->fetch.has_value());
  CHECK(placed->work.Prefill() == 3000);
  PlacementRequest again = Request(demand);
  again.mayHaveBeenPrefilled = true;
  const auto alone = Placed(servers, again);
  CHECK_FALSE(alone->fetch.has_value());
  CHECK(alone->work.Prefill() == 9000);
}

// In a burst a queue forms in the first second. Served in order of arrival,
// each prompt is late by the same wait, though half of them could be in time.
TEST_CASE("a prompt that will be late is overtaken by the others", "[late]")
{
  const DirectDemand demand = LongDemand();
  std::vector<DirectCandidate> servers{ Server("e", 0) };
  const auto inTime = Placed(servers, Request(demand));
  CHECK(inTime->timeliness == Timeliness::InTime);
  CHECK(inTime->priority == 4);
  CHECK(inTime->work.prefillTokens[4] == 9000);
  servers[0].work.PrefillAt(4) = 6000;
  const auto late = Placed(servers, Request(demand));
  CHECK(late->timeliness == Timeliness::Late);
  CHECK(late->priority == 5);
  CHECK(late->work.prefillTokens[5] == 9000);
  // Late prompts are not ahead of those that can be in time.
  servers[0].work = {};
  servers[0].work.PrefillAt(5) = 30'000;
  CHECK(Placed(servers, Request(demand))->timeliness == Timeliness::InTime);
  servers[0].work.PrefillAt(4) = 9000;
  const auto hopeless = Placed(servers, Request(demand));
  CHECK(hopeless->timeliness == Timeliness::Hopeless);
  CHECK(hopeless->wait > 3 * kTarget);
  // A retry is not refused.
  PlacementRequest again = Request(demand);
  again.isFirst = false;
  CHECK(Placed(servers, again)->timeliness == Timeliness::Late);
  // An answer that has begun would pause while others overtake it.
  again.hasBegun = true;
  CHECK(Placed(servers, again)->priority == 4);
}

TEST_CASE("a prompt is refused sooner if late ones are not overtaken", "[late]")
{
  const DirectDemand demand = LongDemand();
  std::vector<DirectCandidate> servers{ Server("e", 0) };
  servers[0].work.PrefillAt(4) = 16'000;
  const auto placed = Placed(servers, Request(demand), { .lateLast = false });
  CHECK(placed->timeliness == Timeliness::InTime);
  CHECK(placed->priority == 4);
  servers[0].work.PrefillAt(4) = 20'000;
  CHECK(Placed(servers, Request(demand), { .lateLast = false })->timeliness ==
        Timeliness::Hopeless);
}

TEST_CASE("short prompts are neither late nor refused", "[late]")
{
  DirectDemand demand = LongDemand();
  demand.isLong = false;
  std::vector<DirectCandidate> servers{ Server("e", 0) };
  servers[0].work.PrefillAt(0) = 900'000;
  CHECK(Placed(servers, Request(demand))->timeliness == Timeliness::InTime);
  CHECK_FALSE(Placed({}, Request(demand)).has_value());
}

// Otherwise a late prompt of an urgent rank would wait behind less urgent ones
// and be preempted for them when memory runs out.
TEST_CASE("a late prompt stays ahead of every later rank", "[late]")
{
  CHECK(rc::check([] {
    const auto ranks = *rc::gen::inRange<std::uint32_t>(1, 2 * kPriorities);
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const PriorityLevels levels = PriorityLevelsOf(rank, ranks);
      RC_ASSERT(levels.inTime <= levels.late);
      RC_ASSERT(levels.late < kPriorities);
      if (rank + 1 < ranks && ranks <= kPriorities) {
        RC_ASSERT(levels.late < PriorityLevelsOf(rank + 1, ranks).inTime);
      }
    }
    // The last ranks have two priorities as far as there are enough.
    const PriorityLevels last = PriorityLevelsOf(ranks - 1, ranks);
    RC_ASSERT((ranks < kPriorities) == (last.inTime < last.late));
  }));
}
