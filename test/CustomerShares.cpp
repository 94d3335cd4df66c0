#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <set>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::RawSocket;

namespace {

const ServiceName kService("model");
constexpr TimePoint kStart{ seconds(1000) };

CustomerName
Named(const std::string& aName)
{
  return CustomerName(aName);
}

ShareUpdate
Update(std::vector<CustomerUse> aBusiest,
       double aOtherUse = 0,
       std::uint32_t aOtherCustomers = 0)
{
  return { kService, std::move(aBusiest), aOtherUse, aOtherCustomers };
}

bool
IsOver(CustomerShares& aShares,
       const std::string& aName,
       TimePoint aNow = kStart)
{
  return aShares.StandingOf(Named(aName), aNow).isOver;
}

/// A number of gateways that exchange reports, some of which are lost.
class Site
{
public:
  explicit Site(std::size_t aGateways)
    : shares(aGateways)
  {
    for (CustomerShares& one : this->shares) {
      one.SetGateways(aGateways);
    }
  }

  CustomerShares& At(std::size_t aGateway) { return this->shares[aGateway]; }

  /// \param aIsLost whether the report from one to another gateway is lost.
  template<class IsLost>
  void Exchange(TimePoint aNow, IsLost aIsLost)
  {
    for (std::size_t from = 0; from < this->shares.size(); ++from) {
      const auto update = this->shares[from].TakeUpdate(kService, aNow);
      for (std::size_t to = 0; update && to < this->shares.size(); ++to) {
        const InstanceName name("g" + std::to_string(from));
        if (to != from && aIsLost(from, to)) {
          this->missed.push_back({ name, to, *update });
        } else if (to != from) {
          this->shares[to].OnPeerUpdate(name, *update, aNow);
        }
      }
    }
  }
  void Exchange(TimePoint aNow)
  {
    this->Exchange(aNow, [](std::size_t, std::size_t) { return false; });
  }

  /// Delivers the reports that were taken for lost.
  void DeliverLate(TimePoint aNow)
  {
    for (const Missed& one : this->missed) {
      this->shares[one.to].OnPeerUpdate(one.from, one.update, aNow);
    }
    this->missed.clear();
  }

private:
  struct Missed
  {
    InstanceName from;
    std::size_t to = 0;
    ShareUpdate update;
  };

  std::vector<CustomerShares> shares;
  std::vector<Missed> missed;
};

} // namespace

TEST_CASE("the max-min level gives what small customers leave to the others")
{
  // 10 and 20 fit; 70 is left for two.
  REQUIRE(MaxMinLevel({ { 10 }, { 20 }, { 50 }, { 60 } }, 100) == Approx(35));
  REQUIRE(MaxMinLevel({ { 90 }, { 90 } }, 100) == Approx(50));
  // All fit.
  REQUIRE(std::isinf(MaxMinLevel({ { 10 }, { 20 } }, 100)));
  REQUIRE(std::isinf(MaxMinLevel({}, 100)));
  REQUIRE(MaxMinLevel({ { 5 } }, 0) == Approx(0));
  // Ten customers of 1 count like ten entries.
  REQUIRE(MaxMinLevel({ { 1, 1, 10 }, { 90 } }, 50) == Approx(40));
}

TEST_CASE("weights scale the max-min shares")
{
  // The first has weight 3: shares of 75 and 25.
  REQUIRE(MaxMinLevel({ { 200, 3 }, { 200, 1 } }, 100) == Approx(25));
  // It uses only 30 of its share, so the other gets 70.
  REQUIRE(MaxMinLevel({ { 30, 3 }, { 200, 1 } }, 100) == Approx(70));
}

TEST_CASE("the max-min level divides exactly the capacity")
{
  REQUIRE(rc::check("sum of the shares", [] {
    const auto raw = *rc::gen::nonEmpty<std::vector<std::pair<int, int>>>();
    std::vector<WeightedUse> uses;
    double total = 0;
    for (const auto& [use, weight] : raw) {
      uses.push_back(
        { double(std::abs(use % 1000)), double(1 + std::abs(weight % 9)) });
      total += uses.back().use;
    }
    const double capacity = total * double(*rc::gen::inRange(0, 120)) / 100;
    const double level = MaxMinLevel(uses, capacity);
    double sum = 0;
    for (const WeightedUse& one : uses) {
      sum += std::min(one.use, one.weight * level);
    }
    RC_ASSERT(std::abs(sum - std::min(total, capacity)) <= 1e-6 * (total + 1));
  }));
}

