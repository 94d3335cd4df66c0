#include "dogwoodvale/Duties"

#include <utility>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

std::uint64_t
OrderOf(const InstanceName& aProcess)
{
  constexpr std::uint64_t kSeed = 0x6475747965730000;
  return XXH3_64bits_withSeed(
    aProcess.Value().data(), aProcess.Value().size(), kSeed);
}

} // namespace

DutyElection::DutyElection(InstanceName aSelf, TimePoint aNow)
  : self(std::move(aSelf))
  , vacantSince(aNow)
{
}

void
DutyElection::OnHeard(const InstanceName& aProcess, bool aHolds, TimePoint aNow)
{
  this->heard[aProcess] = aNow;
  if (aHolds) {
    this->holder = aProcess;
  } else if (this->holder == aProcess) {
    this->holder.reset();
    this->vacantSince = aNow;
  }
}

std::size_t
DutyElection::RankOfSelf(TimePoint aNow) const
{
  const std::uint64_t own = OrderOf(this->self);
  std::size_t before = 0;
  for (const auto& [process, at] : this->heard) {
    const bool isAlive = Between(at, aNow) <= kSilence;
    before += isAlive && OrderOf(process) < own ? 1 : 0;
  }
  return before;
}

bool
DutyElection::ShouldStand(TimePoint aNow)
{
  if (this->holder && Between(this->heard[*this->holder], aNow) > kSilence) {
    this->holder.reset();
    this->vacantSince = aNow;
  }
  std::erase_if(this->heard, [aNow](const auto& aItem) {
    return Between(aItem.second, aNow) > kSilence;
  });
  if (this->holder || aNow < this->standBackUntil) {
    return false;
  }
  const auto rank = static_cast<Duration::rep>(this->RankOfSelf(aNow));
  return Between(this->vacantSince, aNow) >= kFirstStands + rank * kNextStands;
}

} // namespace dogwoodvale
