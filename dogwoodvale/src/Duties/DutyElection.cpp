#include "dogwoodvale/Duties"

#include <utility>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

std::uint64_t
HashOf(const InstanceName& aProcess)
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
DutyElection::OnHeartbeat(const InstanceName& aProcess,
                          bool aHolds,
                          TimePoint aNow)
{
  this->lastHeartbeats[aProcess] = aNow;
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
  const std::uint64_t own = HashOf(this->self);
  std::size_t before = 0;
  for (const auto& [process, at] : this->lastHeartbeats) {
    const bool isAlive = Between(at, aNow) <= kPeerTimeout;
    before += isAlive && HashOf(process) < own ? 1 : 0;
  }
  return before;
}

bool
DutyElection::ShouldAcquire(TimePoint aNow)
{
  if (this->holder &&
      Between(this->lastHeartbeats[*this->holder], aNow) > kPeerTimeout) {
    this->holder.reset();
    this->vacantSince = aNow;
  }
  std::erase_if(this->lastHeartbeats, [aNow](const auto& aItem) {
    return Between(aItem.second, aNow) > kPeerTimeout;
  });
  if (this->holder || aNow < this->backOffUntil) {
    return false;
  }
  const auto rank = static_cast<Duration::rep>(this->RankOfSelf(aNow));
  return Between(this->vacantSince, aNow) >=
         kFirstCandidateDelay + rank * kNextCandidateDelay;
}

} // namespace dogwoodvale