TEST_CASE("the customer with the largest use is over its share")
{
  CustomerShares shares;
  shares.OnUse(Named("hot"), 900, kStart);
  shares.OnUse(Named("small"), 50, kStart);
  shares.OnUse(Named("other"), 50, kStart);
  // 0.9 of 1,000 less 100.
  const ShareStanding hot = shares.StandingOf(Named("hot"), kStart);
  REQUIRE(hot.isOver);
  REQUIRE(hot.use == Approx(900));
  REQUIRE(hot.fairUse == Approx(800));
  // Decays from 900 to 800 with a time constant of 2 s.
  REQUIRE(WholeMillis(hot.drain) == 235);
  REQUIRE_FALSE(IsOver(shares, "small"));
  REQUIRE_FALSE(IsOver(shares, "other"));
  REQUIRE_FALSE(IsOver(shares, "unknown"));
  REQUIRE(shares.StandingOf(Named("small"), kStart).drain == Duration::zero());
}

TEST_CASE("a customer with a larger weight may use more")
{
  CustomerShares shares;
  shares.SetWeights({ { Named("large"), 4.0 } });
  shares.OnUse(Named("large"), 600, kStart);
  shares.OnUse(Named("equal"), 400, kStart);
  // 720 and 180 by weight; "large" uses only 600, so 300 are left for "equal".
  REQUIRE_FALSE(IsOver(shares, "large"));
  REQUIRE(IsOver(shares, "equal"));
  REQUIRE(shares.StandingOf(Named("equal"), kStart).fairUse == Approx(300));
}

TEST_CASE("a customer alone at a service is never over its share")
{
  CustomerShares shares;
  shares.SetGateways(3);
  shares.OnUse(Named("alone"), 1e6, kStart);
  REQUIRE_FALSE(IsOver(shares, "alone"));
  shares.OnPeerUpdate(
    InstanceName("g1"), Update({ { Named("alone"), 5e6 } }), kStart);
  REQUIRE_FALSE(IsOver(shares, "alone", kStart + seconds(1)));
}

TEST_CASE("uses are summed over gateways")
{
  // Here "spread" has the smaller use, over all gateways the larger one.
  CustomerShares shares;
  shares.SetGateways(3);
  shares.OnUse(Named("spread"), 300, kStart);
  shares.OnUse(Named("local"), 400, kStart);
  for (const char* gateway : { "g1", "g2" }) {
    shares.OnPeerUpdate(
      InstanceName(gateway), Update({ { Named("spread"), 300 } }), kStart);
  }
  REQUIRE(IsOver(shares, "spread"));
  REQUIRE_FALSE(IsOver(shares, "local"));
  REQUIRE(shares.StandingOf(Named("spread"), kStart).use == Approx(900));
}

TEST_CASE("a gateway's newest report replaces its older one")
{
  CustomerShares shares;
  shares.SetGateways(2);
  shares.OnUse(Named("a"), 100, kStart);
  const InstanceName peer("g1");
  shares.OnPeerUpdate(peer, Update({ { Named("b"), 900 } }), kStart);
  REQUIRE(IsOver(shares, "b"));
  // Restarted: its callers' use begins anew.
  const TimePoint later = kStart + milliseconds(300);
  shares.OnPeerUpdate(peer, Update({ { Named("b"), 1 } }), later);
  REQUIRE(shares.PeerCount(later) == 1);
  REQUIRE(shares.StandingOf(Named("b"), later).use == Approx(1));
  REQUIRE(IsOver(shares, "a", later));
}

