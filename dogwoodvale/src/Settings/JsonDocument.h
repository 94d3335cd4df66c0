#ifndef DOGWOODVALE_SETTINGS_JSONDOCUMENT_H
#define DOGWOODVALE_SETTINGS_JSONDOCUMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// A JSON text with comments, and where each of its values stands.
class JsonDocument
{
public:
  /// Strict but for comments: no duplicate keys, nothing after the value,
  /// bounded size and depth. What is wrong goes to \p aFindings; Root() is null
  /// then.
  static JsonDocument Parse(std::string_view aText,
                            std::string_view aFile,
                            Findings& aFindings);

  const std::string& File() const { return this->file; }
  const Json::Value& Root() const { return this->root; }
  /// Where \p aValue, a value of this document or a copy of one, begins.
  Place PlaceOf(const Json::Value& aValue) const;
  /// Where the key of a member of \p aObject stands.
  Place PlaceOfKey(const Json::Value& aObject, std::string_view aKey) const;

  static constexpr int kMaxDepth = 64;
  static constexpr std::size_t kMaxBytes = 64U << 20U;

private:
  Place PlaceAt(std::size_t aOffset) const;
  void AddParseErrors(const std::string& aErrors, Findings& aFindings) const;

  std::string file;
  std::string text;
  /// Offset of each line, so that many findings cost one search each.
  std::vector<std::uint32_t> lineStarts;
  Json::Value root;
};

} // namespace dogwoodvale

#endif
