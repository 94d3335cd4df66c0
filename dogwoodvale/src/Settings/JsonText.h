#ifndef DOGWOODVALE_SETTINGS_JSONTEXT_H
#define DOGWOODVALE_SETTINGS_JSONTEXT_H

#include <string>
#include <string_view>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Reads one JSON value of what another process sent: strict, with bounded
/// depth.
/// \return DataLoss for what is no JSON.
absl::StatusOr<Json::Value>
ParseJson(std::string_view aText);

/// On one line, with no space.
std::string
WriteJson(const Json::Value& aValue);

} // namespace dogwoodvale

#endif
