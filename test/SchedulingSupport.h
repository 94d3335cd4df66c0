#ifndef DOGWOODVALE_TEST_SCHEDULINGSUPPORT_H
#define DOGWOODVALE_TEST_SCHEDULINGSUPPORT_H

#include <cstdint>
#include <string>

#include "dogwoodvale/Scheduling"

namespace dogwoodvale::testing {

inline constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

inline RequestQueue
MakeQueue(const QueueBounds& aBounds)
{
  auto queue = RequestQueue::Create(aBounds);
  if (!queue.ok()) {
    throw std::runtime_error(std::string(MessageOf(queue.status())));
  }
  return *std::move(queue);
}

/// A request far below every bound.
inline QueuedRequest
MakeRequest(std::uint64_t aSequence,
            Tier aTier,
            const char* aClass,
            const char* aCustomer,
            TimePoint aEnqueued = kStart)
{
  QueuedRequest request;
  request.id = { 1, aSequence };
  request.className = ClassName(aClass);
  request.customer = CustomerName(aCustomer);
  request.tier = aTier;
  request.enqueued = aEnqueued;
  request.target = aEnqueued + seconds(1);
  request.maxWait = seconds(60);
  request.promptTokens = 100;
  request.maxTokens = 0;
  request.bytes = 10;
  request.classQueueBound = 1000000;
  return request;
}

/// Limits that no test reaches.
inline constexpr QueueBounds kAmpleBounds{ 1U << 30U, 1U << 20U, 0.1 };

} // namespace dogwoodvale::testing

#endif
