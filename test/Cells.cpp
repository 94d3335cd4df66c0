#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

InstanceName
Numbered(const char* aKind, std::size_t aNumber)
{
  return InstanceName(fmt::format("{}-{}", aKind, aNumber));
}

std::vector<DirectInstance>
Servers(std::size_t aCount)
{
  std::vector<DirectInstance> servers;
  for (std::size_t i = 0; i < aCount; ++i) {
    DirectInstance one;
    one.name = Numbered("e", i);
    one.service = ServiceName("s");
    one.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
    one.slots = 8;
    servers.push_back(one);
  }
  return servers;
}

} // namespace

TEST_CASE("the number of cells grows with the number of gateways", "[cells]")
{
  CHECK(CellCount(0, 1) == 1);
  CHECK(CellCount(29, 1) == 1);
  CHECK(CellCount(48, 1) == 1);
  CHECK(CellCount(49, 1) == 2);
  CHECK(CellCount(300, 1) == 9);
  CHECK(CellCount(420, 1) == 13);
}

// If the fleet were split and merged with each gateway that stops or starts,
// servers would move between cells and their prefix caches would be filled
// anew.
TEST_CASE("the number of cells has hysteresis", "[cells]")
{
  const std::size_t cells = CellCount(49, 1);
  REQUIRE(cells == 2);
  CHECK(CellCount(40, cells) == 2);
  CHECK(CellCount(48, cells) == 2);
  CHECK(CellCount(31, cells) == 1);
}

TEST_CASE(
  "cells have similar sizes, and another cell moves only its own members",
  "[cells]")
{
  CHECK(rc::check([] {
    const auto cells = *rc::gen::inRange<std::size_t>(1, 20);
    const std::size_t names = 200 * cells;
    std::vector<std::size_t> sizes(cells);
    for (std::size_t i = 0; i < names; ++i) {
      const std::size_t before = CellOf(Numbered("e", i), cells);
      const std::size_t after = CellOf(Numbered("e", i), cells + 1);
      RC_ASSERT(before < cells);
      RC_ASSERT(after == before || after == cells);
      ++sizes[before];
    }
    for (const std::size_t size : sizes) {
      RC_ASSERT(size > 130U);
      RC_ASSERT(size < 270U);
    }
  }));
}

// With 300 gateways and no cells, each gateway learns only seconds later what
// the others sent, and all choose the servers that were idle then: callers wait
// though two of three servers are idle.
TEST_CASE("a gateway of a large fleet uses the servers of its cell", "[cells]")
{
  const auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  const auto servers = Servers(120);
  pool.SetInstances(servers);
  const DirectService service{ .name = ServiceName("s"),
                               .maxConnections = 1000,
                               .slots = 8 };
  const auto count = [&] {
    return pool.Candidates(service, {}, {}, Now()).size();
  };
  CHECK(count() == 120);
  std::size_t sum = 0;
  for (std::size_t cell = 0; cell < 3; ++cell) {
    pool.SetGateways(96, 32, 3, cell);
    CHECK(count() > 20);
    sum += count();
  }
  CHECK(sum == 120);
  // If all servers of the cell are excluded, those of other cells are used.
  std::vector<InstanceName> excluded;
  for (const auto& one : pool.Candidates(service, {}, {}, Now())) {
    excluded.push_back(one.name);
  }
  CHECK(pool.Candidates(service, {}, excluded, Now()).size() ==
        120 - excluded.size());
}

TEST_CASE("a service of a few servers is not split", "[cells]")
{
  const auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  pool.SetInstances(Servers(40));
  const DirectService service{ .name = ServiceName("s"),
                               .maxConnections = 1000,
                               .slots = 8 };
  pool.SetGateways(96, 32, 3, 1);
  CHECK(pool.Candidates(service, {}, {}, Now()).size() == 40);
}

TEST_CASE("gateways agree on the members of each cell", "[cells]")
{
  std::vector<GatewayMember> fleet;
  for (std::size_t i = 0; i < 300; ++i) {
    fleet.push_back({ Numbered("g", i), { "127.0.0.1", 9 } });
  }
  std::vector<std::size_t> sizes(CellCount(fleet.size(), 1));
  for (const GatewayMember& one : fleet) {
    const CellView view = ViewCells(one.name, fleet, 1);
    REQUIRE(view.cells == sizes.size());
    CHECK(std::ranges::find(view.members, one) != view.members.end());
    for (const GatewayMember& other : view.members) {
      CHECK(CellOf(other.name, view.cells) == view.own);
    }
    ++sizes[view.own];
  }
  CHECK(*std::ranges::min_element(sizes) > 15);
  CHECK(*std::ranges::max_element(sizes) < 60);
}
