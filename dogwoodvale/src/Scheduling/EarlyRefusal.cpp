#include "EarlyRefusal.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Maximum number of classes whose arrivals are counted; when it is reached,
/// all counts are reset.
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
                     "early refusal: share {} of the maximum wait is outside "
                     "(0, 1]",
                     aOptions.shareOfMaxWait);
  }
  if (!(aOptions.shareInBurst >= aOptions.shareOfMaxWait &&
        aOptions.shareInBurst <= 1)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: share {} of the maximum wait in a burst "
                     "is outside [{}, 1]",
                     aOptions.shareInBurst,
                     aOptions.shareOfMaxWait);
  }
  if (aOptions.maxArrivalsPerStart < 1) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "early refusal: {} arrivals per start is below 1",
                     aOptions.maxArrivalsPerStart);
  }
  return EarlyRefusal(aOptions);
}

double
EarlyRefusal::CountArrival(const AbstractRequestQueue& aQueue,
                           const ClassName& aClass,
                           Duration aTimeConstant,
                           TimePoint aNow)
{
  if (this->arrivals.size() >= kMaxClasses) {
    this->arrivals.clear();
  }
  ArrivalCount& arrived = this->arrivals[aClass];
  const double timeConstant = SecondsOf(aTimeConstant);
  const std::size_t queueLength = aQueue.SizeOfClass(aClass);
  // Requests that were queued without a call of Refuses lengthen the queue;
  // count them too.
  const std::size_t newArrivals = std::max<std::size_t>(
    1, queueLength - std::min(queueLength, arrived.queueLength));
  arrived.count =
    arrived.count *
      std::exp(-SecondsOf(Between(arrived.at, aNow)) / timeConstant) +
    static_cast<double>(newArrivals);
  arrived.at = aNow;
  arrived.queueLength = queueLength;
  return arrived.count / timeConstant;
}

bool
EarlyRefusal::Refuses(const AbstractRequestQueue& aQueue,
                      const WaitEstimator& aStarts,
                      const QueuedRequest& aArrival,
                      Duration aRemaining,
                      TimePoint aNow)
{
  // Requests that can still meet their target start before the late ones of
  // their class. While a late one is beyond the bound, each admitted request
  // would delay it further.
  if (aQueue.OldestWait(aArrival.className, aNow) > aArrival.maxWait) {
    return true;
  }
  const double rate = this->CountArrival(
    aQueue, aArrival.className, aStarts.TimeConstant(), aNow);
  const bool keepsUp = rate <= this->options.maxArrivalsPerStart *
                                 aStarts.StartRateOf(aArrival.className, aNow);
  const double share =
    keepsUp ? this->options.shareInBurst : this->options.shareOfMaxWait;
  const double maxExpectedWait =
    std::min(share * SecondsOf(aArrival.maxWait), SecondsOf(aRemaining));
  return EstimatedWait(aQueue, aStarts, aArrival, aNow) > maxExpectedWait;
}

} // namespace dogwoodvale
