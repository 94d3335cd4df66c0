#ifndef DOGWOODVALE_DUTIES_USAGESCHEDULE_H
#define DOGWOODVALE_DUTIES_USAGESCHEDULE_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Numbers the spans of true time over which usage is counted: window k begins
/// k lengths after the start of 1970.
using WindowId = std::int64_t;

/// When usage is counted and when its report is due.
struct UsageSchedule
{
  /// Positive.
  Duration window = seconds(5);
  /// From a window's end until its report is due.
  Duration due = seconds(10);

  /// \param aTrueTime since 1970.
  WindowId WindowAt(milliseconds aTrueTime) const
  {
    return Duration(aTrueTime) / this->window;
  }
  milliseconds BeginOf(WindowId aWindow) const
  {
    return std::chrono::duration_cast<milliseconds>(aWindow * this->window);
  }
  milliseconds EndOf(WindowId aWindow) const
  {
    return this->BeginOf(aWindow + 1);
  }
  milliseconds DueAt(WindowId aWindow) const
  {
    return this->EndOf(aWindow) +
           std::chrono::duration_cast<milliseconds>(this->due);
  }
};

} // namespace dogwoodvale

#endif
