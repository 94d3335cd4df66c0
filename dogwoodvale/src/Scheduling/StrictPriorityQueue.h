#ifndef DOGWOODVALE_SCHEDULING_STRICTPRIORITYQUEUE_H
#define DOGWOODVALE_SCHEDULING_STRICTPRIORITYQUEUE_H

#include "OrderedQueue.h"

namespace dogwoodvale {

/// Strictly by tier, then by arrival: no fairness, no bound on waiting. Evicts
/// the lowest tier when full. A baseline for measurements.
class StrictPriorityQueue : public internal::OrderedQueue
{
public:
  /// \return InvalidArgument when a bound is zero.
  static absl::StatusOr<StrictPriorityQueue> Create(const QueueBounds& aBounds);

protected:
  std::int64_t RankOf(const QueuedRequest& aRequest) const override;

private:
  using internal::OrderedQueue::OrderedQueue;
};

} // namespace dogwoodvale

#endif
