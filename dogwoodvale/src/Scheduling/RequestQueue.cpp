#include "RequestQueue.h"

#include "QueuePolicy.h"

namespace dogwoodvale {

absl::StatusOr<RequestQueue>
RequestQueue::Create(const QueueBounds& aBounds)
{
  if (absl::Status status = CheckBounds(aBounds); !status.ok()) {
    return status;
  }
  return RequestQueue(aBounds);
}

Tier
RequestQueue::RankOf(const QueuedRequest& aRequest) const
{
  return aRequest.tier;
}

} // namespace dogwoodvale
