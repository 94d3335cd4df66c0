#include "OverdueRotation.h"

namespace dogwoodvale::internal {

void
OverdueRotation::SetDue(RotationMember& aMember,
                        SlabIndex aIndex,
                        std::optional<TimePoint> aDue)
{
  if (aMember.due == aDue) {
    return;
  }
  if (aMember.due) {
    this->dues.erase({ *aMember.due, aIndex });
  }
  if (aDue) {
    this->dues.emplace(*aDue, aIndex);
  }
  aMember.due = aDue;
}

void
OverdueRotation::SetOverdue(RotationMember& aMember,
                            SlabIndex aIndex,
                            bool aOverdue)
{
  if (aMember.turn.has_value() == aOverdue) {
    return;
  }
  if (aOverdue) {
    aMember.turn = this->nextTurn++;
    this->turns.emplace(*aMember.turn, aIndex);
  } else {
    this->turns.erase({ *aMember.turn, aIndex });
    aMember.turn.reset();
  }
}

void
OverdueRotation::MoveToBack(RotationMember& aMember, SlabIndex aIndex)
{
  this->SetOverdue(aMember, aIndex, false);
  this->SetOverdue(aMember, aIndex, true);
}

std::optional<SlabIndex>
OverdueRotation::FirstDue(TimePoint aNow) const
{
  if (this->dues.empty() || this->dues.begin()->first > aNow) {
    return std::nullopt;
  }
  return this->dues.begin()->second;
}

std::optional<TimePoint>
OverdueRotation::NextDue() const
{
  if (this->dues.empty()) {
    return std::nullopt;
  }
  return this->dues.begin()->first;
}

std::optional<SlabIndex>
OverdueRotation::FirstOverdue() const
{
  if (this->turns.empty()) {
    return std::nullopt;
  }
  return this->turns.begin()->second;
}

} // namespace dogwoodvale::internal
