#ifndef DOGWOODVALE_SCHEDULING_FIFOQUEUE_H
#define DOGWOODVALE_SCHEDULING_FIFOQUEUE_H

#include "OrderedQueue.h"

namespace dogwoodvale {

/// Order of arrival; knows no tiers and refuses newcomers when full. A
/// baseline for measurements.
class FifoQueue : public internal::OrderedQueue
{
public:
  /// \return InvalidArgument when a bound is zero.
  static absl::StatusOr<FifoQueue> Create(const QueueBounds& aBounds);

protected:
  std::int64_t RankOf(const QueuedRequest& aRequest) const override;

private:
  using internal::OrderedQueue::OrderedQueue;
};

} // namespace dogwoodvale

#endif
