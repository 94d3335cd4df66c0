#ifndef DOGWOODVALE_GATEWAY_USAGEDOCUMENT_H
#define DOGWOODVALE_GATEWAY_USAGEDOCUMENT_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Duties"

namespace dogwoodvale {

/// All that a gateway knows of usage, for one that has missed some of it.
struct UsageDocument
{
  /// Since when it has heard all that its cell counted, in true time.
  milliseconds since{ 0 };
  /// When it was written, in true time.
  milliseconds writtenAt{ 0 };
  std::map<UsageSource, std::vector<UsageNews>> sources;
};

std::string
WriteUsageDocument(const UsageDocument& aDocument);

/// \return DataLoss for what no gateway of this version writes.
absl::StatusOr<UsageDocument>
ReadUsageDocument(std::string_view aText);

} // namespace dogwoodvale

#endif
