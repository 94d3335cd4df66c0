#include "StoreJson.h"

#include <array>
#include <cstdlib>
#include <string_view>

#include <absl/strings/escaping.h>

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kMaxValueBytes = 1ULL << 20;

template<class T>
struct Named
{
  const char* name;
  T value;
};

constexpr std::array kTargets{
  Named<Compare::Target>{ "VERSION", Compare::Target::Version },
  Named<Compare::Target>{ "CREATE", Compare::Target::Create },
  Named<Compare::Target>{ "MOD", Compare::Target::Mod },
  Named<Compare::Target>{ "VALUE", Compare::Target::Value },
  Named<Compare::Target>{ "LEASE", Compare::Target::Lease },
};
constexpr std::array kResults{
  Named<Compare::Result>{ "EQUAL", Compare::Result::Equal },
  Named<Compare::Result>{ "GREATER", Compare::Result::Greater },
  Named<Compare::Result>{ "LESS", Compare::Result::Less },
  Named<Compare::Result>{ "NOT_EQUAL", Compare::Result::NotEqual },
};
/// The field that holds what a target is compared with.
constexpr std::array kNumberFields{
  Named<Compare::Target>{ "version", Compare::Target::Version },
  Named<Compare::Target>{ "create_revision", Compare::Target::Create },
  Named<Compare::Target>{ "mod_revision", Compare::Target::Mod },
  Named<Compare::Target>{ "lease", Compare::Target::Lease },
};

/// By name or, as the mapping allows, by number; the first if absent.
template<class T, std::size_t N>
absl::StatusOr<T>
EnumOf(const Json::Value& aValue, const std::array<Named<T>, N>& aNames)
{
  if (aValue.isNull()) {
    return aNames.front().value;
  }
  for (std::size_t at = 0; at < N; ++at) {
    if ((aValue.isString() && aValue.asString() == aNames[at].name) ||
        (aValue.isUInt() && aValue.asUInt() == at)) {
      return aNames[at].value;
    }
  }
  return absl::InvalidArgumentError("unknown enum value");
}

absl::StatusOr<std::string>
BytesOf(const Json::Value& aValue)
{
  std::string bytes;
  if (aValue.isNull()) {
    return bytes;
  }
  if (!aValue.isString() || !absl::Base64Unescape(aValue.asString(), &bytes)) {
    return absl::InvalidArgumentError("illegal base64 data");
  }
  return bytes;
}

std::string
ToBase64(const std::string& aBytes)
{
  return absl::Base64Escape(aBytes);
}

void
SetNumber(Json::Value& aObject, const char* aName, std::int64_t aNumber)
{
  if (aNumber != 0) {
    aObject[aName] = std::to_string(aNumber);
  }
}

Json::Value
ListJson(std::span<const KeyValue> aKvs)
{
  Json::Value list(Json::arrayValue);
  for (const KeyValue& kv : aKvs) {
    list.append(KeyValueJson(kv));
  }
  return list;
}

} // namespace

std::int64_t
Int64Of(const Json::Value& aValue)
{
  if (aValue.isString()) {
    return std::strtoll(aValue.asCString(), nullptr, 10);
  }
  return aValue.isInt64() ? aValue.asInt64() : 0;
}

absl::StatusOr<KeyRange>
KeyRangeFromJson(const Json::Value& aRequest)
{
  auto key = BytesOf(aRequest["key"]);
  if (!key.ok()) {
    return key.status();
  }
  auto end = BytesOf(aRequest["range_end"]);
  if (!end.ok()) {
    return end.status();
  }
  if (key->empty()) {
    return absl::InvalidArgumentError("etcdserver: key is not provided");
  }
  return KeyRange{ std::move(*key), std::move(*end) };
}

absl::StatusOr<Operation>
OperationFromJson(Operation::Kind aKind, const Json::Value& aRequest)
{
  if (!aRequest.isObject()) {
    return absl::InvalidArgumentError("a request must be an object");
  }
  auto range = KeyRangeFromJson(aRequest);
  if (!range.ok()) {
    return range.status();
  }
  Operation operation;
  operation.kind = aKind;
  operation.range = std::move(*range);
  if (aKind == Operation::Kind::Range) {
    operation.limit = static_cast<std::size_t>(
      std::max<std::int64_t>(Int64Of(aRequest["limit"]), 0));
  } else if (aKind == Operation::Kind::Put) {
    auto value = BytesOf(aRequest["value"]);
    if (!value.ok()) {
      return value.status();
    }
    if (value->size() > kMaxValueBytes) {
      return absl::InvalidArgumentError("etcdserver: request is too large");
    }
    operation.value = std::move(*value);
    operation.lease = Int64Of(aRequest["lease"]);
    operation.range.end.clear();
  }
  return operation;
}

