#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Configuration"

using namespace dogwoodvale;

namespace {

HostRoute
MakeRoute(std::string aName, std::string aPrefix, Tier aTier = 0)
{
  HostRoute route;
  route.name = std::move(aName);
  route.host = "a.example";
  route.prefix = std::move(aPrefix);
  route.tier = aTier;
  route.services = { { ServiceName("s"), 1 } };
  return route;
}

RouteTableParts
MakeParts()
{
  RouteTableParts parts;
  parts.version = 1;
  parts.routes = { MakeRoute("all", "/"),
                   MakeRoute("long", "/x/y/", 1),
                   MakeRoute("short", "/x/", 2) };
  parts.services = { { ServiceName("s") } };
  parts.customers = { { CustomerName("c0"), { "k0" }, Tier(0) },
                      { CustomerName("c1"), { "k1", "k2" }, Tier(1) } };
  return parts;
}

std::string
NameOf(const HostRoute* aRoute)
{
  return aRoute == nullptr ? "" : aRoute->name;
}

} // namespace

TEST_CASE("the longest prefix of the host decides", "[routes]")
{
  const auto table = *RouteTable::Create(MakeParts());
  CHECK(NameOf(table->FindRoute("a.example", "/x/y/z")) == "long");
  CHECK(NameOf(table->FindRoute("A.example:80", "/x/z?q=/x/y/")) == "short");
  CHECK(NameOf(table->FindRoute("a.example", "/x")) == "all");
  CHECK(table->FindRoute("b.example", "/x/y/z") == nullptr);
}

TEST_CASE("keys name their customer and nothing else does", "[routes]")
{
  const auto table = *RouteTable::Create(MakeParts());
  REQUIRE(table->NeedsKeys());
  REQUIRE(table->FindCustomer("k2") != nullptr);
  CHECK(table->FindCustomer("k2")->name == CustomerName("c1"));
  CHECK(table->FindCustomer("") == nullptr);
  CHECK(table->FindCustomer("k") == nullptr);
}

// A teller's note is stopped in the middle of its stream though a long review
// runs on beside it. The engine ran out of memory and stopped the last in the
// order it was given, which had the customer's tier before the route's.
TEST_CASE("no customer's tier goes before a route's", "[routes]")
{
  const auto table = *RouteTable::Create(MakeParts());
  const KeyedCustomer* first = table->FindCustomer("k0");
  const KeyedCustomer* second = table->FindCustomer("k1");
  const HostRoute& urgent = *table->FindRoute("a.example", "/");
  const HostRoute& later = *table->FindRoute("a.example", "/x/y/");
  const ServiceName s("s");
  CHECK(table->RankOf(urgent, second, s) < table->RankOf(later, first, s));
  CHECK(table->RankOf(urgent, first, s) < table->RankOf(urgent, second, s));
  CHECK(table->RankOf(urgent, first, s) == 0);
}

// Services of their own used up the places of all: a service with two tiers had
// none left in which a late prompt could let the others of its tier pass.
TEST_CASE("ranks are counted for each service", "[routes]")
{
  RouteTableParts parts = MakeParts();
  parts.customers.clear();
  parts.services.push_back({ ServiceName("other") });
  parts.routes[0].services = { { ServiceName("other"), 1 } };
  const auto table = *RouteTable::Create(parts);
  CHECK(table->RankCount(ServiceName("s")) == 2);
  CHECK(table->RankCount(ServiceName("other")) == 1);
  CHECK(table->RankCount(ServiceName("none")) == 0);
  const HostRoute& first = *table->FindRoute("a.example", "/x/y/");
  CHECK(table->RankOf(first, nullptr, ServiceName("s")) == 0);
}

TEST_CASE("wrong parts are all named", "[routes]")
{
  RouteTableParts parts = MakeParts();
  parts.version = 0;
  parts.routes[0].prefix = "x";
  parts.routes[1].services.clear();
  const auto table = RouteTable::Create(parts);
  REQUIRE_FALSE(table.ok());
  const std::string text(table.status().message());
  CHECK(text.find("version") != std::string::npos);
  CHECK(text.find("route \"all\"") != std::string::npos);
  CHECK(text.find("route \"long\"") != std::string::npos);
}

TEST_CASE("services are picked by weight", "[routes]")
{
  HostRoute route = MakeRoute("split", "/");
  route.services = { { ServiceName("a"), 90 }, { ServiceName("b"), 10 } };
  CHECK(PickService(route, 0.0) == ServiceName("a"));
  CHECK(PickService(route, 0.89) == ServiceName("a"));
  CHECK(PickService(route, 0.91) == ServiceName("b"));
  CHECK(PickService(route, 0.9999999) == ServiceName("b"));
}
