#ifndef DOGWOODVALE_GATEWAY_STOPSCHEDULE_H
#define DOGWOODVALE_GATEWAY_STOPSCHEDULE_H

#include <algorithm>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// The steps of a planned stop: until when the balancer still sends requests,
/// which are passed on, and when the gateway stops draining and ends the
/// process. A request that is read in between is refused unrun.
class StopSchedule
{
public:
  StopSchedule() = default;
  /// \param aOrdered when the stop was ordered.
  /// \param aGrace from then until the process is killed.
  StopSchedule(TimePoint aOrdered, Duration aGrace)
    : outOfBalancerAt(aOrdered + std::min(kBalancerRemovalTime, aGrace / 2))
    , drainEndsAt(aOrdered + aGrace - std::min(kExitTime, aGrace / 20))
    , drainEndsAtEarliest(aOrdered + aGrace - aGrace / 6)
  {
  }

  /// Notes how late the loop makes a check of the stop that was due
  /// kCheckPeriod after the one before; called at each.
  void OnCheck(TimePoint aNow)
  {
    const Duration late = this->checkedAt == TimePoint{}
                            ? Duration(0)
                            : Between(this->checkedAt, aNow) - kCheckPeriod;
    this->checkedAt = aNow;
    // A single long turn is forgotten within a second.
    this->loopDelay = std::max(late, this->loopDelay * 9 / 10);
  }

  /// Whether the balancer should have stopped sending new requests. At most
  /// half of the grace period is allowed for that.
  bool IsOutOfBalancer(TimePoint aNow) const
  {
    return aNow >= this->outOfBalancerAt;
  }
  /// Whether the remaining requests have to be cut off. A slow loop makes the
  /// next check late, and the turn after it that delivers what has arrived;
  /// both have to end before the process is killed.
  bool IsDrainOver(TimePoint aNow) const
  {
    constexpr int kTurns = 2;
    return aNow >= this->drainEndsAt ||
           (aNow >= this->drainEndsAtEarliest &&
            aNow + kTurns * this->loopDelay >= this->drainEndsAt);
  }

  /// Time until the balancer has removed the gateway: it probes once a second
  /// and removes a gateway after two failed probes; the rest covers network
  /// latency and a busy gateway.
  static constexpr Duration kBalancerRemovalTime = milliseconds(2600);
  /// What the last answers and the exit of the process take, and how late the
  /// order and the end of draining are noticed, on a slow machine; a twentieth
  /// of the grace period at most.
  static constexpr Duration kExitTime = milliseconds(250);
  static constexpr Duration kCheckPeriod = milliseconds(20);

private:
  TimePoint outOfBalancerAt{};
  TimePoint drainEndsAt{};
  TimePoint drainEndsAtEarliest{};
  TimePoint checkedAt{};
  Duration loopDelay{ 0 };
};

} // namespace dogwoodvale

#endif
