#ifndef DOGWOODVALE_DUTIES_USAGEREPORT_H
#define DOGWOODVALE_DUTIES_USAGEREPORT_H

#include <map>
#include <string>
#include <string_view>

#include "UsageSchedule.h"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// Number of requests per customer that began to run in one window.
using UsageCounts = std::map<CustomerName, std::uint64_t>;

/// The usage report of one window; all reports of a window are identical.
struct UsageReport
{
  WindowId window = 0;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// The first window of a store's era whose report may be decided. Reports of
/// earlier windows may have been sent and their records lost with the store's
/// data.
struct UsageFloor
{
  StoreEra era = 0;
  WindowId window = 0;

  bool operator==(const UsageFloor&) const = default;
};

/// The report as stored, in JSON.
std::string
WriteUsageReport(const UsageReport& aReport);

/// \return an error, DataLoss for wrong counts, if the text was not written by
/// this version.
absl::StatusOr<UsageReport>
ReadUsageReport(std::string_view aText);

/// The floor as stored, in JSON.
std::string
WriteUsageFloor(const UsageFloor& aFloor);

absl::StatusOr<UsageFloor>
ReadUsageFloor(std::string_view aText);

} // namespace dogwoodvale

#endif
