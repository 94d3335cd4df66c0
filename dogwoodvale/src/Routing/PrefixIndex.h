#ifndef DOGWOODVALE_ROUTING_PREFIXINDEX_H
#define DOGWOODVALE_ROUTING_PREFIXINDEX_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Hash of the part of a prompt that requests have in common; 0 means none.
using PrefixHash = std::uint64_t;

/// How far a hint can be trusted.
enum class PrefixConfidence : std::uint8_t
{
  /// Sent there by this entry, or its cache event came before a gap.
  Likely,
  /// Told by the server's cache events with no gap since.
  Reported,
};

/// A server that probably holds a prefix in its cache.
struct PrefixHolder
{
  InstanceName server;
  TimePoint seen{};
  /// The server's generation that reported it; 0 if none did.
  std::uint64_t generation = 0;
};

/// Bounds of a PrefixIndex.
struct PrefixIndexSettings
{
  std::size_t maxPrefixes = 4096;
  std::size_t maxHoldersPerPrefix = 4;
  /// A hint that nothing has confirmed for this long is not given any more.
  Duration likelyLife = seconds(120);
  Duration reportedLife = seconds(600);
};

/// Which servers may hold which prefix, learned from cache events, which come
/// late and with gaps, and from what this entry sent where. A hint only: a
/// wrong one costs a prefill, never an answer.
class PrefixIndex
{
public:
  explicit PrefixIndex(PrefixIndexSettings aSettings = {});

  /// This entry sent a request with the prefix to \p aServer.
  void OnRouted(PrefixHash aPrefix,
                const InstanceName& aServer,
                TimePoint aNow);

  /// Cache events of a server. \p aSequence counts its events from 1; a jump
  /// means that events were lost, and lowers what is known of the server.
  void OnStored(const InstanceName& aServer,
                std::uint64_t aSequence,
                std::span<const PrefixHash> aPrefixes,
                TimePoint aNow);
  void OnEvicted(const InstanceName& aServer,
                 std::uint64_t aSequence,
                 std::span<const PrefixHash> aPrefixes);

  /// The server restarted or left: it holds nothing.
  void Forget(const InstanceName& aServer);

  /// Servers that may hold the prefix, most trusted first. Valid until the next
  /// call that is not const.
  std::span<const PrefixHolder> Find(PrefixHash aPrefix) const;

  PrefixConfidence ConfidenceIn(const PrefixHolder& aHolder) const;

  /// Whether a holder's hint still counts at \p aNow.
  bool IsCurrent(const PrefixHolder& aHolder, TimePoint aNow) const;

  std::size_t PrefixCount() const { return this->prefixes.size(); }

private:
  struct Known
  {
    std::vector<PrefixHolder> holders;
    std::list<PrefixHash>::iterator age;
  };

  /// What is known of a server's cache events.
  struct Events
  {
    std::uint64_t sequence = 0;
    /// Rises with each gap, so that a gap costs the same however many prefixes
    /// the server has reported.
    std::uint64_t generation = 1;
  };

  void Note(PrefixHash aPrefix, PrefixHolder aHolder);
  /// \return the server's generation.
  std::uint64_t NoteSequence(const InstanceName& aServer,
                             std::uint64_t aSequence);
  void Drop(PrefixHash aPrefix, const InstanceName& aServer);
  Known& FindOrAdd(PrefixHash aPrefix);

  PrefixIndexSettings settings;
  absl::flat_hash_map<PrefixHash, Known> prefixes;
  /// Least recently noted first.
  std::list<PrefixHash> ages;
  absl::flat_hash_map<InstanceName, Events> events;
};

} // namespace dogwoodvale

#endif
