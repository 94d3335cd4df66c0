#ifndef DOGWOODVALE_ROUTING_ADMISSIONCONTROL_H
#define DOGWOODVALE_ROUTING_ADMISSIONCONTROL_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include <absl/container/flat_hash_map.h>

#include "TokenBucket.h"
#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What one customer may send through this entry.
struct CustomerLimit
{
  /// 0 means no bound.
  double requestsPerSecond = 0.0;
  /// Requests that may come at once; at least 1 is taken.
  double burst = 1.0;
  /// Requests in progress; 0 means no bound.
  std::uint32_t concurrency = 0;

  bool operator==(const CustomerLimit&) const = default;
};

/// Bounds each customer's request rate and concurrency at this entry.
class AdmissionControl
{
public:
  /// Sets or changes a customer's limit; requests in progress still count.
  void SetLimit(const CustomerName& aCustomer, const CustomerLimit& aLimit);
  /// Lifts the customer's limit.
  void ClearLimit(const CustomerName& aCustomer);

  /// Admits a request, which Release() has to end; or tells why not: NotRun,
  /// RateLimited or ConcurrencyLimited, with a Retry-After. Refused requests
  /// are told different times, at the rate that the customer may send at, so
  /// that they do not come back together.
  std::optional<RequestError> Admit(const CustomerName& aCustomer,
                                    TimePoint aNow,
                                    std::mt19937_64& aRandom);
  void Release(const CustomerName& aCustomer);

  std::uint32_t InProgress(const CustomerName& aCustomer) const;
  /// Customers that take up memory: those with a limit or with requests in
  /// progress.
  std::size_t CustomerCount() const { return this->customers.size(); }

private:
  struct Customer
  {
    std::optional<CustomerLimit> limit;
    TokenBucket bucket{ 0.0, 0.0 };
    std::uint32_t inProgress = 0;
    /// When the last refused request was told to come back.
    TimePoint lastReturn{};
  };

  static RequestError Refuse(Customer& aCustomer,
                             ErrorCode aCode,
                             Duration aWait,
                             TimePoint aNow,
                             std::mt19937_64& aRandom);

  absl::flat_hash_map<CustomerName, Customer> customers;
};

/// A Retry-After of at least \p aLeast, drawn up to twice that much, for
/// refusals that are no one customer's doing, such as a full queue.
milliseconds
SpreadRetryAfter(Duration aLeast, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
