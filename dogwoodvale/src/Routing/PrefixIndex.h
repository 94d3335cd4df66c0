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

/// Hash of a prompt prefix that several requests share; 0 means none.
using PrefixHash = std::uint64_t;

/// Reliability of a hint.
enum class PrefixConfidence : std::uint8_t
{
  /// This entry sent the prefix there, or the server reported it before a gap
  /// in its cache events.
  Likely,
  /// Reported by the server's cache events, without a gap since.
  Reported,
};

/// A server that probably has a prefix cached.
struct PrefixHolder
{
  InstanceName server;
  /// When the hint was last confirmed.
  TimePoint seen{};
  /// The server's event generation in which the prefix was reported; 0 if it
  /// was not reported.
  std::uint64_t generation = 0;
};

/// Limits of a PrefixIndex.
struct PrefixIndexSettings
{
  std::size_t maxPrefixes = 4096;
  std::size_t maxHoldersPerPrefix = 4;
  /// How long hints stay valid after their last confirmation.
  Duration likelyTtl = seconds(120);
  Duration reportedTtl = seconds(600);
};

/// Maps prompt prefixes to the servers that may have them cached. It learns
/// from the servers' cache events, which may be delayed or lost, and from where
/// this entry sent requests. The results are hints: a wrong one costs a prefill
/// but does not make a request fail. A full index evicts the least recently
/// updated prefix.
class PrefixIndex
{
public:
  explicit PrefixIndex(PrefixIndexSettings aSettings = {});

  /// Records that this entry sent a request with the prefix to \p aServer.
  void OnRouted(PrefixHash aPrefix,
                const InstanceName& aServer,
                TimePoint aNow);

  /// Handle cache events of a server.
  /// \param aSequence number of the event, from 1. A gap means that events were
  /// lost; prefixes reported before it become PrefixConfidence::Likely.
  void OnStored(const InstanceName& aServer,
                std::uint64_t aSequence,
                std::span<const PrefixHash> aPrefixes,
                TimePoint aNow);
  void OnEvicted(const InstanceName& aServer,
                 std::uint64_t aSequence,
                 std::span<const PrefixHash> aPrefixes);

  /// Removes all hints for a server that restarted or was removed.
  void Forget(const InstanceName& aServer);

  /// Servers that may have the prefix cached, the most reliable first. Valid
  /// until the next non-const call.
  std::span<const PrefixHolder> Find(PrefixHash aPrefix) const;

  PrefixConfidence ConfidenceIn(const PrefixHolder& aHolder) const;

  /// Whether the hint's time to live has not expired at \p aNow.
  bool IsCurrent(const PrefixHolder& aHolder, TimePoint aNow) const;

  std::size_t PrefixCount() const { return this->prefixes.size(); }

private:
  struct PrefixEntry
  {
    std::vector<PrefixHolder> holders;
    std::list<PrefixHash>::iterator lruPosition;
  };

  /// Progress of a server's cache events.
  struct EventState
  {
    /// Highest sequence number seen; 0 before the first event.
    std::uint64_t sequence = 0;
    /// Incremented at each gap, so that handling a gap takes constant time,
    /// however many prefixes the server has reported.
    std::uint64_t generation = 1;
  };

  void AddHolder(PrefixHash aPrefix, PrefixHolder aHolder);
  /// \return the server's current event generation.
  std::uint64_t RecordSequence(const InstanceName& aServer,
                               std::uint64_t aSequence);
  void RemoveHolder(PrefixHash aPrefix, const InstanceName& aServer);
  PrefixEntry& FindOrAdd(PrefixHash aPrefix);

  PrefixIndexSettings settings;
  absl::flat_hash_map<PrefixHash, PrefixEntry> prefixes;
  /// Prefixes, the least recently updated first.
  std::list<PrefixHash> lruOrder;
  absl::flat_hash_map<InstanceName, EventState> eventStates;
};

} // namespace dogwoodvale

#endif
