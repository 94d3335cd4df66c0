#ifndef DOGWOODVALE_GATEWAY_USAGEDOCUMENT_H
#define DOGWOODVALE_GATEWAY_USAGEDOCUMENT_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Duties"

namespace dogwoodvale {

/// All usage counts that a gateway knows of, for one that has missed some.
struct UsageDocument
{
  /// Agreed time (see TimeAgreement) since which it knows all counts of its
  /// cell.
  milliseconds since{ 0 };
  /// Agreed time at which it was written.
  milliseconds writtenAt{ 0 };
  /// Counts by the process that made them.
  std::map<UsageSource, std::vector<UsageUpdate>> sources;
};

std::string
WriteUsageDocument(const UsageDocument& aDocument);

/// \return DataLoss for a document that no gateway of this version writes.
absl::StatusOr<UsageDocument>
ReadUsageDocument(std::string_view aText);

} // namespace dogwoodvale

#endif
