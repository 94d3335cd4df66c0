#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr std::uint32_t kPlaces = BackendWork::kRanks;
constexpr Duration kTarget = milliseconds(600);

DirectCandidate
Server(const std::string& aName, std::uint32_t aCached)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.dataCentre = DataCentreName("a");
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

/// Reads 20 tokens in a millisecond at every server.
PrefillFlow
MeasuredFlow()
{
  PrefillFlow flow;
  for (int i = 0; i < 20; ++i) {
    flow.OnRequest(9000);
    flow.OnFirstToken(InstanceName("any"), 9000, milliseconds(450));
  }
  return flow;
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
  return placer.Place(aCandidates, aRequest, MeasuredFlow(), random);
}

PlacementRequest
Request(const DirectDemand& aDemand)
{
  PlacementRequest request{ aDemand, { 4, 5 } };
  request.target = kTarget;
  return request;
}

} // namespace

TEST_CASE("what a server lacks is copied from one that holds most of it",
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
  // One that is taken out may not answer.
  servers[2].standing = Standing::Ejected;
  CHECK(SourceOf(servers) == "some");
  // A transfer takes longer than reading so little.
  servers[1].cachedTokens = 600;
  CHECK(SourceOf(servers).empty());
}

// All copies of a part that becomes popular come from one server: they queue on
// its link, and each prompt waits for those before it.
TEST_CASE("copies come from near, and not all from one holder", "[fetch]")
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

TEST_CASE("what is copied counts as read for those behind it", "[fetch]")
{
  const DirectDemand demand = LongDemand();
  // The holder is far behind.
  std::vector<DirectCandidate> servers{ Server("empty", 0),
                                        Server("holds", 6000) };
  servers[1].work.PrefillAt(0) = 500'000;
  const auto placed = Placed(servers, Request(demand));
  REQUIRE(placed.has_value());
  CHECK(placed->server == 0);
  REQUIRE(placed->fetch.has_value());
  CHECK(placed->work.Prefill() == 3000);
  PlacementRequest again = Request(demand);
  again.wasRead = true;
  const auto alone = Placed(servers, again);
  CHECK_FALSE(alone->fetch.has_value());
  CHECK(alone->work.Prefill() == 9000);
}

// In a burst a queue forms in the first second. Served in order, each prompt is
// late by the same wait, though there is time to read half of them in time.
TEST_CASE("a prompt that will be late lets the others pass", "[late]")
{
  const DirectDemand demand = LongDemand();
  std::vector<DirectCandidate> servers{ Server("e", 0) };
  const auto inTime = Placed(servers, Request(demand));
  CHECK(inTime->timeliness == Timeliness::InTime);
  CHECK(inTime->place == 4);
  CHECK(inTime->work.prefillTokens[4] == 9000);
  servers[0].work.PrefillAt(4) = 6000;
  const auto late = Placed(servers, Request(demand));
  CHECK(late->timeliness == Timeliness::Late);
  CHECK(late->place == 5);
  CHECK(late->work.prefillTokens[5] == 9000);
  // What is late itself is not ahead of those that can be in time.
  servers[0].work = {};
  servers[0].work.PrefillAt(5) = 30'000;
  CHECK(Placed(servers, Request(demand))->timeliness == Timeliness::InTime);
  servers[0].work.PrefillAt(4) = 9000;
  const auto hopeless = Placed(servers, Request(demand));
  CHECK(hopeless->timeliness == Timeliness::Hopeless);
  CHECK(hopeless->wait > 3 * kTarget);
  // What was sent before is not refused any more.
  PlacementRequest again = Request(demand);
  again.isFirst = false;
  CHECK(Placed(servers, again)->timeliness == Timeliness::Late);
  // An answer that has begun would pause for as long as it lets others pass.
  again.hasBegun = true;
  CHECK(Placed(servers, again)->place == 4);
}

TEST_CASE("with no order by lateness a prompt is refused sooner", "[late]")
{
  const DirectDemand demand = LongDemand();
  std::vector<DirectCandidate> servers{ Server("e", 0) };
  servers[0].work.PrefillAt(4) = 16'000;
  const auto placed = Placed(servers, Request(demand), { .lateLast = false });
  CHECK(placed->timeliness == Timeliness::InTime);
  CHECK(placed->place == 4);
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

// A late prompt of an urgent rank would be put behind what is less urgent, and
// stopped for it where memory runs out.
TEST_CASE("who lets others pass stays ahead of every later rank", "[late]")
{
  CHECK(rc::check([] {
    const auto ranks = *rc::gen::inRange<std::uint32_t>(1, 2 * kPlaces);
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const OrderPlaces places = PlacesOf(rank, ranks);
      RC_ASSERT(places.inTime <= places.late);
      RC_ASSERT(places.late < kPlaces);
      if (rank + 1 < ranks && ranks <= kPlaces) {
        RC_ASSERT(places.late < PlacesOf(rank + 1, ranks).inTime);
      }
    }
    // The last ranks have two places as far as there are places.
    const OrderPlaces last = PlacesOf(ranks - 1, ranks);
    RC_ASSERT((ranks < kPlaces) == (last.inTime < last.late));
  }));
}
