#ifndef DOGWOODVALE_TOOLS_LOAD_JSONREADER_H
#define DOGWOODVALE_TOOLS_LOAD_JSONREADER_H

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::load {

/// Parses a whole document with comments allowed; repeated keys and trailing
/// text are refused.
absl::StatusOr<Json::Value>
ParseJson(std::string_view aText);

/// \p aValue as one line.
std::string
WriteJsonLine(const Json::Value& aValue);

/// The whole file \p aPath.
absl::StatusOr<std::string>
ReadFile(const std::string& aPath);

/// Reads typed members of objects, and collects what is wrong with its place.
class JsonReader
{
public:
  JsonReader(std::string_view aFile, std::string_view aText);

  /// Finds each member of \p aObject that is not in \p aKnown.
  void CheckKeys(const Json::Value& aObject,
                 std::initializer_list<std::string_view> aKnown);

  /// Reads a member into \p aTarget if it is there.
  void Read(const Json::Value& aObject, const char* aKey, std::string& aTarget);
  void Read(const Json::Value& aObject, const char* aKey, bool& aTarget);
  void Read(const Json::Value& aObject,
            const char* aKey,
            double& aTarget,
            double aMin,
            double aMax);
  void Read(const Json::Value& aObject,
            const char* aKey,
            int& aTarget,
            int aMin,
            int aMax);

  /// The object at \p aKey; an empty one if it isn't there.
  const Json::Value& Object(const Json::Value& aObject, const char* aKey);
  /// The array at \p aKey; an empty one if it isn't there.
  const Json::Value& Array(const Json::Value& aObject, const char* aKey);

  void Fail(const Json::Value& aWhere, std::string aMessage);

  const Findings& Found() const { return this->findings; }

private:
  std::string file;
  std::string text;
  Findings findings;
};

} // namespace dogwoodvale::load

#endif
