#include <benchmark/benchmark.h>

#include "dogwoodvale/Requests"
#include "dogwoodvale/Routing"

namespace dogwoodvale::bench {

namespace {

constexpr PrefixHash kPrefix = 77;

InstanceName
ServerName(std::size_t aIndex)
{
  return InstanceName(fmt::format("server-{:05}", aIndex));
}

/// A table of which one server in ten is unavailable.
BackendTable
MakeTable(std::size_t aSize, TimePoint aNow)
{
  BackendTable table;
  for (std::size_t index = 0; index < aSize; ++index) {
    const InstanceName name = ServerName(index);
    table.Upsert(name, DataCentreName("a"));
    table.SetAvailable(name, index % 10 != 9);
    LoadReport report;
    report.limit = 16;
    report.running = static_cast<std::uint32_t>(index % 16);
    report.queued = static_cast<std::uint32_t>(index % 3);
    report.queuedTokens = std::uint64_t{ 200 } * report.queued;
    report.stepMicros = 6000;
    report.queuedByTier = { 0, report.queued };
    table.OnLoadReport(name, report, aNow);
  }
  table.Prefixes().OnRouted(kPrefix, ServerName(aSize / 2), aNow);
  return table;
}

void
Choose(benchmark::State& aState, const char* aChooser)
{
  const TimePoint now{ seconds(10) };
  const BackendTable table =
    MakeTable(static_cast<std::size_t>(aState.range(0)), now);
  const std::vector<InstanceName> excluded = { ServerName(0), ServerName(1) };
  const auto chooser = std::move(CreateChooser(aChooser)).value();
  std::mt19937_64 random(1);
  const ChoiceRequest request{
    .tier = 1, .promptTokens = 512, .prefixHash = kPrefix, .excluded = excluded
  };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      chooser->Choose(table, request, now + milliseconds(300), random));
  }
}
BENCHMARK_CAPTURE(Choose, least_loaded, "least_loaded")
  ->Arg(12)
  ->Arg(50)
  ->Arg(200)
  ->Arg(1000)
  ->Arg(5000);
BENCHMARK_CAPTURE(Choose, least_connections, "least_connections")
  ->Arg(12)
  ->Arg(200)
  ->Arg(1000);

void
AllowRefusals(benchmark::State& aState)
{
  const TimePoint now{ seconds(10) };
  const BackendTable table =
    MakeTable(static_cast<std::size_t>(aState.range(0)), now);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(AllowedRefusals(table));
  }
}
BENCHMARK(AllowRefusals)->Arg(12)->Arg(200)->Arg(1000);

void
SendReportAndEnd(benchmark::State& aState)
{
  TimePoint now{ seconds(10) };
  BackendTable table =
    MakeTable(static_cast<std::size_t>(aState.range(0)), now);
  const InstanceName name = ServerName(3);
  const LoadReport report = table.Find(name)->report;
  for (auto _ : aState) {
    now += milliseconds(1);
    table.OnSent(name, 200, 1);
    table.OnLoadReport(name, report, now);
    table.OnEnded(name, 200, 1, SendResult::Completed, milliseconds(9), now);
  }
}
BENCHMARK(SendReportAndEnd)->Arg(12)->Arg(200)->Arg(1000);

void
ChooseSubsetOf(benchmark::State& aState)
{
  std::vector<InstanceName> servers;
  for (std::int64_t index = 0; index < aState.range(0); ++index) {
    servers.push_back(ServerName(static_cast<std::size_t>(index)));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ChooseSubset(InstanceName("e1"), servers, 200));
  }
}
BENCHMARK(ChooseSubsetOf)->Arg(200)->Arg(3600)->Unit(benchmark::kMicrosecond);

void
EvaluateHealth(benchmark::State& aState)
{
  HealthTracker health;
  for (std::int64_t index = 0; index < aState.range(0); ++index) {
    const InstanceName name = ServerName(static_cast<std::size_t>(index));
    health.Add(name);
    health.OnStepTime(name, milliseconds(6));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(health.Evaluate(TimePoint{ seconds(10) }, 0.5));
  }
}
BENCHMARK(EvaluateHealth)->Arg(12)->Arg(200)->Unit(benchmark::kMicrosecond);

void
BeginFull(benchmark::State& aState)
{
  StartRecord record;
  std::uint64_t sequence = 0;
  TimePoint now{ seconds(10) };
  for (auto _ : aState) {
    now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(
      record.Begin({ 1 + sequence % 24, ++sequence }, seconds(30), now));
  }
}
BENCHMARK(BeginFull);

void
AssembleChunk(benchmark::State& aState)
{
  const RequestId id{ 1, 1 };
  AnswerAssembler assembler(1 << 16);
  assembler.BeginAttempt(id);
  std::uint64_t sequence = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(assembler.Add(id, sequence++, "a token", 1));
  }
}
BENCHMARK(AssembleChunk);

} // namespace

} // namespace dogwoodvale::bench