TEST_CASE("reports expire after a second")
{
  CustomerShares shares;
  shares.SetGateways(2);
  shares.OnPeerUpdate(
    InstanceName("g1"), Update({ { Named("b"), 900 } }), kStart);
  shares.OnUse(Named("a"), 100, kStart);
  REQUIRE(shares.PeerCount(kStart + seconds(1)) == 1);
  REQUIRE(shares.StandingOf(Named("b"), kStart + seconds(1)).use ==
          Approx(900));
  const TimePoint after = kStart + milliseconds(1060);
  REQUIRE(shares.PeerCount(after) == 0);
  REQUIRE(shares.StandingOf(Named("b"), after).use == Approx(0));
}

TEST_CASE("a gateway cut off takes its own callers for those of all gateways")
{
  CustomerShares shares;
  shares.SetGateways(30);
  shares.OnUse(Named("hot"), 90, kStart);
  shares.OnUse(Named("small"), 10, kStart);
  const ShareStanding hot = shares.StandingOf(Named("hot"), kStart);
  REQUIRE(hot.isOver);
  REQUIRE(hot.use == Approx(30 * 90));
  REQUIRE_FALSE(IsOver(shares, "small"));
  // The only gateway of its site decides alike by its own figures.
  CustomerShares only;
  only.SetGateways(1);
  only.OnUse(Named("hot"), 90, kStart);
  only.OnUse(Named("small"), 10, kStart);
  REQUIRE(only.StandingOf(Named("hot"), kStart).use == Approx(90));
  REQUIRE(IsOver(only, "hot"));
}

TEST_CASE("use decays with a time constant of 2 s")
{
  CustomerShares shares;
  shares.OnUse(Named("a"), 1000, kStart);
  REQUIRE(shares.StandingOf(Named("a"), kStart + seconds(2)).use ==
          Approx(1000 / std::exp(1.0)));
  // A past time, as of an event that was handled late, changes nothing.
  shares.OnUse(Named("a"), 0, kStart);
  REQUIRE(shares.StandingOf(Named("a"), kStart).use ==
          Approx(1000 / std::exp(1.0)));
}

TEST_CASE("reports are sent at most every 300 ms and not without use")
{
  CustomerShares shares;
  REQUIRE_FALSE(shares.TakeUpdate(kService, kStart));
  shares.OnUse(Named("a"), 10, kStart);
  REQUIRE(shares.TakeUpdate(kService, kStart) ==
          Update({ { Named("a"), 10 } }));
  REQUIRE_FALSE(shares.TakeUpdate(kService, kStart + milliseconds(299)));
  REQUIRE(shares.TakeUpdate(kService, kStart + milliseconds(300)));
  REQUIRE_FALSE(shares.TakeUpdate(kService, kStart + seconds(60)));
}

TEST_CASE(
  "one late or lost report never gives a customer twice its share for long")
{
  // Four gateways, each with an equal part of every customer. "hot" adds use
  // whenever the gateway takes it to be within its share; one of the reports is
  // lost or comes 200 ms late, from one gateway to all or to one.
  const bool isLate = GENERATE(true, false);
  const std::size_t lostFrom = GENERATE(0, 1, 3);
  const bool isLostToAll = GENERATE(true, false);
  const int lostAt = GENERATE(20, 21, 22, 23);
  constexpr std::size_t kGateways = 4;
  Site site(kGateways);
  Duration doubled{ 0 };
  constexpr Duration kTick = milliseconds(100);
  for (int tick = 0; tick < 120; ++tick) {
    const TimePoint now = kStart + tick * kTick;
    for (std::size_t i = 0; i < kGateways; ++i) {
      CustomerShares& one = site.At(i);
      one.OnUse(Named("b"), 10, now);
      one.OnUse(Named("c"), 10, now);
      if (!IsOver(one, "hot", now)) {
        one.OnUse(Named("hot"), 30, now);
      }
    }
    // Reports are sent at every third tick.
    const bool isLossTime = tick == 3 * lostAt;
    site.Exchange(now, [&](std::size_t aFrom, std::size_t aTo) {
      return isLossTime && aFrom == lostFrom && (isLostToAll || aTo == 2);
    });
    if (isLate && tick == 3 * lostAt + 2) {
      site.DeliverLate(now);
    }
    // Over all gateways, as if each knew everything.
    CustomerShares exact;
    for (std::size_t i = 0; i < kGateways; ++i) {
      for (const char* name : { "hot", "b", "c" }) {
        CustomerShares copy = site.At(i);
        copy.SetGateways(1);
        const auto own = copy.TakeUpdate(kService, now + seconds(1));
        for (const CustomerUse& use :
             own ? own->busiest : std::vector<CustomerUse>()) {
          if (use.customer == Named(name)) {
            exact.OnUse(use.customer, use.use, now);
          }
        }
      }
    }
    const ShareStanding standing = exact.StandingOf(Named("hot"), now);
    doubled =
      standing.use > 2 * standing.fairUse ? doubled + kTick : Duration(0);
    REQUIRE(doubled <= seconds(1));
  }
}

