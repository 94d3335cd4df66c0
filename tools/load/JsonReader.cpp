#include "tools/load/JsonReader.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

namespace dogwoodvale::load {

absl::StatusOr<Json::Value>
ParseJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return absl::InvalidArgumentError(errors);
    }
  } catch (const Json::Exception&) {
    // The reader throws only for nesting.
    return absl::InvalidArgumentError("nested too deeply");
  }
  return value;
}

std::string
WriteJsonLine(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["precision"] = 12;
    return made;
  }();
  return Json::writeString(builder, aValue);
}

absl::StatusOr<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return MakeError(absl::StatusCode::kNotFound, "cannot read {}", aPath);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

JsonReader::JsonReader(std::string_view aFile, std::string_view aText)
  : file(aFile)
  , text(aText)
{
}

void
JsonReader::Fail(const Json::Value& aWhere, std::string aMessage)
{
  const auto offset = static_cast<std::size_t>(aWhere.getOffsetStart());
  this->findings.Add(PlaceOfOffset(this->file, this->text, offset),
                     std::move(aMessage));
}

void
JsonReader::CheckKeys(const Json::Value& aObject,
                      std::initializer_list<std::string_view> aKnown)
{
  for (const std::string& key : aObject.getMemberNames()) {
    if (std::find(aKnown.begin(), aKnown.end(), key) == aKnown.end()) {
      this->Fail(aObject[key], fmt::format("unknown key \"{}\"", key));
    }
  }
}

void
JsonReader::Read(const Json::Value& aObject,
                 const char* aKey,
                 std::string& aTarget)
{
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return;
  }
  if (!value.isString()) {
    this->Fail(value, fmt::format("\"{}\" must be a string", aKey));
    return;
  }
  aTarget = value.asString();
}

void
JsonReader::Read(const Json::Value& aObject, const char* aKey, bool& aTarget)
{
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return;
  }
  if (!value.isBool()) {
    this->Fail(value, fmt::format("\"{}\" must be true or false", aKey));
    return;
  }
  aTarget = value.asBool();
}

void
JsonReader::Read(const Json::Value& aObject,
                 const char* aKey,
                 double& aTarget,
                 double aMin,
                 double aMax)
{
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return;
  }
  if (!value.isNumeric() || value.asDouble() < aMin ||
      value.asDouble() > aMax) {
    this->Fail(
      value,
      fmt::format("\"{}\" must be a number from {} to {}", aKey, aMin, aMax));
    return;
  }
  aTarget = value.asDouble();
}

void
JsonReader::Read(const Json::Value& aObject,
                 const char* aKey,
                 int& aTarget,
                 int aMin,
                 int aMax)
{
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return;
  }
  if (!value.isInt() || value.asInt() < aMin || value.asInt() > aMax) {
    this->Fail(
      value,
      fmt::format(
        "\"{}\" must be a whole number from {} to {}", aKey, aMin, aMax));
    return;
  }
  aTarget = value.asInt();
}

const Json::Value&
JsonReader::Object(const Json::Value& aObject, const char* aKey)
{
  static const Json::Value none(Json::objectValue);
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return none;
  }
  if (!value.isObject()) {
    this->Fail(value, fmt::format("\"{}\" must be an object", aKey));
    return none;
  }
  return value;
}

const Json::Value&
JsonReader::Array(const Json::Value& aObject, const char* aKey)
{
  static const Json::Value none(Json::arrayValue);
  const Json::Value& value = aObject[aKey];
  if (value.isNull()) {
    return none;
  }
  if (!value.isArray()) {
    this->Fail(value, fmt::format("\"{}\" must be an array", aKey));
    return none;
  }
  return value;
}

} // namespace dogwoodvale::load
