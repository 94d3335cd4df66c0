#ifndef DOGWOODVALE_DUTIES_USAGEREPORT_H
#define DOGWOODVALE_DUTIES_USAGEREPORT_H

#include <map>
#include <string>
#include <string_view>

#include "UsageSchedule.h"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Requests of each customer that began to run in one window.
using UsageCounts = std::map<CustomerName, std::uint64_t>;

/// What is reported of one window; never two different ones of the same.
struct UsageReport
{
  WindowId window = 0;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// The first window of a store's era that may be decided: what was decided of
/// earlier ones may have been sent and then lost with the store's data.
struct UsageFloor
{
  StoreEra era = 0;
  WindowId window = 0;

  bool operator==(const UsageFloor&) const = default;
};

/// A report as it is kept in the store, in JSON.
std::string
WriteUsageReport(const UsageReport& aReport);

/// \return DataLoss for what no process of this version writes.
absl::StatusOr<UsageReport>
ReadUsageReport(std::string_view aText);

std::string
WriteUsageFloor(const UsageFloor& aFloor);

absl::StatusOr<UsageFloor>
ReadUsageFloor(std::string_view aText);

} // namespace dogwoodvale

#endif