TEST_CASE("a customer with two names counts once when the versions agree")
{
  // Two gateways have different versions of the configuration, which name one
  // customer differently.
  Site site(2);
  site.At(0).OnUse(Named("old-name"), 500, kStart);
  site.At(1).OnUse(Named("new-name"), 500, kStart);
  site.At(0).OnUse(Named("b"), 400, kStart);
  site.Exchange(kStart);
  // Until then it has two shares, no more.
  REQUIRE(site.At(0).StandingOf(Named("old-name"), kStart).use == Approx(500));
  const ShareStanding under = site.At(0).StandingOf(Named("new-name"), kStart);
  REQUIRE(under.use == Approx(500));
  REQUIRE(under.fairUse == Approx((0.9 * 1400 - 400) / 2));
  const TimePoint later = kStart + seconds(4);
  site.At(0).OnUse(Named("new-name"), 500, later);
  site.At(1).OnUse(Named("new-name"), 500, later);
  site.At(0).OnUse(Named("b"), 400, later);
  site.Exchange(later);
  REQUIRE(IsOver(site.At(0), "new-name", later));
  REQUIRE_FALSE(IsOver(site.At(0), "b", later));
  REQUIRE_FALSE(IsOver(site.At(0), "old-name", later));
  REQUIRE(site.At(1).StandingOf(Named("new-name"), later).use ==
          Approx(1000 + 500 / std::exp(2.0)));
}

TEST_CASE("a customer listed twice in a report is summed")
{
  CustomerShares shares;
  shares.OnPeerUpdate(InstanceName("g1"),
                      Update({ { Named("a"), 10 }, { Named("a"), 20 } }),
                      kStart);
  REQUIRE(shares.StandingOf(Named("a"), kStart).use == Approx(30));
}

TEST_CASE("figures of a report that are no use are ignored")
{
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  CustomerShares shares;
  shares.OnUse(Named("a"), 10, kStart);
  shares.OnUse(Named("b"), 90, kStart);
  shares.OnUse(Named("a"), kNan, kStart);
  shares.OnUse(Named("a"), -5, kStart);
  shares.OnPeerUpdate(
    InstanceName("g1"),
    Update(
      { { Named("a"), kNan }, { Named("a"), kInfinite }, { Named("b"), -50 } },
      kNan,
      3),
    kStart);
  REQUIRE(shares.StandingOf(Named("a"), kStart).use == Approx(10));
  REQUIRE(shares.StandingOf(Named("b"), kStart).use == Approx(90));
  REQUIRE(IsOver(shares, "b"));
  REQUIRE_FALSE(IsOver(shares, "a"));
}

