#ifndef DOGWOODVALE_SCHEDULING_FLOWTABLE_H
#define DOGWOODVALE_SCHEDULING_FLOWTABLE_H

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "CustomerLine.h"
#include "FairOrder.h"
#include "OverdueRotation.h"
#include "QueuedRequest.h"
#include "Slab.h"

namespace dogwoodvale::internal {

/// One customer within one class.
struct Flow
{
  CustomerName customer;
  SlabIndex classIndex = 0;
  FairMember fair;
  RotationMember rotation;
  CustomerLine line;
  /// Memory held by those that wait.
  std::uint64_t bytes = 0;
  /// Output tokens charged for each start that has not finished.
  std::deque<double> charged;
  /// When it last became idle; 0 while it is not.
  std::uint64_t idleSince = 0;

  /// Nothing waits and nothing runs.
  bool IsIdle() const { return this->line.IsEmpty() && this->charged.empty(); }
};

/// One class within one tier.
struct ClassState
{
  ClassName name;
  Tier tier = 0;
  FairMember fair;
  FairOrder customers;
  RotationMember rotation;
  OverdueRotation overdueCustomers;
  absl::flat_hash_map<CustomerName, SlabIndex> flows;
  /// How many of it wait, and the memory they hold.
  std::size_t size = 0;
  std::uint64_t bytes = 0;
};

/// The tier of \p aRequest, those out of range taken as the lowest.
Tier
TierOf(const QueuedRequest& aRequest);

/// Finds the state of classes and customers by name.
///
/// Customers with nothing waiting or running are kept for their counters, up
/// to a number; beyond it the longest idle are forgotten.
class FlowTable
{
public:
  /// The customer's flow in its class and tier, made if there is none yet.
  /// Weights are those of the latest request.
  SlabIndex Provide(const QueuedRequest& aRequest);

  Flow& At(SlabIndex aFlow) { return this->flows.At(aFlow); }
  const Flow& At(SlabIndex aFlow) const { return this->flows.At(aFlow); }
  ClassState& ClassAt(SlabIndex aClass) { return this->classes.At(aClass); }
  const ClassState& ClassAt(SlabIndex aClass) const
  {
    return this->classes.At(aClass);
  }

  /// The states of one class: more than one tier has one only while the
  /// class's configuration changes.
  template<class Visitor>
  void VisitClass(const ClassName& aClass, Visitor&& aVisitor) const
  {
    const auto found = this->places.find(aClass);
    if (found == this->places.end()) {
      return;
    }
    for (const auto& place : found->second) {
      if (place) {
        aVisitor(this->classes.At(*place));
      }
    }
  }

  /// A flow of that name with a start that has not finished.
  std::optional<SlabIndex> FindRunning(const ClassName& aClass,
                                       const CustomerName& aCustomer) const;

  /// Call after anything that may make a flow idle or end that. May forget
  /// another flow, or this one.
  void RefreshIdle(SlabIndex aFlow);

  std::size_t Size() const { return this->flows.Size(); }

private:
  SlabIndex ProvideClass(const QueuedRequest& aRequest);
  void ForgetLongestIdle();

  Slab<Flow> flows;
  Slab<ClassState> classes;
  absl::flat_hash_map<ClassName,
                      std::array<std::optional<SlabIndex>, kTierCount>>
    places;
  absl::btree_set<std::pair<std::uint64_t, SlabIndex>> idle;
  std::uint64_t idleCount = 0;
};

} // namespace dogwoodvale::internal

#endif
