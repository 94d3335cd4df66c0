#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Routing"

using namespace dogwoodvale;

namespace {

const TimePoint kStart{ seconds(100) };
const InstanceName kOne{ "one" };
const InstanceName kTwo{ "two" };

std::vector<PrefixHash>
Hashes(PrefixHash aHash)
{
  return { aHash };
}

} // namespace

TEST_CASE("A holder reported by cache events comes before a likely one")
{
  PrefixIndex index;
  index.OnStored(kOne, 1, Hashes(5), kStart);
  index.OnRouted(5, kTwo, kStart + seconds(1));
  REQUIRE(index.Find(5).size() == 2);
  CHECK(index.Find(5)[0].server == kOne);
  index.OnEvicted(kOne, 2, Hashes(5));
  REQUIRE(index.Find(5).size() == 1);
  CHECK(index.Find(5)[0].server == kTwo);
}

TEST_CASE(
  "A gap in a server's cache events lowers the confidence of earlier ones")
{
  // The lost event may have been the eviction. If earlier reports kept their
  // time to live of ten minutes, requests would go to a server without the
  // prefix.
  PrefixIndex index;
  index.OnStored(kOne, 1, Hashes(5), kStart);
  index.OnStored(kOne, 3, Hashes(6), kStart);
  CHECK(index.ConfidenceIn(index.Find(5)[0]) == PrefixConfidence::Likely);
  CHECK(index.ConfidenceIn(index.Find(6)[0]) == PrefixConfidence::Reported);
  CHECK(index.IsCurrent(index.Find(6)[0], kStart + seconds(300)));
  CHECK_FALSE(index.IsCurrent(index.Find(5)[0], kStart + seconds(300)));
}

TEST_CASE("Forget() removes all prefixes of a server that restarted")
{
  PrefixIndex index;
  index.OnStored(kOne, 9, Hashes(5), kStart);
  index.Forget(kOne);
  CHECK(index.Find(5).empty());
  index.OnStored(kOne, 1, Hashes(6), kStart);
  CHECK(index.ConfidenceIn(index.Find(6)[0]) == PrefixConfidence::Reported);
}

TEST_CASE("PrefixIndex keeps its limits and returns only recorded holders")
{
  rc::prop("bounded, no server twice, only recorded holders", [] {
    PrefixIndex index({ .maxPrefixes = 8, .maxHoldersPerPrefix = 2 });
    std::map<PrefixHash, std::set<InstanceName>> recorded;
    std::map<InstanceName, std::uint64_t> sequences;
    const auto steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
      rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 12)));
    for (const auto& [action, server, hash] : steps) {
      const InstanceName name(fmt::format("s{}", server % 4));
      const auto prefix = static_cast<PrefixHash>(hash);
      if (action < 4) {
        index.OnRouted(prefix, name, kStart);
        recorded[prefix].insert(name);
      } else if (action < 8) {
        sequences[name] += static_cast<std::uint64_t>(action - 3);
        index.OnStored(name, sequences[name], Hashes(prefix), kStart);
        recorded[prefix].insert(name);
      } else if (action < 11) {
        index.OnEvicted(name, ++sequences[name], Hashes(prefix));
        recorded[prefix].erase(name);
      } else {
        index.Forget(name);
        for (auto& [known, holders] : recorded) {
          holders.erase(name);
        }
      }
      RC_ASSERT(index.PrefixCount() <= 8U);
      for (PrefixHash known = 0; known < 12; ++known) {
        const auto holders = index.Find(known);
        RC_ASSERT(holders.size() <= 2U);
        std::set<InstanceName> names;
        for (const PrefixHolder& holder : holders) {
          RC_ASSERT(recorded[known].contains(holder.server));
          names.insert(holder.server);
        }
        RC_ASSERT(names.size() == holders.size());
      }
    }
  });
}
