#ifndef DOGWOODVALE_GATEWAY_SUSPENSIONDETECTOR_H
#define DOGWOODVALE_GATEWAY_SUSPENSIONDETECTOR_H

#include <functional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Detects that the process was suspended for a while.
///
/// The steady clock does not advance while the machine is suspended, so cached
/// state looks fresh though it is old. The boot-time clock does advance; the
/// difference between the two grows by the time of the suspension.
class SuspensionDetector
{
public:
  /// \param aLost how long the process was suspended.
  using Handler = std::function<void(Duration aLost)>;

  SuspensionDetector(EventLoop& aLoop, Handler aHandler);

  /// Reports a suspension that has just ended. Call before cached state is used
  /// for a decision: after a suspension what waits at the sockets is handled
  /// before the timer.
  void Check();

  /// Shorter suspensions are not reported; no cached state becomes stale in
  /// them.
  static constexpr Duration kMinReported = milliseconds(300);
  static constexpr Duration kPeriod = milliseconds(250);

private:
  Handler handler;
  /// See SuspendedTime().
  Duration suspendedBefore{ 0 };
  /// When the last check ran.
  TimePoint lastCheck;
  Timer timer;
};

} // namespace dogwoodvale

#endif
