#include "LeavingServers.h"

#include <algorithm>

namespace dogwoodvale {

bool
LeavingServers::OnAnswer(const InstanceName& aServer, TimePoint aNow)
{
  return this->Add(aServer, aNow, aNow);
}

bool
LeavingServers::Hear(const LeavingNews& aNews, TimePoint aNow)
{
  if (aNews.age >= kTell) {
    return false;
  }
  return this->Add(
    aNews.server, aNow - std::max(aNews.age, milliseconds(0)), aNow);
}

bool
LeavingServers::Add(const InstanceName& aServer,
                    TimePoint aSaidAt,
                    TimePoint aNow)
{
  if (this->saidAt.contains(aServer)) {
    return false;
  }
  std::erase_if(this->saidAt, [&](const auto& aItem) {
    return Between(aItem.second, aNow) >= kMemory;
  });
  if (this->saidAt.size() >= kMost) {
    this->saidAt.erase(std::ranges::min_element(
      this->saidAt, {}, [](const auto& aItem) { return aItem.second; }));
  }
  this->saidAt[aServer] = aSaidAt;
  return true;
}

std::vector<LeavingNews>
LeavingServers::Tell(TimePoint aNow) const
{
  std::vector<LeavingNews> news;
  for (const auto& [server, at] : this->saidAt) {
    const Duration age = Between(at, aNow);
    if (age < kTell && news.size() < kMostNews) {
      news.push_back({ server, std::chrono::duration_cast<milliseconds>(age) });
    }
  }
  return news;
}

bool
LeavingServers::Contains(const InstanceName& aServer) const
{
  return this->saidAt.contains(aServer);
}

} // namespace dogwoodvale