absl::StatusOr<Operation>
TxnOperationFromJson(const Json::Value& aRequest)
{
  constexpr std::array kKinds{
    Named<Operation::Kind>{ "request_range", Operation::Kind::Range },
    Named<Operation::Kind>{ "request_put", Operation::Kind::Put },
    Named<Operation::Kind>{ "request_delete_range", Operation::Kind::Delete },
  };
  for (const auto& kind : kKinds) {
    if (aRequest.isObject() && aRequest.isMember(kind.name)) {
      return OperationFromJson(kind.value, aRequest[kind.name]);
    }
  }
  return absl::InvalidArgumentError("unknown request in a transaction");
}

absl::StatusOr<Compare>
CompareFromJson(const Json::Value& aCompare)
{
  if (!aCompare.isObject()) {
    return absl::InvalidArgumentError("a compare must be an object");
  }
  const auto target = EnumOf(aCompare["target"], kTargets);
  const auto result = EnumOf(aCompare["result"], kResults);
  auto range = KeyRangeFromJson(aCompare);
  auto value = BytesOf(aCompare["value"]);
  for (const absl::Status& status :
       { target.status(), result.status(), range.status(), value.status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  Compare compare;
  compare.target = *target;
  compare.result = *result;
  compare.key = std::move(range->key);
  compare.value = std::move(*value);
  for (const auto& field : kNumberFields) {
    if (field.value == compare.target) {
      compare.number = Int64Of(aCompare[field.name]);
    }
  }
  return compare;
}

Json::Value
HeaderJson(std::int64_t aRevision)
{
  Json::Value header;
  header["cluster_id"] = "14841639068965178418";
  header["member_id"] = "10276657743932975437";
  header["revision"] = std::to_string(aRevision);
  header["raft_term"] = "2";
  return header;
}

Json::Value
KeyValueJson(const KeyValue& aKv)
{
  Json::Value json;
  json["key"] = ToBase64(aKv.key);
  SetNumber(json, "create_revision", aKv.createRevision);
  SetNumber(json, "mod_revision", aKv.modRevision);
  SetNumber(json, "version", aKv.version);
  if (!aKv.value.empty()) {
    json["value"] = ToBase64(aKv.value);
  }
  SetNumber(json, "lease", aKv.lease);
  return json;
}

Json::Value
KeysJson(std::span<const std::string> aKeys)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& key : aKeys) {
    list.append(ToBase64(key));
  }
  return list;
}

Json::Value
ResultJson(const OperationResult& aResult, bool aWantsPrevious)
{
  Json::Value json(Json::objectValue);
  if (aResult.kind == Operation::Kind::Range) {
    if (!aResult.kvs.empty()) {
      json["kvs"] = ListJson(aResult.kvs);
    }
    SetNumber(json, "count", aResult.count);
    if (aResult.count > static_cast<std::int64_t>(aResult.kvs.size())) {
      json["more"] = true;
    }
  } else if (aResult.kind == Operation::Kind::Delete) {
    SetNumber(json, "deleted", aResult.count);
    if (aWantsPrevious && !aResult.kvs.empty()) {
      json["prev_kvs"] = ListJson(aResult.kvs);
    }
  } else if (aWantsPrevious && !aResult.kvs.empty()) {
    json["prev_kv"] = KeyValueJson(aResult.kvs.front());
  }
  return json;
}

Json::Value
TxnResultJson(const OperationResult& aResult, std::int64_t aRevision)
{
  constexpr std::array kNames{ "response_range",
                               "response_put",
                               "response_delete_range" };
  Json::Value body = ResultJson(aResult, false);
  body["header"]["revision"] = std::to_string(aRevision);
  Json::Value json;
  json[kNames.at(static_cast<std::size_t>(aResult.kind))] = body;
  return json;
}

Json::Value
EventsJson(std::span<const StoreEvent> aEvents, bool aWantsPrevious)
{
  Json::Value list(Json::arrayValue);
  for (const StoreEvent& event : aEvents) {
    Json::Value json;
    if (event.isDelete) {
      json["type"] = "DELETE";
    }
    json["kv"] = KeyValueJson(event.kv);
    if (aWantsPrevious && event.previous) {
      json["prev_kv"] = KeyValueJson(*event.previous);
    }
    list.append(json);
  }
  return list;
}

} // namespace dogwoodvale::standins
