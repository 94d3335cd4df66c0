#ifndef DOGWOODVALE_STORE_STOREJSON_H
#define DOGWOODVALE_STORE_STOREJSON_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "StoreTypes.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale::internal {

/// etcd's published v3 JSON mapping: bytes in base64, 64-bit integers as
/// strings, fields at their default left out.

Json::Value
RangeToJson(const RangeQuery& aQuery);
Json::Value
TransactionToJson(const Transaction& aTransaction);
Json::Value
LeaseToJson(LeaseId aLease);
Json::Value
WatchToJson(const std::string& aPrefix, Revision aFrom);

absl::StatusOr<RangeResult>
RangeFromJson(const Json::Value& aValue);
absl::StatusOr<WriteResult>
WriteFromJson(const Json::Value& aValue);
/// Of a grant, or of a renewal (inside "result").
absl::StatusOr<LeaseGrant>
LeaseFromJson(const Json::Value& aValue);

/// One line of a watch.
struct WatchLine
{
  Revision revision = 0;
  bool isCreated = false;
  /// The store ends the watch, e.g. as the revision was compacted.
  bool isCanceled = false;
  std::string reason;
  std::vector<StoreChange> changes;
};

absl::StatusOr<WatchLine>
WatchLineFromJson(std::string_view aLine);

/// The message of an error body; the body itself if it has none.
std::string
ErrorMessage(std::string_view aBody);

} // namespace dogwoodvale::internal

#endif
