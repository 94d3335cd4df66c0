#include "tools/load/Execution.h"

#include <array>
#include <filesystem>

#include "tools/load/JsonReader.h"

namespace dogwoodvale::load {

namespace {

struct EndName
{
  ExecutionEnd end;
  std::string_view name;
};

constexpr std::array<EndName, 4> kEndNames = { {
  { ExecutionEnd::Complete, "complete" },
  { ExecutionEnd::Cancelled, "cancelled" },
  { ExecutionEnd::Crashed, "crashed" },
  { ExecutionEnd::Running, "running" },
} };

std::string
Text(const Json::Value& aFrom, const char* aKey)
{
  return aFrom[aKey].isString() ? aFrom[aKey].asString() : std::string();
}

absl::StatusOr<Execution>
ParseExecution(std::string_view aServer, const Json::Value& aFrom)
{
  if (!aFrom.isObject() || !aFrom["nonce"].isString() ||
      !aFrom["started_ms"].isNumeric() || !aFrom["end"].isString()) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "no execution: {}",
                     WriteJsonLine(aFrom));
  }
  Execution made;
  made.server = std::string(aServer);
  made.id = aFrom["id"].isString() ? aFrom["id"].asString()
                                   : WriteJsonLine(aFrom["id"]);
  made.nonce = aFrom["nonce"].asString();
  made.key = Text(aFrom, "key") + Text(aFrom, "idempotency_key");
  made.startedMs = aFrom["started_ms"].asDouble();
  made.endedMs =
    aFrom["ended_ms"].isNumeric() ? aFrom["ended_ms"].asDouble() : 0;
  made.tokens = aFrom["tokens"].isInt() ? aFrom["tokens"].asInt() : 0;
  for (const EndName& each : kEndNames) {
    if (each.name == aFrom["end"].asString()) {
      made.end = each.end;
      return made;
    }
  }
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "unknown end \"{}\"",
                   aFrom["end"].asString());
}

} // namespace

absl::StatusOr<std::vector<Execution>>
ParseRecord(std::string_view aServer, std::string_view aText)
{
  const absl::StatusOr<Json::Value> root = ParseJson(aText);
  if (!root.ok()) {
    return root.status();
  }
  if (!root->isObject() || !(*root)["executions"].isArray()) {
    return absl::InvalidArgumentError("a record has a list of executions");
  }
  std::vector<Execution> executions;
  for (const Json::Value& value : (*root)["executions"]) {
    absl::StatusOr<Execution> execution = ParseExecution(aServer, value);
    if (!execution.ok()) {
      return execution.status();
    }
    executions.push_back(*std::move(execution));
  }
  return executions;
}

absl::StatusOr<std::vector<Execution>>
ReadRecord(const std::string& aPath)
{
  const absl::StatusOr<std::string> text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  const std::string server = std::filesystem::path(aPath).stem().string();
  absl::StatusOr<std::vector<Execution>> record = ParseRecord(server, *text);
  if (!record.ok()) {
    return MakeError(
      record.status().code(), "{}: {}", aPath, MessageOf(record.status()));
  }
  return record;
}

} // namespace dogwoodvale::load