TEST_CASE("memory and reports are bounded with 16,000 customers")
{
  CustomerShares shares;
  constexpr int kCustomers = 16'000;
  TimePoint now = kStart;
  for (int i = 0; i < kCustomers; ++i) {
    now += Duration(100);
    shares.OnUse(Named("c" + std::to_string(i)), 10, now);
    shares.OnUse(Named("hot"), 2, now);
  }
  const auto update = shares.TakeUpdate(kService, now);
  REQUIRE(update);
  REQUIRE(update->busiest.size() == CustomerShares::kReported);
  REQUIRE(update->busiest.front().customer == Named("hot"));
  REQUIRE(update->otherCustomers ==
          CustomerShares::kTracked - CustomerShares::kReported);
  // All use is in the report: 120,000 a second, decayed over 1.6 s.
  double sum = update->otherUse;
  for (const CustomerUse& one : update->busiest) {
    sum += one.use;
  }
  REQUIRE(sum == Approx(120'000 * 2 * (1 - std::exp(-0.8))).epsilon(0.001));
  // A sixth of the use is that of one customer.
  REQUIRE(IsOver(shares, "hot", now));
  // One of the 16,000 that took a slot does not pay for those before it.
  REQUIRE(shares.StandingOf(Named("c15999"), now).use == Approx(10));
  PeerDigest digest;
  digest.shares = { 4, *update };
  REQUIRE(WriteDigest(digest, "secret").size() < 8'000);
}

TEST_CASE("reports of more customers than agreed are cut")
{
  std::vector<CustomerUse> many;
  many.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    many.push_back({ Named("c" + std::to_string(i)), 5 });
  }
  CustomerShares shares;
  shares.OnPeerUpdate(InstanceName("g1"), Update(many), kStart);
  REQUIRE(shares.StandingOf(Named("c0"), kStart).use == Approx(5));
  REQUIRE(shares.StandingOf(Named("c999"), kStart).use == Approx(0));
}

TEST_CASE("a shortage begins above a tenth of late placements")
{
  CapacityShortage shortage;
  for (int i = 0; i < 100; ++i) {
    shortage.OnPlacement(i % 10 == 9, kStart);
  }
  REQUIRE_FALSE(shortage.IsShort(kStart));
  shortage.OnPlacement(true, kStart);
  shortage.OnPlacement(true, kStart);
  REQUIRE(shortage.IsShort(kStart));
}

TEST_CASE("one late placement at a quiet gateway is no shortage")
{
  CapacityShortage shortage;
  shortage.OnPlacement(true, kStart);
  REQUIRE_FALSE(shortage.IsShort(kStart));
  shortage.OnPlacement(true, kStart + milliseconds(500));
  REQUIRE(shortage.IsShort(kStart + milliseconds(500)));
}

TEST_CASE("a shortage ends after a second below half of its threshold")
{
  CapacityShortage shortage;
  // Per 100 ms one of ten is late, then one of 16, then none. The share in
  // between is above half of the threshold, so the shortage lasts.
  TimePoint now = kStart;
  const auto place = [&](int aCount, int aLate) {
    for (int i = 0; i < aCount; ++i) {
      shortage.OnPlacement(i < aLate, now);
    }
    now += milliseconds(100);
  };
  for (int i = 0; i < 10; ++i) {
    place(10, 3);
  }
  REQUIRE(shortage.IsShort(now));
  for (int i = 0; i < 50; ++i) {
    place(16, 1);
    REQUIRE(shortage.IsShort(now));
  }
  // Below half after some 200 ms; a second later it ends.
  int ticks = 0;
  for (; ticks < 40 && shortage.IsShort(now); ++ticks) {
    place(16, 0);
  }
  REQUIRE(ticks >= 10);
  REQUIRE(ticks <= 20);
}

TEST_CASE("a shortage ends without placements")
{
  CapacityShortage shortage;
  for (int i = 0; i < 10; ++i) {
    shortage.OnPlacement(true, kStart);
  }
  REQUIRE(shortage.IsShort(kStart + milliseconds(900)));
  REQUIRE(shortage.IsShort(kStart + milliseconds(1900)));
  REQUIRE_FALSE(shortage.IsShort(kStart + milliseconds(2100)));
  REQUIRE_FALSE(shortage.IsShort(kStart + seconds(3600)));
}

TEST_CASE("a placement shows whether the service lacks capacity")
{
  DirectDemand demand;
  PlacementRequest request{ demand, {} };
  request.target = milliseconds(400);
  std::vector<DirectCandidate> candidates(2);
  candidates[0].slots = 2;
  candidates[1].slots = 2;
  candidates[1].isReserved = true;
  Placement placed;
  const auto found = [&] { return FindCapacity(candidates, request, &placed); };
  REQUIRE_FALSE(found().IsWithoutCapacity());
  REQUIRE_FALSE(found().IsRefusedWhenOver());
  // A reserved server is no room for other requests.
  candidates[0].work.requests = 2;
  REQUIRE(found().IsWithoutCapacity());
  REQUIRE(found().IsRefusedWhenOver());
  demand.isInteractive = true;
  REQUIRE_FALSE(found().IsWithoutCapacity());
  // Interactive requests are always placed in time; beyond the target shows a
  // shortage, beyond twice the target is refused.
  placed.wait = milliseconds(101);
  placed.firstToken = milliseconds(401);
  REQUIRE(found().IsWithoutCapacity());
  REQUIRE_FALSE(found().IsRefusedWhenOver());
  placed.wait = milliseconds(501);
  placed.firstToken = milliseconds(801);
  REQUIRE(found().IsRefusedWhenOver());
  placed.firstToken = milliseconds(0);
  placed.timeliness = Timeliness::Late;
  REQUIRE(found().IsWithoutCapacity());
  REQUIRE(found().IsRefusedWhenOver());
  // Late only because it was held back before.
  placed.wait = milliseconds(0);
  REQUIRE_FALSE(found().IsWithoutCapacity());
  // Its own prefill takes longer than the target: at a server without a queue
  // it lacks no capacity, behind a wait of more than the target it does.
  placed.firstToken = milliseconds(900);
  REQUIRE_FALSE(found().IsWithoutCapacity());
  REQUIRE_FALSE(found().IsRefusedWhenOver());
  placed.firstToken = milliseconds(1301);
  placed.wait = milliseconds(401);
  REQUIRE(found().IsRefusedWhenOver());
  REQUIRE(FindCapacity({}, request, nullptr).IsRefusedWhenOver());
  // Unknown slots are never full.
  placed = Placement();
  candidates[1].slots = 0;
  candidates[1].work.requests = 100;
  REQUIRE_FALSE(found().IsWithoutCapacity());
}

namespace {

DirectInstance
Server(const std::string& aName, const std::string& aService)
{
  DirectInstance instance;
  instance.name = InstanceName(aName);
  instance.server = instance.name;
  instance.service = ServiceName(aService);
  instance.address = { "127.0.0.1", 9 };
  return instance;
}

BackendPool::Options
WithShares()
{
  BackendPool::Options options;
  options.decisions.customerShares = true;
  return options;
}

} // namespace

TEST_CASE("a digest carries the use of four services at a time")
{
  const auto loop = *EventLoop::Create();
  BackendPool pool(*loop, WithShares());
  for (int i = 0; i < 10; ++i) {
    pool.SharingOf(ServiceName("s" + std::to_string(i)))
      ->shares.OnUse(Named("a"), 10, kStart);
  }
  // All ten have their turn in three digests, none twice.
  std::set<ServiceName> seen;
  for (const std::size_t expected : { 4, 4, 2 }) {
    PeerDigest digest;
    pool.AddSharesToDigest(digest, kStart + milliseconds(10));
    REQUIRE(digest.shares.size() == expected);
    for (const ShareUpdate& update : digest.shares) {
      REQUIRE(seen.insert(update.service).second);
    }
  }
  REQUIRE(seen.size() == 10);
}

TEST_CASE("reports of unknown services and other cells are not taken")
{
  const auto loop = *EventLoop::Create();
  BackendPool pool(*loop, WithShares());
  const std::vector<DirectInstance> servers{ Server("e1", "model") };
  pool.SetInstances(servers);
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.shares = { Update({ { Named("a"), 10 } }) };
  digest.shares.push_back(digest.shares.front());
  digest.shares.back().service = ServiceName("unknown");
  const std::size_t cell = CellOf(digest.gateway, 3);
  pool.SetGateways(96, 32, 3, (cell + 1) % 3);
  pool.ApplyDigest(digest, kStart);
  REQUIRE(pool.SharingOf(kService)->shares.PeerCount(kStart) == 0);
  pool.SetGateways(96, 32, 3, cell);
  pool.ApplyDigest(digest, kStart);
  REQUIRE(pool.SharingOf(kService)->shares.PeerCount(kStart) == 1);
  REQUIRE(pool.SharingOf(ServiceName("unknown"))->shares.PeerCount(kStart) ==
          0);
  // A digest without use, as between two reports, removes nothing.
  digest.shares.clear();
  pool.ApplyDigest(digest, kStart + milliseconds(150));
  REQUIRE(pool.SharingOf(kService)->shares.PeerCount(kStart) == 1);
}

TEST_CASE("without the switch there are no shares")
{
  const auto loop = *EventLoop::Create();
  const BackendPool::Options options;
  BackendPool pool(*loop, options);
  const std::vector<DirectInstance> servers{ Server("e1", "model") };
  pool.SetInstances(servers);
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.shares = { Update({ { Named("a"), 10 } }) };
  pool.ApplyDigest(digest, kStart);
  REQUIRE(pool.SharingOf(kService) == nullptr);
  REQUIRE(pool.ShortCount(kStart) == 0);
  PeerDigest made;
  pool.AddSharesToDigest(made, kStart);
  REQUIRE(made.shares.empty());
}

// Guards against a hot customer that fills the queues of a service until the
// requests of all others are refused.
TEST_CASE("a gateway refuses the customer over its share, not the others")
{
  PlatformSite site(0);
  const bool hasShares = GENERATE(true, false);
  site.decisions.customerShares = hasShares;
  standins::SealedEngineSettings settings;
  settings.work = milliseconds(20);
  site.AddEngine("e1", settings);
  site.PutConfiguration(2, 2000, 0, PlatformSite::SecondCustomer());
  Gateway& gateway = site.ReadyGateway();
  const auto text = [](const char* aKey, const std::string& aId, int aTokens) {
    std::string request = PlatformSite::RequestText(
      "/read/stream/x",
      aId,
      PlatformSite::TokenHeader(aTokens) + "Connection: close\r\n");
    request.replace(request.find("key1"), 4, aKey);
    return request;
  };
  const auto ask = [&](const char* aKey, const std::string& aId, int aTokens) {
    RawSocket caller = RawSocket::Connect(gateway.CallerAddress());
    caller.Send(text(aKey, aId, aTokens));
    site.Until([&] {
      caller.Read();
      return caller.closed;
    });
    return caller.received;
  };
  for (int i = 0; i < 25; ++i) {
    ask("key2", fmt::format("s-{}", i), 100);
  }
  for (int i = 0; i < 8; ++i) {
    ask("key1", fmt::format("l-{}", i), 4000);
  }
  Json::Value fault(Json::objectValue);
  fault["hang"] = true;
  site.engines[0]->SetFault(fault);
  std::vector<RawSocket> waiting;
  for (int i = 0; i < 12; ++i) {
    waiting.push_back(RawSocket::Connect(gateway.CallerAddress()));
    waiting.back().Send(text("key1", fmt::format("w-{}", i), 1500));
    site.Until([] { return false; }, milliseconds(5));
  }
  site.Until([] { return false; }, milliseconds(20));
  const auto countRefused = [&](std::string_view aReason) {
    return std::ranges::count_if(waiting, [&](RawSocket& aCaller) {
      aCaller.Read();
      return aCaller.received.find("503") != std::string::npos &&
             aCaller.received.find(aReason) != std::string::npos &&
             aCaller.received.find("not_run") != std::string::npos;
    });
  };
  // Its long prompts are as many as before until the service is short.
  REQUIRE((countRefused("over its share") > 0) == hasShares);
  const std::size_t runs = site.engines[0]->Runs().size();
  RawSocket other = RawSocket::Connect(gateway.CallerAddress());
  other.Send(text("key2", "other", 1500));
  site.Until(
    [&] {
      other.Read();
      return other.closed || site.engines[0]->Runs().size() > runs;
    },
    milliseconds(300));
  const bool isSent = site.engines[0]->Runs().size() > runs;
  REQUIRE(isSent == hasShares);
}
