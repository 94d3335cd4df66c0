#include "EarlyRefusal.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Classes whose newcomers are counted.
constexpr std::size_t kMaxClasses = 1024;

double
SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

absl::StatusOr<EarlyRefusal>
EarlyRefusal::Create(const Options& aOptions)
{
  if (!(aOptions.shareOfMaxWait > 0 && aOptions.shareOfMaxWait <= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: the share {} is outside (0, 1]",
                     aOptions.shareOfMaxWait);
  }
  if (!(aOptions.shareInBurst >= aOptions.shareOfMaxWait &&
        aOptions.shareInBurst <= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: the share {} in a burst is outside "
                     "[{}, 1]",
                     aOptions.shareInBurst,
                     aOptions.shareOfMaxWait);
  }
  if (aOptions.keepsUpWith < 1) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: {} newcomers for each start are below 1",
                     aOptions.keepsUpWith);
  }
  return EarlyRefusal(aOptions);
}

double
EarlyRefusal::OfferedRate(const AbstractRequestQueue& aQueue,
                          const ClassName& aClass,
                          Duration aMemory,
                          TimePoint aNow)
{
  if (this->offered.size() >= kMaxClasses) {
    this->offered.clear();
  }
  Offered& known = this->offered[aClass];
  const double memory = SecondsOf(aMemory);
  const std::size_t waiting = aQueue.SizeOfClass(aClass);
  // Those that were let in without being asked about have made it longer.
  const std::size_t came =
    std::max<std::size_t>(1, waiting - std::min(waiting, known.waiting));
  known.count =
    known.count * std::exp(-SecondsOf(Between(known.at, aNow)) / memory) +
    static_cast<double>(came);
  known.at = aNow;
  known.waiting = waiting;
  return known.count / memory;
}

bool
EarlyRefusal::Refuses(const AbstractRequestQueue& aQueue,
                      const WaitEstimator& aStarts,
                      const QueuedRequest& aNewcomer,
                      Duration aRemaining,
                      TimePoint aNow)
{
  // Newcomers that still can meet their target go before the late ones of their
  // class. While those are beyond the bound, each newcomer let in would keep
  // them waiting longer.
  if (aQueue.OldestWait(aNewcomer.className, aNow) > aNewcomer.maxWait) {
    return true;
  }
  const double rate =
    this->OfferedRate(aQueue, aNewcomer.className, aStarts.Memory(), aNow);
  const bool keepsUp = rate <= this->options.keepsUpWith *
                                 aStarts.StartRateOf(aNewcomer.className, aNow);
  const double share =
    keepsUp ? this->options.shareInBurst : this->options.shareOfMaxWait;
  const double longest =
    std::min(share * SecondsOf(aNewcomer.maxWait), SecondsOf(aRemaining));
  return EstimatedWait(aQueue, aStarts, aNewcomer, aNow) > longest;
}

} // namespace dogwoodvale
