#include "dogwoodvale/Duties"

#include <algorithm>
#include <vector>

namespace dogwoodvale {

namespace {

Duration
OffsetOf(milliseconds aTimeOfDay, TimePoint aNow)
{
  return Duration(aTimeOfDay) -
         std::chrono::duration_cast<Duration>(aNow.time_since_epoch());
}

} // namespace

void
TimeAgreement::OnClockSample(const InstanceName& aProcess,
                             milliseconds aTimeOfDay,
                             TimePoint aNow)
{
  this->samples[aProcess] = { OffsetOf(aTimeOfDay, aNow), aNow };
  std::erase_if(this->samples, [aNow](const auto& aItem) {
    return Between(aItem.second.at, aNow) > kSampleTimeToLive;
  });
}

milliseconds
TimeAgreement::AgreedTime(milliseconds aOwnTimeOfDay, TimePoint aNow) const
{
  std::vector<Duration> offsets{ OffsetOf(aOwnTimeOfDay, aNow) };
  for (const auto& [process, sample] : this->samples) {
    if (Between(sample.at, aNow) <= kSampleTimeToLive) {
      offsets.push_back(sample.offset);
    }
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return std::chrono::duration_cast<milliseconds>(
    *middle + std::chrono::duration_cast<Duration>(aNow.time_since_epoch()));
}

} // namespace dogwoodvale
