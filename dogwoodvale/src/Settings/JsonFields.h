#ifndef DOGWOODVALE_SETTINGS_JSONFIELDS_H
#define DOGWOODVALE_SETTINGS_JSONFIELDS_H

#include <cstdint>
#include <string>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Reads the fields of a JSON object that another process sent.
///
/// A field that is missing or of another type reads as empty, and Status()
/// tells of the first. The library's own accessors throw there: a process would
/// end by an answer of the wrong shape, and again by the next after its
/// restart.
class JsonFields
{
public:
  explicit JsonFields(const Json::Value& aObject);

  std::int64_t Int(const char* aName);
  /// At most the largest 32-bit number; negative ones are an error.
  std::uint32_t Count(const char* aName);
  /// A whole number of zero or more; 0 where there is no such field.
  std::uint64_t Whole(const char* aName);
  std::string Text(const char* aName);
  /// False where there is no such field.
  bool Flag(const char* aName);
  /// An array.
  const Json::Value& List(const char* aName);

  /// OK, or DataLoss that names the first field that could not be read.
  const absl::Status& Status() const { return this->status; }

private:
  const Json::Value& Find(const char* aName);
  void Fail(const char* aName, std::string_view aWanted);

  const Json::Value& object;
  absl::Status status;
};

} // namespace dogwoodvale

#endif
