#ifndef DOGWOODVALE_SCHEDULING_QUEUEDREQUEST_H
#define DOGWOODVALE_SCHEDULING_QUEUEDREQUEST_H

#include <cstdint>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// One waiting request: all that the order of the queue depends on.
struct QueuedRequest
{
  RequestId id;
  ServiceName service;
  ClassName className;
  CustomerName customer;
  Tier tier = 0;
  /// Shares of the tier and of the class; positive.
  double classWeight = 1;
  double customerWeight = 1;
  /// When it first arrived here. A resumed request keeps its first time, so
  /// that being preempted does not make its wait start anew.
  TimePoint enqueued;
  /// When the first token is due.
  TimePoint target;
  /// The class's bound on waiting. Beyond it the class gets the next free slot
  /// within QueueBounds::overdueShare.
  Duration maxWait{ 0 };
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  /// Memory held while it waits.
  std::uint64_t bytes = 0;
  bool idempotent = false;
  /// How many requests of the class may wait.
  std::uint32_t classQueueBound = 0;
  /// Expected time from start to first token; slack is what is left of the
  /// target after it.
  Duration expectedFirstToken{ 0 };
  /// It ran here, was preempted and waits to go on. Exempt from the class
  /// bound: refusing it would waste what it has generated.
  bool resumed = false;
  /// Set by Dequeue: it got its slot by the overdue rule. PreemptionPolicy
  /// leaves such a request alone.
  bool startedOverdue = false;
};

/// Limits shared by all classes of one queue.
struct QueueBounds
{
  std::uint64_t bytes = 0;
  std::uint32_t requests = 0;
  /// Share of starts that may go to overdue classes ahead of a higher tier;
  /// above 0, at most 1.
  double overdueShare = 0.1;
};

enum class EnqueueVerdict : std::uint8_t
{
  Queued,
  RefusedClassBound,
  RefusedMemory,
};

/// What became of a newcomer, and whom it displaced.
struct EnqueueResult
{
  EnqueueVerdict verdict = EnqueueVerdict::Queued;
  /// All of a lower tier than the newcomer, lowest first. They were never
  /// started by this queue since they were enqueued.
  std::vector<RequestId> evicted;
};

} // namespace dogwoodvale

#endif
