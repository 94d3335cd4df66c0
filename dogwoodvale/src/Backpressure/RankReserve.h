#ifndef DOGWOODVALE_BACKPRESSURE_RANKRESERVE_H
#define DOGWOODVALE_BACKPRESSURE_RANKRESERVE_H

#include <array>
#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Admits requests by priority rank to a service whose servers all limit their
/// rate, when there is less capacity than demand. Rank 0 has the highest
/// priority.
///
/// Later ranks must leave a part of the saved-up capacity to earlier ones. They
/// are refused if the earlier ranks use it all, and get what these leave. To
/// avoid starvation, a rank that was refused while ten requests of other ranks
/// were sent has the next turn.
class RankReserve
{
public:
  static constexpr std::size_t kRanks = 10;

  /// Whether a request of this rank may be sent now. To be called for each
  /// request, even when no capacity is free, since it also records the demand.
  /// \param aRank ranks above the last count as the last.
  /// \param aFree requests that may be sent now; may be fractional.
  /// \param aBurst the maximum that \p aFree can reach.
  bool Admits(std::uint32_t aRank, double aFree, double aBurst, TimePoint aNow);
  /// Records that a request of this rank was sent.
  void OnSent(std::uint32_t aRank);

private:
  struct Rank
  {
    /// Whether this rank was skipped often enough to be served next.
    bool HasTurn(TimePoint aNow) const;

    /// Time of the last request.
    TimePoint requestedAt{};
    /// Requests of other ranks sent since one of this rank was refused.
    std::uint32_t skippedCount = 0;
    bool wasRefused = false;
  };

  /// Among the other ranks with recent requests, the share that comes before
  /// this one; 0 if there are no others.
  double ShareOfEarlierRanks(std::size_t aOwn, TimePoint aNow) const;

  std::array<Rank, kRanks> ranks;
};

} // namespace dogwoodvale

#endif
