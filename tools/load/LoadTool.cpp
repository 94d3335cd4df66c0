#include "tools/load/LoadTool.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>

#include <docopt/docopt.h>
#include <event2/event.h>

#include "tools/load/History.h"
#include "tools/load/JsonReader.h"
#include "tools/load/LoadRun.h"
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

std::vector<std::string>
Split(const std::string& aList)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= aList.size()) {
    const std::size_t end = std::min(aList.find(',', begin), aList.size());
    if (end > begin) {
      parts.push_back(aList.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

/// Reads typed options and collects what is wrong with them.
class OptionReader
{
public:
  explicit OptionReader(std::map<std::string, docopt::value> aValues)
    : values(std::move(aValues))
  {
  }

  std::string Text(const std::string& aName) const
  {
    const docopt::value& value = this->values.at(aName);
    return value ? value.asString() : std::string();
  }

  double Number(const std::string& aName, double aMax)
  {
    const std::string text = this->Text(aName);
    char* end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(number >= 0) || number > aMax) {
      this->Fail(aName,
                 "must be a number from 0 to " + fmt::format("{}", aMax));
      return 0;
    }
    return number;
  }

  std::vector<SocketAddress> Addresses(const std::string& aName)
  {
    std::vector<SocketAddress> found;
    for (const std::string& part : Split(this->Text(aName))) {
      absl::StatusOr<SocketAddress> address = SocketAddress::Parse(part);
      if (address.ok()) {
        found.push_back(*std::move(address));
      } else {
        this->Fail(aName, std::string(MessageOf(address.status())));
      }
    }
    return found;
  }

  void Fail(const std::string& aName, const std::string& aMessage)
  {
    this->findings.Add({ aName, 0, 0 }, aMessage);
  }

  const Findings& Found() const { return this->findings; }

private:
  std::map<std::string, docopt::value> values;
  Findings findings;
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
  if (!aReader.Found().IsEmpty()) {
    return aReader.Found().ToStatus();
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
  const SignalWatch onInterrupt(**loop, SIGINT, [&] { run.StopArrivals(); });
  const SignalWatch onTerminate(**loop, SIGTERM, [&] { run.StopArrivals(); });
  const double startMs = ToMs(Now());
  run.Start();
  while (!run.IsDone()) {
    event_base_loop((*loop)->Base(), EVLOOP_ONCE);
  }
  const double seconds =
    std::chrono::duration<double>(aArguments.run.duration).count();
  Report report = MakeReport(aPlan, recorder.Calls(), startMs, seconds);
  report.longestLagMs = run.LongestLagMs();
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
  std::map<std::string, docopt::value> values;
  try {
    values = docopt::docopt_parse(kUsage, aArguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", kUsage);
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("dogwoodvale-load {}\n", DOGWOODVALE_VERSION);
    return 0;
  } catch (const std::runtime_error& error) {
    fmt::print(stderr, "{}\n{}", error.what(), kUsage);
    return kExitUsage;
  }
  OptionReader reader(std::move(values));
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
