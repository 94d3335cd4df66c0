#ifndef DOGWOODVALE_SCHEDULING_PREEMPTIONPOLICY_H
#define DOGWOODVALE_SCHEDULING_PREEMPTIONPOLICY_H

#include <cstdint>
#include <optional>
#include <span>

#include "QueuedRequest.h"

namespace dogwoodvale {

/// A request that runs on the backend server.
struct RunningRequest
{
  RequestId id;
  Tier tier = 0;
  bool idempotent = false;
  std::uint32_t promptTokens = 0;
  std::uint32_t tokensDone = 0;
  TimePoint started;
  /// Times it was preempted before.
  std::uint32_t preemptions = 0;
  /// QueuedRequest::startedOverdue of its start.
  bool startedOverdue = false;
};

/// What preempting costs on the server at hand.
struct PreemptionCosts
{
  /// Time to prefill one token when resuming; often less than the first time,
  /// as the prefix may still be cached.
  Duration prefillPerToken{ 0 };
  /// Fixed loss: cancelling, the freed slot's step, starting again.
  Duration overhead{ 0 };
};

/// Picks a running request to give way to the head of the queue.
///
/// Only for a higher tier, only an idempotent one, only when the head would
/// otherwise miss its target, and only when resuming costs less than the wait
/// that the head is saved.
class PreemptionPolicy
{
public:
  struct Options
  {
    PreemptionCosts costs;
    /// A request gives way at most this often, so that it makes progress.
    std::uint32_t maxPreemptions = 2;
    /// Wait saved must exceed cost by this factor; at least 1.
    double margin = 1.5;
  };

  /// \return InvalidArgument when a cost is negative or the margin below 1.
  static absl::StatusOr<PreemptionPolicy> Create(const Options& aOptions);

  /// \param aRunning what runs now, in any order
  /// \param aHead the request that Dequeue would return next
  /// \param aWait how long the head would wait for a slot to come free
  /// \return the one to cancel and enqueue again as resumed, or nothing
  std::optional<RequestId> PickVictim(std::span<const RunningRequest> aRunning,
                                      const QueuedRequest& aHead,
                                      Duration aWait,
                                      TimePoint aNow) const;

  /// Time lost when \p aRequest is preempted and resumed.
  Duration CostOf(const RunningRequest& aRequest) const;

private:
  explicit PreemptionPolicy(const Options& aOptions)
    : options(aOptions)
  {
  }
  bool MayGiveWay(const RunningRequest& aRequest,
                  const QueuedRequest& aHead) const;

  Options options;
};

} // namespace dogwoodvale

#endif
