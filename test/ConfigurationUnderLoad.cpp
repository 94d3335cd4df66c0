#include <catch2/catch.hpp>

#include "support/BusyGateways.h"

using namespace dogwoodvale;
using test::CostlyProtocol;
using test::NarrowLink;
using test::PlatformSite;
using test::SteadyCallers;

namespace {

constexpr int kManyRoutes = 1400;
/// With ten callers a gateway, each turn of the loop takes 0.2 s and more.
constexpr Duration kRequestCost = milliseconds(20);
constexpr int kCallers = 10;
/// The shortest time in which the users' platform wants a change in force.
constexpr Duration kInForceWithin = seconds(2);

struct BusySite : PlatformSite
{
  BusySite()
  {
    this->wrapCallers = [](std::unique_ptr<CallerProtocol> aReal) {
      return std::make_unique<CostlyProtocol>(std::move(aReal), kRequestCost);
    };
  }

  bool Has(Gateway& aGateway, int aVersion) const
  {
    return aGateway.Statusz().find(fmt::format("\"routes_version\" : {},",
                                               aVersion)) != std::string::npos;
  }
};

} // namespace

// A document that comes in pieces, one for each turn of the loop, takes as long
// as the requests make those turns.
TEST_CASE("a busy gateway applies a large configuration in time", "[busy]")
{
  BusySite site;
  Gateway& gateway = site.ReadyGateway();
  const SteadyCallers callers(site, kCallers);
  REQUIRE(site.Until([&] { return callers.Answered() > kCallers; }));
  site.PutConfiguration(2, 2000, kManyRoutes);
  CHECK(site.Until([&] { return site.Has(gateway, 2); }, kInForceWithin));
  const int before = callers.Answered();
  CHECK(site.Until([&] { return callers.Answered() > before + kCallers; }));
}

// The same between two busy gateways, one of which the store does not reach.
TEST_CASE("a busy gateway gets another busy gateway's copy in time", "[busy]")
{
  BusySite site;
  NarrowLink link(*site.loop, site.store->Address(), 10'000'000);
  Gateway& first = site.ReadyGateway("g1");
  site.storeRelay = link.Address();
  Gateway& second = site.ReadyGateway("g2");
  REQUIRE(site.Until([&] {
    return second.Statusz().find("\"gateways\" : 2,") != std::string::npos;
  }));
  link.SetSilent(true);
  site.PutConfiguration(2, 2000, kManyRoutes);
  const SteadyCallers callers(site, kCallers / 2);
  REQUIRE(site.Until([&] { return site.Has(first, 2); }, seconds(30)));
  CHECK(site.Until([&] { return site.Has(second, 2); }, kInForceWithin));
}
