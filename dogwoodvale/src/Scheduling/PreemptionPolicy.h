#ifndef DOGWOODVALE_SCHEDULING_PREEMPTIONPOLICY_H
#define DOGWOODVALE_SCHEDULING_PREEMPTIONPOLICY_H

#include <cstdint>
#include <optional>
#include <span>

#include "QueuedRequest.h"

namespace dogwoodvale {

/// A request that is running on the backend server.
struct RunningRequest
{
  RequestId id;
  Tier tier = 0;
  bool idempotent = false;
  std::uint32_t promptTokens = 0;
  /// Tokens generated so far; prefilled again on resumption.
  std::uint32_t tokensGenerated = 0;
  TimePoint started;
  /// Number of earlier preemptions.
  std::uint32_t preemptions = 0;
  /// Copy of QueuedRequest::startedOverdue.
  bool startedOverdue = false;
};

/// Cost of a preemption on a given server.
struct PreemptionCosts
{
  /// Time to prefill one token when the request resumes; often less than at its
  /// first start, as the server may still have the prefix cached.
  Duration prefillPerToken{ 0 };
  /// Fixed cost: cancellation, the step until the slot is reused, and the new
  /// start.
  Duration overhead{ 0 };
};

/// Selects a running request to preempt in favour of the head of the queue.
///
/// The head must be of a higher tier and would otherwise miss its target. The
/// victim must be idempotent, and resuming it must cost less than the wait that
/// the head is saved.
class PreemptionPolicy
{
public:
  struct Options
  {
    PreemptionCosts costs;
    /// Maximum preemptions of one request, so that it makes progress.
    std::uint32_t maxPreemptions = 2;
    /// The wait saved must exceed the cost times this factor; at least 1.
    double margin = 1.5;
  };

  /// \return InvalidArgument when a cost is negative or the margin below 1.
  static absl::StatusOr<PreemptionPolicy> Create(const Options& aOptions);

  /// \param aRunning the running requests, in any order
  /// \param aHead the request that Dequeue would return next
  /// \param aWait expected wait of the head for a free slot
  /// \return the request to cancel and enqueue again as resumed; nullopt if
  /// none should be preempted. Among the candidates, the cheapest of the lowest
  /// tier.
  std::optional<RequestId> PickVictim(std::span<const RunningRequest> aRunning,
                                      const QueuedRequest& aHead,
                                      Duration aWait,
                                      TimePoint aNow) const;

  /// Server time lost when \p aRequest is preempted and resumed.
  Duration CostOf(const RunningRequest& aRequest) const;

private:
  explicit PreemptionPolicy(const Options& aOptions)
    : options(aOptions)
  {
  }
  bool IsPreemptible(const RunningRequest& aRequest,
                     const QueuedRequest& aHead) const;

  Options options;
};

} // namespace dogwoodvale

#endif
