#include "dogwoodvale/Control"

#include <algorithm>
#include <ctime>

#include <fmt/chrono.h>

namespace dogwoodvale {

namespace {

constexpr Duration kPollPeriod = milliseconds(100);

std::string
DrawChangeId()
{
  return fmt::format("{:016x}", DrawIncarnation());
}

std::string
TimeText(std::int64_t aSeconds)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(aSeconds)));
}

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

/// How the store stands to the highest epoch of the fleet.
enum class Standing
{
  Level,
  Behind,
  /// The same epoch, another content.
  Conflict,
};

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

/// Writes what \p aHighest holds back into the store.
absl::StatusOr<ChangeResult>
RestoreFrom(const ProcessStatus& aHighest,
            const StoredRoot& aStored,
            ConfigurationStore& aStore,
            FleetView& aFleet)
{
  const absl::StatusOr<ConfigurationBundle> held =
    aFleet.ReadConfiguration(aHighest.address);
  if (!held.ok()) {
    return held.status();
  }
  if (held->epoch <= aStored.root.epoch) {
    return MakeError(absl::StatusCode::kAborted,
                     "{} says it has epoch {} and gives {}",
                     aHighest.address.ToString(),
                     aHighest.HeldEpoch(),
                     held->epoch);
  }
  return aStore.Restore(aStored, held->root, held->pages);
}

/// The store's root to apply on; brings a store that is behind up first.
absl::StatusOr<StoredRoot>
PrepareBase(ConfigurationStore& aStore,
            FleetView& aFleet,
            CommandResult& aResult)
{
  absl::StatusOr<StoredRoot> stored = aStore.ReadRoot();
  if (!stored.ok() || aFleet.IsEmpty()) {
    return stored;
  }
  const std::vector<ProcessStatus> processes = aFleet.Read();
  const ProcessStatus* highest = Highest(processes);
  const Standing standing = StandingOf(*stored, highest);
  if (standing == Standing::Conflict) {
    return MakeError(absl::StatusCode::kAborted,
                     "the fleet holds another content for epoch {}; see "
                     "config status",
                     stored->root.epoch);
  }
  if (standing == Standing::Level) {
    return stored;
  }
  const auto restored = RestoreFrom(*highest, *stored, aStore, aFleet);
  if (!restored.ok()) {
    return restored.status();
  }
  if (restored->verdict != ChangeResult::Verdict::Accepted) {
    return absl::AbortedError("the store is behind the fleet, and the fleet's "
                              "configuration could not be put back");
  }
  aResult.json["restored_epoch"] = Json::UInt64(restored->mine.epoch);
  aResult.Line("the store had lost epochs up to {}; put back from {}",
               restored->mine.epoch,
               highest->address.ToString());
  return aStore.ReadRoot();
}

/// What the store's holder and this operator each changed since \p aBase.
void
ShowConflict(const ConfigurationRoot& aBase,
             const ChangeResult& aChange,
             std::span<const ConfigurationSource> aMine,
             ConfigurationStore& aStore,
             CommandResult& aResult)
{
  const ConfigurationRoot& theirs = aChange.theirs.root;
  aResult.json["theirs"] = ChangeToJson(theirs);
  aResult.Line("conflict: meanwhile the store went from epoch {} to {}",
               aBase.epoch,
               theirs.epoch);
  aResult.Line("{}", ChangeLine(theirs));
  std::vector<ConfigurationSource> before;
  if (aBase.epoch != 0) {
    const auto read = aStore.ReadSources(aBase);
    if (!read.ok()) {
      return;
    }
    before = *read;
  }
  const auto other = aStore.ReadSources(theirs);
  if (!other.ok()) {
    return;
  }
  const auto theirDifferences = DiffSources(before, *other);
  const auto myDifferences = DiffSources(before, aMine);
  aResult.json["their_changes"] = DifferencesToJson(theirDifferences);
  aResult.json["my_changes"] = DifferencesToJson(myDifferences);
  aResult.Line("their change:");
  aResult.text += RenderDifferences(theirDifferences);
  aResult.Line("your change (not applied):");
  aResult.text += RenderDifferences(myDifferences);
}

/// Polls until every process has \p aEpoch.
void
WaitEverywhere(Epoch aEpoch,
               const ApplyOptions& aOptions,
               FleetView& aFleet,
               const Progress& aProgress,
               CommandResult& aResult)
{
  const TimePoint start = Now();
  Json::Value lagging(Json::arrayValue);
  std::size_t total = 0;
  do {
    const std::vector<ProcessStatus> processes = aFleet.Read();
    total = processes.size();
    lagging = Json::Value(Json::arrayValue);
    for (const ProcessStatus& process : processes) {
      if (!process.IsReached() || process.HeldEpoch() < aEpoch) {
        Json::Value item(Json::objectValue);
        item["address"] = process.address.ToString();
        item["instance"] = process.Text("instance");
        item["epoch"] = Json::UInt64(process.HeldEpoch());
        item["error"] = std::string(MessageOf(process.status));
        lagging.append(std::move(item));
      }
    }
    aProgress(fmt::format(
      "epoch {} in force in {} of {}", aEpoch, total - lagging.size(), total));
    if (lagging.empty()) {
      break;
    }
    aFleet.Sleep(kPollPeriod);
  } while (Now() - start < aOptions.waitTimeout);
  const auto took =
    std::chrono::duration_cast<milliseconds>(Now() - start).count();
  aResult.json["lagging"] = lagging;
  aResult.json["processes"] = Json::UInt64(total);
  aResult.json["waited_ms"] = Json::Int64(took);
  if (lagging.empty()) {
    aResult.Line("in force in all {} processes after {} ms", total, took);
    return;
  }
  aResult.code = ExitCode::NotEverywhere;
  aResult.Line("not in force after {} ms in {} of {} processes:",
               took,
               lagging.size(),
               total);
  for (const Json::Value& item : lagging) {
    aResult.Line("  {} {} epoch {} {}",
                 item["address"].asString(),
                 item["instance"].asString(),
                 item["epoch"].asUInt64(),
                 item["error"].asString());
  }
}

