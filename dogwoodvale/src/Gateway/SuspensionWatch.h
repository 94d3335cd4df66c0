#ifndef DOGWOODVALE_GATEWAY_SUSPENSIONWATCH_H
#define DOGWOODVALE_GATEWAY_SUSPENSIONWATCH_H

#include <functional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Notices that the whole process stood still for a while.
///
/// The steady clock does not count time in which the machine was suspended, so
/// what is believed looks fresh though it is old. The clock that counts since
/// boot goes on; the two drift apart by just that time.
class SuspensionWatch
{
public:
  using Handler = std::function<void(Duration aLost)>;

  SuspensionWatch(EventLoop& aLoop, Handler aHandler);

  /// Shorter ones change nothing that is believed.
  static constexpr Duration kLeastReported = milliseconds(300);
  static constexpr Duration kPeriod = milliseconds(250);

private:
  void Check();

  Handler handler;
  /// See SuspendedTime().
  Duration suspendedBefore{ 0 };
  /// When the last check was due to run.
  TimePoint lastCheck;
  Timer timer;
};

} // namespace dogwoodvale

#endif
