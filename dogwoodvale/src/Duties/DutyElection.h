#ifndef DOGWOODVALE_DUTIES_DUTYELECTION_H
#define DOGWOODVALE_DUTIES_DUTYELECTION_H

#include <map>
#include <optional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Decides whether this process tries to become the holder of a duty.
///
/// Processes tell each other who holds it. When nobody does, they stand one
/// after the other in an order by hash of their names, so that the loss of a
/// holder costs the store a few calls and not one of each process. Safety does
/// not rest on this: two that stand at once are told apart by the store.
class DutyElection
{
public:
  DutyElection(InstanceName aSelf, TimePoint aNow);

  /// A process that may hold the duty gave a sign of life.
  void OnHeard(const InstanceName& aProcess, bool aHolds, TimePoint aNow);
  /// Leaves the duty to others until then.
  void StandBack(TimePoint aUntil) { this->standBackUntil = aUntil; }
  /// Call a few times a second.
  bool ShouldStand(TimePoint aNow);
  /// The holder that was heard of last; none after its silence.
  const std::optional<InstanceName>& Holder() const { return this->holder; }
  /// Processes heard lately that come before this one.
  std::size_t RankOfSelf(TimePoint aNow) const;

  /// A process that was not heard for so long is taken as gone.
  static constexpr Duration kSilence = seconds(1);
  /// From a duty's vacancy until the first one stands, and to the next.
  static constexpr Duration kFirstStands = milliseconds(500);
  static constexpr Duration kNextStands = milliseconds(500);

private:
  InstanceName self;
  std::map<InstanceName, TimePoint> heard;
  std::optional<InstanceName> holder;
  TimePoint vacantSince;
  TimePoint standBackUntil{};
};

} // namespace dogwoodvale

#endif
