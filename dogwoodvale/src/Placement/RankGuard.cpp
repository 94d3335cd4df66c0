#include "RankGuard.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Weight of a prompt in the mean of its rank, so that about the last 50 count.
constexpr double kSampleWeight = 0.02;

void
AddTo(std::deque<TimePoint>& aTimes, TimePoint aNow)
{
  while (!aTimes.empty() &&
         Between(aTimes.front(), aNow) > RankGuard::kMemory) {
    aTimes.pop_front();
  }
  aTimes.push_back(aNow);
}

std::uint32_t
CountRecent(const std::deque<TimePoint>& aTimes, TimePoint aNow)
{
  const auto oldest = std::ranges::lower_bound(
    aTimes, RankGuard::kMemory, std::ranges::greater{}, [&](TimePoint aAt) {
      return Between(aAt, aNow);
    });
  return static_cast<std::uint32_t>(aTimes.end() - oldest);
}

std::size_t
IndexOf(std::uint32_t aRank)
{
  return std::min<std::size_t>(aRank, BackendWork::kRanks - 1);
}

} // namespace

void
RankGuard::SetGateways(std::size_t aCount)
{
  this->gateways = std::max<std::size_t>(aCount, 1);
}

RankGuard::Own&
RankGuard::At(std::uint32_t aRank)
{
  return this->ranks[IndexOf(aRank)];
}

void
RankGuard::OnRequest(std::uint32_t aRank, std::uint32_t aPromptTokens)
{
  double& mean = this->At(aRank).meanTokens;
  mean += mean == 0 ? aPromptTokens : kSampleWeight * (aPromptTokens - mean);
}

void
RankGuard::OnOverdue(std::uint32_t aRank)
{
  ++this->At(aRank).overdue;
}

void
RankGuard::OnBegun(std::uint32_t aRank, bool aWasOverdue, TimePoint aNow)
{
  Own& own = this->At(aRank);
  own.overdue -= aWasOverdue && own.overdue > 0 ? 1 : 0;
  AddTo(own.begun, aNow);
}

void
RankGuard::OnLost(std::uint32_t aRank, bool aWasOverdue, TimePoint aNow)
{
  Own& own = this->At(aRank);
  own.overdue -= aWasOverdue && own.overdue > 0 ? 1 : 0;
  AddTo(own.lost, aNow);
}

void
RankGuard::OnPeer(const InstanceName& aGateway,
                  std::span<const RankUpdate> aUpdates,
                  TimePoint aNow)
{
  absl::erase_if(this->peers, [&](const auto& aOne) {
    return Between(aOne.second.receivedAt, aNow) > kMemory;
  });
  // Most gateways have nothing to report most of the time.
  if (aUpdates.empty()) {
    this->peers.erase(aGateway);
    return;
  }
  this->peers[aGateway] = { { aUpdates.begin(), aUpdates.end() }, aNow };
}

std::vector<RankUpdate>
RankGuard::Updates(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<RankUpdate> updates;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    const Own& own = this->ranks[rank];
    const RankUpdate update{ aService,
                             static_cast<std::uint32_t>(rank),
                             own.overdue,
                             CountRecent(own.lost, aNow),
                             CountRecent(own.begun, aNow) };
    if (update.overdue + update.lost + update.begun > 0) {
      updates.push_back(update);
    }
  }
  return updates;
}

RankGuard::Counts
RankGuard::Sum(std::size_t aRank, TimePoint aNow) const
{
  const Own& own = this->ranks[aRank];
  Counts sum{ own.overdue,
              CountRecent(own.lost, aNow),
              CountRecent(own.begun, aNow) };
  for (const auto& [name, peer] : this->peers) {
    if (Between(peer.receivedAt, aNow) > kMemory) {
      continue;
    }
    for (const RankUpdate& update : peer.updates) {
      if (IndexOf(update.rank) == aRank) {
        sum.overdue += update.overdue;
        sum.lost += update.lost;
        sum.begun += update.begun;
      }
    }
  }
  return sum;
}

bool
RankGuard::IsRankOverdue(std::size_t aRank, TimePoint aNow)
{
  const Counts sum = this->Sum(aRank, aNow);
  const double lost = static_cast<double>(sum.lost) +
                      static_cast<double>(sum.overdue) / kOverduePerLost;
  TimePoint& until = this->ranks[aRank].overdueUntil;
  if (sum.overdue > 0 &&
      kMostLost * lost >= lost + static_cast<double>(sum.begun)) {
    until = aNow + kHold;
  }
  return aNow < until;
}

bool
RankGuard::IsOverdue(std::uint32_t aRank, TimePoint aNow)
{
  for (std::size_t rank = 0; rank <= IndexOf(aRank); ++rank) {
    if (this->IsRankOverdue(rank, aNow)) {
      return true;
    }
  }
  return false;
}

bool
RankGuard::Admits(std::uint32_t aRank,
                  std::uint32_t aPromptTokens,
                  std::mt19937_64& aRandom,
                  TimePoint aNow)
{
  bool isGuarded = false;
  for (std::size_t rank = 0; rank < IndexOf(aRank); ++rank) {
    const double mean = this->ranks[rank].meanTokens;
    // Without a prompt of the earlier rank nothing shows that this one is
    // larger.
    isGuarded =
      isGuarded || (mean > 0 && aPromptTokens > kLargerFactor * mean &&
                    this->IsRankOverdue(rank, aNow));
  }
  if (!isGuarded || this->TakeAdmission(aRandom, aNow)) {
    return true;
  }
  ++this->refused;
  return false;
}

bool
RankGuard::TakeAdmission(std::mt19937_64& aRandom, TimePoint aNow)
{
  const Duration period =
    kAdmissionPeriod * static_cast<Duration::rep>(this->gateways);
  // Each gateway starts at a random time, so that they don't admit together.
  if (!this->nextAdmission || Between(*this->nextAdmission, aNow) > period) {
    std::uniform_int_distribution<Duration::rep> draw(0, period.count());
    this->nextAdmission = aNow + Duration(draw(aRandom));
  }
  if (aNow < *this->nextAdmission) {
    return false;
  }
  *this->nextAdmission += period;
  return true;
}

double
RankGuard::BegunPerSecond(TimePoint aNow) const
{
  std::uint64_t begun = 0;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    begun += this->Sum(rank, aNow).begun;
  }
  return static_cast<double>(begun) /
         std::chrono::duration<double>(kMemory).count();
}

std::size_t
RankGuard::OverdueRanks(TimePoint aNow)
{
  std::size_t count = 0;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    count += this->IsRankOverdue(rank, aNow) ? 1 : 0;
  }
  return count;
}

} // namespace dogwoodvale
