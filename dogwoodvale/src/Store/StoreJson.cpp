#include "StoreJson.h"

#include <charconv>
#include <memory>

#include <absl/strings/escaping.h>

namespace dogwoodvale::internal {

namespace {

std::string
Encode(std::string_view aBytes)
{
  return absl::Base64Escape(ToAbsl(aBytes));
}

/// The exclusive end of the range of all keys that start with \p aPrefix; a
/// zero byte (no end) if the prefix is empty or all 0xff.
std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    const auto last = static_cast<unsigned char>(aPrefix.back());
    if (last != 0xff) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, '\0');
}

absl::Status
Malformed(std::string_view aWhat)
{
  return MakeError(absl::StatusCode::kDataLoss,
                   "the store's response has a malformed {}",
                   aWhat);
}

/// Reads fields of an object and records whether any had the wrong type. Absent
/// fields give the type's default.
class FieldReader
{
public:
  explicit FieldReader(const Json::Value& aObject)
    : object(aObject)
  {
  }

  std::int64_t Integer(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    if (field.isNull()) {
      return 0;
    }
    if (field.isInt64()) {
      return field.asInt64();
    }
    std::int64_t number = 0;
    const std::string text = field.isString() ? field.asString() : "";
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    this->bad |= text.empty() || error != std::errc() || stop != end;
    return number;
  }

  std::string Bytes(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    if (field.isNull()) {
      return {};
    }
    std::string bytes;
    this->bad |=
      !field.isString() || !absl::Base64Unescape(field.asString(), &bytes);
    return bytes;
  }

  std::string Text(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    this->bad |= !field.isNull() && !field.isString();
    return field.isString() ? field.asString() : std::string();
  }

  bool Flag(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    this->bad |= !field.isNull() && !field.isBool();
    return field.isBool() && field.asBool();
  }

  const Json::Value& Object(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    this->bad |= !field.isNull() && !field.isObject();
    return field;
  }

  const Json::Value& List(const char* aName)
  {
    const Json::Value& field = this->Field(aName);
    this->bad |= !field.isNull() && !field.isArray();
    return field.isArray() ? field : Json::Value::nullSingleton();
  }

  bool IsBad() const { return this->bad; }

private:
  const Json::Value& Field(const char* aName) const
  {
    return this->object.isObject() ? this->object[aName]
                                   : Json::Value::nullSingleton();
  }
  const Json::Value& object;
  bool bad = false;
};

absl::StatusOr<KeyValue>
KeyValueFromJson(const Json::Value& aValue)
{
  FieldReader reader(aValue);
  KeyValue result{ .key = reader.Bytes("key"),
                   .value = reader.Bytes("value"),
                   .createRevision = reader.Integer("create_revision"),
                   .modRevision = reader.Integer("mod_revision"),
                   .version = reader.Integer("version"),
                   .lease = reader.Integer("lease") };
  if (reader.IsBad() || result.key.empty()) {
    return Malformed("key-value pair");
  }
  return result;
}

absl::StatusOr<std::vector<KeyValue>>
KeyValuesFromJson(const Json::Value& aList)
{
  std::vector<KeyValue> result;
  result.reserve(aList.size());
  for (const Json::Value& item : aList) {
    absl::StatusOr<KeyValue> value = KeyValueFromJson(item);
    if (!value.ok()) {
      return value.status();
    }
    result.push_back(*std::move(value));
  }
  return result;
}

Revision
HeaderRevision(const Json::Value& aValue, bool& aBad)
{
  FieldReader outer(aValue);
  FieldReader header(outer.Object("header"));
  const Revision revision = header.Integer("revision");
  aBad |= outer.IsBad() || header.IsBad();
  return revision;
}

const char*
TargetName(Compare::Target aTarget)
{
  switch (aTarget) {
    case Compare::Target::CreateRevision:
      return "CREATE";
    case Compare::Target::ModRevision:
      return "MOD";
    case Compare::Target::Version:
      return "VERSION";
    case Compare::Target::Value:
      return "VALUE";
  }
  return "MOD";
}

Json::Value
CompareToJson(const Compare& aCompare)
{
  Json::Value result(Json::objectValue);
  result["key"] = Encode(aCompare.key);
  result["result"] = "EQUAL";
  result["target"] = TargetName(aCompare.target);
  const std::string number = std::to_string(aCompare.number);
  switch (aCompare.target) {
    case Compare::Target::CreateRevision:
      result["create_revision"] = number;
      break;
    case Compare::Target::ModRevision:
      result["mod_revision"] = number;
      break;
    case Compare::Target::Version:
      result["version"] = number;
      break;
    case Compare::Target::Value:
      result["value"] = Encode(aCompare.value);
      break;
  }
  return result;
}

Json::Value
OperationToJson(const Operation& aOperation)
{
  Json::Value body(Json::objectValue);
  body["key"] = Encode(aOperation.key);
  if (aOperation.isPrefix) {
    body["range_end"] = Encode(PrefixEnd(aOperation.key));
  }
  Json::Value result(Json::objectValue);
  switch (aOperation.kind) {
    case Operation::Kind::Put:
      body["value"] = Encode(aOperation.value);
      if (aOperation.lease != 0) {
        body["lease"] = std::to_string(aOperation.lease);
      }
      result["request_put"] = std::move(body);
      break;
    case Operation::Kind::Delete:
      result["request_delete_range"] = std::move(body);
      break;
    case Operation::Kind::Range:
      result["request_range"] = std::move(body);
      break;
  }
  return result;
}

} // namespace

