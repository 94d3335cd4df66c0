#ifndef DOGWOODVALE_DUTIES_USAGESCHEDULE_H
#define DOGWOODVALE_DUTIES_USAGESCHEDULE_H

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Index of a window, the period of agreed time over which usage is counted:
/// window k begins k window lengths after the start of 1970.
using WindowId = std::int64_t;

/// Length of the windows and due time of their reports.
struct UsageSchedule
{
  /// Length of a window; positive.
  Duration window = seconds(5);
  /// Time from a window's end until its report is due.
  Duration due = seconds(10);

  /// \param aAgreedTime since 1970.
  WindowId WindowAt(milliseconds aAgreedTime) const
  {
    return Duration(aAgreedTime) / this->window;
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
