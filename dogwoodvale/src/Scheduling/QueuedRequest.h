#ifndef DOGWOODVALE_SCHEDULING_QUEUEDREQUEST_H
#define DOGWOODVALE_SCHEDULING_QUEUEDREQUEST_H

#include <cstdint>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// A queued request: everything that queue order and admission depend on.
struct QueuedRequest
{
  RequestId id;
  ServiceName service;
  ClassName className;
  CustomerName customer;
  /// 0 is the highest tier.
  Tier tier = 0;
  /// Fair-share weight of the class within its tier and of the customer within
  /// its class; positive.
  double classWeight = 1;
  double customerWeight = 1;
  /// Time of the first arrival at this queue. A resumed request keeps it, so
  /// that preemption does not restart its wait.
  TimePoint enqueued;
  /// Deadline of the first token (service-level target).
  TimePoint target;
  /// The class's bound on queueing time. A request that has waited longer is
  /// overdue, and its class gets the next free slot within
  /// QueueBounds::overdueShare.
  Duration maxWait{ 0 };
  std::uint32_t promptTokens = 0;
  /// Maximum number of tokens to generate.
  std::uint32_t maxTokens = 0;
  /// Memory that the request holds while it is queued.
  std::uint64_t bytes = 0;
  bool idempotent = false;
  /// Maximum number of queued requests of the class.
  std::uint32_t classQueueBound = 0;
  /// Expected time from start to first token. The slack of a request is
  /// target - now - expectedFirstToken.
  Duration expectedFirstToken{ 0 };
  /// The request was preempted on this server and waits to continue. Exempt
  /// from the class bound: refusing it would discard the tokens it has already
  /// generated.
  bool resumed = false;
  /// Set by Dequeue when the request got its slot by the overdue rule.
  /// PreemptionPolicy never preempts such a request.
  bool startedOverdue = false;
};

/// Limits of one queue, over all classes.
struct QueueBounds
{
  /// Maximum total of QueuedRequest::bytes.
  std::uint64_t bytes = 0;
  /// Maximum number of queued requests.
  std::uint32_t requests = 0;
  /// Maximum fraction of starts that may go to overdue classes ahead of the
  /// request that tier and fair share select; in (0, 1].
  double overdueShare = 0.1;
};

enum class EnqueueVerdict : std::uint8_t
{
  Queued,
  /// The class is at its bound, the customer exceeds its share of the bound, or
  /// the id is already queued.
  RefusedClassBound,
  /// No room within QueueBounds, or the class or customer exceeds its share.
  RefusedMemory,
};

/// Result of AbstractRequestQueue::Enqueue.
struct EnqueueResult
{
  EnqueueVerdict verdict = EnqueueVerdict::Queued;
  /// Requests evicted to make room, lowest tier first; all of a lower tier than
  /// the enqueued request. None was started since it was enqueued.
  std::vector<RequestId> evicted;
};

} // namespace dogwoodvale

#endif
