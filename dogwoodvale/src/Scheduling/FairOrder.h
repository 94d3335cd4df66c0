#ifndef DOGWOODVALE_SCHEDULING_FAIRORDER_H
#define DOGWOODVALE_SCHEDULING_FAIRORDER_H

#include <utility>

#include <absl/container/btree_set.h>

#include "Slab.h"

namespace dogwoodvale::internal {

/// State of one member (class or customer) of a FairOrder.
struct FairMember
{
  /// Virtual token counter: tokens served divided by weight.
  double counter = 0;
  double weight = 1;
  /// Whether the member has queued requests.
  bool active = false;
};

/// Weighted fair order by tokens: selects the backlogged member with the
/// smallest virtual token counter (VTC, OSDI 2024).
class FairOrder
{
public:
  /// Marks the member as backlogged.
  ///
  /// Raises its counter to the smallest active one. Otherwise a member that was
  /// idle would return with credit for the service it did not use, and would
  /// starve the others until it had caught up.
  void Activate(FairMember& aMember, SlabIndex aIndex);

  /// Marks the member as having no queued requests.
  void Deactivate(FairMember& aMember, SlabIndex aIndex);

  /// Adds \p aTokens, which may be negative, to the tokens served to the
  /// member.
  void Charge(FairMember& aMember, SlabIndex aIndex, double aTokens);

  bool IsEmpty() const { return this->active.empty(); }

  /// The member to serve next. Precondition: not empty.
  SlabIndex First() const { return this->active.begin()->second; }

private:
  absl::btree_set<std::pair<double, SlabIndex>> active;
  /// Counter of the member deactivated last; lower bound for the next
  /// activation when no member is active.
  double floor = 0;
};

} // namespace dogwoodvale::internal

#endif
