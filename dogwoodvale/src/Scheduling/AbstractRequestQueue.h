#ifndef DOGWOODVALE_SCHEDULING_ABSTRACTREQUESTQUEUE_H
#define DOGWOODVALE_SCHEDULING_ABSTRACTREQUESTQUEUE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "QueuedRequest.h"

namespace dogwoodvale {

/// Interface of the queue of requests that wait for one backend server.
///
/// Every request that Enqueue accepts leaves exactly once: through Dequeue,
/// Remove, DrainAll or the evicted list of a later Enqueue.
class AbstractRequestQueue
{
public:
  virtual ~AbstractRequestQueue() = default;

  /// Queues \p aRequest or refuses it. An id that is already queued is refused
  /// as RefusedClassBound.
  virtual EnqueueResult Enqueue(const QueuedRequest& aRequest,
                                TimePoint aNow) = 0;

  /// Removes and returns the request to start next; nullopt when the queue is
  /// empty. Call it only when a concurrency slot is free: the returned request
  /// is accounted as started.
  virtual std::optional<QueuedRequest> Dequeue(TimePoint aNow) = 0;

  /// The request that Dequeue would return at \p aNow, without removing it;
  /// nullptr when the queue is empty. Any change of the queue may invalidate
  /// the pointer.
  virtual const QueuedRequest* Peek(TimePoint aNow) = 0;

  /// Removes a request, e.g. when its caller has disconnected. Returns false
  /// when the id is not queued.
  virtual bool Remove(const RequestId& aId) = 0;

  /// Call exactly once for every dequeued request, however it ended (including
  /// preemption), with the tokens generated since that start. Corrects the
  /// estimated charge that Dequeue made.
  virtual void OnFinished(const ClassName& aClass,
                          const CustomerName& aCustomer,
                          std::uint64_t aTokensGenerated) = 0;

  virtual std::size_t Size() const = 0;
  /// Sum of QueuedRequest::bytes over the queue.
  virtual std::uint64_t Bytes() const = 0;
  virtual std::size_t SizeOfClass(const ClassName& aClass) const = 0;

  /// Number of requests queued in \p aTier and in higher tiers (smaller
  /// numbers): an upper bound on what is ahead of a new request of that tier.
  virtual std::size_t SizeAtOrAbove(Tier aTier) const = 0;

  /// Time since the oldest queued request of the class was enqueued; zero when
  /// none is queued.
  virtual Duration OldestWait(const ClassName& aClass,
                              TimePoint aNow) const = 0;

  /// Empties the queue, e.g. to return all requests to their senders at a
  /// planned stop.
  virtual std::vector<RequestId> DrainAll() = 0;

protected:
  AbstractRequestQueue() = default;
  AbstractRequestQueue(const AbstractRequestQueue&) = default;
  AbstractRequestQueue(AbstractRequestQueue&&) = default;
  AbstractRequestQueue& operator=(const AbstractRequestQueue&) = default;
  AbstractRequestQueue& operator=(AbstractRequestQueue&&) = default;
};

} // namespace dogwoodvale

#endif
