#include "StoreApi.h"

#include <algorithm>
#include <map>
#include <vector>

#include "StoreJson.h"

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kMaxTxnOperations = 128;

bool
Flag(const Json::Value& aObject, const char* aName)
{
  return aObject[aName].isBool() && aObject[aName].asBool();
}

} // namespace

const std::map<std::string, StoreApi::Route>&
StoreApi::Routes()
{
  static const std::map<std::string, Route> routes{
    { "/v3/kv/range", { false, &StoreApi::Range } },
    { "/v3/kv/put", { true, &StoreApi::Put } },
    { "/v3/kv/deleterange", { true, &StoreApi::DeleteRange } },
    { "/v3/kv/txn", { true, &StoreApi::Txn } },
    { "/v3/kv/compaction", { true, &StoreApi::Compaction } },
    { "/v3/lease/grant", { true, &StoreApi::Grant } },
    { "/v3/lease/revoke", { true, &StoreApi::Revoke } },
    { "/v3/lease/keepalive", { true, &StoreApi::KeepAlive } },
    { "/v3/lease/timetolive", { false, &StoreApi::TimeToLive } },
  };
  return routes;
}

bool
StoreApi::Has(const std::string& aPath)
{
  return Routes().contains(aPath);
}

bool
StoreApi::IsWrite(const std::string& aPath)
{
  return Routes().at(aPath).isWrite;
}

absl::StatusOr<Json::Value>
StoreApi::Serve(const std::string& aPath,
                const Json::Value& aRequest,
                TimePoint aNow)
{
  // What has lapsed by now must not be seen, however late a timer is.
  this->store.ExpireLeases(aNow);
  return (this->*Routes().at(aPath).serve)(aRequest, aNow);
}

absl::StatusOr<Json::Value>
StoreApi::ApplyOne(Operation::Kind aKind, const Json::Value& aRequest)
{
  const auto operation = OperationFromJson(aKind, aRequest);
  if (!operation.ok()) {
    return operation.status();
  }
  const auto results = this->store.Apply({ &*operation, 1 });
  if (!results.ok()) {
    return results.status();
  }
  Json::Value body = ResultJson(results->front(), Flag(aRequest, "prev_kv"));
  body["header"] = HeaderJson(this->store.Revision());
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::Range(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  return this->ApplyOne(Operation::Kind::Range, aRequest);
}

absl::StatusOr<Json::Value>
StoreApi::Put(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  return this->ApplyOne(Operation::Kind::Put, aRequest);
}

absl::StatusOr<Json::Value>
StoreApi::DeleteRange(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  return this->ApplyOne(Operation::Kind::Delete, aRequest);
}

absl::StatusOr<Json::Value>
StoreApi::Txn(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  bool holds = true;
  for (const Json::Value& item : aRequest["compare"]) {
    const auto compare = CompareFromJson(item);
    if (!compare.ok()) {
      return compare.status();
    }
    holds = this->store.Holds(*compare) && holds;
  }
  std::vector<Operation> operations;
  for (const Json::Value& item : aRequest[holds ? "success" : "failure"]) {
    auto operation = TxnOperationFromJson(item);
    if (!operation.ok()) {
      return operation.status();
    }
    operations.push_back(std::move(*operation));
  }
  if (operations.size() > kMaxTxnOperations) {
    return absl::InvalidArgumentError(
      "etcdserver: too many operations in txn request");
  }
  const auto results = this->store.Apply(operations);
  if (!results.ok()) {
    return results.status();
  }
  Json::Value body;
  body["header"] = HeaderJson(this->store.Revision());
  if (holds) {
    body["succeeded"] = true;
  }
  for (const OperationResult& result : *results) {
    body["responses"].append(TxnResultJson(result, this->store.Revision()));
  }
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::Compaction(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  const absl::Status status =
    this->store.Compact(Int64Of(aRequest["revision"]));
  if (!status.ok()) {
    return status;
  }
  Json::Value body;
  body["header"] = HeaderJson(this->store.Revision());
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::Grant(const Json::Value& aRequest, TimePoint aNow)
{
  const std::int64_t ttl = Int64Of(aRequest["TTL"]);
  const auto id = this->store.Grant(Int64Of(aRequest["ID"]), ttl, aNow);
  if (!id) {
    return absl::FailedPreconditionError("etcdserver: lease already exists");
  }
  Json::Value body;
  body["header"] = HeaderJson(this->store.Revision());
  body["ID"] = std::to_string(*id);
  body["TTL"] = std::to_string(std::max<std::int64_t>(ttl, 1));
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::Revoke(const Json::Value& aRequest, TimePoint /*aNow*/)
{
  if (!this->store.Revoke(Int64Of(aRequest["ID"]))) {
    return absl::NotFoundError("etcdserver: requested lease not found");
  }
  Json::Value body;
  body["header"] = HeaderJson(this->store.Revision());
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::KeepAlive(const Json::Value& aRequest, TimePoint aNow)
{
  const std::int64_t id = Int64Of(aRequest["ID"]);
  const auto ttl = this->store.KeepAlive(id, aNow);
  Json::Value body;
  body["result"]["header"] = HeaderJson(this->store.Revision());
  body["result"]["ID"] = std::to_string(id);
  // No TTL, that is zero, says that there is no such lease.
  if (ttl) {
    body["result"]["TTL"] = std::to_string(*ttl);
  }
  return body;
}

absl::StatusOr<Json::Value>
StoreApi::TimeToLive(const Json::Value& aRequest, TimePoint aNow)
{
  const std::int64_t id = Int64Of(aRequest["ID"]);
  const auto info = this->store.TimeToLive(id, aNow);
  Json::Value body;
  body["header"] = HeaderJson(this->store.Revision());
  body["ID"] = std::to_string(id);
  body["TTL"] = std::to_string(info ? info->leftSeconds : -1);
  if (info) {
    body["grantedTTL"] = std::to_string(info->grantedSeconds);
    if (Flag(aRequest, "keys")) {
      body["keys"] = KeysJson(info->keys);
    }
  }
  return body;
}

} // namespace dogwoodvale::standins
