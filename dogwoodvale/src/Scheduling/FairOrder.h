#ifndef DOGWOODVALE_SCHEDULING_FAIRORDER_H
#define DOGWOODVALE_SCHEDULING_FAIRORDER_H

#include <utility>

#include <absl/container/btree_set.h>

#include "Slab.h"

namespace dogwoodvale::internal {

/// What one member of a FairOrder has been served.
struct FairMember
{
  /// Tokens served over weight: its virtual token counter.
  double counter = 0;
  double weight = 1;
  bool active = false;
};

/// Picks the member that has had the fewest tokens for its weight among those
/// with something waiting (virtual token counter, VTC, OSDI 2024).
class FairOrder
{
public:
  /// The member has something waiting from now on.
  ///
  /// Its counter is lifted to the least active one: else a member that was
  /// away would come back with a claim to all it did not use, and shut the
  /// others out until it had caught up.
  void Activate(FairMember& aMember, SlabIndex aIndex);

  /// Nothing of the member waits any more.
  void Deactivate(FairMember& aMember, SlabIndex aIndex);

  /// Adds \p aTokens, which may be negative, to what the member was served.
  void Charge(FairMember& aMember, SlabIndex aIndex, double aTokens);

  bool IsEmpty() const { return this->active.empty(); }

  /// The member to serve next; only when not empty.
  SlabIndex First() const { return this->active.begin()->second; }

private:
  absl::btree_set<std::pair<double, SlabIndex>> active;
  /// Counter of the last member to leave; the lift when none is active.
  double floor = 0;
};

} // namespace dogwoodvale::internal

#endif
