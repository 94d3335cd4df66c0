#ifndef DOGWOODVALE_GATEWAY_STOPSCHEDULE_H
#define DOGWOODVALE_GATEWAY_STOPSCHEDULE_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// When a planned stop goes on: how long the balancer still sends, and by when
/// the process has to end by itself.
class StopSchedule
{
public:
  StopSchedule() = default;
  /// \param aGrace from the order to stop until the process is killed.
  StopSchedule(TimePoint aOrdered, Duration aGrace)
    : noticedAt(aOrdered + std::min(kBalancerNotice, aGrace / 2))
    , overAt(aOrdered + Duration(static_cast<Duration::rep>(
                          kUsedGrace * static_cast<double>(aGrace.count()))))
  {
  }

  /// Whether the balancer sends nothing new.
  bool IsNoticed(TimePoint aNow) const { return aNow >= this->noticedAt; }
  /// Whether what is left has to be cut.
  bool IsOver(TimePoint aNow) const { return aNow >= this->overAt; }

  /// The balancer asks once a second and takes a gateway out after two misses;
  /// the rest covers the way there and a busy gateway.
  static constexpr Duration kBalancerNotice = milliseconds(2600);
  /// Part of the grace in which a stopping gateway finishes its work; the rest
  /// is for the process to end by itself.
  static constexpr double kUsedGrace = 0.92;

private:
  TimePoint noticedAt{};
  TimePoint overAt{};
};

} // namespace dogwoodvale

#endif
