#include "JsonFields.h"

#include <limits>

namespace dogwoodvale {

JsonFields::JsonFields(const Json::Value& aObject)
  : object(aObject)
{
  if (!aObject.isObject()) {
    this->status = absl::DataLossError("no JSON object");
  }
}

const Json::Value&
JsonFields::Find(const char* aName)
{
  return this->object.isObject() ? this->object[aName]
                                 : Json::Value::nullSingleton();
}

void
JsonFields::Fail(const char* aName, std::string_view aWanted)
{
  if (this->status.ok()) {
    this->status =
      MakeError(absl::StatusCode::kDataLoss, "\"{}\" is no {}", aName, aWanted);
  }
}

std::int64_t
JsonFields::Int(const char* aName)
{
  const Json::Value& value = this->Find(aName);
  if (!value.isInt64()) {
    this->Fail(aName, "whole number");
    return 0;
  }
  return value.asInt64();
}

std::uint32_t
JsonFields::Count(const char* aName)
{
  const std::int64_t value = this->Int(aName);
  if (value < 0 || value > std::numeric_limits<std::uint32_t>::max()) {
    this->Fail(aName, "count");
    return 0;
  }
  return static_cast<std::uint32_t>(value);
}

std::uint64_t
JsonFields::Whole(const char* aName)
{
  const Json::Value& value = this->Find(aName);
  if (value.isNull()) {
    return 0;
  }
  if (!value.isUInt64()) {
    this->Fail(aName, "whole number");
    return 0;
  }
  return value.asUInt64();
}

std::string
JsonFields::Text(const char* aName)
{
  const Json::Value& value = this->Find(aName);
  if (!value.isString()) {
    this->Fail(aName, "text");
    return "";
  }
  return value.asString();
}

bool
JsonFields::Flag(const char* aName)
{
  const Json::Value& value = this->Find(aName);
  if (value.isNull()) {
    return false;
  }
  if (!value.isBool()) {
    this->Fail(aName, "truth value");
    return false;
  }
  return value.asBool();
}

const Json::Value&
JsonFields::List(const char* aName)
{
  const Json::Value& value = this->Find(aName);
  if (!value.isArray()) {
    this->Fail(aName, "list");
    return Json::Value::nullSingleton();
  }
  return value;
}

} // namespace dogwoodvale
