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

/// What the gateway of this name knows, of a fleet that has settled.
ServerRates
Settled(const InstanceName& aSelf, std::span<const InstanceName> aFleet)
{
  ServerRates rates(aSelf, kSettle);
  rates.Holders().SetGateways(aFleet, kStart - 2 * kSettle);
  return rates;
}

/// Requests that may be sent in so long, tried each 10 ms.
std::size_t
SentIn(ServerRates& aRates, TimePoint aFrom, Duration aTime)
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

TEST_CASE("a server without a bound gets whatever comes", "[rates]")
{
  ServerRates rates(InstanceName("g1"), kSettle);
  CHECK_FALSE(rates.OnAnswer(kServer, std::nullopt, kStart));
  CHECK(SentIn(rates, kStart, seconds(1)) == 100);
  CHECK(rates.Tell(kStart).empty());
}

TEST_CASE("one gateway alone sends a limited server nearly its rate", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = Settled(fleet[0], fleet);
  CHECK(rates.OnAnswer(kServer, 10.0, kStart));
  CHECK_FALSE(rates.OnAnswer(kServer, 10.0, kStart));
  const std::size_t sent = SentIn(rates, kStart, seconds(10));
  CHECK(sent >= 90);
  CHECK(sent <= 100);
}

TEST_CASE("the newest answer holds, whoever got it", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = Settled(fleet[0], fleet);
  rates.OnAnswer(kServer, 2.0, kStart);
  const TimePoint later = kStart + seconds(2);
  // Older than what is known.
  CHECK_FALSE(rates.Hear({ kServer, std::nullopt, seconds(5) }, later));
  CHECK(rates.IsLimited(kServer));
  // Newer.
  CHECK(rates.Hear({ kServer, std::nullopt, seconds(1) }, later));
  CHECK_FALSE(rates.IsLimited(kServer));
  // Told once more, late.
  CHECK_FALSE(rates.Hear({ kServer, 2.0, seconds(2) }, later));
  CHECK_FALSE(rates.IsLimited(kServer));
  // An answer that names it again.
  CHECK(rates.OnAnswer(kServer, 3.0, later));
  CHECK(rates.IsLimited(kServer));
}

TEST_CASE("the end of a bound is told until nobody tells of the bound",
          "[rates]")
{
  ServerRates rates(InstanceName("g1"), kSettle);
  rates.OnAnswer(kServer, 2.0, kStart);
  CHECK(rates.Tell(kStart).size() == 1);
  rates.OnAnswer(kServer, std::nullopt, kStart + seconds(1));
  CHECK(rates.Tell(kStart + seconds(2)).size() == 1);
  const TimePoint late = kStart + seconds(1) + 2 * ServerRates::kTellEnded;
  CHECK(rates.Tell(late).empty());
  rates.Hear({ kServer, 2.0, seconds(60) }, late);
  REQUIRE(rates.Tell(late).size() == 1);
  CHECK_FALSE(rates.Tell(late)[0].perSecond.has_value());
}

TEST_CASE("a server that takes nothing is asked now and then", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = Settled(fleet[0], fleet);
  rates.OnAnswer(kServer, 0.0, kStart);
  const std::size_t sent = SentIn(rates, kStart, seconds(120));
  CHECK(sent >= 2);
  CHECK(sent <= 8);
}

TEST_CASE("a rate that is no number comes to the least", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = Settled(fleet[0], fleet);
  rates.Hear({ kServer, std::nan(""), milliseconds(0) }, kStart);
  const std::size_t sent = SentIn(rates, kStart, seconds(120));
  CHECK(sent >= 2);
  CHECK(sent <= 10);
}

TEST_CASE("a server that names a huge rate is not bounded by it", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates = Settled(fleet[0], fleet);
  rates.OnAnswer(kServer, 1e300, kStart);
  CHECK_FALSE(rates.MaySend(kServer, 1, kStart));
  CHECK(SentIn(rates, kStart + seconds(1), seconds(1)) == 100);
}

TEST_CASE("a gateway that has just started or slept holds no part", "[rates]")
{
  const auto fleet = Gateways(1);
  ServerRates rates(fleet[0], kSettle);
  rates.OnAnswer(kServer, 100.0, kStart);
  CHECK(SentIn(rates, kStart, seconds(1)) == 0);
  rates.Holders().SetGateways(fleet, kStart);
  CHECK(SentIn(rates, kStart, kSettle) == 0);
  CHECK(SentIn(rates, kStart + kSettle, seconds(1)) > 0);
  const TimePoint woken = kStart + seconds(10);
  rates.Holders().Distrust(woken);
  CHECK(SentIn(rates, woken, kSettle) == 0);
  CHECK(SentIn(rates, woken + kSettle, seconds(1)) > 0);
}

