#include "RankReserve.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// A rank without requests for this long is not taken into account.
constexpr Duration kActivePeriod = seconds(5);
/// Share of the burst size that the last rank must leave to the others.
constexpr double kMaxReservedShare = 0.5;
constexpr std::uint32_t kMaxSkipped = 10;
/// A rank without requests for this long loses its turn.
constexpr Duration kTurnTimeout = seconds(1);

} // namespace

bool
RankReserve::Rank::HasTurn(TimePoint aNow) const
{
  return this->skippedCount >= kMaxSkipped &&
         Between(this->requestedAt, aNow) <= kTurnTimeout;
}

double
RankReserve::ShareOfEarlierRanks(std::size_t aOwn, TimePoint aNow) const
{
  std::size_t earlier = 0;
  std::size_t all = 0;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    const TimePoint requested = this->ranks[rank].requestedAt;
    if (requested != TimePoint{} && Between(requested, aNow) <= kActivePeriod) {
      earlier += rank < aOwn ? 1 : 0;
      ++all;
    }
  }
  return all > 1 ? static_cast<double>(earlier) / static_cast<double>(all - 1)
                 : 0;
}

bool
RankReserve::Admits(std::uint32_t aRank,
                    double aFree,
                    double aBurst,
                    TimePoint aNow)
{
  const std::size_t own = std::min<std::size_t>(aRank, kRanks - 1);
  this->ranks[own].requestedAt = aNow;
  double needed = 1;
  if (!this->ranks[own].HasTurn(aNow)) {
    needed += kMaxReservedShare * this->ShareOfEarlierRanks(own, aNow) *
              std::max(aBurst - 1, 0.0);
    // Leaves one request for the rank that has the turn.
    needed +=
      std::ranges::any_of(
        this->ranks, [&](const Rank& aOther) { return aOther.HasTurn(aNow); })
        ? 1
        : 0;
  }
  const bool isAdmitted = aFree >= needed;
  this->ranks[own].wasRefused = this->ranks[own].wasRefused || !isAdmitted;
  return isAdmitted;
}

void
RankReserve::OnSent(std::uint32_t aRank)
{
  const std::size_t own = std::min<std::size_t>(aRank, kRanks - 1);
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    Rank& current = this->ranks[rank];
    current.skippedCount += rank != own && current.wasRefused ? 1 : 0;
  }
  this->ranks[own].skippedCount = 0;
  this->ranks[own].wasRefused = false;
}

} // namespace dogwoodvale
