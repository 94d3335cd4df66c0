#include "AdmissionControl.h"

#include <algorithm>

namespace dogwoodvale {

namespace {

/// Spacing of retries for a customer that has a concurrency limit only.
constexpr Duration kDefaultRetrySpacing = milliseconds(100);
constexpr Duration kMaxRetryAfter = seconds(30);
constexpr Duration kMinRetryAfter = milliseconds(50);

Duration
RetrySpacing(const CustomerLimit& aLimit)
{
  if (aLimit.requestsPerSecond <= 0.0) {
    return kDefaultRetrySpacing;
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
                    RetrySpacing(limit),
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
  // Each refusal is scheduled one spacing after the previous one. With a common
  // Retry-After all requests refused in a burst would return at the same time
  // and be refused again.
  const Duration spacing = RetrySpacing(*aCustomer.limit);
  const TimePoint earliest = aNow + std::max(aWait, kMinRetryAfter);
  const TimePoint latest = aNow + kMaxRetryAfter;
  aCustomer.lastRetryAt =
    std::min(std::max(earliest, aCustomer.lastRetryAt + spacing), latest);
  std::uniform_int_distribution<Duration::rep> jitter(0, spacing.count());
  const Duration wait =
    Between(aNow, aCustomer.lastRetryAt) + Duration{ jitter(aRandom) };
  RequestError error;
  error.code = aCode;
  error.disposition = Disposition::NotRun;
  error.retryAfter = std::chrono::ceil<milliseconds>(wait);
  return error;
}

milliseconds
JitteredRetryAfter(Duration aLeast, std::mt19937_64& aRandom)
{
  const Duration least =
    std::clamp(aLeast, kMinRetryAfter, Duration(kMaxRetryAfter));
  std::uniform_int_distribution<Duration::rep> extra(0, least.count());
  return std::chrono::ceil<milliseconds>(least + Duration{ extra(aRandom) });
}

} // namespace dogwoodvale
