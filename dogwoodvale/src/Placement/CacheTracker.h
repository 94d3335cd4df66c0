#ifndef DOGWOODVALE_PLACEMENT_CACHETRACKER_H
#define DOGWOODVALE_PLACEMENT_CACHETRACKER_H

#include <cstdint>
#include <list>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "PromptStep.h"

namespace dogwoodvale {

/// Estimates which prompt steps each backend server's prefix cache holds, from
/// the requests that were sent there.
///
/// A model engine caches the prompts that it has prefilled and evicts the least
/// recently used parts when it needs the memory, in a burst within seconds. A
/// request sent to a server for a part that is evicted by then waits in its
/// queue and is prefilled in full all the same. So each server's cache is
/// modelled as the engine runs it, with its capacity and eviction order.
///
/// The estimate is a hint: an error costs an additional prefill and does not
/// change an answer.
class CacheTracker
{
public:
  /// The server prefills a prompt or uses the cached part of it.
  /// \param aCapacity capacity of its cache in tokens; 0 while unknown.
  void OnUsed(const InstanceName& aServer,
              std::span<const PromptStep> aSteps,
              std::uint64_t aCapacity);
  /// The server is gone and its cache with it.
  void Forget(const InstanceName& aServer);

  /// Tokens of the longest prefix of the prompt that the server probably has
  /// cached: a step counts only if all steps before it are cached.
  std::uint32_t CachedPrefixTokens(const InstanceName& aServer,
                                   std::span<const PromptStep> aSteps) const;
  /// Adds what the server probably had cached before this process started, as
  /// less recently used than the steps known already and up to \p aCapacity.
  /// \param aSteps as MostRecentlyUsed() returns them.
  void Seed(const InstanceName& aServer,
            std::span<const PromptStep> aSteps,
            std::uint64_t aCapacity);
  /// For each server at most \p aMaxSteps steps, most recently used first.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>>
  MostRecentlyUsed(std::size_t aMaxSteps) const;
  /// Number of steps cached by all servers together.
  std::size_t StepCount() const;

  /// Maximum steps tracked per server, also where its cache would hold more.
  static constexpr std::size_t kMaxSteps = 4096;

private:
  /// Estimated content of one server's cache.
  struct Cache
  {
    /// Most recently used first.
    std::list<PromptStep> steps;
    absl::flat_hash_map<PrefixHash, std::list<PromptStep>::iterator> positions;
    std::uint64_t tokens = 0;
  };

  static void Use(Cache& aCache, const PromptStep& aStep);
  static void EvictOldest(Cache& aCache);

  absl::flat_hash_map<InstanceName, Cache> caches;
};

} // namespace dogwoodvale

#endif