ExitCode
CodeOf(ChangeResult::Verdict aVerdict)
{
  switch (aVerdict) {
    case ChangeResult::Verdict::Accepted:
      return ExitCode::Done;
    case ChangeResult::Verdict::Conflict:
      return ExitCode::Conflict;
    case ChangeResult::Verdict::NotApplied:
      return ExitCode::Unreachable;
    case ChangeResult::Verdict::Unknown:
      return ExitCode::Unknown;
  }
  return ExitCode::Unknown;
}

void
TellVerdict(const ChangeResult& aChange, CommandResult& aResult)
{
  aResult.code = CodeOf(aChange.verdict);
  aResult.json["verdict"] = std::string(VerdictName(aChange.verdict));
  aResult.json["settled"] = aChange.wasSettled;
  aResult.json["epoch"] = Json::UInt64(aChange.mine.epoch);
  aResult.json["change_id"] = aChange.mine.changeId;
  const std::string_view how =
    aChange.wasSettled ? " (the reply was lost; settled by reading)" : "";
  switch (aChange.verdict) {
    case ChangeResult::Verdict::Accepted:
      aResult.Line("accepted: epoch {}, change {}{}",
                   aChange.mine.epoch,
                   aChange.mine.changeId,
                   how);
      break;
    case ChangeResult::Verdict::Conflict:
      aResult.Line("refused{}", how);
      break;
    case ChangeResult::Verdict::NotApplied:
      aResult.Line("not applied: {}", MessageOf(aChange.status));
      break;
    case ChangeResult::Verdict::Unknown:
      aResult.Line("unknown: the store did not answer ({}). Look for change {} "
                   "in config history before you apply again",
                   MessageOf(aChange.status),
                   aChange.mine.changeId);
      break;
  }
}

} // namespace

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
ApplyConfiguration(const std::string& aPath,
                   const ApplyOptions& aOptions,
                   ConfigurationStore& aStore,
                   FleetView& aFleet,
                   const Progress& aProgress)
{
  Findings findings;
  const auto sources = ReadAndCheck(aPath, findings);
  if (!findings.IsEmpty()) {
    return InvalidResult(findings);
  }
  CommandResult result;
  const auto base = PrepareBase(aStore, aFleet, result);
  if (absl::IsAborted(base.status())) {
    return CommandResult::Failed(ExitCode::StoreBehind,
                                 MessageOf(base.status()));
  }
  if (!base.ok()) {
    return StoreFailure(base.status());
  }
  ChangeResult change;
  if (aOptions.expectEpoch && *aOptions.expectEpoch != base->root.epoch) {
    change.verdict = ChangeResult::Verdict::Conflict;
    change.theirs = *base;
    const auto expected = aStore.ReadPastRoot(*aOptions.expectEpoch);
    TellVerdict(change, result);
    ShowConflict(
      expected.value_or(ConfigurationRoot{}), change, sources, aStore, result);
    return result;
  }
  ChangeRequest request;
  request.changeId = DrawChangeId();
  request.author = aOptions.author;
  request.comment = aOptions.comment;
  request.acceptedAt = std::time(nullptr);
  request.pages = MakePages(sources);
  change = aStore.Apply(*base, request);
  TellVerdict(change, result);
  if (change.verdict == ChangeResult::Verdict::Conflict) {
    ShowConflict(base->root, change, sources, aStore, result);
  }
  if (change.verdict != ChangeResult::Verdict::Accepted) {
    return result;
  }
  if (aFleet.IsEmpty()) {
    result.Line(
      "no process was asked; a store behind the fleet would not show");
  } else if (aOptions.wait) {
    WaitEverywhere(change.mine.epoch, aOptions, aFleet, aProgress, result);
  }
  return result;
}

CommandResult
RepairStore(ConfigurationStore& aStore, FleetView& aFleet)
{
  const auto stored = aStore.ReadRoot();
  if (!stored.ok()) {
    return StoreFailure(stored.status());
  }
  const std::vector<ProcessStatus> processes = aFleet.Read();
  const ProcessStatus* highest = Highest(processes);
  if (highest == nullptr) {
    return CommandResult::Failed(ExitCode::Unreachable,
                                 "no process could be reached");
  }
  CommandResult result;
  if (StandingOf(*stored, highest) != Standing::Behind) {
    result.json["verdict"] = "nothing_to_do";
    result.Line("the store is not behind the fleet: epoch {}",
                stored->root.epoch);
    return result;
  }
  const auto change = RestoreFrom(*highest, *stored, aStore, aFleet);
  if (!change.ok()) {
    return CommandResult::Failed(ExitCode::Unreachable,
                                 MessageOf(change.status()));
  }
  TellVerdict(*change, result);
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
      const Standing standing = StandingOf(*stored, highest);
      result.json["store_epoch"] = Json::UInt64(stored->root.epoch);
      result.json["store"] = std::string(StandingName(standing));
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
