#ifndef DOGWOODVALE_DUTIES_TIMEAGREEMENT_H
#define DOGWOODVALE_DUTIES_TIMEAGREEMENT_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The time of day as the median of several processes' clocks tells it, so that
/// one clock that jumps moves nobody's windows.
///
/// Clocks are followed by how far each is ahead of this process's monotonic
/// clock: a jump of the own time of day then changes one sample of many.
class TimeAgreement
{
public:
  /// Another process said that its clock shows \p aTimeOfDay.
  void OnHeard(const InstanceName& aProcess,
               milliseconds aTimeOfDay,
               TimePoint aNow);
  /// \param aOwnTimeOfDay by this process's clock.
  milliseconds TrueTime(milliseconds aOwnTimeOfDay, TimePoint aNow) const;

  /// A clock that was not heard for so long no longer counts.
  static constexpr Duration kSampleLife = seconds(3);

private:
  struct Sample
  {
    Duration lead{ 0 };
    TimePoint at{};
  };
  std::map<InstanceName, Sample> samples;
};

} // namespace dogwoodvale

#endif
