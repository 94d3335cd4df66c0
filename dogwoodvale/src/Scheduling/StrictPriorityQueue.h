#ifndef DOGWOODVALE_SCHEDULING_STRICTPRIORITYQUEUE_H
#define DOGWOODVALE_SCHEDULING_STRICTPRIORITYQUEUE_H

#include "OrderedQueue.h"

namespace dogwoodvale {

/// Queue by tier, then by arrival, without fairness or a bound on waiting.
/// Evicts from the lowest tier when full. A baseline for benchmarks.
class StrictPriorityQueue : public internal::OrderedQueue
{
public:
  /// \return InvalidArgument when CheckBounds rejects the bounds.
  static absl::StatusOr<StrictPriorityQueue> Create(const QueueBounds& aBounds);

protected:
  std::int64_t RankOf(const QueuedRequest& aRequest) const override;

private:
  using internal::OrderedQueue::OrderedQueue;
};

} // namespace dogwoodvale

#endif
