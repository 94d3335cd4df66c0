#include "ServerBackoffs.h"

#include <algorithm>

namespace dogwoodvale {

bool
ServerBackoffs::OnRefused(const InstanceName& aServer,
                          Duration aBackoff,
                          TimePoint aNow)
{
  if (aBackoff <= Duration::zero()) {
    return false;
  }
  Backoff& backoff = this->backoffs[aServer];
  const TimePoint endsAt = aNow + std::min(aBackoff, kMaxBackoff);
  if (endsAt <= backoff.endsAt) {
    return false;
  }
  backoff.endsAt = endsAt;
  backoff.freeAt = endsAt;
  return true;
}

void
ServerBackoffs::OnAnswer(const InstanceName& aServer, TimePoint aNow)
{
  const auto found = this->backoffs.find(aServer);
  if (found != this->backoffs.end() && found->second.endsAt <= aNow) {
    this->backoffs.erase(found);
  }
}

void
ServerBackoffs::OnSent(const InstanceName& aServer, TimePoint aNow)
{
  const auto found = this->backoffs.find(aServer);
  if (found != this->backoffs.end()) {
    found->second.freeAt = aNow + kProbeRetryInterval;
  }
}

void
ServerBackoffs::Forget(const InstanceName& aServer)
{
  this->backoffs.erase(aServer);
}

bool
ServerBackoffs::MaySend(const InstanceName& aServer, TimePoint aNow) const
{
  return this->UntilFree(aServer, aNow) == Duration::zero();
}

Duration
ServerBackoffs::UntilFree(const InstanceName& aServer, TimePoint aNow) const
{
  const auto found = this->backoffs.find(aServer);
  return found == this->backoffs.end()
           ? Duration::zero()
           : std::max(Between(aNow, found->second.freeAt), Duration::zero());
}

std::size_t
ServerBackoffs::BackingOffCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->backoffs, [&](const auto& aItem) {
      return aItem.second.endsAt > aNow;
    }));
}

} // namespace dogwoodvale
