#include "EarlyRefusal.h"

#include <algorithm>

namespace dogwoodvale {

absl::StatusOr<EarlyRefusal>
EarlyRefusal::Create(const Options& aOptions)
{
  if (!(aOptions.shareOfMaxWait > 0 && aOptions.shareOfMaxWait <= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: the share {} is outside (0, 1]",
                     aOptions.shareOfMaxWait);
  }
  return EarlyRefusal(aOptions);
}

bool
EarlyRefusal::Refuses(const AbstractRequestQueue& aQueue,
                      const WaitEstimator& aStarts,
                      const QueuedRequest& aNewcomer,
                      Duration aRemaining,
                      TimePoint aNow) const
{
  // Newcomers that still can meet their target go before the late ones of their
  // class. While those are beyond the bound, each newcomer let in would keep
  // them waiting longer.
  if (aQueue.OldestWait(aNewcomer.className, aNow) > aNewcomer.maxWait) {
    return true;
  }
  const double bound = this->options.shareOfMaxWait *
                       std::chrono::duration<double>(aNewcomer.maxWait).count();
  const double longest =
    std::min(bound, std::chrono::duration<double>(aRemaining).count());
  return EstimatedWait(aQueue, aStarts, aNewcomer, aNow) > longest;
}

} // namespace dogwoodvale
