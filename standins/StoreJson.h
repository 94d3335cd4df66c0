#ifndef DOGWOODVALE_STANDINS_STOREJSON_H
#define DOGWOODVALE_STANDINS_STOREJSON_H

#include <span>
#include <string>

#include <json/json.h>

#include "KvStore.h"

namespace dogwoodvale::standins {

/// The published etcd v3 JSON mapping: keys and values in base64, 64-bit
/// numbers as strings, fields at their default left out.

/// An int64 given as string or number; 0 if absent or of another form.
std::int64_t
Int64Of(const Json::Value& aValue);

/// \return InvalidArgument if a key or value isn't base64.
absl::StatusOr<Operation>
OperationFromJson(Operation::Kind aKind, const Json::Value& aRequest);

/// A `request_range`, `request_put` or `request_delete_range`.
absl::StatusOr<Operation>
TxnOperationFromJson(const Json::Value& aRequest);

absl::StatusOr<Compare>
CompareFromJson(const Json::Value& aCompare);

absl::StatusOr<KeyRange>
KeyRangeFromJson(const Json::Value& aRequest);

/// {"revision": ...} and the ids of a cluster of one.
Json::Value
HeaderJson(std::int64_t aRevision);

Json::Value
KeyValueJson(const KeyValue& aKv);

Json::Value
KeysJson(std::span<const std::string> aKeys);

/// \param aWantsPrevious adds what was there before a put or deletion.
Json::Value
ResultJson(const OperationResult& aResult, bool aWantsPrevious);

/// A result within a transaction, under `response_range` or the like.
Json::Value
TxnResultJson(const OperationResult& aResult, std::int64_t aRevision);

Json::Value
EventsJson(std::span<const StoreEvent> aEvents, bool aWantsPrevious);

} // namespace dogwoodvale::standins

#endif
