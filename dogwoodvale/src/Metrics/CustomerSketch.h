#ifndef DOGWOODVALE_METRICS_CUSTOMERSKETCH_H
#define DOGWOODVALE_METRICS_CUSTOMERSKETCH_H

#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "PrometheusWriter.h"

namespace dogwoodvale {

/// One request of a customer, told when it ended.
struct CustomerSample
{
  Duration total{ 0 };
  std::optional<Duration> firstToken = std::nullopt;
  std::uint64_t tokens = 0;
  bool succeeded = false;
  bool attained = false;
  /// Its customer was over its share of a service short of capacity.
  bool overShare = false;
  /// It was refused for that.
  bool refusedForShare = false;
};

/// What is known of one busy customer since it entered the sketch.
struct CustomerMetrics
{
  CustomerName customer;
  /// Requests, at most \c error too many: those that were its slot's before.
  std::uint64_t requests = 0;
  std::uint64_t error = 0;
  std::uint64_t failed = 0;
  std::uint64_t attained = 0;
  std::uint64_t tokens = 0;
  std::uint64_t overShare = 0;
  std::uint64_t refusedForShare = 0;
  LatencyHistogram total;
  LatencyHistogram firstToken;
};

/// The busiest customers in bounded memory, by the space-saving algorithm
/// (Metwally, Agrawal, El Abbadi, 2005): with K slots, each customer with more
/// than 1/K of the requests has one, whatever the others do.
class CustomerSketch final : public MetricsSource
{
public:
  static constexpr std::size_t kDefaultCapacity = 32;

  explicit CustomerSketch(std::size_t aCapacity = kDefaultCapacity);

  void Record(const CustomerName& aCustomer, const CustomerSample& aSample);

  /// The busiest first.
  std::vector<const CustomerMetrics*> Busiest() const;
  std::uint64_t Total() const { return this->recorded; }

  void WriteMetrics(PrometheusWriter& aWriter) const override;

private:
  CustomerMetrics& SlotOf(const CustomerName& aCustomer);

  std::size_t capacity;
  std::uint64_t recorded = 0;
  std::vector<CustomerMetrics> slots;
  absl::flat_hash_map<CustomerName, std::size_t> places;
};

} // namespace dogwoodvale

#endif
