#ifndef DOGWOODVALE_SCHEDULING_WAITINGREQUESTS_H
#define DOGWOODVALE_SCHEDULING_WAITINGREQUESTS_H

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "FlowTable.h"

namespace dogwoodvale::internal {

/// A number of waiting requests and the memory they hold.
struct Held
{
  std::size_t size = 0;
  std::uint64_t bytes = 0;
};

/// The waiting requests under every order that RequestQueue chooses by, kept
/// in step: by tier and fair share, by overdue turn, by memory held, by id.
class WaitingRequests
{
public:
  bool Contains(const RequestId& aId) const
  {
    return this->places.contains(aId);
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

  void Insert(const QueuedRequest& aRequest, SlabIndex aFlow);
  QueuedRequest Extract(SlabIndex aEntry);

  /// Brings the time forward, so that what is overdue by \p aNow counts so.
  void AdvanceTo(TimePoint aNow);

  /// The first by tier, fair share and slack; only when not empty.
  SlabIndex FirstByTier() const;
  /// The oldest of the overdue customer whose turn it is.
  std::optional<SlabIndex> FirstOverdue() const;
  /// Sends the flow and its class to the back of the overdue rotation.
  void PassTurn(SlabIndex aFlow);
  /// The newest of the customer that holds most in the lowest tier; only when
  /// not empty.
  SlabIndex FirstToEvict() const;

  /// Counts tokens, which may be negative, as served to a flow and its class.
  void Charge(SlabIndex aFlow, double aTokens);

  Held Total() const { return this->HeldAtOrAbove(kTierCount - 1); }
  Held HeldAtOrAbove(Tier aTier) const;

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
    /// Flows by the memory they hold.
    absl::btree_set<std::pair<std::uint64_t, SlabIndex>> holdings;
    Held held;
  };

  /// Adds to (or takes from) every sum that the request counts in.
  void Count(const QueuedRequest& aRequest, SlabIndex aFlow, bool aAdded);
  void RefreshRotation(SlabIndex aFlow);

  Slab<Entry> entries;
  FlowTable flows;
  absl::flat_hash_map<RequestId, SlabIndex> places;
  std::array<TierState, kTierCount> tiers{};
  OverdueRotation overdueClasses;
  TimePoint latest;
};

} // namespace dogwoodvale::internal

#endif
