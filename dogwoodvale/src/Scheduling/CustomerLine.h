#ifndef DOGWOODVALE_SCHEDULING_CUSTOMERLINE_H
#define DOGWOODVALE_SCHEDULING_CUSTOMERLINE_H

#include <cstddef>
#include <cstdint>
#include <utility>

#include <absl/container/btree_set.h>

#include "QueuedRequest.h"
#include "Slab.h"

namespace dogwoodvale::internal {

/// The waiting requests of one customer in one class, in two orders.
///
/// By slack: those which can still meet their target first, the most urgent of
/// them in front; then the late ones. By age: the one that becomes overdue
/// first in front. Nothing moves when a request becomes late: the late ones
/// are those whose latest start lies before now.
class CustomerLine
{
public:
  void Add(const QueuedRequest& aRequest, SlabIndex aIndex);
  void Remove(const QueuedRequest& aRequest, SlabIndex aIndex);

  bool IsEmpty() const { return this->byAge.empty(); }
  std::size_t Size() const { return this->byAge.size(); }

  /// By slack; only when not empty.
  SlabIndex Next(TimePoint aNow) const;
  /// By age; only when not empty.
  SlabIndex Oldest() const { return this->byAge.begin()->second; }
  SlabIndex Newest() const { return this->byAge.rbegin()->second; }
  /// When the oldest becomes overdue; only when not empty.
  TimePoint Due() const { return this->byAge.begin()->first; }

private:
  using Order = absl::btree_set<std::pair<TimePoint, SlabIndex>>;

  Order byAge;
  Order bySlack;
};

/// When \p aRequest has waited its class's bound.
TimePoint
DueOf(const QueuedRequest& aRequest);

} // namespace dogwoodvale::internal

#endif
