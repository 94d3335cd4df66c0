#include "QueuePolicy.h"

#include "FifoQueue.h"
#include "RequestQueue.h"
#include "StrictPriorityQueue.h"

namespace dogwoodvale {

namespace {

template<class Queue>
absl::StatusOr<std::unique_ptr<AbstractRequestQueue>>
MakeQueue(const QueueBounds& aBounds)
{
  auto queue = Queue::Create(aBounds);
  if (!queue.ok()) {
    return queue.status();
  }
  return std::make_unique<Queue>(*std::move(queue));
}

} // namespace

absl::StatusOr<QueuePolicy>
ParseQueuePolicy(std::string_view aText)
{
  if (aText == "tiered") {
    return QueuePolicy::Tiered;
  }
  if (aText == "fifo") {
    return QueuePolicy::Fifo;
  }
  if (aText == "strict") {
    return QueuePolicy::Strict;
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "unknown queue policy \"{}\"; use tiered, fifo or strict",
                   aText);
}

absl::StatusOr<std::unique_ptr<AbstractRequestQueue>>
CreateQueue(QueuePolicy aPolicy, const QueueBounds& aBounds)
{
  switch (aPolicy) {
    case QueuePolicy::Fifo:
      return MakeQueue<FifoQueue>(aBounds);
    case QueuePolicy::Strict:
      return MakeQueue<StrictPriorityQueue>(aBounds);
    case QueuePolicy::Tiered:
      break;
  }
  return MakeQueue<RequestQueue>(aBounds);
}

absl::Status
CheckBounds(const QueueBounds& aBounds)
{
  if (aBounds.bytes == 0 || aBounds.requests == 0) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "the queue's limits on bytes and requests must be "
                     "positive");
  }
  if (!(aBounds.overdueShare > 0 && aBounds.overdueShare <= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "the overdue share {} is outside (0, 1]",
                     aBounds.overdueShare);
  }
  return absl::OkStatus();
}

absl::StatusOr<FifoQueue>
FifoQueue::Create(const QueueBounds& aBounds)
{
  if (absl::Status status = CheckBounds(aBounds); !status.ok()) {
    return status;
  }
  return FifoQueue(aBounds);
}

std::int64_t
FifoQueue::RankOf(const QueuedRequest&) const
{
  return 0;
}

absl::StatusOr<StrictPriorityQueue>
StrictPriorityQueue::Create(const QueueBounds& aBounds)
{
  if (absl::Status status = CheckBounds(aBounds); !status.ok()) {
    return status;
  }
  return StrictPriorityQueue(aBounds);
}

std::int64_t
StrictPriorityQueue::RankOf(const QueuedRequest& aRequest) const
{
  return aRequest.tier;
}

} // namespace dogwoodvale
