#include "UnreportedRequests.h"

#include <algorithm>

namespace dogwoodvale {

void
UnreportedRequests::SetPeers(Duration aPeriod, std::size_t aPeers)
{
  this->period = aPeriod;
  this->peers = aPeers;
}

void
UnreportedRequests::OnSent(const InstanceName& aInstance, TimePoint aNow)
{
  std::deque<TimePoint>& times = this->sent[aInstance];
  while (!times.empty() && Between(times.front(), aNow) > this->period) {
    times.pop_front();
  }
  times.push_back(aNow);
}

void
UnreportedRequests::AddTo(DirectCandidate& aCandidate, TimePoint aNow) const
{
  BackendWork& work = aCandidate.work;
  const auto found = this->sent.find(aCandidate.name);
  if (found == this->sent.end()) {
    return;
  }
  const auto recent = std::ranges::count_if(found->second, [&](TimePoint aAt) {
    return Between(aAt, aNow) <= this->period;
  });
  const auto unreported = static_cast<std::uint32_t>(
    static_cast<std::size_t>(recent) * this->peers / 2);
  work.requests += unreported;
  work.RequestsAt(0) += unreported;
}

void
UnreportedRequests::Forget(const InstanceName& aInstance)
{
  this->sent.erase(aInstance);
}

} // namespace dogwoodvale
