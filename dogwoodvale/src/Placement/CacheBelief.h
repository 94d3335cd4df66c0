#ifndef DOGWOODVALE_PLACEMENT_CACHEBELIEF_H
#define DOGWOODVALE_PLACEMENT_CACHEBELIEF_H

#include <cstdint>
#include <list>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "PromptStep.h"

namespace dogwoodvale {

/// Which steps of prompts each backend server's cache probably holds, from what
/// was sent there.
///
/// A model engine keeps what it has read until it needs the memory, and then
/// drops what was used longest ago. In a burst that is a matter of seconds: a
/// request that is sent to a server for a part that is long gone there waits
/// behind its queue and is read in full all the same. So each server's cache
/// is followed as the engine runs it, by order of use and by its size.
///
/// A hint only: what is wrong here costs a read, never an answer.
class CacheBelief
{
public:
  /// The server reads a prompt, or uses what it holds of it.
  /// \param aRoom tokens that its cache takes; 0 while unknown.
  void OnUsed(const InstanceName& aServer,
              std::span<const PromptStep> aSteps,
              std::uint64_t aRoom);
  /// The server is gone: it holds nothing.
  void Forget(const InstanceName& aServer);

  /// Tokens of the prompt that the server probably holds: a step counts only
  /// with all before it.
  std::uint32_t TokensHeld(const InstanceName& aServer,
                           std::span<const PromptStep> aSteps) const;
  /// Adds what the server probably held before this process began, behind what
  /// is known of it, as far as there is room.
  /// \param aSteps as Latest() has them.
  void Seed(const InstanceName& aServer,
            std::span<const PromptStep> aSteps,
            std::uint64_t aRoom);
  /// At most \p aMost of the steps that each server used last, the latest
  /// first.
  std::vector<std::pair<InstanceName, std::vector<PromptStep>>> Latest(
    std::size_t aMost) const;
  /// Steps held by all servers together.
  std::size_t StepCount() const;

  /// Steps followed for one server, where its room would let it keep more.
  static constexpr std::size_t kMostSteps = 4096;

private:
  /// What one server holds.
  struct Cache
  {
    /// Most recently used first.
    std::list<PromptStep> order;
    absl::flat_hash_map<PrefixHash, std::list<PromptStep>::iterator> places;
    std::uint64_t tokens = 0;
  };

  static void Use(Cache& aCache, const PromptStep& aStep);
  static void DropOldest(Cache& aCache);

  absl::flat_hash_map<InstanceName, Cache> caches;
};

} // namespace dogwoodvale

#endif
