#include "JsonText.h"

#include <memory>

namespace dogwoodvale {

absl::StatusOr<Json::Value>
ParseJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, &errors)) {
    return MakeError(absl::StatusCode::kDataLoss, "not JSON: {}", errors);
  }
  return value;
}

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

} // namespace dogwoodvale
