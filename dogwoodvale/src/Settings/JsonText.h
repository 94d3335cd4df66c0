#ifndef DOGWOODVALE_SETTINGS_JSONTEXT_H
#define DOGWOODVALE_SETTINGS_JSONTEXT_H

#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Reads one JSON value of what another process sent: strict, with bounded
/// depth.
/// \return DataLoss for what is no JSON.
absl::StatusOr<Json::Value>
ParseJson(std::string_view aText);

/// The text of each item of the list that is \p aMember of an object. Items are
/// not read: one that is no JSON, or nested too deeply, costs just itself.
/// \return DataLoss for what has no such list, or doesn't end.
absl::StatusOr<std::vector<std::string>>
SplitJsonList(std::string_view aText, std::string_view aMember);

/// On one line, with no space.
std::string
WriteJson(const Json::Value& aValue);

} // namespace dogwoodvale

#endif
