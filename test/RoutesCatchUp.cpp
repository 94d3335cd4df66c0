#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

const SocketAddress kFirst{ "10.0.0.1", 7000 };
const SocketAddress kSecond{ "10.0.0.2", 7000 };

TimePoint
At(int aMillis)
{
  return TimePoint(seconds(100)) + milliseconds(aMillis);
}

/// At version 5, with an established watch.
struct Setup
{
  Setup() { this->catchUp.OnInForce(5); }

  std::mt19937_64 random{ 7 };
  RoutesCatchUp catchUp;
};

} // namespace

TEST_CASE("an established watch is given time before a gateway is asked",
          "[catchup]")
{
  Setup setup;
  setup.catchUp.OnPeerVersion(kFirst, 6, At(0));
  CHECK_FALSE(setup.catchUp.Next(At(299), setup.random));
  CHECK(setup.catchUp.Next(At(300), setup.random) == kFirst);
  setup.catchUp.OnInForce(6);
  CHECK_FALSE(setup.catchUp.Next(At(400), setup.random));
  CHECK(setup.catchUp.BehindFor(At(400)) == Duration::zero());
}

TEST_CASE("another gateway is asked at once if the watch is lost", "[catchup]")
{
  Setup setup;
  setup.catchUp.SetWatching(false);
  setup.catchUp.OnPeerVersion(kFirst, 6, At(0));
  CHECK(setup.catchUp.Next(At(0), setup.random) == kFirst);
}

// Concurrent requests would send the same document over a narrow link several
// times.
TEST_CASE("at most one request is in flight", "[catchup]")
{
  Setup setup;
  setup.catchUp.SetWatching(false);
  setup.catchUp.OnPeerVersion(kFirst, 6, At(0));
  setup.catchUp.OnPeerVersion(kSecond, 6, At(0));
  const auto from = setup.catchUp.Next(At(0), setup.random);
  REQUIRE(from);
  setup.catchUp.OnAsked();
  CHECK_FALSE(setup.catchUp.Next(At(10), setup.random));
  setup.catchUp.OnAnswer(*from, false, At(20));
  const auto other = setup.catchUp.Next(At(20), setup.random);
  REQUIRE(other);
  CHECK(*other != *from);
}

TEST_CASE("a version reported by a gateway that went silent expires",
          "[catchup]")
{
  Setup setup;
  setup.catchUp.OnPeerVersion(kFirst, 9, At(0));
  CHECK(setup.catchUp.IsBehind(At(100)));
  CHECK_FALSE(setup.catchUp.IsBehind(At(3001)));
  CHECK(setup.catchUp.Newest(At(3001)) == 5);
  setup.catchUp.OnPeerVersion(kSecond, 6, At(9000));
  CHECK(setup.catchUp.BehindFor(At(9100)) == milliseconds(100));
}

// A gateway that applies each of many changes in time would seem to be behind
// since the first of them.
TEST_CASE("each version has its own time to come into force", "[catchup]")
{
  Setup setup;
  setup.catchUp.OnPeerVersion(kFirst, 6, At(0));
  setup.catchUp.OnPeerVersion(kFirst, 7, At(400));
  CHECK(setup.catchUp.BehindFor(At(500)) == milliseconds(500));
  setup.catchUp.OnInForce(6);
  CHECK(setup.catchUp.BehindFor(At(500)) == milliseconds(100));
  setup.catchUp.OnPeerVersion(kSecond, 9, At(700));
  CHECK(setup.catchUp.BehindFor(At(800)) == milliseconds(400));
  setup.catchUp.OnInForce(7);
  CHECK(setup.catchUp.BehindFor(At(800)) == milliseconds(100));
  setup.catchUp.OnInForce(9);
  CHECK(setup.catchUp.BehindFor(At(800)) == Duration::zero());
}

// Without the spread, the first gateway with a new version would send it to all
// others.
TEST_CASE("requests are spread over the gateways with the newest version",
          "[catchup]")
{
  constexpr int kGateways = 20;
  constexpr int kAskers = 400;
  std::map<SocketAddress, int> asked;
  std::mt19937_64 random(3);
  for (int i = 0; i < kAskers; ++i) {
    Setup setup;
    setup.catchUp.SetWatching(false);
    for (int g = 0; g < kGateways; ++g) {
      setup.catchUp.OnPeerVersion(
        { "10.0.0.9", static_cast<std::uint16_t>(7000 + g) }, 6, At(0));
    }
    ++asked[*setup.catchUp.Next(At(0), random)];
  }
  CHECK(asked.size() == kGateways);
  for (const auto& [address, count] : asked) {
    CHECK(count <= 3 * kAskers / kGateways);
  }
}