Json::Value
RangeToJson(const RangeQuery& aQuery)
{
  Json::Value result(Json::objectValue);
  result["key"] = Encode(aQuery.key);
  if (aQuery.isPrefix) {
    result["range_end"] = Encode(PrefixEnd(aQuery.key));
  }
  if (aQuery.limit > 0) {
    result["limit"] = std::to_string(aQuery.limit);
  }
  if (aQuery.keysOnly) {
    result["keys_only"] = true;
  }
  return result;
}

Json::Value
TransactionToJson(const Transaction& aTransaction)
{
  Json::Value result(Json::objectValue);
  for (const Compare& compare : aTransaction.when) {
    result["compare"].append(CompareToJson(compare));
  }
  for (const Operation& operation : aTransaction.then) {
    result["success"].append(OperationToJson(operation));
  }
  for (const Operation& operation : aTransaction.otherwise) {
    result["failure"].append(OperationToJson(operation));
  }
  return result;
}

Json::Value
LeaseToJson(LeaseId aLease)
{
  Json::Value result(Json::objectValue);
  result["ID"] = std::to_string(aLease);
  return result;
}

Json::Value
WatchToJson(const std::string& aPrefix, Revision aFrom)
{
  Json::Value create(Json::objectValue);
  create["key"] = Encode(aPrefix);
  create["range_end"] = Encode(PrefixEnd(aPrefix));
  create["start_revision"] = std::to_string(aFrom);
  create["progress_notify"] = true;
  Json::Value result(Json::objectValue);
  result["create_request"] = std::move(create);
  return result;
}

absl::StatusOr<RangeResult>
RangeFromJson(const Json::Value& aValue)
{
  bool bad = false;
  RangeResult result;
  result.revision = HeaderRevision(aValue, bad);
  FieldReader reader(aValue);
  result.hasMore = reader.Flag("more");
  absl::StatusOr<std::vector<KeyValue>> values =
    KeyValuesFromJson(reader.List("kvs"));
  if (!values.ok()) {
    return values.status();
  }
  if (bad || reader.IsBad()) {
    return Malformed("range");
  }
  result.values = *std::move(values);
  return result;
}

absl::StatusOr<WriteResult>
WriteFromJson(const Json::Value& aValue)
{
  bool bad = false;
  WriteResult result;
  result.revision = HeaderRevision(aValue, bad);
  FieldReader reader(aValue);
  const bool succeeded = reader.Flag("succeeded");
  for (const Json::Value& response : reader.List("responses")) {
    FieldReader inner(response);
    const Json::Value& range = inner.Object("response_range");
    if (range.isNull()) {
      continue;
    }
    absl::StatusOr<RangeResult> read = RangeFromJson(range);
    if (!read.ok()) {
      return read.status();
    }
    result.reads.push_back(std::move(read->values));
  }
  if (bad || reader.IsBad()) {
    return Malformed("transaction");
  }
  result.outcome = succeeded ? WriteOutcome::Applied : WriteOutcome::NotApplied;
  result.status = succeeded
                    ? absl::OkStatus()
                    : absl::FailedPreconditionError(
                        "a comparison of the transaction does not hold");
  return result;
}

absl::StatusOr<LeaseGrant>
LeaseFromJson(const Json::Value& aValue)
{
  FieldReader outer(aValue);
  const Json::Value& nested = outer.Object("result");
  FieldReader reader(nested.isNull() ? aValue : nested);
  LeaseGrant lease{ .id = reader.Integer("ID"),
                    .ttl = seconds(reader.Integer("TTL")) };
  if (outer.IsBad() || reader.IsBad()) {
    return Malformed("lease");
  }
  if (lease.ttl <= Duration(0) || lease.id == 0) {
    return absl::NotFoundError("the lease has expired");
  }
  return lease;
}

absl::StatusOr<WatchLine>
WatchLineFromJson(std::string_view aLine)
{
  const absl::StatusOr<Json::Value> parsed = ParseJson(aLine);
  if (!parsed.ok()) {
    return parsed.status();
  }
  FieldReader outer(*parsed);
  const Json::Value& result = outer.Object("result");
  WatchLine line;
  if (result.isNull()) {
    line.isCanceled = true;
    line.reason = ErrorMessage(aLine);
    return line;
  }
  bool bad = false;
  line.revision = HeaderRevision(result, bad);
  FieldReader reader(result);
  line.isCreated = reader.Flag("created");
  line.isCanceled = reader.Flag("canceled");
  line.reason = reader.Text("cancel_reason");
  for (const Json::Value& event : reader.List("events")) {
    FieldReader fields(event);
    absl::StatusOr<KeyValue> value = KeyValueFromJson(fields.Object("kv"));
    if (!value.ok()) {
      return value.status();
    }
    const bool isDelete = fields.Text("type") == "DELETE";
    line.changes.push_back(
      { .kind = isDelete ? StoreChange::Kind::Delete : StoreChange::Kind::Put,
        .value = *std::move(value) });
  }
  if (bad || reader.IsBad()) {
    return Malformed("watch");
  }
  return line;
}

std::string
ErrorMessage(std::string_view aBody)
{
  const absl::StatusOr<Json::Value> parsed = ParseJson(aBody);
  if (parsed.ok()) {
    FieldReader reader(*parsed);
    std::string message = reader.Text("message");
    if (!message.empty()) {
      return message;
    }
    FieldReader nested(reader.Object("error"));
    std::string inner = nested.Text("message");
    if (!inner.empty()) {
      return inner;
    }
  }
  constexpr std::size_t kMaxShownBytes = 200;
  return std::string(aBody.substr(0, kMaxShownBytes));
}

} // namespace dogwoodvale::internal
