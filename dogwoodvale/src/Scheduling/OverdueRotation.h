#ifndef DOGWOODVALE_SCHEDULING_OVERDUEROTATION_H
#define DOGWOODVALE_SCHEDULING_OVERDUEROTATION_H

#include <cstdint>
#include <optional>
#include <utility>

#include <absl/container/btree_set.h>

#include "Slab.h"
#include "dogwoodvale/Core"

namespace dogwoodvale::internal {

/// Where one member of an OverdueRotation stands.
struct RotationMember
{
  /// When it next becomes overdue; nothing if it has nothing that will.
  std::optional<TimePoint> due;
  /// Its place in the rotation; nothing while it is not overdue.
  std::optional<std::uint64_t> turn;
};

/// Overdue members take turns: who becomes overdue joins at the back, and who
/// was served goes to the back. So nobody waits for more than one turn of each
/// member before it, however much those have waiting.
class OverdueRotation
{
public:
  void SetDue(RotationMember& aMember,
              SlabIndex aIndex,
              std::optional<TimePoint> aDue);
  void SetOverdue(RotationMember& aMember, SlabIndex aIndex, bool aOverdue);
  void MoveToBack(RotationMember& aMember, SlabIndex aIndex);

  /// A member whose due time has come, if any.
  std::optional<SlabIndex> FirstDue(TimePoint aNow) const;

  /// When the next member falls due.
  std::optional<TimePoint> NextDue() const;

  /// The overdue member whose turn it is.
  std::optional<SlabIndex> FirstOverdue() const;

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