namespace {

/// Simulates gateways that report versions in digests, which may be lost, late
/// or reordered, and fetch routes by RoutesCatchUp. A fetch takes 50 to 900 ms,
/// may fail, and returns the version that its sender has at the end.
class Fleet
{
public:
  static constexpr int kGateways = 8;
  static constexpr int kStep = 50;

  struct Gateway
  {
    RoutesCatchUp catchUp;
    Epoch version = 1;
    std::optional<int> asks;
    int asksUntil = 0;
    /// How often each version was fetched.
    std::map<Epoch, int> fetched;
  };

  explicit Fleet(std::uint64_t aSeed)
    : random(aSeed)
    , gateways(kGateways)
  {
    for (Gateway& gateway : this->gateways) {
      gateway.catchUp.OnInForce(1);
    }
  }

  void Take(int aGateway, Epoch aVersion)
  {
    Gateway& gateway = this->gateways[aGateway];
    if (aVersion > gateway.version) {
      gateway.version = aVersion;
      gateway.catchUp.OnInForce(aVersion);
    }
  }

  /// Advances the time by kStep milliseconds.
  /// \param aLoss share of digests and fetches that are lost.
  void Step(double aLoss)
  {
    this->now += kStep;
    for (int from = 0; from < kGateways; ++from) {
      for (int to = 0; to < kGateways; ++to) {
        if (from != to && !this->Chance(aLoss)) {
          // A tenth of the digests carry the version of the step before, as if
          // reordered.
          const Epoch reported = this->Chance(0.1) && this->before[from] > 0
                                   ? this->before[from]
                                   : this->gateways[from].version;
          this->gateways[to].catchUp.OnPeerVersion(
            AddressOf(from), reported, At(this->now));
        }
      }
      this->before[from] = this->gateways[from].version;
    }
    for (int i = 0; i < kGateways; ++i) {
      this->UpdateFetch(i, aLoss);
    }
  }

  Epoch Lowest() const
  {
    return std::ranges::min_element(this->gateways, {}, &Gateway::version)
      ->version;
  }

  std::mt19937_64 random;
  std::vector<Gateway> gateways;

private:
  static SocketAddress AddressOf(int aGateway)
  {
    return { "10.0.0.9", static_cast<std::uint16_t>(7000 + aGateway) };
  }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aShare;
  }

  void UpdateFetch(int aGateway, double aLoss)
  {
    Gateway& gateway = this->gateways[aGateway];
    if (gateway.asks && this->now >= gateway.asksUntil) {
      const int from = *std::exchange(gateway.asks, std::nullopt);
      const bool comes = !this->Chance(aLoss);
      gateway.catchUp.OnAnswer(AddressOf(from), comes, At(this->now));
      if (comes) {
        const Epoch reported = this->gateways[from].version;
        ++gateway.fetched[reported];
        this->Take(aGateway, reported);
      }
    }
    const auto from = gateway.catchUp.Next(At(this->now), this->random);
    if (from) {
      RC_ASSERT(!gateway.asks);
      gateway.catchUp.OnAsked();
      gateway.asks = from->port - 7000;
      gateway.asksUntil =
        this->now + std::uniform_int_distribution<int>(50, 900)(this->random);
    }
  }

  int now = 0;
  std::array<Epoch, kGateways> before{};
};

} // namespace

TEST_CASE("gateways converge to the newest version, each fetched at most once",
          "[catchup][property]")
{
  REQUIRE(rc::check([] {
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    const double loss = *rc::gen::inRange(0, 50) / 100.0;
    const int changes = *rc::gen::inRange(1, 6);
    Epoch newest = 1;
    for (int i = 0; i < changes; ++i) {
      newest += *rc::gen::inRange(1, 4);
      // The store reaches one gateway only; the others learn of it by digests.
      fleet.Take(*rc::gen::inRange(0, Fleet::kGateways), newest);
      const int steps = *rc::gen::inRange(0, 20);
      for (int step = 0; step < steps; ++step) {
        fleet.Step(loss);
      }
    }
    constexpr int kStepsToSettle = 240;
    for (int step = 0; step < kStepsToSettle; ++step) {
      const Epoch before = fleet.Lowest();
      fleet.Step(loss);
      RC_ASSERT(fleet.Lowest() >= before);
    }
    RC_ASSERT(fleet.Lowest() == newest);
    for (const Fleet::Gateway& gateway : fleet.gateways) {
      const auto found = gateway.fetched.find(newest);
      RC_ASSERT(found == gateway.fetched.end() || found->second == 1);
      RC_ASSERT(!gateway.catchUp.IsBehind(At(1'000'000)));
    }
  }));
}
