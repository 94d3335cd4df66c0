#include "dogwoodvale/Control"

#include <ctime>

#include "ConfigReport.h"

namespace dogwoodvale {

using internal::ChangeLine;
using internal::ChangeToJson;
using internal::InvalidResult;
using internal::ReadAndCheck;
using internal::Standing;
using internal::StandingOf;
using internal::StoreFailure;

namespace {

constexpr Duration kPollPeriod = milliseconds(100);

std::string
DrawChangeId()
{
  return fmt::format("{:016x}", DrawIncarnation());
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

} // namespace dogwoodvale
