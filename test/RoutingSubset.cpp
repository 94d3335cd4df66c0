#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Routing"

using namespace dogwoodvale;

namespace {

std::vector<InstanceName>
MakeNames(std::string_view aKind, std::size_t aCount)
{
  std::vector<InstanceName> names;
  for (std::size_t index = 0; index < aCount; ++index) {
    names.emplace_back(fmt::format("{}-{}", aKind, index));
  }
  return names;
}

std::set<InstanceName>
AsSet(const std::vector<InstanceName>& aNames)
{
  return { aNames.begin(), aNames.end() };
}

struct Balance
{
  double mean = 0.0;
  std::size_t least = 0;
  std::size_t most = 0;
};

Balance
MeasureBalance(std::size_t aEntries, std::size_t aServers, std::size_t aSize)
{
  const std::vector<InstanceName> servers = MakeNames("server", aServers);
  std::map<InstanceName, std::size_t> counts;
  for (const InstanceName& server : servers) {
    counts[server] = 0;
  }
  for (const InstanceName& entry : MakeNames("entry", aEntries)) {
    for (const InstanceName& chosen : ChooseSubset(entry, servers, aSize)) {
      ++counts[chosen];
    }
  }
  Balance balance;
  balance.mean = static_cast<double>(aEntries * std::min(aSize, aServers)) /
                 static_cast<double>(aServers);
  balance.least = aEntries;
  for (const auto& [server, count] : counts) {
    balance.least = std::min(balance.least, count);
    balance.most = std::max(balance.most, count);
  }
  return balance;
}

} // namespace

TEST_CASE("A subset depends on the names only, not on their order")
{
  rc::prop("any order of the servers gives the same subset", [] {
    const auto count = *rc::gen::inRange<std::size_t>(0, 60);
    const auto size = *rc::gen::inRange<std::size_t>(0, 70);
    std::vector<InstanceName> servers = MakeNames("server", count);
    const auto subset = ChooseSubset(InstanceName("e"), servers, size);
    RC_ASSERT(subset.size() == std::min(count, size));
    RC_ASSERT(AsSet(subset).size() == subset.size());
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(servers.begin(), servers.end(), random);
    RC_ASSERT(ChooseSubset(InstanceName("e"), servers, size) == subset);
  });
}

TEST_CASE(
  "A server that leaves or joins changes at most one element of a subset")
{
  // Entries connect to their subset. If the loss of a server changed other
  // elements too, a failed rack would cause reconnections in the whole fleet.
  rc::prop("removing one changes one element or none", [] {
    const auto count = *rc::gen::inRange<std::size_t>(2, 80);
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    const auto gone = *rc::gen::inRange<std::size_t>(0, count);
    std::vector<InstanceName> servers = MakeNames("server", count);
    const auto before = ChooseSubset(InstanceName("e"), servers, size);
    const InstanceName left = servers[gone];
    servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = AsSet(ChooseSubset(InstanceName("e"), servers, size));
    std::size_t lost = 0;
    for (const InstanceName& name : before) {
      lost += after.contains(name) ? 0 : 1;
    }
    RC_ASSERT(lost == (AsSet(before).contains(left) ? 1U : 0U));
  });
}

TEST_CASE("Larger subsets spread the load over the servers more evenly")
{
  // The figures are those in docs/design/routing.md.
  double lastRatio = 1e9;
  for (const std::size_t size : { 10U, 20U, 50U, 100U, 200U }) {
    const Balance balance = MeasureBalance(420, 3600, size);
    const double ratio = static_cast<double>(balance.most) / balance.mean;
    UNSCOPED_INFO(fmt::format("420 x 3600 of {}: mean {:.2f} least {} most {} "
                              "most/mean {:.2f}",
                              size,
                              balance.mean,
                              balance.least,
                              balance.most,
                              ratio));
    fmt::print("subset {:3}: mean {:5.2f}, least {:2}, most {:2}, most/mean "
               "{:.2f}\n",
               size,
               balance.mean,
               balance.least,
               balance.most,
               ratio);
    CHECK(ratio < lastRatio);
    lastRatio = ratio;
  }
  CHECK(lastRatio < 1.9);
  const Balance region = MeasureBalance(84, 190, 40);
  fmt::print("region 84 x 190 of 40: mean {:.2f}, least {}, most {}\n",
             region.mean,
             region.least,
             region.most);
  CHECK(region.least > 0);
  CHECK(static_cast<double>(region.most) < 1.9 * region.mean);
}
