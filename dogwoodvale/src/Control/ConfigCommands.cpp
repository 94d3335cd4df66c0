#include "dogwoodvale/Control"

#include "ConfigReport.h"

namespace dogwoodvale {

using internal::ChangeLine;
using internal::ChangeToJson;
using internal::InvalidResult;
using internal::ReadAndCheck;
using internal::Standing;
using internal::StoreFailure;

CommandResult
ValidateConfiguration(const std::string& aPath)
{
  Findings findings;
  const std::vector<ConfigurationSource> sources =
    ReadAndCheck(aPath, findings);
  if (!findings.IsEmpty()) {
    return InvalidResult(findings);
  }
  CommandResult result;
  result.json["findings"] = Json::arrayValue;
  result.json["files"] = Json::UInt64(sources.size());
  result.Line("valid: {} files", sources.size());
  return result;
}

CommandResult
DiffConfiguration(const std::string& aPath, ConfigurationStore& aStore)
{
  Findings findings;
  const auto mine = ReadAndCheck(aPath, findings);
  if (!findings.IsEmpty()) {
    return InvalidResult(findings);
  }
  const auto stored = aStore.ReadRoot();
  if (!stored.ok()) {
    return StoreFailure(stored.status());
  }
  const auto theirs = aStore.ReadSources(stored->root);
  if (!theirs.ok()) {
    return StoreFailure(theirs.status());
  }
  const std::vector<Difference> differences = DiffSources(*theirs, mine);
  CommandResult result;
  result.json["epoch"] = Json::UInt64(stored->root.epoch);
  result.json["differences"] = DifferencesToJson(differences);
  result.text = RenderDifferences(differences);
  result.Line(
    "{} differences to epoch {}", differences.size(), stored->root.epoch);
  return result;
}

CommandResult
ShowConfiguration(ConfigurationStore& aStore, std::optional<Epoch> aEpoch)
{
  absl::StatusOr<ConfigurationRoot> root;
  if (aEpoch) {
    root = aStore.ReadPastRoot(*aEpoch);
  } else {
    const auto stored = aStore.ReadRoot();
    if (stored.ok()) {
      root = stored->root;
    } else {
      root = stored.status();
    }
  }
  if (absl::IsNotFound(root.status())) {
    return CommandResult::Failed(ExitCode::Invalid, MessageOf(root.status()));
  }
  const auto sources = root.ok() ? aStore.ReadSources(*root) : root.status();
  if (!sources.ok()) {
    return StoreFailure(sources.status());
  }
  CommandResult result;
  result.json = ChangeToJson(*root);
  result.json["sources"] = Json::Value(Json::objectValue);
  for (const ConfigurationSource& source : *sources) {
    result.json["sources"][source.file] = source.text;
    result.text += fmt::format("// {}\n{}", source.file, source.text);
  }
  return result;
}

CommandResult
ConfigurationHistory(ConfigurationStore& aStore)
{
  const auto stored = aStore.ReadRoot();
  if (!stored.ok()) {
    return StoreFailure(stored.status());
  }
  CommandResult result;
  result.json["changes"] = Json::Value(Json::arrayValue);
  if (stored->modRevision == 0) {
    result.Line("the store holds no configuration");
    return result;
  }
  result.json["changes"].append(ChangeToJson(stored->root));
  result.Line("{}", ChangeLine(stored->root));
  for (const ConfigurationRoot::Past& past : stored->root.history) {
    result.json["changes"].append(ChangeToJson(past));
    result.Line("{}", ChangeLine(past));
  }
  return result;
}

CommandResult
ConfigurationStatus(ConfigurationStore* aStore, FleetView& aFleet)
{
  CommandResult result;
  const std::vector<ProcessStatus> processes = aFleet.Read();
  const ProcessStatus* highest = Highest(processes);
  if (aStore != nullptr) {
    const auto stored = aStore->ReadRoot();
    if (stored.ok()) {
      const Standing standing = internal::StandingOf(*stored, highest);
      result.json["store_epoch"] = Json::UInt64(stored->root.epoch);
      result.json["store"] = std::string(internal::StandingName(standing));
      result.Line("store: epoch {} ({})",
                  stored->root.epoch,
                  standing == Standing::Level ? "level with the fleet or ahead"
                  : standing == Standing::Behind
                    ? "BEHIND the fleet: run config repair"
                    : "CONFLICT: another content for the same epoch");
      result.code =
        standing == Standing::Level ? ExitCode::Done : ExitCode::StoreBehind;
    } else {
      result.json["store"] = "unreachable";
      result.Line("store: {}", MessageOf(stored.status()));
    }
  }
  Json::Value list(Json::arrayValue);
  for (const ProcessStatus& process : processes) {
    Json::Value item(Json::objectValue);
    item["address"] = process.address.ToString();
    item["reached"] = process.IsReached();
    item["instance"] = process.Text("instance");
    item["epoch"] = Json::UInt64(process.HeldEpoch());
    item["root_hash"] = process.Text("root_hash");
    item["change_id"] = process.Text("change_id");
    list.append(std::move(item));
    result.Line("{:<21}  {:<24}  {}",
                process.address.ToString(),
                process.Text("instance"),
                process.IsReached()
                  ? fmt::format("epoch {}", process.HeldEpoch())
                  : std::string(MessageOf(process.status)));
  }
  result.json["processes"] = std::move(list);
  if (highest == nullptr && !processes.empty()) {
    result.code = ExitCode::Unreachable;
  }
  return result;
}

CommandResult
PruneConfiguration(ConfigurationStore& aStore, std::size_t aKeep)
{
  const auto removed = aStore.Prune(aKeep);
  if (!removed.ok()) {
    return StoreFailure(removed.status());
  }
  CommandResult result;
  result.json["pages_removed"] = Json::UInt64(*removed);
  result.Line("{} pages removed", *removed);
  return result;
}

} // namespace dogwoodvale
