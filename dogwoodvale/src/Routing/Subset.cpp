#include "Subset.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

struct ScoredServer
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
ScoresHigher(const ScoredServer& aLeft, const ScoredServer& aRight)
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
  std::vector<ScoredServer> scoredServers;
  scoredServers.reserve(aServers.size());
  for (const InstanceName& server : aServers) {
    scoredServers.push_back({ HashName(server, seed), &server });
  }
  const std::size_t size = std::min(aSize, scoredServers.size());
  const auto subsetEnd =
    scoredServers.begin() + static_cast<std::ptrdiff_t>(size);
  std::partial_sort(
    scoredServers.begin(), subsetEnd, scoredServers.end(), ScoresHigher);

  std::vector<InstanceName> subset;
  subset.reserve(size);
  for (auto it = scoredServers.begin(); it != subsetEnd; ++it) {
    subset.push_back(*it->server);
  }
  return subset;
}

} // namespace dogwoodvale
