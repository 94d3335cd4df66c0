#include "Departures.h"

#include <algorithm>

namespace dogwoodvale {

void
Departures::OnChange(const Instances& aBefore,
                     const Instances& aAfter,
                     TimePoint aNow)
{
  for (const auto& [name, instance] : aBefore) {
    const auto found = aAfter.find(name);
    if (found == aAfter.end() || found->second.leaving) {
      this->departedAt.try_emplace(name, aNow);
    }
  }
  std::erase_if(this->departedAt, [&](const auto& aItem) {
    const auto found = aAfter.find(aItem.first);
    const bool isBack = found != aAfter.end() && !found->second.leaving;
    return isBack || Between(aItem.second, aNow) > kMemory;
  });
  while (this->departedAt.size() > kMaxRemembered) {
    this->departedAt.erase(std::ranges::min_element(
      this->departedAt, {}, &std::pair<const InstanceName, TimePoint>::second));
  }
}

void
Departures::DropDeparted(Instances& aRead, TimePoint aNow) const
{
  if (aNow >= this->distrustUntil) {
    return;
  }
  std::erase_if(aRead, [this](const auto& aItem) {
    return this->departedAt.contains(aItem.first) && !aItem.second.leaving;
  });
}

} // namespace dogwoodvale
