#include "dogwoodvale/Duties"

#include <algorithm>
#include <vector>

namespace dogwoodvale {

namespace {

Duration
LeadOf(milliseconds aTimeOfDay, TimePoint aNow)
{
  return Duration(aTimeOfDay) -
         std::chrono::duration_cast<Duration>(aNow.time_since_epoch());
}

} // namespace

void
TimeAgreement::OnHeard(const InstanceName& aProcess,
                       milliseconds aTimeOfDay,
                       TimePoint aNow)
{
  this->samples[aProcess] = { LeadOf(aTimeOfDay, aNow), aNow };
  std::erase_if(this->samples, [aNow](const auto& aItem) {
    return Between(aItem.second.at, aNow) > kSampleLife;
  });
}

milliseconds
TimeAgreement::TrueTime(milliseconds aOwnTimeOfDay, TimePoint aNow) const
{
  std::vector<Duration> leads{ LeadOf(aOwnTimeOfDay, aNow) };
  for (const auto& [process, sample] : this->samples) {
    if (Between(sample.at, aNow) <= kSampleLife) {
      leads.push_back(sample.lead);
    }
  }
  const auto middle =
    leads.begin() + static_cast<std::ptrdiff_t>((leads.size() - 1) / 2);
  std::nth_element(leads.begin(), middle, leads.end());
  return std::chrono::duration_cast<milliseconds>(
    *middle + std::chrono::duration_cast<Duration>(aNow.time_since_epoch()));
}

} // namespace dogwoodvale
