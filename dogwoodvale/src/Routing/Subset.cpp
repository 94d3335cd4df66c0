#include "Subset.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

struct Scored
{
  std::uint64_t score;
  const InstanceName* server;
};

std::uint64_t
HashName(const InstanceName& aName, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(
    aName.Value().data(), aName.Value().size(), aSeed);
}

bool
ScoresHigher(const Scored& aLeft, const Scored& aRight)
{
  if (aLeft.score != aRight.score) {
    return aLeft.score > aRight.score;
  }
  return *aLeft.server < *aRight.server;
}

} // namespace

std::vector<InstanceName>
ChooseSubset(const InstanceName& aEntry,
             std::span<const InstanceName> aServers,
             std::size_t aSize)
{
  const std::uint64_t seed = HashName(aEntry, 0);
  std::vector<Scored> scored;
  scored.reserve(aServers.size());
  for (const InstanceName& server : aServers) {
    scored.push_back({ HashName(server, seed), &server });
  }
  const std::size_t size = std::min(aSize, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(size);
  std::partial_sort(scored.begin(), middle, scored.end(), ScoresHigher);

  std::vector<InstanceName> subset;
  subset.reserve(size);
  for (auto it = scored.begin(); it != middle; ++it) {
    subset.push_back(*it->server);
  }
  return subset;
}

} // namespace dogwoodvale
