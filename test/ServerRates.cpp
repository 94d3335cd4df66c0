#include <cmath>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Backpressure"

using namespace dogwoodvale;

namespace {

constexpr Duration kSettle = seconds(3);
const InstanceName kServer("e1");
const TimePoint kStart = TimePoint{} + seconds(100);

std::vector<InstanceName>
Gateways(std::size_t aCount)
{
  std::vector<InstanceName> names;
  for (std::size_t i = 1; i <= aCount; ++i) {
    names.emplace_back(fmt::format("g{}", i));
  }
  return names;
}

/// The state of gateway \p aSelf after the settle time of \p aFleet.
ServerRates
MakeSettledRates(const InstanceName& aSelf,
                 std::span<const InstanceName> aFleet)
{
  ServerRates rates(aSelf, kSettle);
  rates.Allocator().SetGateways(aFleet, kStart - 2 * kSettle);
  return rates;
}

/// Requests that may be sent within \p aTime, with an attempt every 10 ms.
std::size_t
CountSent(ServerRates& aRates, TimePoint aFrom, Duration aTime)
{
  std::size_t sent = 0;
  for (TimePoint now = aFrom; now < aFrom + aTime; now += milliseconds(10)) {
    if (aRates.MaySend(kServer, 1, now)) {
      aRates.OnSent(kServer, 1, now);
      ++sent;
    }
  }
  return sent;
}

} // namespace

TEST_CASE("a server without a rate limit gets every request", "[rates]")
{
  ServerRates rates(InstanceName("g1"), kSettle);
  CHECK_FALSE(rates.OnAnswer(kServer, std::nullopt, kStart));
  CHECK(CountSent(rates, kStart, seconds(1)) == 100);
  CHECK(rates.OutgoingUpdates(kStart).empty());
}

TEST_CASE("a single gateway sends a limited server nearly its rate", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = MakeSettledRates(fleet[0], fleet);
  CHECK(rates.OnAnswer(kServer, 10.0, kStart));
  CHECK_FALSE(rates.OnAnswer(kServer, 10.0, kStart));
  const std::size_t sent = CountSent(rates, kStart, seconds(10));
  CHECK(sent >= 90);
  CHECK(sent <= 100);
}

TEST_CASE("the newest response applies, whichever gateway got it", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = MakeSettledRates(fleet[0], fleet);
  rates.OnAnswer(kServer, 2.0, kStart);
  const TimePoint later = kStart + seconds(2);
  // Older than the known response.
  CHECK_FALSE(rates.OnUpdate({ kServer, std::nullopt, seconds(5) }, later));
  CHECK(rates.IsLimited(kServer));
  // Newer.
  CHECK(rates.OnUpdate({ kServer, std::nullopt, seconds(1) }, later));
  CHECK_FALSE(rates.IsLimited(kServer));
  // The first response once more, delayed.
  CHECK_FALSE(rates.OnUpdate({ kServer, 2.0, seconds(2) }, later));
  CHECK_FALSE(rates.IsLimited(kServer));
  // A newer response with a limit.
  CHECK(rates.OnAnswer(kServer, 3.0, later));
  CHECK(rates.IsLimited(kServer));
}

TEST_CASE(
  "the end of a limit is sent until no gateway sends the limit any more",
  "[rates]")
{
  ServerRates rates(InstanceName("g1"), kSettle);
  rates.OnAnswer(kServer, 2.0, kStart);
  CHECK(rates.OutgoingUpdates(kStart).size() == 1);
  rates.OnAnswer(kServer, std::nullopt, kStart + seconds(1));
  CHECK(rates.OutgoingUpdates(kStart + seconds(2)).size() == 1);
  const TimePoint late =
    kStart + seconds(1) + 2 * ServerRates::kAnnounceEndedFor;
  CHECK(rates.OutgoingUpdates(late).empty());
  rates.OnUpdate({ kServer, 2.0, seconds(60) }, late);
  REQUIRE(rates.OutgoingUpdates(late).size() == 1);
  CHECK_FALSE(rates.OutgoingUpdates(late)[0].perSecond.has_value());
}

TEST_CASE("a server with rate 0 still gets a request now and then", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = MakeSettledRates(fleet[0], fleet);
  rates.OnAnswer(kServer, 0.0, kStart);
  const std::size_t sent = CountSent(rates, kStart, seconds(120));
  CHECK(sent >= 2);
  CHECK(sent <= 8);
}

