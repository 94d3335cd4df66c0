#include "tools/load/CheckTool.h"

#include <cstdio>
#include <map>
#include <set>

#include <docopt/docopt.h>

#include "tools/load/History.h"
#include "tools/load/HistoryChecker.h"
#include "tools/load/JsonReader.h"
#include "tools/load/Options.h"

namespace dogwoodvale::load {

namespace {

constexpr const char* kUsage =
  R"(dogwoodvale-check-history - holds a history to the product's promises.

Usage:
  dogwoodvale-check-history [options] <history>...
  dogwoodvale-check-history --help
  dogwoodvale-check-history --version

Options:
  --records LIST     Saved records of backend servers, FILE[,FILE...], each
                     named after its file.
  --bound LIST       CLASS=MS[,...]: the longest wait to the first token.
  --no-cuts          Nothing failed in this run: no cut and no may_have_run.
  --left LIST        SERVER=MS[,...]: when a server was told to leave, in
                     milliseconds of the monotonic clock.
  --drain-log FILE   The same, one "SERVER MS" a line.
  --leave-grace MS   How long after that work may still start [default: 3000].
  --tiers LIST       CLASS=TIER[,...], where the history doesn't tell.
  --aged-wait MS     A wait that may let a lower tier go first [default: 1000].
  --guard MS         How far two processes' readings of one event may lie
                     apart [default: 50].
  --most N           Show at most this many violations of a promise
                     [default: 10].
  --help             Show this.
  --version          Show the version.

Exit codes: 0 all promises kept, 1 one broken, 2 wrong usage or input.
)";

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
constexpr double kMaxMs = 1e15;

struct Input
{
  std::vector<Call> calls;
  std::vector<Execution> executions;
  Rules rules;
  int most = 0;
};

void
ReadDrainLog(OptionReader& aReader, Rules& aRules)
{
  const std::string path = aReader.Text("--drain-log");
  if (path.empty()) {
    return;
  }
  const absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) {
    aReader.Fail("--drain-log", std::string(MessageOf(text.status())));
    return;
  }
  for (const std::string& line : Split(*text, '\n')) {
    const std::vector<std::string> words = Split(line, ' ');
    const std::optional<double> when =
      words.size() == 2 ? ParseNumber(words[1]) : std::nullopt;
    if (!when) {
      aReader.Fail("--drain-log", "not \"SERVER MS\": " + line);
      continue;
    }
    aRules.leftMs[words[0]] = *when;
  }
}

Rules
ReadRules(OptionReader& aReader)
{
  Rules made;
  made.noCuts = aReader.Flag("--no-cuts");
  made.waitBoundMs = aReader.Pairs("--bound");
  made.leftMs = aReader.Pairs("--left");
  made.leaveGraceMs = aReader.Number("--leave-grace", kMaxMs);
  made.agedWaitMs = aReader.Number("--aged-wait", kMaxMs);
  made.guardMs = aReader.Number("--guard", kMaxMs);
  for (const auto& [name, tier] : aReader.Pairs("--tiers")) {
    made.tiers[name] = static_cast<int>(tier);
  }
  ReadDrainLog(aReader, made);
  return made;
}

absl::StatusOr<Input>
ReadInput(OptionReader& aReader)
{
  Input made;
  made.rules = ReadRules(aReader);
  made.most = static_cast<int>(aReader.Number("--most", 1e9));
  for (const std::string& path : aReader.List("<history>")) {
    const absl::StatusOr<std::vector<Call>> calls = ReadHistory(path);
    if (calls.ok()) {
      made.calls.insert(made.calls.end(), calls->begin(), calls->end());
    } else {
      aReader.Fail("<history>", std::string(MessageOf(calls.status())));
    }
  }
  for (const std::string& path : Split(aReader.Text("--records"), ',')) {
    const absl::StatusOr<std::vector<Execution>> record = ReadRecord(path);
    if (record.ok()) {
      made.executions.insert(
        made.executions.end(), record->begin(), record->end());
    } else {
      aReader.Fail("--records", std::string(MessageOf(record.status())));
    }
  }
  if (!aReader.Status().ok()) {
    return aReader.Status();
  }
  return made;
}

std::string
RenderExecution(const Execution& aExecution)
{
  return fmt::format("{} ran {} as {} from {:.3f} to {:.3f}, {} tokens, key "
                     "\"{}\"",
                     aExecution.server,
                     aExecution.nonce,
                     aExecution.id,
                     aExecution.startedMs,
                     aExecution.endedMs,
                     aExecution.tokens,
                     aExecution.key);
}

void
Show(const Input& aInput, const Violation& aViolation)
{
  fmt::print(
    "BROKEN {}: {}\n", PromiseName(aViolation.promise), aViolation.message);
  for (const std::size_t index : aViolation.calls) {
    fmt::print("  call {}\n", RenderCall(aInput.calls[index]));
  }
  for (const std::size_t index : aViolation.executions) {
    fmt::print("  execution {}\n", RenderExecution(aInput.executions[index]));
  }
}

int
ShowAll(const Input& aInput, const std::vector<Violation>& aViolations)
{
  std::map<Promise, int> counts;
  for (const Violation& violation : aViolations) {
    if (++counts[violation.promise] <= aInput.most) {
      Show(aInput, violation);
    }
  }
  fmt::print("{} calls, {} executions: {}\n",
             aInput.calls.size(),
             aInput.executions.size(),
             aViolations.empty() ? "all promises kept" : "broken promises");
  for (const auto& [promise, count] : counts) {
    fmt::print("  {}: {}\n", PromiseName(promise), count);
  }
  return aViolations.empty() ? 0 : kExitBroken;
}

} // namespace

int
RunCheckTool(const std::vector<std::string>& aArguments)
{
  OptionReader reader;
  if (const std::optional<int> exit =
        reader.Parse(kUsage, "dogwoodvale-check-history", aArguments)) {
    return *exit;
  }
  const absl::StatusOr<Input> input = ReadInput(reader);
  if (!input.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(input.status()));
    return kExitUsage;
  }
  return ShowAll(*input, Check(input->calls, input->executions, input->rules));
}

} // namespace dogwoodvale::load
