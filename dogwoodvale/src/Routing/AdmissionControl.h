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

/// Request limits of one customer at one entry.
struct CustomerLimit
{
  /// 0 means unlimited.
  double requestsPerSecond = 0.0;
  /// Token bucket size in requests; values below 1 count as 1.
  double burst = 1.0;
  /// Maximum number of requests in progress; 0 means unlimited.
  std::uint32_t concurrency = 0;

  bool operator==(const CustomerLimit&) const = default;
};

/// Limits the request rate and concurrency of each customer at this entry.
class AdmissionControl
{
public:
  /// Sets or changes a customer's limit. Requests already in progress count
  /// against the new one. A changed limit starts with a full token bucket.
  void SetLimit(const CustomerName& aCustomer, const CustomerLimit& aLimit);
  /// Removes the customer's limit.
  void ClearLimit(const CustomerName& aCustomer);

  /// Admits a request if the customer's limits allow it.
  /// \return nothing if admitted; the caller must then call Release() when the
  /// request ends. Otherwise an error with disposition NotRun, code RateLimited
  /// or ConcurrencyLimited, and a Retry-After. Successive refusals get
  /// Retry-After times spaced at the customer's allowed rate, so that the
  /// retries do not arrive at once.
  std::optional<RequestError> Admit(const CustomerName& aCustomer,
                                    TimePoint aNow,
                                    std::mt19937_64& aRandom);
  void Release(const CustomerName& aCustomer);

  std::uint32_t InProgress(const CustomerName& aCustomer) const;
  /// Number of customers held in memory: those with a limit or with requests
  /// in progress.
  std::size_t CustomerCount() const { return this->customers.size(); }

private:
  struct Customer
  {
    std::optional<CustomerLimit> limit;
    TokenBucket bucket{ 0.0, 0.0 };
    std::uint32_t inProgress = 0;
    /// Retry time given to the last refused request.
    TimePoint lastRetryAt{};
  };

  static RequestError Refuse(Customer& aCustomer,
                             ErrorCode aCode,
                             Duration aWait,
                             TimePoint aNow,
                             std::mt19937_64& aRandom);

  absl::flat_hash_map<CustomerName, Customer> customers;
};

/// A random Retry-After between \p aLeast and twice \p aLeast, for refusals
/// that are not due to one customer's limit, such as a full queue. \p aLeast
/// is first clamped to 50 ms ... 30 s.
milliseconds
JitteredRetryAfter(Duration aLeast, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
