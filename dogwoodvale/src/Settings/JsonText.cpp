#include "JsonText.h"

#include <memory>

#include <simdjson.h>

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
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return MakeError(absl::StatusCode::kDataLoss, "not JSON: {}", errors);
    }
  } catch (const Json::Exception&) {
    // The reader throws only for nesting.
    return absl::DataLossError("JSON that is nested too deeply");
  }
  return value;
}

absl::StatusOr<std::vector<std::string>>
SplitJsonList(std::string_view aText, std::string_view aMember)
{
  const simdjson::padded_string text(aText);
  simdjson::ondemand::parser parser;
  simdjson::ondemand::document document;
  simdjson::ondemand::array list;
  if (parser.iterate(text).get(document) != simdjson::SUCCESS ||
      document[aMember].get_array().get(list) != simdjson::SUCCESS) {
    return MakeError(absl::StatusCode::kDataLoss,
                     "no JSON object with a list \"{}\"",
                     aMember);
  }
  std::vector<std::string> items;
  for (simdjson::simdjson_result<simdjson::ondemand::value> item : list) {
    std::string_view raw;
    if (simdjson::to_json_string(item).get(raw) != simdjson::SUCCESS) {
      return MakeError(
        absl::StatusCode::kDataLoss, "the list \"{}\" does not end", aMember);
    }
    items.emplace_back(raw);
  }
  return items;
}

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

} // namespace dogwoodvale
