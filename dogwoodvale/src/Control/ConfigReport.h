#ifndef DOGWOODVALE_CONTROL_CONFIGREPORT_H
#define DOGWOODVALE_CONTROL_CONFIGREPORT_H

#include <ctime>
#include <string>
#include <vector>

#include "CommandResult.h"
#include "ConfigurationStore.h"
#include "FleetView.h"

namespace dogwoodvale::internal {

/// What the commands on the configuration share.

std::string
TimeText(std::int64_t aSeconds);

CommandResult
InvalidResult(const Findings& aFindings);

CommandResult
StoreFailure(const absl::Status& aStatus);

/// Reads an operator's configuration and parses it.
std::vector<ConfigurationSource>
ReadAndCheck(const std::string& aPath, Findings& aFindings);

/// \tparam Change a root or one of its past.
template<class Change>
Json::Value
ChangeToJson(const Change& aChange)
{
  Json::Value item(Json::objectValue);
  item["epoch"] = Json::UInt64(aChange.epoch);
  item["change_id"] = aChange.changeId;
  item["author"] = aChange.author;
  item["comment"] = aChange.comment;
  item["accepted_at"] = Json::Int64(aChange.acceptedAt);
  return item;
}

template<class Change>
std::string
ChangeLine(const Change& aChange)
{
  return fmt::format("{:>6}  {}  {}  {}  {}",
                     aChange.epoch,
                     TimeText(aChange.acceptedAt),
                     aChange.changeId,
                     aChange.author,
                     aChange.comment);
}

/// How the store stands to the highest epoch of the fleet.
enum class Standing
{
  Level,
  Behind,
  /// The same epoch, another content.
  Conflict,
};

Standing
StandingOf(const StoredRoot& aStored, const ProcessStatus* aHighest);

std::string_view
StandingName(Standing aStanding);

} // namespace dogwoodvale::internal

#endif
