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
/// strings, fields with default values left out. The ...FromJson functions
/// return DataLoss if a field is malformed.

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
/// Reads the response to a grant, or to a renewal (wrapped in "result").
/// \return NotFound if the lease has expired.
absl::StatusOr<LeaseGrant>
LeaseFromJson(const Json::Value& aValue);

/// One message of a watch, sent as a line of JSON.
struct WatchLine
{
  Revision revision = 0;
  bool isCreated = false;
  /// The store ended the watch, e.g. because the start revision was compacted.
  bool isCanceled = false;
  std::string reason;
  std::vector<StoreChange> changes;
};

absl::StatusOr<WatchLine>
WatchLineFromJson(std::string_view aLine);

/// The message in the body of an error response; without one, the first 200
/// bytes of the body itself.
std::string
ErrorMessage(std::string_view aBody);

} // namespace dogwoodvale::internal

#endif
