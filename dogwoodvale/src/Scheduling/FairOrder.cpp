#include "FairOrder.h"

#include <algorithm>

namespace dogwoodvale::internal {

void
FairOrder::Activate(FairMember& aMember, SlabIndex aIndex)
{
  const double smallest =
    this->active.empty() ? this->floor : this->active.begin()->first;
  aMember.counter = std::max(aMember.counter, smallest);
  aMember.active = true;
  this->active.emplace(aMember.counter, aIndex);
}

void
FairOrder::Deactivate(FairMember& aMember, SlabIndex aIndex)
{
  this->active.erase({ aMember.counter, aIndex });
  aMember.active = false;
  this->floor = aMember.counter;
}

void
FairOrder::Charge(FairMember& aMember, SlabIndex aIndex, double aTokens)
{
  const double before = aMember.counter;
  aMember.counter += aTokens / aMember.weight;
  if (aMember.active) {
    this->active.erase({ before, aIndex });
    this->active.emplace(aMember.counter, aIndex);
  }
}

} // namespace dogwoodvale::internal
