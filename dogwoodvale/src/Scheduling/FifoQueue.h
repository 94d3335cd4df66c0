#ifndef DOGWOODVALE_SCHEDULING_FIFOQUEUE_H
#define DOGWOODVALE_SCHEDULING_FIFOQUEUE_H

#include "OrderedQueue.h"

namespace dogwoodvale {

/// Queue in order of arrival, without tiers; refuses new requests when full. A
/// baseline for benchmarks.
class FifoQueue : public internal::OrderedQueue
{
public:
  /// \return InvalidArgument when CheckBounds rejects the bounds.
  static absl::StatusOr<FifoQueue> Create(const QueueBounds& aBounds);

protected:
  std::int64_t RankOf(const QueuedRequest& aRequest) const override;

private:
  using internal::OrderedQueue::OrderedQueue;
};

} // namespace dogwoodvale

#endif
