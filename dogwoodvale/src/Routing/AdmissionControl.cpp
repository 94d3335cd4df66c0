#include "AdmissionControl.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Spacing of returns for a customer that is bounded in concurrency only.
constexpr Duration kDefaultSpacing = milliseconds(100);
/// No caller is sent away for longer.
constexpr Duration kLongestRetryAfter = seconds(30);
constexpr Duration kLeastRetryAfter = milliseconds(50);

Duration
SpacingOf(const CustomerLimit& aLimit)
{
  if (aLimit.requestsPerSecond <= 0.0) {
    return kDefaultSpacing;
  }
  return Duration{ static_cast<Duration::rep>(1e6 / aLimit.requestsPerSecond) };
}

} // namespace

void
AdmissionControl::SetLimit(const CustomerName& aCustomer,
                           const CustomerLimit& aLimit)
{
  Customer& customer = this->customers[aCustomer];
  if (customer.limit == aLimit) {
    return;
  }
  customer.limit = aLimit;
  customer.bucket =
    TokenBucket(aLimit.requestsPerSecond, std::max(aLimit.burst, 1.0));
}

void
AdmissionControl::ClearLimit(const CustomerName& aCustomer)
{
  const auto found = this->customers.find(aCustomer);
  if (found == this->customers.end()) {
    return;
  }
  found->second.limit.reset();
  if (found->second.inProgress == 0) {
    this->customers.erase(found);
  }
}

std::optional<RequestError>
AdmissionControl::Admit(const CustomerName& aCustomer,
                        TimePoint aNow,
                        std::mt19937_64& aRandom)
{
  Customer& customer = this->customers[aCustomer];
  if (customer.limit) {
    const CustomerLimit& limit = *customer.limit;
    if (limit.concurrency != 0 && customer.inProgress >= limit.concurrency) {
      return Refuse(customer,
                    ErrorCode::ConcurrencyLimited,
                    SpacingOf(limit),
                    aNow,
                    aRandom);
    }
    if (limit.requestsPerSecond > 0.0 && !customer.bucket.TryTake(1.0, aNow)) {
      return Refuse(customer,
                    ErrorCode::RateLimited,
                    customer.bucket.UntilAvailable(1.0, aNow),
                    aNow,
                    aRandom);
    }
  }
  ++customer.inProgress;
  return std::nullopt;
}

void
AdmissionControl::Release(const CustomerName& aCustomer)
{
  const auto found = this->customers.find(aCustomer);
  if (found == this->customers.end() || found->second.inProgress == 0) {
    return;
  }
  --found->second.inProgress;
  if (found->second.inProgress == 0 && !found->second.limit) {
    this->customers.erase(found);
  }
}

std::uint32_t
AdmissionControl::InProgress(const CustomerName& aCustomer) const
{
  const auto found = this->customers.find(aCustomer);
  return found == this->customers.end() ? 0 : found->second.inProgress;
}

RequestError
AdmissionControl::Refuse(Customer& aCustomer,
                         ErrorCode aCode,
                         Duration aWait,
                         TimePoint aNow,
                         std::mt19937_64& aRandom)
{
  // Each refusal takes the next place in a line of returns. Without it all
  // that were refused in a burst come back in the same moment and are refused
  // once more.
  const Duration spacing = SpacingOf(*aCustomer.limit);
  const TimePoint earliest = aNow + std::max(aWait, kLeastRetryAfter);
  const TimePoint latest = aNow + kLongestRetryAfter;
  aCustomer.lastReturn =
    std::min(std::max(earliest, aCustomer.lastReturn + spacing), latest);
  std::uniform_int_distribution<Duration::rep> jitter(0, spacing.count());
  const Duration wait =
    Between(aNow, aCustomer.lastReturn) + Duration{ jitter(aRandom) };
  RequestError error;
  error.code = aCode;
  error.disposition = Disposition::NotRun;
  error.retryAfter = std::chrono::ceil<milliseconds>(wait);
  return error;
}

milliseconds
SpreadRetryAfter(Duration aLeast, std::mt19937_64& aRandom)
{
  const Duration least =
    std::clamp(aLeast, kLeastRetryAfter, Duration(kLongestRetryAfter));
  std::uniform_int_distribution<Duration::rep> extra(0, least.count());
  return std::chrono::ceil<milliseconds>(least + Duration{ extra(aRandom) });
}

} // namespace dogwoodvale
