#ifndef DOGWOODVALE_SCHEDULING_OVERDUEROTATION_H
#define DOGWOODVALE_SCHEDULING_OVERDUEROTATION_H

#include <cstdint>
#include <optional>
#include <utility>

#include <absl/container/btree_set.h>

#include "Slab.h"
#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// State of one member (class or customer) of an OverdueRotation.
struct RotationMember
{
  /// When the member next becomes overdue; nullopt if nothing is pending.
  std::optional<TimePoint> due;
  /// Position in the rotation; nullopt while the member is not overdue.
  std::optional<std::uint64_t> turn;
};

/// Round robin among overdue members: a member that becomes overdue joins at
/// the back, and a member that was served moves to the back. So a member waits
/// for at most one turn of each member ahead of it, whatever their backlog.
class OverdueRotation
{
public:
  /// Sets when the member will become overdue; nullopt for never.
  void SetDue(RotationMember& aMember,
              SlabIndex aIndex,
              std::optional<TimePoint> aDue);
  /// Adds the member at the back of the rotation or removes it; no effect when
  /// it is already in that state.
  void SetOverdue(RotationMember& aMember, SlabIndex aIndex, bool aOverdue);
  /// Moves an overdue member to the back of the rotation.
  void MoveToBack(RotationMember& aMember, SlabIndex aIndex);

  /// The member with the earliest due time if that is at or before \p aNow;
  /// nullopt otherwise.
  std::optional<SlabIndex> FirstDue(TimePoint aNow) const;

  /// The earliest due time; nullopt if no member has one.
  std::optional<TimePoint> NextDue() const;

  /// The overdue member at the front; nullopt if none is overdue.
  std::optional<SlabIndex> FirstOverdue() const;

  /// The overdue members in rotation order.
  const absl::btree_set<std::pair<std::uint64_t, SlabIndex>>& Turns() const
  {
    return this->turns;
  }

private:
  absl::btree_set<std::pair<TimePoint, SlabIndex>> dues;
  absl::btree_set<std::pair<std::uint64_t, SlabIndex>> turns;
  std::uint64_t nextTurn = 0;
};

} // namespace dogwoodvale::internal

#endif
