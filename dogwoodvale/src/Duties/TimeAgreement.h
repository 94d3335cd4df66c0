#ifndef DOGWOODVALE_DUTIES_TIMEAGREEMENT_H
#define DOGWOODVALE_DUTIES_TIMEAGREEMENT_H

#include <map>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Agreed time of day: the median of several processes' clocks, so that a jump
/// of one clock shifts no process's windows.
///
/// Each clock is stored as its offset from this process's monotonic clock, so
/// that a jump of this process's own time of day changes one sample only.
class TimeAgreement
{
public:
  /// Another process reported \p aTimeOfDay as its clock's time since 1970.
  void OnClockSample(const InstanceName& aProcess,
                     milliseconds aTimeOfDay,
                     TimePoint aNow);
  /// \return the median time since 1970; of an even number of clocks the lower
  /// of the two middle ones.
  /// \param aOwnTimeOfDay this process's clock, counted as one sample.
  milliseconds AgreedTime(milliseconds aOwnTimeOfDay, TimePoint aNow) const;

  /// Samples older than this are ignored.
  static constexpr Duration kSampleTimeToLive = seconds(3);

private:
  struct Sample
  {
    Duration offset{ 0 };
    TimePoint at{};
  };
  std::map<InstanceName, Sample> samples;
};

} // namespace dogwoodvale

#endif
