#include "LeavingServers.h"

#include <algorithm>

namespace dogwoodvale {

bool
LeavingServers::OnAnswer(const InstanceName& aServer, TimePoint aNow)
{
  return this->Add(aServer, aNow, aNow);
}

bool
LeavingServers::OnUpdate(const LeavingUpdate& aUpdate, TimePoint aNow)
{
  if (aUpdate.age >= kAnnouncePeriod) {
    return false;
  }
  return this->Add(
    aUpdate.server, aNow - std::max(aUpdate.age, milliseconds(0)), aNow);
}

bool
LeavingServers::Add(const InstanceName& aServer,
                    TimePoint aAnnouncedAt,
                    TimePoint aNow)
{
  if (this->announcedAt.contains(aServer)) {
    return false;
  }
  std::erase_if(this->announcedAt, [&](const auto& aItem) {
    return Between(aItem.second, aNow) >= kRetention;
  });
  if (this->announcedAt.size() >= kMaxServers) {
    this->announcedAt.erase(std::ranges::min_element(
      this->announcedAt, {}, [](const auto& aItem) { return aItem.second; }));
  }
  this->announcedAt[aServer] = aAnnouncedAt;
  return true;
}

std::vector<LeavingUpdate>
LeavingServers::OutgoingUpdates(TimePoint aNow) const
{
  std::vector<LeavingUpdate> updates;
  for (const auto& [server, at] : this->announcedAt) {
    const Duration age = Between(at, aNow);
    if (age < kAnnouncePeriod && updates.size() < kMaxUpdates) {
      updates.push_back(
        { server, std::chrono::duration_cast<milliseconds>(age) });
    }
  }
  return updates;
}

bool
LeavingServers::Contains(const InstanceName& aServer) const
{
  return this->announcedAt.contains(aServer);
}

} // namespace dogwoodvale
