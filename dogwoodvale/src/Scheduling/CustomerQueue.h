#ifndef DOGWOODVALE_SCHEDULING_CUSTOMERQUEUE_H
#define DOGWOODVALE_SCHEDULING_CUSTOMERQUEUE_H

#include <cstddef>
#include <cstdint>
#include <utility>

#include <absl/container/btree_set.h>

#include "QueuedRequest.h"
#include "Slab.h"

namespace dogwoodvale::internal {

/// The queued requests of one customer in one class, in two orders.
///
/// By slack: requests that can still meet their target, least slack first, then
/// the late ones. By age: the request that becomes overdue first is first.
/// A request that becomes late is not moved: the late requests are those whose
/// latest start lies before the current time.
class CustomerQueue
{
public:
  void Add(const QueuedRequest& aRequest, SlabIndex aIndex);
  void Remove(const QueuedRequest& aRequest, SlabIndex aIndex);

  bool IsEmpty() const { return this->byAge.empty(); }
  std::size_t Size() const { return this->byAge.size(); }

  /// First by slack. Precondition: not empty.
  SlabIndex Next(TimePoint aNow) const;
  /// First by age. Precondition: not empty.
  SlabIndex Oldest() const { return this->byAge.begin()->second; }
  /// Last by age. Precondition: not empty.
  SlabIndex Newest() const { return this->byAge.rbegin()->second; }
  /// When the oldest request becomes overdue. Precondition: not empty.
  TimePoint Due() const { return this->byAge.begin()->first; }

private:
  using Order = absl::btree_set<std::pair<TimePoint, SlabIndex>>;

  Order byAge;
  Order bySlack;
};

/// When \p aRequest becomes overdue, i.e. has waited for its maxWait.
TimePoint
DueOf(const QueuedRequest& aRequest);

} // namespace dogwoodvale::internal

#endif
