#ifndef DOGWOODVALE_SCHEDULING_FLOWTABLE_H
#define DOGWOODVALE_SCHEDULING_FLOWTABLE_H

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "CustomerQueue.h"
#include "FairOrder.h"
#include "OverdueRotation.h"
#include "QueuedRequest.h"
#include "Slab.h"

namespace dogwoodvale::internal {

/// State of one customer within one class and tier.
struct Flow
{
  CustomerName customer;
  SlabIndex classIndex = 0;
  FairMember fair;
  RotationMember rotation;
  CustomerQueue queue;
  /// Sum of QueuedRequest::bytes over the queue.
  std::uint64_t bytes = 0;
  /// Output tokens charged for each unfinished start, oldest first.
  std::deque<double> outstandingCharges;
  /// Sequence number of the transition to idle; 0 while not idle.
  std::uint64_t idleSequence = 0;

  /// Whether the flow has neither queued nor running requests.
  bool IsIdle() const
  {
    return this->queue.IsEmpty() && this->outstandingCharges.empty();
  }
};

/// State of one class within one tier.
struct ClassState
{
  ClassName name;
  Tier tier = 0;
  FairMember fair;
  FairOrder customers;
  RotationMember rotation;
  OverdueRotation overdueCustomers;
  absl::flat_hash_map<CustomerName, SlabIndex> flows;
  /// Number of queued requests of the class, and the memory they hold.
  std::size_t size = 0;
  std::uint64_t bytes = 0;
};

/// The tier of \p aRequest, clamped to the lowest tier.
Tier
TierOf(const QueuedRequest& aRequest);

/// State of classes and of flows (a customer within a class), by name.
///
/// Idle flows are kept for their fairness counters, up to a fixed number;
/// beyond it the longest idle flow is evicted.
class FlowTable
{
public:
  /// The flow of the request's customer, class and tier, created if missing.
  /// Sets the weights of class and customer to those of \p aRequest.
  SlabIndex FindOrCreate(const QueuedRequest& aRequest);

  Flow& At(SlabIndex aFlow) { return this->flows.At(aFlow); }
  const Flow& At(SlabIndex aFlow) const { return this->flows.At(aFlow); }
  ClassState& ClassAt(SlabIndex aClass) { return this->classes.At(aClass); }
  const ClassState& ClassAt(SlabIndex aClass) const
  {
    return this->classes.At(aClass);
  }

  /// Calls \p aVisitor with each state of a class. A class has states in
  /// several tiers only while its configuration changes.
  template<class Visitor>
  void VisitClass(const ClassName& aClass, Visitor&& aVisitor) const
  {
    const auto found = this->classIndices.find(aClass);
    if (found == this->classIndices.end()) {
      return;
    }
    for (const auto& index : found->second) {
      if (index) {
        aVisitor(this->classes.At(*index));
      }
    }
  }

  /// A flow of the class and customer that has an unfinished start; nullopt if
  /// there is none.
  std::optional<SlabIndex> FindRunning(const ClassName& aClass,
                                       const CustomerName& aCustomer) const;

  /// Call after any change that may make a flow idle or active. May evict this
  /// flow or another one, which invalidates its index.
  void UpdateIdle(SlabIndex aFlow);

  std::size_t Size() const { return this->flows.Size(); }

private:
  SlabIndex FindOrCreateClass(const QueuedRequest& aRequest);
  void EvictLongestIdle();

  Slab<Flow> flows;
  Slab<ClassState> classes;
  /// Per class, the index of its state in each tier.
  absl::flat_hash_map<ClassName,
                      std::array<std::optional<SlabIndex>, kTierCount>>
    classIndices;
  /// Idle flows by Flow::idleSequence.
  absl::btree_set<std::pair<std::uint64_t, SlabIndex>> idle;
  std::uint64_t lastIdleSequence = 0;
};

} // namespace dogwoodvale::internal

#endif
