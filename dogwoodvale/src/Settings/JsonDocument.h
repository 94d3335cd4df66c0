#ifndef DOGWOODVALE_SETTINGS_JSONDOCUMENT_H
#define DOGWOODVALE_SETTINGS_JSONDOCUMENT_H

#include <string>
#include <string_view>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// A JSON text with comments, and where each of its values stands.
class JsonDocument
{
public:
  /// Strict but for comments: no duplicate keys, nothing after the value,
  /// bounded depth. What is wrong goes to \p aFindings.
  static JsonDocument Parse(std::string_view aText,
                            std::string_view aFile,
                            Findings& aFindings);

  const Json::Value& Root() const { return this->root; }
  Place PlaceOf(const Json::Value& aValue) const;

  static constexpr int kMaxDepth = 64;

private:
  std::string file;
  std::string text;
  Json::Value root;
};

} // namespace dogwoodvale

#endif
