#ifndef DOGWOODVALE_SCHEDULING_WAITINGREQUESTS_H
#define DOGWOODVALE_SCHEDULING_WAITINGREQUESTS_H

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "FlowTable.h"

namespace dogwoodvale::internal {

/// Number of queued requests and the memory they hold.
struct QueueUsage
{
  std::size_t size = 0;
  std::uint64_t bytes = 0;
};

/// The queued requests with every index that RequestQueue selects by, kept
/// consistent: by tier and fair share, by overdue rotation, by memory held, and
/// by id.
class WaitingRequests
{
public:
  bool Contains(const RequestId& aId) const
  {
    return this->entryById.contains(aId);
  }
  std::optional<SlabIndex> Find(const RequestId& aId) const;
  const QueuedRequest& At(SlabIndex aEntry) const
  {
    return this->entries.At(aEntry).request;
  }
  SlabIndex FlowOf(SlabIndex aEntry) const
  {
    return this->entries.At(aEntry).flow;
  }
  std::vector<RequestId> SortedIds() const;

  /// Precondition: the id of \p aRequest is not queued.
  void Insert(const QueuedRequest& aRequest, SlabIndex aFlow);
  QueuedRequest Extract(SlabIndex aEntry);

  /// Advances the current time to \p aNow and marks the members that are
  /// overdue by then. A time before the current one has no effect.
  void AdvanceTo(TimePoint aNow);

  /// The first request by tier, fair share and slack. Precondition: not empty.
  SlabIndex FirstByTier() const;
  /// The oldest request of the overdue customer whose turn it is; nullopt when
  /// nothing is overdue.
  std::optional<SlabIndex> FirstOverdue() const;
  /// Moves the flow and its class to the back of their overdue rotations, if
  /// they are in them.
  void MoveToBackOfRotation(SlabIndex aFlow);
  /// The newest request of the flow that holds the most memory in the lowest
  /// non-empty tier. Precondition: not empty.
  SlabIndex FirstToEvict() const;

  /// Adds \p aTokens, which may be negative, to the tokens served to a flow and
  /// to its class.
  void Charge(SlabIndex aFlow, double aTokens);

  QueueUsage Total() const { return this->UsageAtOrAbove(kTierCount - 1); }
  /// Usage of \p aTier and of higher tiers (smaller numbers).
  QueueUsage UsageAtOrAbove(Tier aTier) const;

  FlowTable& Flows() { return this->flows; }
  const FlowTable& Flows() const { return this->flows; }

private:
  struct Entry
  {
    QueuedRequest request;
    SlabIndex flow = 0;
  };

  struct TierState
  {
    FairOrder classes;
    /// Flows with queued requests by the memory they hold, in bytes.
    absl::btree_set<std::pair<std::uint64_t, SlabIndex>> flowsByBytes;
    QueueUsage usage;
  };

  /// Adds the request to (or subtracts it from) the totals of its flow, class
  /// and tier.
  void UpdateTotals(const QueuedRequest& aRequest,
                    SlabIndex aFlow,
                    bool aAdded);
  void UpdateRotation(SlabIndex aFlow);

  Slab<Entry> entries;
  FlowTable flows;
  absl::flat_hash_map<RequestId, SlabIndex> entryById;
  std::array<TierState, kTierCount> tiers{};
  OverdueRotation overdueClasses;
  /// Latest time passed to AdvanceTo.
  TimePoint now;
};

} // namespace dogwoodvale::internal

#endif