TEST_CASE("a rate of NaN counts as the minimum rate", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = MakeSettledRates(fleet[0], fleet);
  rates.OnUpdate({ kServer, std::nan(""), milliseconds(0) }, kStart);
  const std::size_t sent = CountSent(rates, kStart, seconds(120));
  CHECK(sent >= 2);
  CHECK(sent <= 10);
}

TEST_CASE("a huge rate does not limit a server", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = MakeSettledRates(fleet[0], fleet);
  rates.OnAnswer(kServer, 1e300, kStart);
  CHECK_FALSE(rates.MaySend(kServer, 1, kStart));
  CHECK(CountSent(rates, kStart + seconds(1), seconds(1)) == 100);
}

TEST_CASE("a gateway that started or was suspended holds no share at first",
          "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates(fleet[0], kSettle);
  rates.OnAnswer(kServer, 100.0, kStart);
  CHECK(CountSent(rates, kStart, seconds(1)) == 0);
  rates.Allocator().SetGateways(fleet, kStart);
  CHECK(CountSent(rates, kStart, kSettle) == 0);
  CHECK(CountSent(rates, kStart + kSettle, seconds(1)) > 0);
  const TimePoint resumed = kStart + seconds(10);
  rates.Allocator().SuspendShares(resumed);
  CHECK(CountSent(rates, resumed, kSettle) == 0);
  CHECK(CountSent(rates, resumed + kSettle, seconds(1)) > 0);
}

// Guards against two gateways using the same share while they know different
// memberships.
TEST_CASE("a share is given up at once and taken after the settle time",
          "[rates]")
{
  rc::prop("the shares never add up to more than the rate", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    const double rate = 0.1 * *rc::gen::inRange(1, 200);
    auto fleet = Gateways(size);
    std::vector<RateAllocator> gateways;
    for (const InstanceName& name : fleet) {
      gateways.emplace_back(name, kSettle);
      gateways.back().SetGateways(fleet, kStart);
    }
    TimePoint now = kStart + kSettle;
    for (int change = 0; change < 4; ++change) {
      // A gateway leaves or joins; all learn of it within two seconds.
      if (fleet.size() > 1 && *rc::gen::arbitrary<bool>()) {
        fleet.erase(fleet.begin() + *rc::gen::inRange<long>(
                                      0, static_cast<long>(fleet.size())));
      } else {
        fleet.emplace_back(fmt::format("n{}", change));
        gateways.emplace_back(fleet.back(), kSettle);
      }
      std::vector<int> readAt;
      for (std::size_t i = 0; i < gateways.size(); ++i) {
        readAt.push_back(*rc::gen::inRange(0, 20));
      }
      for (int tenth = 0; tenth < 60; ++tenth, now += milliseconds(100)) {
        double held = 0;
        double burst = 0;
        for (std::size_t i = 0; i < gateways.size(); ++i) {
          if (readAt[i] == tenth) {
            gateways[i].SetGateways(fleet, now);
          }
          gateways[i].Version(now);
          const RateShare share = gateways[i].ShareOf(kServer, rate, 1);
          held += share.perSecond;
          burst += share.burst;
        }
        RC_ASSERT(held <= rate * 1.0001);
        RC_ASSERT(burst <= (rate + RateAllocator::kExtraBurst) * 1.0001);
      }
    }
  });
}

TEST_CASE("the shares of a fleet of any size add up to nearly the rate",
          "[rates]")
{
  rc::prop("the sum of all shares is nearly the rate", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 60);
    const double rate = 0.1 * *rc::gen::inRange(1, 1000);
    const auto fleet = Gateways(size);
    double held = 0;
    double burst = 0;
    for (const InstanceName& name : fleet) {
      RateAllocator allocator(name, kSettle);
      allocator.SetGateways(fleet, kStart);
      allocator.Version(kStart + kSettle);
      const RateShare share = allocator.ShareOf(kServer, rate, 1);
      held += share.perSecond;
      burst += share.burst;
    }
    RC_ASSERT(held > 0.9 * rate);
    RC_ASSERT(held <= rate);
    RC_ASSERT(burst <= (rate + RateAllocator::kExtraBurst) * 1.0001);
  });
}

