#include "CustomerSketch.h"

#include <algorithm>
#include <array>

namespace dogwoodvale {

CustomerSketch::CustomerSketch(std::size_t aCapacity)
  : capacity(std::max<std::size_t>(aCapacity, 1))
{
}

CustomerMetrics&
CustomerSketch::SlotOf(const CustomerName& aCustomer)
{
  const auto found = this->places.find(aCustomer);
  if (found != this->places.end()) {
    return this->slots[found->second];
  }
  if (this->slots.size() < this->capacity) {
    this->places.emplace(aCustomer, this->slots.size());
    this->slots.emplace_back().customer = aCustomer;
    return this->slots.back();
  }
  const auto least =
    std::ranges::min_element(this->slots, {}, &CustomerMetrics::requests);
  this->places.erase(least->customer);
  this->places.emplace(aCustomer, std::size_t(least - this->slots.begin()));
  // The newcomer takes over the count, as it may have been here before; that
  // is what makes the bound hold.
  const std::uint64_t before = least->requests;
  *least = CustomerMetrics{};
  least->customer = aCustomer;
  least->requests = before;
  least->error = before;
  return *least;
}

void
CustomerSketch::Record(const CustomerName& aCustomer,
                       const CustomerSample& aSample)
{
  CustomerMetrics& slot = this->SlotOf(aCustomer);
  ++this->recorded;
  ++slot.requests;
  slot.failed += aSample.succeeded ? 0 : 1;
  slot.attained += aSample.attained ? 1 : 0;
  slot.tokens += aSample.tokens;
  slot.overShare += aSample.overShare ? 1 : 0;
  slot.refusedForShare += aSample.refusedForShare ? 1 : 0;
  slot.total.Record(aSample.total);
  if (aSample.firstToken) {
    slot.firstToken.Record(*aSample.firstToken);
  }
}

std::vector<const CustomerMetrics*>
CustomerSketch::Busiest() const
{
  std::vector<const CustomerMetrics*> sorted;
  sorted.reserve(this->slots.size());
  for (const CustomerMetrics& slot : this->slots) {
    sorted.push_back(&slot);
  }
  std::ranges::sort(sorted, [](const auto* aLeft, const auto* aRight) {
    return aLeft->requests != aRight->requests
             ? aLeft->requests > aRight->requests
             : aLeft->customer < aRight->customer;
  });
  return sorted;
}

void
CustomerSketch::WriteMetrics(PrometheusWriter& aWriter) const
{
  struct Counter
  {
    std::string_view name;
    std::string_view help;
    std::uint64_t CustomerMetrics::*member;
  };
  // Gauges, as a customer that leaves the sketch and returns starts anew.
  static constexpr std::array<Counter, 7> kCounters = { {
    { "customer_requests",
      "Requests of the busiest customers, at most customer_error too many.",
      &CustomerMetrics::requests },
    { "customer_error",
      "How many of customer_requests may be another's.",
      &CustomerMetrics::error },
    { "customer_failed", "Failed requests.", &CustomerMetrics::failed },
    { "customer_attained",
      "Requests that met their target.",
      &CustomerMetrics::attained },
    { "customer_tokens", "Tokens delivered.", &CustomerMetrics::tokens },
    { "customer_over_share",
      "Requests that came while the customer was over its share of a service "
      "short of capacity.",
      &CustomerMetrics::overShare },
    { "customer_refused_for_share",
      "Of these, requests that were refused for it.",
      &CustomerMetrics::refusedForShare },
  } };
  const auto busiest = this->Busiest();
  const auto each = [&](auto aMember) {
    for (const CustomerMetrics* slot : busiest) {
      const Label label{ "customer", slot->customer.Value() };
      aWriter.Sample({ &label, 1 }, slot->*aMember);
    }
  };
  for (const Counter& counter : kCounters) {
    aWriter.Family(counter.name, counter.help, MetricType::Gauge);
    each(counter.member);
  }
  aWriter.Family("customer_request_seconds",
                 "Time from arrival to the end of the answer.",
                 MetricType::Histogram);
  each(&CustomerMetrics::total);
  aWriter.Family("customer_first_token_seconds",
                 "Time from arrival to the first token.",
                 MetricType::Histogram);
  each(&CustomerMetrics::firstToken);
}

} // namespace dogwoodvale
