#include "Incarnations.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace dogwoodvale {

IncarnationStarts
LatestStarts(const IncarnationStarts& aKnown,
             std::span<const DirectInstance> aRead)
{
  IncarnationStarts latest;
  for (const DirectInstance& instance : aRead) {
    const auto known = aKnown.find(instance.server);
    std::uint64_t& started = latest[instance.server];
    started = std::max(
      { started, instance.started, known == aKnown.end() ? 0 : known->second });
  }
  return latest;
}

Instances
LatestIncarnations(const IncarnationStarts& aLatest,
                   std::vector<DirectInstance> aRead)
{
  Instances found;
  for (DirectInstance& instance : aRead) {
    const std::uint64_t started = aLatest.at(instance.server);
    // Gateways of an older version don't send the start; the known one is
    // assumed.
    if (instance.started == 0) {
      instance.started = started;
      instance.name = IncarnationName(instance.server.Value(), started);
    }
    if (instance.started == started) {
      found[instance.name] = std::move(instance);
    }
  }
  return found;
}

void
AddMissing(Instances& aMerged,
           const Instances& aKnown,
           const std::function<bool(const DirectInstance&)>& aIsGone)
{
  absl::flat_hash_set<InstanceName> present;
  for (const auto& [name, instance] : aMerged) {
    present.insert(instance.server);
  }
  for (const auto& [name, instance] : aKnown) {
    if (!present.contains(instance.server) && !aIsGone(instance)) {
      aMerged.try_emplace(name, instance);
    }
  }
}

} // namespace dogwoodvale
