#include "PreemptionPolicy.h"

namespace dogwoodvale {

absl::StatusOr<PreemptionPolicy>
PreemptionPolicy::Create(const Options& aOptions)
{
  if (aOptions.costs.prefillPerToken < Duration(0) ||
      aOptions.costs.overhead < Duration(0) || !(aOptions.margin >= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "preemption: costs must not be negative, margin {} must "
                     "be at least 1",
                     aOptions.margin);
  }
  return PreemptionPolicy(aOptions);
}

std::optional<RequestId>
PreemptionPolicy::PickVictim(std::span<const RunningRequest> aRunning,
                             const QueuedRequest& aHead,
                             Duration aWait,
                             TimePoint aNow) const
{
  // A head that meets its target by waiting gains nothing that counts for the
  // service level, and the victim's second prefill would be wasted.
  if (aNow + aWait + aHead.expectedFirstToken <= aHead.target) {
    return std::nullopt;
  }
  const RunningRequest* victim = nullptr;
  for (const RunningRequest& running : aRunning) {
    if (!this->IsPreemptible(running, aHead) ||
        static_cast<double>(this->CostOf(running).count()) *
            this->options.margin >=
          static_cast<double>(aWait.count())) {
      continue;
    }
    if (victim == nullptr || running.tier > victim->tier ||
        (running.tier == victim->tier &&
         this->CostOf(running) < this->CostOf(*victim))) {
      victim = &running;
    }
  }
  return victim == nullptr ? std::nullopt : std::optional(victim->id);
}

Duration
PreemptionPolicy::CostOf(const RunningRequest& aRequest) const
{
  const std::int64_t tokens =
    std::int64_t{ aRequest.promptTokens } + aRequest.tokensGenerated;
  return this->options.costs.overhead +
         tokens * this->options.costs.prefillPerToken;
}

bool
PreemptionPolicy::IsPreemptible(const RunningRequest& aRequest,
                                const QueuedRequest& aHead) const
{
  // A request that got its slot by the overdue rule is never preempted:
  // otherwise the bound on the waiting time of its class would not hold.
  return aRequest.tier > aHead.tier && aRequest.idempotent &&
         !aRequest.startedOverdue &&
         aRequest.preemptions < this->options.maxPreemptions;
}

} // namespace dogwoodvale
