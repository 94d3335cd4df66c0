#ifndef DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H
#define DOGWOODVALE_SCHEDULING_REQUESTQUEUE_H

#include "OrderedQueue.h"

namespace dogwoodvale {

/// The sidecar's queue. First version: by tier and arrival.
class RequestQueue : public internal::OrderedQueue
{
public:
  /// \return InvalidArgument when the bounds are unusable.
  static absl::StatusOr<RequestQueue> Create(const QueueBounds& aBounds);

protected:
  Tier RankOf(const QueuedRequest& aRequest) const override;

private:
  using internal::OrderedQueue::OrderedQueue;
};

} // namespace dogwoodvale

#endif
