#include "ServerRests.h"

#include <algorithm>

namespace dogwoodvale {

bool
ServerRests::OnRefused(const InstanceName& aServer,
                       Duration aRest,
                       TimePoint aNow)
{
  if (aRest <= Duration::zero()) {
    return false;
  }
  Rest& rest = this->rests[aServer];
  const TimePoint endsAt = aNow + std::min(aRest, kLongest);
  if (endsAt <= rest.endsAt) {
    return false;
  }
  rest.endsAt = endsAt;
  rest.freeAt = endsAt;
  return true;
}

void
ServerRests::OnAnswer(const InstanceName& aServer, TimePoint aNow)
{
  const auto found = this->rests.find(aServer);
  if (found != this->rests.end() && found->second.endsAt <= aNow) {
    this->rests.erase(found);
  }
}

void
ServerRests::OnSent(const InstanceName& aServer, TimePoint aNow)
{
  const auto found = this->rests.find(aServer);
  if (found != this->rests.end()) {
    found->second.freeAt = aNow + kTrialPatience;
  }
}

void
ServerRests::Forget(const InstanceName& aServer)
{
  this->rests.erase(aServer);
}

bool
ServerRests::MaySend(const InstanceName& aServer, TimePoint aNow) const
{
  return this->UntilFree(aServer, aNow) == Duration::zero();
}

Duration
ServerRests::UntilFree(const InstanceName& aServer, TimePoint aNow) const
{
  const auto found = this->rests.find(aServer);
  return found == this->rests.end()
           ? Duration::zero()
           : std::max(Between(aNow, found->second.freeAt), Duration::zero());
}

std::size_t
ServerRests::RestingCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->rests, [&](const auto& aItem) {
      return aItem.second.endsAt > aNow;
    }));
}

} // namespace dogwoodvale