// Guards against two gateways sending on one part while they differ on who is
// there.
TEST_CASE("a part that changes hands is given up at once and taken late",
          "[rates]")
{
  rc::prop("no more than the whole rate is held", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    const double rate = 0.1 * *rc::gen::inRange(1, 200);
    auto fleet = Gateways(size);
    std::vector<RateHolders> gateways;
    for (const InstanceName& name : fleet) {
      gateways.emplace_back(name, kSettle);
      gateways.back().SetGateways(fleet, kStart);
    }
    TimePoint now = kStart + kSettle;
    for (int change = 0; change < 4; ++change) {
      // One leaves or one more comes; all read so within two seconds.
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
        RC_ASSERT(burst <= (rate + RateHolders::kSavedBeside) * 1.0001);
      }
    }
  });
}

TEST_CASE("a fleet of any size holds a rate whole", "[rates]")
{
  rc::prop("the sum of all parts is nearly the rate", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 60);
    const double rate = 0.1 * *rc::gen::inRange(1, 1000);
    const auto fleet = Gateways(size);
    double held = 0;
    double burst = 0;
    for (const InstanceName& name : fleet) {
      RateHolders one(name, kSettle);
      one.SetGateways(fleet, kStart);
      one.Version(kStart + kSettle);
      const RateShare share = one.ShareOf(kServer, rate, 1);
      held += share.perSecond;
      burst += share.burst;
    }
    RC_ASSERT(held > 0.9 * rate);
    RC_ASSERT(held <= rate);
    RC_ASSERT(burst <= (rate + RateHolders::kSavedBeside) * 1.0001);
  });
}

TEST_CASE("of a cell's server only that cell's gateways hold parts", "[rates]")
{
  constexpr std::size_t kCells = 4;
  const auto fleet = Gateways(100);
  double held = 0;
  for (const InstanceName& name : fleet) {
    RateHolders one(name, kSettle);
    one.SetGateways(fleet, kStart);
    one.Version(kStart + kSettle);
    const RateShare share = one.ShareOf(kServer, 5, kCells);
    held += share.perSecond;
    const bool isInCell = CellOf(name, kCells) == CellOf(kServer, kCells);
    CHECK((isInCell || share.perSecond == 0));
  }
  CHECK(held > 4.5);
}

namespace {

/// Requests of an early and a late rank, so many a second.
struct RankedPlay
{
  double early = 0;
  double late = 0;
  std::size_t earlySent = 0;
  std::size_t lateSent = 0;

  /// Plays them on servers that take so many a second together.
  void Play(double aPerSecond, Duration aTime)
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

TEST_CASE("early ranks take what bounded servers have, late ones the rest",
          "[rates]")
{
  RankedPlay play{ .early = 10, .late = 30 };
  play.Play(20, seconds(20));
  CHECK(play.earlySent >= 190);
  CHECK(play.lateSent >= 180);
  CHECK(play.earlySent + play.lateSent >= 380);
}

TEST_CASE("no rank starves where earlier ones want all", "[rates]")
{
  RankedPlay play{ .early = 60, .late = 60 };
  play.Play(20, seconds(20));
  CHECK(play.lateSent >= 30);
  CHECK(play.lateSent <= 60);
  CHECK(play.earlySent >= 330);
}

TEST_CASE("a rank alone may take all that is free", "[rates]")
{
  RankedPlay play{ .early = 0, .late = 60 };
  play.Play(20, seconds(10));
  CHECK(play.lateSent >= 190);
}

// Guards against late requests that come all the time taking each request that
// becomes free, so that early ones find none when they come.
TEST_CASE("early requests that come together find what was saved for them",
          "[rates]")
{
  constexpr double kPerSecond = 20;
  constexpr std::size_t kTogether = 8;
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
    for (std::size_t i = 0; tick % 100 == 99 && i < kTogether; ++i) {
      earlySent += trySend(0, now);
    }
  }
  // The first seconds save up.
  CHECK(earlySent >= 18 * kTogether);
  CHECK(lateSent >= 180);
}
