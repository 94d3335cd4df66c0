#ifndef DOGWOODVALE_PLACEMENT_WORKTABLE_H
#define DOGWOODVALE_PLACEMENT_WORKTABLE_H

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Work in flight at one backend server.
struct BackendWork
{
  /// Number of ranks that are distinguished; later ones count as the last.
  static constexpr std::size_t kRanks = 10;

  /// Requests that are not complete.
  std::uint32_t requests = 0;
  /// Prompt tokens, not expected in the server's cache, of the requests that
  /// have no first token yet; by the requests' rank.
  std::array<std::uint64_t, kRanks> prefillTokens{};
  /// Tokens that the requests take in its KV cache, for prompts and expected
  /// answers.
  std::uint64_t memoryTokens = 0;
  /// The same without what the server had cached of their prompts when it was
  /// chosen, as requests with the same shared part hold it once.
  std::uint64_t uncachedMemoryTokens = 0;
  /// Number of the requests that are interactive, see PauseProfile.
  std::uint32_t interactive = 0;
  /// Number of the requests by rank; all zero in reports of gateways of older
  /// versions.
  std::array<std::uint32_t, kRanks> requestsByRank{};

  /// Prefill tokens of this rank and of those before it.
  std::uint64_t PrefillUpTo(std::uint32_t aRank) const;
  std::uint64_t Prefill() const { return this->PrefillUpTo(kRanks - 1); }
  std::uint64_t& PrefillAt(std::uint32_t aRank);
  /// Requests of this rank and of those before it.
  std::uint32_t RequestsUpTo(std::uint32_t aRank) const;
  std::uint32_t& RequestsAt(std::uint32_t aRank);

  bool operator==(const BackendWork&) const = default;
  bool IsZero() const { return *this == BackendWork{}; }
  BackendWork& operator+=(const BackendWork& aOther);
  BackendWork& operator-=(const BackendWork& aOther);
};

/// Work of one gateway at one backend server, as reported to other gateways.
struct WorkLine
{
  InstanceName instance;
  BackendWork work;
};

/// Sums the work of all gateways at each backend server: this gateway's own as
/// it is now, that of its peers as last reported.
///
/// A load report from the backend server itself would be older than the
/// decisions it should guide and does not contain the queued prefill. Reports
/// between gateways are as old as one message.
class WorkTable
{
public:
  /// A gateway that has not reported for this long is taken to be gone, and its
  /// work with it, since a backend server drops requests whose connection
  /// closes.
  static constexpr Duration kPeerTtl = seconds(1);

  void AddOwn(const InstanceName& aInstance, const BackendWork& aWork);
  void RemoveOwn(const InstanceName& aInstance, const BackendWork& aWork);

  /// Replaces what \p aGateway reported before.
  void SetPeer(const InstanceName& aGateway,
               std::span<const WorkLine> aLines,
               TimePoint aNow);
  /// Removes gateways that have not reported for kPeerTtl.
  /// \return the removed gateways.
  std::vector<InstanceName> Expire(TimePoint aNow);

  BackendWork Total(const InstanceName& aInstance) const;
  BackendWork Own(const InstanceName& aInstance) const;
  /// This gateway's own work, to be reported to its peers.
  std::vector<WorkLine> OwnLines() const;
  /// Number of other gateways with a current report.
  std::size_t PeerCount() const { return this->peers.size(); }

private:
  struct Entry
  {
    BackendWork own;
    BackendWork peerWork;
  };
  struct Peer
  {
    std::vector<WorkLine> lines;
    TimePoint receivedAt{};
  };

  /// Subtracts a peer's work from the entries.
  void Subtract(const Peer& aPeer);
  void DropIfEmpty(const InstanceName& aInstance);

  absl::flat_hash_map<InstanceName, Entry> entries;
  absl::flat_hash_map<InstanceName, Peer> peers;
};

} // namespace dogwoodvale

#endif
