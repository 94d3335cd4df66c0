#include "ConfigReport.h"

#include <fmt/chrono.h>

namespace dogwoodvale::internal {

namespace {

Json::Value
FindingsToJson(const Findings& aFindings)
{
  Json::Value list(Json::arrayValue);
  for (const Finding& finding : aFindings.All()) {
    Json::Value item(Json::objectValue);
    item["file"] = finding.place.file;
    item["line"] = finding.place.line;
    item["column"] = finding.place.column;
    item["message"] = finding.message;
    list.append(std::move(item));
  }
  return list;
}

} // namespace

std::string
TimeText(std::int64_t aSeconds)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(aSeconds)));
}

CommandResult
InvalidResult(const Findings& aFindings)
{
  CommandResult result;
  result.code = ExitCode::Invalid;
  result.json["findings"] = FindingsToJson(aFindings);
  result.text = aFindings.Render();
  result.Line("{} findings", aFindings.All().size());
  return result;
}

CommandResult
StoreFailure(const absl::Status& aStatus)
{
  return CommandResult::Failed(
    ExitCode::Unreachable, fmt::format("the store: {}", MessageOf(aStatus)));
}

std::vector<ConfigurationSource>
ReadAndCheck(const std::string& aPath, Findings& aFindings)
{
  std::vector<ConfigurationSource> sources =
    ReadConfigurationSources(aPath, aFindings);
  if (aFindings.IsEmpty()) {
    ParseConfiguration(sources, aFindings);
  }
  return sources;
}

Standing
StandingOf(const StoredRoot& aStored, const ProcessStatus* aHighest)
{
  if (aHighest == nullptr || aHighest->HeldEpoch() < aStored.root.epoch) {
    return Standing::Level;
  }
  if (aHighest->HeldEpoch() > aStored.root.epoch) {
    return Standing::Behind;
  }
  const std::string held = aHighest->Text("root_hash");
  const bool isSame =
    aStored.text.empty() || held.empty() || held == Sha256Hex(aStored.text);
  return isSame ? Standing::Level : Standing::Conflict;
}

std::string_view
StandingName(Standing aStanding)
{
  switch (aStanding) {
    case Standing::Level:
      return "level";
    case Standing::Behind:
      return "behind";
    case Standing::Conflict:
      return "conflict";
  }
  return "level";
}

} // namespace dogwoodvale::internal
