#ifndef DOGWOODVALE_PLACEMENT_WORKTABLE_H
#define DOGWOODVALE_PLACEMENT_WORKTABLE_H

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Work that is under way at one backend server.
struct BackendWork
{
  /// Ranks that are told apart; later ones count as the last.
  static constexpr std::size_t kRanks = 10;

  /// Requests that have not ended.
  std::uint32_t requests = 0;
  /// Prompt tokens of those that have no first token yet, as far as they are
  /// not expected in its cache; by the requests' rank.
  std::array<std::uint64_t, kRanks> prefillTokens{};
  /// Tokens that they take in its KV cache, prompt and expected answer.
  std::uint64_t memoryTokens = 0;
  /// Those of the requests that are interactive, see PauseProfile.
  std::uint32_t interactive = 0;
  /// The requests by their rank.
  std::array<std::uint32_t, kRanks> requestsByRank{};

  /// Waits to be read before a request of this rank, or with it.
  std::uint64_t PrefillUpTo(std::uint32_t aRank) const;
  std::uint64_t Prefill() const { return this->PrefillUpTo(kRanks - 1); }
  std::uint64_t& PrefillAt(std::uint32_t aRank);
  /// Requests of this rank and of those before it.
  std::uint32_t RequestsUpTo(std::uint32_t aRank) const;
  std::uint32_t& RequestsAt(std::uint32_t aRank);

  bool operator==(const BackendWork&) const = default;
  bool IsNothing() const { return *this == BackendWork{}; }
  BackendWork& operator+=(const BackendWork& aOther);
  BackendWork& operator-=(const BackendWork& aOther);
};

/// One line of what a gateway tells the others.
struct WorkLine
{
  InstanceName instance;
  BackendWork work;
};

/// Sums the work that all gateways have at each backend server: this one's own
/// as it is, the others' as they last told it.
///
/// A backend server's own report of its load is older than the decisions it
/// should guide, and does not say how much prefill waits. What gateways tell
/// each other is as old as one message.
class WorkTable
{
public:
  /// After this long with no word a gateway is taken as gone, and its work
  /// with it: a backend server drops requests whose connection closes.
  static constexpr Duration kPeerLife = seconds(1);

  void AddOwn(const InstanceName& aInstance, const BackendWork& aWork);
  void RemoveOwn(const InstanceName& aInstance, const BackendWork& aWork);

  /// Replaces what \p aGateway told before.
  void SetPeer(const InstanceName& aGateway,
               std::span<const WorkLine> aLines,
               TimePoint aNow);
  /// Drops gateways that have been silent. \return those dropped.
  std::vector<InstanceName> Expire(TimePoint aNow);

  BackendWork Total(const InstanceName& aInstance) const;
  BackendWork Own(const InstanceName& aInstance) const;
  /// This gateway's own work, for the others.
  std::vector<WorkLine> OwnLines() const;
  /// Gateways heard of lately, without this one.
  std::size_t PeerCount() const { return this->peers.size(); }

private:
  struct Entry
  {
    BackendWork own;
    BackendWork others;
  };
  struct Peer
  {
    std::vector<WorkLine> lines;
    TimePoint heard{};
  };

  void Forget(const Peer& aPeer);
  void DropIfEmpty(const InstanceName& aInstance);

  absl::flat_hash_map<InstanceName, Entry> entries;
  absl::flat_hash_map<InstanceName, Peer> peers;
};

} // namespace dogwoodvale

#endif
