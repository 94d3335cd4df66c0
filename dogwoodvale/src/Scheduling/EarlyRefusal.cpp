#include "EarlyRefusal.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Classes whose waits are followed.
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
  return EarlyRefusal(aOptions);
}

bool
EarlyRefusal::IsStanding(const QueuedRequest& aNewcomer,
                         double aWait,
                         TimePoint aNow)
{
  const double bound =
    this->options.shareOfMaxWait * SecondsOf(aNewcomer.maxWait);
  if (aWait <= bound) {
    this->aboveSince.erase(aNewcomer.className);
    return false;
  }
  if (this->aboveSince.size() >= kMaxClasses) {
    this->aboveSince.clear();
  }
  const auto [since, isNew] =
    this->aboveSince.try_emplace(aNewcomer.className, aNow);
  return !isNew && SecondsOf(Between(since->second, aNow)) >= bound;
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
  const double wait = EstimatedWait(aQueue, aStarts, aNewcomer, aNow);
  if (this->IsStanding(aNewcomer, wait, aNow)) {
    return true;
  }
  const double longest =
    this->options.shareInBurst * SecondsOf(aNewcomer.maxWait);
  return wait > std::min(longest, SecondsOf(aRemaining));
}

} // namespace dogwoodvale
