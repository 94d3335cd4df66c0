#include "tools/load/LoadTool.h"

#include <csignal>
#include <cstdio>
#include <fstream>

#include <event2/event.h>

#include "tools/load/History.h"
#include "tools/load/JsonReader.h"
#include "tools/load/LoadRun.h"
#include "tools/load/Options.h"
#include "tools/load/RecordFetch.h"
#include "tools/load/Report.h"

namespace dogwoodvale::load {

namespace {

constexpr const char* kUsage =
  R"(dogwoodvale-load - drives a seeded open-loop load and reports on it.

Usage:
  dogwoodvale-load --target LIST --plan FILE [options]
  dogwoodvale-load --help
  dogwoodvale-load --version

Options:
  --target LIST          Entries, IP:PORT[,IP:PORT...], taken in turn.
  --plan FILE            The classes and customers; see examples/*/load.json.
  --seed N               Same seed and plan, same arrivals [default: 1].
  --duration SECONDS     How long calls arrive [default: 10].
  --drain SECONDS        How long to wait for the last answers [default: 60].
  --rate-scale X         Multiplies every rate [default: 1].
  --history FILE         Write one JSON line a request.
  --report-json FILE     Write the report as JSON (scripts/plot-load draws it).
  --engine-records LIST  Stand-ins, IP:PORT[,IP:PORT...], whose records tell
                         the wasted work after the run.
  --records-dir DIR      Save those records there, one file a stand-in.
  --ready-path PATH      Ask the targets this and leave out those not ready,
                         as the platform's balancer does.
  --ready-targets LIST   Where to ask that instead, IP:PORT[,IP:PORT...], one
                         for each target in the same order.
  --nonce-prefix WORD    Begins each nonce; letters and digits; by default
                         drawn anew for each run.
  --help                 Show this.
  --version              Show the version.

Exit codes: 0 done, 1 the run failed, 2 wrong usage or plan.
)";

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr double kMaxSeconds = 1e6;
constexpr double kMaxRateScale = 1e6;

/// Everything the command line says.
struct Arguments
{
  RunOptions run;
  std::string planFile;
  std::string historyFile;
  std::string reportFile;
  std::string recordsDirectory;
  std::vector<SocketAddress> recordTargets;
};

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

absl::StatusOr<Arguments>
ReadArguments(OptionReader& aReader)
{
  Arguments made;
  made.planFile = aReader.Text("--plan");
  made.historyFile = aReader.Text("--history");
  made.reportFile = aReader.Text("--report-json");
  made.recordsDirectory = aReader.Text("--records-dir");
  made.recordTargets = aReader.Addresses("--engine-records");
  made.run.targets = aReader.Addresses("--target");
  if (made.run.targets.empty()) {
    aReader.Fail("--target", "names no target");
  }
  made.run.seed = static_cast<std::uint64_t>(aReader.Number("--seed", 1e15));
  made.run.duration = FromSeconds(aReader.Number("--duration", kMaxSeconds));
  made.run.drain = FromSeconds(aReader.Number("--drain", kMaxSeconds));
  made.run.rateScale = aReader.Number("--rate-scale", kMaxRateScale);
  made.run.balancer.readyPath = aReader.Text("--ready-path");
  made.run.balancer.readyTargets = aReader.Addresses("--ready-targets");
  const std::size_t asked = made.run.balancer.readyTargets.size();
  if (asked != 0 && asked != made.run.targets.size()) {
    aReader.Fail("--ready-targets", "names not one for each target");
  }
  made.run.noncePrefix = aReader.Text("--nonce-prefix");
  for (const char byte : made.run.noncePrefix) {
    if (std::isalnum(static_cast<unsigned char>(byte)) == 0) {
      aReader.Fail("--nonce-prefix", "takes letters and digits only");
      break;
    }
  }
  if (made.run.noncePrefix.empty()) {
    made.run.noncePrefix = fmt::format("r{:x}n", DrawIncarnation() >> 32U);
  }
  if (!aReader.Status().ok()) {
    return aReader.Status();
  }
  return made;
}

/// Keeps the calls for the report and writes them to the history.
class Recorder : public CallSink
{
public:
  void Open(std::unique_ptr<HistoryWriter> aWriter)
  {
    this->writer = std::move(aWriter);
  }
  void OnCall(const Call& aCall) override
  {
    this->calls.push_back(aCall);
    if (this->writer) {
      this->writer->Write(aCall);
    }
  }
  std::span<const Call> Calls() const { return this->calls; }

private:
  std::vector<Call> calls;
  std::unique_ptr<HistoryWriter> writer;
};

int
Complain(const absl::Status& aStatus, int aExit)
{
  fmt::print(stderr, "{}\n", MessageOf(aStatus));
  return aExit;
}

absl::Status
AddEngineWork(EventLoop& aLoop,
              const Arguments& aArguments,
              std::span<const Call> aCalls,
              Report& aReport)
{
  if (aArguments.recordTargets.empty()) {
    return absl::OkStatus();
  }
  const absl::StatusOr<std::vector<Execution>> executions =
    FetchRecords(aLoop, aArguments.recordTargets, aArguments.recordsDirectory);
  if (!executions.ok()) {
    return executions.status();
  }
  aReport.engines = CompareWork(aCalls, *executions);
  return absl::OkStatus();
}

int
RunWith(const Arguments& aArguments, const LoadPlan& aPlan)
{
  const auto loop = EventLoop::Create();
  if (!loop.ok()) {
    return Complain(loop.status(), kExitFailed);
  }
  Recorder recorder;
  if (!aArguments.historyFile.empty()) {
    auto writer = HistoryWriter::Create(aArguments.historyFile);
    if (!writer.ok()) {
      return Complain(writer.status(), kExitUsage);
    }
    recorder.Open(*std::move(writer));
  }
  LoadRun run(**loop, aPlan, aArguments.run, recorder);
  const SignalWatch onInterrupt(
    **loop, SIGINT, [&](TimePoint) { run.StopArrivals(); });
  const SignalWatch onTerminate(
    **loop, SIGTERM, [&](TimePoint) { run.StopArrivals(); });
  const double startMs = ToMs(Now());
  run.Start();
  while (!run.IsDone()) {
    event_base_loop((*loop)->Base(), EVLOOP_ONCE);
  }
  const double seconds =
    std::chrono::duration<double>(aArguments.run.duration).count();
  Report report = MakeReport(aPlan, recorder.Calls(), startMs, seconds);
  report.longestLagMs = run.LongestLagMs();
  report.mostOpenCalls = run.MostOpenCalls();
  const absl::Status fetched =
    AddEngineWork(**loop, aArguments, recorder.Calls(), report);
  fmt::print("{}", RenderText(report));
  if (!aArguments.reportFile.empty()) {
    std::ofstream(aArguments.reportFile)
      << WriteJsonLine(RenderJson(report)) << "\n";
  }
  return fetched.ok() ? 0 : Complain(fetched, kExitFailed);
}

} // namespace

int
RunLoadTool(const std::vector<std::string>& aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  OptionReader reader;
  if (const std::optional<int> exit =
        reader.Parse(kUsage, "dogwoodvale-load", aArguments)) {
    return *exit;
  }
  const absl::StatusOr<Arguments> arguments = ReadArguments(reader);
  if (!arguments.ok()) {
    return Complain(arguments.status(), kExitUsage);
  }
  const absl::StatusOr<LoadPlan> plan = ReadPlan(arguments->planFile);
  if (!plan.ok()) {
    return Complain(plan.status(), kExitUsage);
  }
  return RunWith(*arguments, *plan);
}

} // namespace dogwoodvale::load
