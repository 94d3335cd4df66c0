#ifndef DOGWOODVALE_SCHEDULING_ABSTRACTREQUESTQUEUE_H
#define DOGWOODVALE_SCHEDULING_ABSTRACTREQUESTQUEUE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "QueuedRequest.h"

namespace dogwoodvale {

/// The requests that wait for one backend server, in the order of one policy.
///
/// Every request that Enqueue takes leaves exactly once: by Dequeue, Remove,
/// DrainAll or in the evicted list of a later Enqueue.
class AbstractRequestQueue
{
public:
  virtual ~AbstractRequestQueue() = default;

  /// Takes \p aRequest or refuses it. An id that already waits is refused as
  /// RefusedClassBound.
  virtual EnqueueResult Enqueue(const QueuedRequest& aRequest,
                                TimePoint aNow) = 0;

  /// The request to start next; nothing when empty. Call it only with a free
  /// slot: what it returns counts as started.
  virtual std::optional<QueuedRequest> Dequeue(TimePoint aNow) = 0;

  /// The request that Dequeue would return at \p aNow, left in its place.
  virtual const QueuedRequest* Peek(TimePoint aNow) = 0;

  /// Takes out a request whose caller has left; false when it does not wait.
  virtual bool Remove(const RequestId& aId) = 0;

  /// Call once for every dequeued request, however it ended (also when
  /// preempted), with the tokens generated since that start. Corrects the
  /// estimate that was charged at the start.
  virtual void OnFinished(const ClassName& aClass,
                          const CustomerName& aCustomer,
                          std::uint64_t aTokensGenerated) = 0;

  virtual std::size_t Size() const = 0;
  virtual std::uint64_t Bytes() const = 0;
  virtual std::size_t SizeOfClass(const ClassName& aClass) const = 0;

  /// Those waiting in \p aTier or a higher one: what a newcomer of that tier
  /// has before it at most.
  virtual std::size_t SizeAtOrAbove(Tier aTier) const = 0;

  /// How long the oldest request of the class has waited; zero if none waits.
  virtual Duration OldestWait(const ClassName& aClass,
                              TimePoint aNow) const = 0;

  /// Empties the queue, e.g. to hand everything back at a planned stop.
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
