#ifndef DOGWOODVALE_PLACEMENT_RANKGUARD_H
#define DOGWOODVALE_PLACEMENT_RANKGUARD_H

#include <array>
#include <deque>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "RankUpdate.h"
#include "WorkTable.h"

namespace dogwoodvale {

/// Knows which ranks of one service go without an answer, over all gateways,
/// and decides whether a larger request of a later rank may begin meanwhile.
///
/// Load: an overload in which one customer's rate rises to many times its usual
/// rate. Short urgent requests queue until their callers disconnect, while
/// larger requests of later ranks take the slots that become free elsewhere.
///
/// A rank is overdue while a request of it waits for its first token beyond
/// twice its target and, over the last second, more than one in kMostLost of
/// its requests ended without an answer or are likely to. Until kHold after
/// that, requests of later ranks with over twice the rank's mean prompt are
/// refused.
class RankGuard
{
public:
  /// Callers are promised that fewer than 1 in 12 urgent requests go without an
  /// answer, or fewer than 10 larger ones of later ranks begin in 5 s.
  static constexpr double kMostLost = 12;
  /// So many overdue requests count as one that is lost. Callers wait for at
  /// least 2 s or four targets, so a request is overdue after half of that time
  /// or less and most still get an answer. If each counted in full, later ranks
  /// would be refused in overloads in which no urgent request is lost, see
  /// docs/design/shifted.md.
  static constexpr double kOverduePerLost = 3;
  /// Longer than the time between two digests (145 ms with 29 others), so that
  /// a rank does not change back and forth as digests arrive one by one.
  static constexpr Duration kHold = milliseconds(250);
  /// Age from which reports of other gateways are ignored, and time over which
  /// requests that began or were lost are counted.
  static constexpr Duration kMemory = seconds(1);
  /// While later ranks are refused, all gateways together still admit one
  /// request each such period, so that no rank starves even if the overload
  /// lasts. Gateways start at random times, so with two per 5 s on average the
  /// ten that callers are promised not to see are out of reach.
  static constexpr Duration kAdmissionPeriod = milliseconds(2500);
  /// Requests of more than so many times an urgent one's prompt are larger.
  static constexpr double kLargerFactor = 2.0;

  /// \param aCount gateways that serve the callers of the service, at least 1.
  void SetGateways(std::size_t aCount);

  // Requests of this gateway.

  /// A request was accepted.
  void OnRequest(std::uint32_t aRank, std::uint32_t aPromptTokens);
  /// A request has waited for its first token for longer than twice its target.
  void OnOverdue(std::uint32_t aRank);
  /// The first token of a request arrived.
  /// \param aWasOverdue whether OnOverdue() was called for it.
  void OnBegun(std::uint32_t aRank, bool aWasOverdue, TimePoint aNow);
  /// A request that was overdue, or would have been, ended without an answer.
  void OnLost(std::uint32_t aRank, bool aWasOverdue, TimePoint aNow);

  // Requests of other gateways.

  /// Replaces what \p aGateway reported before.
  void OnPeer(const InstanceName& aGateway,
              std::span<const RankUpdate> aUpdates,
              TimePoint aNow);
  /// What this gateway reports to the others; ranks with nothing to report are
  /// left out.
  std::vector<RankUpdate> Updates(const ServiceName& aService,
                                  TimePoint aNow) const;

  // Decisions.

  /// Whether requests of this rank, or of an earlier one, go without an answer.
  bool IsOverdue(std::uint32_t aRank, TimePoint aNow);
  /// Whether a request that no server has been sent yet may begin. Counts it
  /// against kAdmissionPeriod if it may only for that.
  bool Admits(std::uint32_t aRank,
              std::uint32_t aPromptTokens,
              std::mt19937_64& aRandom,
              TimePoint aNow);
  /// Requests of all ranks that begin per second, over all gateways; 0 if none
  /// has.
  double BegunPerSecond(TimePoint aNow) const;
  /// Number of ranks whose requests go without an answer.
  std::size_t OverdueRanks(TimePoint aNow);
  /// Requests of later ranks that were refused.
  std::uint64_t Refused() const { return this->refused; }

private:
  static constexpr std::size_t kRanks = BackendWork::kRanks;

  struct Own
  {
    std::uint32_t overdue = 0;
    std::deque<TimePoint> lost;
    std::deque<TimePoint> begun;
    /// Moving average of its prompts; 0 until one is known.
    double meanTokens = 0;
    /// Until when its requests count as going without an answer.
    TimePoint overdueUntil{};
  };
  struct Peer
  {
    std::vector<RankUpdate> updates;
    TimePoint receivedAt{};
  };
  struct Counts
  {
    std::uint64_t overdue = 0;
    std::uint64_t lost = 0;
    std::uint64_t begun = 0;
  };

  Own& At(std::uint32_t aRank);
  Counts Sum(std::size_t aRank, TimePoint aNow) const;
  bool IsRankOverdue(std::size_t aRank, TimePoint aNow);
  bool TakeAdmission(std::mt19937_64& aRandom, TimePoint aNow);

  std::array<Own, kRanks> ranks;
  absl::flat_hash_map<InstanceName, Peer> peers;
  std::size_t gateways = 1;
  std::optional<TimePoint> nextAdmission;
  std::uint64_t refused = 0;
};

} // namespace dogwoodvale

#endif