TEST_CASE("only gateways of a server's cell hold shares of its rate", "[rates]")
{
  constexpr std::size_t kCells = 4;
  const auto fleet = Gateways(100);
  double held = 0;
  for (const InstanceName& name : fleet) {
    RateAllocator allocator(name, kSettle);
    allocator.SetGateways(fleet, kStart);
    allocator.Version(kStart + kSettle);
    const RateShare share = allocator.ShareOf(kServer, 5, kCells);
    held += share.perSecond;
    const bool isInCell = CellOf(name, kCells) == CellOf(kServer, kCells);
    CHECK((isInCell || share.perSecond == 0));
  }
  CHECK(held > 4.5);
}

namespace {

/// Two ranks of requests, 0 (early) and 3 (late), in competition for limited
/// servers.
struct RankedLoad
{
  /// Requests per second.
  double early = 0;
  double late = 0;
  std::size_t earlySent = 0;
  std::size_t lateSent = 0;

  /// Runs the load on servers that together accept \p aPerSecond.
  void Run(double aPerSecond, Duration aTime)
  {
    RankReserve reserve;
    TokenBucket bucket(aPerSecond, aPerSecond, 0);
    double earlyDue = 0;
    double lateDue = 0;
    const TimePoint end = kStart + aTime;
    for (TimePoint now = kStart; now < end; now += milliseconds(10)) {
      earlyDue += this->early / 100;
      lateDue += this->late / 100;
      const auto trySend = [&](std::uint32_t aRank) -> std::size_t {
        const double free = bucket.Available(now);
        if (!reserve.Admits(aRank, free, aPerSecond, now)) {
          return 0;
        }
        bucket.TryTake(1, now);
        reserve.OnSent(aRank);
        return 1;
      };
      for (; earlyDue >= 1; earlyDue -= 1) {
        this->earlySent += trySend(0);
      }
      for (; lateDue >= 1; lateDue -= 1) {
        this->lateSent += trySend(3);
      }
    }
  }
};

} // namespace

TEST_CASE(
  "early ranks get the capacity of limited servers first, late ones the rest",
  "[rates]")
{
  RankedLoad load{ .early = 10, .late = 30 };
  load.Run(20, seconds(20));
  CHECK(load.earlySent >= 190);
  CHECK(load.lateSent >= 180);
  CHECK(load.earlySent + load.lateSent >= 380);
}

TEST_CASE("no rank starves when earlier ones use the whole capacity", "[rates]")
{
  RankedLoad load{ .early = 60, .late = 60 };
  load.Run(20, seconds(20));
  CHECK(load.lateSent >= 30);
  CHECK(load.lateSent <= 60);
  CHECK(load.earlySent >= 330);
}

TEST_CASE("a single rank may use the whole capacity", "[rates]")
{
  RankedLoad load{ .early = 0, .late = 60 };
  load.Run(20, seconds(10));
  CHECK(load.lateSent >= 190);
}

// Guards against a steady stream of late-rank requests using all capacity as it
// becomes free, so that a burst of early-rank requests finds none.
TEST_CASE("a burst of early-rank requests finds the capacity reserved for it",
          "[rates]")
{
  constexpr double kPerSecond = 20;
  constexpr std::size_t kBurst = 8;
  RankReserve reserve;
  TokenBucket bucket(kPerSecond, kPerSecond, 0);
  std::size_t earlySent = 0;
  std::size_t lateSent = 0;
  const auto trySend = [&](std::uint32_t aRank, TimePoint aNow) -> std::size_t {
    if (!reserve.Admits(aRank, bucket.Available(aNow), kPerSecond, aNow)) {
      return 0;
    }
    bucket.TryTake(1, aNow);
    reserve.OnSent(aRank);
    return 1;
  };
  for (int tick = 0; tick < 2000; ++tick) {
    const TimePoint now = kStart + tick * milliseconds(10);
    lateSent += trySend(3, now);
    for (std::size_t i = 0; tick % 100 == 99 && i < kBurst; ++i) {
      earlySent += trySend(0, now);
    }
  }
  // Capacity is being saved up in the first seconds.
  CHECK(earlySent >= 18 * kBurst);
  CHECK(lateSent >= 180);
}
