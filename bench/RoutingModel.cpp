#include <algorithm>
#include <cmath>
#include <numeric>

#include <benchmark/benchmark.h>

#include "routing/Choosers.h"
#include "routing/QueueingModel.h"

namespace dogwoodvale::bench {

namespace {

/// Spread of the lognormal answer lengths: the 99th percentile is 6 times the
/// mean.
constexpr double kLengthSigma = 1.0;
constexpr Duration kHealthPeriod = milliseconds(500);

std::unique_ptr<BackendChooser>
MakeChooser(const std::string& aName)
{
  if (aName == "join_idle") {
    return std::make_unique<JoinIdleChooser>();
  }
  if (aName == "hot_cold") {
    return std::make_unique<HotColdChooser>();
  }
  if (aName == "trusting") {
    return std::make_unique<LeastLoadedChooser>(
      LeastLoadedSettings{ .draws = 2, .reportWeight = 1.0 });
  }
  return std::move(CreateChooser(aName)).value();
}

double
Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
    aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + rank, aValues.end());
  return aValues[static_cast<std::size_t>(rank)];
}

Duration
Micros(double aValue)
{
  return Duration{ static_cast<Duration::rep>(aValue) };
}

} // namespace

QueueingModel::QueueingModel(ModelSettings aSettings,
                             const std::string& aChooser)
  : settings(aSettings)
  , arrivals(aSettings.seed)
  , choices(aSettings.seed + 1)
  , end(now + aSettings.length)
{
  this->Connect(aChooser);
}

void
QueueingModel::Connect(const std::string& aChooser)
{
  std::vector<InstanceName> names;
  for (std::size_t index = 0; index < this->settings.servers; ++index) {
    Server& server = this->servers.emplace_back();
    server.name = InstanceName(fmt::format("{}", index));
    server.slowness =
      index < this->settings.stragglers ? this->settings.slowFactor : 1.0;
    server.byEntry.resize(this->settings.entries);
    names.push_back(server.name);
  }
  for (std::size_t index = 0; index < this->settings.entries; ++index) {
    Entry& entry = this->entries.emplace_back();
    entry.name = InstanceName(fmt::format("{}", index));
    entry.chooser = MakeChooser(aChooser);
    for (const InstanceName& name :
         ChooseSubset(entry.name, names, this->settings.subset)) {
      entry.table.Upsert(name, DataCentreName("a"));
      entry.table.SetAvailable(name, true);
      entry.health.Add(name);
      const std::size_t server = this->IndexOf(name);
      this->Heartbeat(server, index);
    }
    this->EvaluateHealth(index);
  }
}

ModelResult
QueueingModel::Run()
{
  this->ScheduleArrival();
  while (!this->events.empty() && this->events.top().at < this->end) {
    Event next = this->events.top();
    this->events.pop();
    this->now = next.at;
    next.act();
  }
  ModelResult result;
  result.served = this->waits.size();
  result.p50Millis = Percentile(this->waits, 0.5) / 1000.0;
  result.p99Millis = Percentile(this->waits, 0.99) / 1000.0;
  const double sum =
    std::accumulate(this->waits.begin(), this->waits.end(), 0.0);
  result.meanMillis =
    sum / 1000.0 / std::max<double>(1.0, static_cast<double>(result.served));
  result.hops = static_cast<double>(this->refusals) /
                std::max<double>(1.0, static_cast<double>(this->jobs.size()));
  return result;
}

void
QueueingModel::At(TimePoint aWhen, std::function<void()> aAct)
{
  this->events.push({ aWhen, this->eventOrder++, std::move(aAct) });
}

void
QueueingModel::ScheduleArrival()
{
  const double capacity =
    static_cast<double>(this->settings.servers * this->settings.slots) /
    (this->settings.meanTokens *
     static_cast<double>(this->settings.step.count()));
  std::exponential_distribution<double> gap(capacity * this->settings.load);
  this->At(this->now + Micros(gap(this->arrivals)), [this] { this->Arrive(); });
}

void
QueueingModel::Arrive()
{
  const double mu =
    std::log(this->settings.meanTokens) - kLengthSigma * kLengthSigma / 2.0;
  std::lognormal_distribution<double> length(mu, kLengthSigma);
  Job job;
  job.entry = this->arrivals() % this->entries.size();
  job.tokens = std::max(1.0, length(this->arrivals));
  job.arrival = this->now;
  if (this->settings.refuses) {
    job.refusalsLeft = AllowedRefusals(this->entries[job.entry].table);
  }
  this->jobs.push_back(std::move(job));
  const std::size_t index = this->jobs.size() - 1;
  if (this->settings.reservations > 0) {
    this->Reserve(index);
  } else {
    this->Send(index);
  }
  this->ScheduleArrival();
}

void
QueueingModel::Send(std::size_t aJob)
{
  Entry& entry = this->entries[this->jobs[aJob].entry];
  const Duration probing = this->Probe(entry);
  ChoiceRequest request;
  request.promptTokens = this->settings.promptTokens;
  if (this->jobs[aJob].refusalsLeft > 0) {
    request.excluded = this->jobs[aJob].refusedBy;
  }
  std::optional<InstanceName> chosen =
    entry.chooser->Choose(entry.table, request, this->now, this->choices);
  if (!chosen) {
    this->At(this->now + milliseconds(10), [this, aJob] { this->Send(aJob); });
    return;
  }
  const auto tokens = static_cast<std::uint64_t>(this->settings.meanTokens);
  entry.table.OnSent(*chosen, tokens, 0);
  const std::size_t server = this->IndexOf(*chosen);
  this->At(this->now + probing + this->settings.oneWay,
           [this, aJob, server] { this->Deliver(aJob, server); });
}

Duration
QueueingModel::Probe(Entry& aEntry)
{
  if (this->settings.probes == 0) {
    return Duration{ 0 };
  }
  for (std::size_t probe = 0; probe < this->settings.probes; ++probe) {
    const Backend* drawn =
      internal::DrawCandidate(aEntry.table, {}, nullptr, this->choices);
    if (drawn != nullptr) {
      const std::size_t server = this->IndexOf(drawn->name);
      aEntry.table.OnLoadReport(
        drawn->name,
        this->Snapshot(this->servers[server], this->IndexOf(aEntry.name)),
        this->now);
    }
  }
  return 2 * this->settings.oneWay;
}

void
QueueingModel::Reserve(std::size_t aJob)
{
  const Entry& entry = this->entries[this->jobs[aJob].entry];
  const Backend* last = nullptr;
  for (std::size_t count = 0; count < this->settings.reservations; ++count) {
    last = internal::DrawCandidate(entry.table, {}, last, this->choices);
    const std::size_t server = this->IndexOf(last->name);
    this->At(this->now + this->settings.oneWay,
             [this, aJob, server] { this->Deliver(aJob, server); });
  }
}

void
QueueingModel::Deliver(std::size_t aJob, std::size_t aServer)
{
  Server& server = this->servers[aServer];
  const Job& job = this->jobs[aJob];
  const std::uint32_t left = job.refusalsLeft;
  if (ShouldRefuseEarly(this->Snapshot(server, job.entry), left)) {
    this->Refuse(aJob, aServer);
    return;
  }
  ++server.byEntry[job.entry];
  server.queue.push_back(aJob);
  server.queuedTokens += job.tokens;
  this->StartNext(aServer);
}

void
QueueingModel::Refuse(std::size_t aJob, std::size_t aServer)
{
  ++this->refusals;
  const LoadReport report =
    this->Snapshot(this->servers[aServer], this->jobs[aJob].entry);
  this->At(this->now + this->settings.oneWay, [this, aJob, aServer, report] {
    Job& job = this->jobs[aJob];
    BackendTable& table = this->entries[job.entry].table;
    const InstanceName& name = this->servers[aServer].name;
    const auto tokens = static_cast<std::uint64_t>(this->settings.meanTokens);
    table.OnEnded(
      name, tokens, 0, SendResult::Refused, Duration{ 0 }, this->now);
    table.OnLoadReport(name, report, this->now);
    job.refusedBy.push_back(name);
    --job.refusalsLeft;
    this->Send(aJob);
  });
}

void
QueueingModel::StartNext(std::size_t aServer)
{
  Server& server = this->servers[aServer];
  while (server.running < this->settings.slots && !server.queue.empty()) {
    const std::size_t job = server.queue.front();
    server.queue.pop_front();
    server.queuedTokens -= this->jobs[job].tokens;
    if (this->jobs[job].claimed) {
      --server.byEntry[this->jobs[job].entry];
      continue;
    }
    this->jobs[job].claimed = true;
    this->Start(job, aServer);
  }
}

void
QueueingModel::Start(std::size_t aJob, std::size_t aServer)
{
  Server& server = this->servers[aServer];
  const Job& job = this->jobs[aJob];
  ++server.running;
  const double step =
    static_cast<double>(this->settings.step.count()) * server.slowness;
  const double prefill = step * (1.0 + this->settings.promptTokens / 256.0);
  const Duration claim =
    this->settings.reservations > 0 ? 2 * this->settings.oneWay : Duration{ 0 };
  const TimePoint firstToken = this->now + claim + Micros(prefill);
  const Duration wait =
    Between(job.arrival, firstToken) + this->settings.oneWay;
  const auto waited = static_cast<double>(wait.count());
  server.firstTokenMicros += 0.2 * (waited - server.firstTokenMicros);
  if (job.arrival > TimePoint{ seconds(1) } + this->settings.warmUp) {
    this->waits.push_back(waited);
  }
  this->At(firstToken, [this, aJob, aServer, wait] {
    this->Report(aServer, this->jobs[aJob].entry);
    this->entries[this->jobs[aJob].entry].health.OnFirstToken(
      this->servers[aServer].name, wait);
  });
  this->At(firstToken + Micros(job.tokens * step),
           [this, aJob, aServer] { this->Finish(aJob, aServer); });
}

void
QueueingModel::Finish(std::size_t aJob, std::size_t aServer)
{
  Server& server = this->servers[aServer];
  --server.running;
  --server.byEntry[this->jobs[aJob].entry];
  this->StartNext(aServer);
  const std::size_t entry = this->jobs[aJob].entry;
  this->At(this->now + this->settings.oneWay, [this, aServer, entry] {
    const InstanceName& name = this->servers[aServer].name;
    const auto tokens = static_cast<std::uint64_t>(this->settings.meanTokens);
    this->entries[entry].table.OnEnded(
      name, tokens, 0, SendResult::Completed, Duration{ 0 }, this->now);
    this->entries[entry].health.OnSuccess(name);
  });
  this->Report(aServer, entry);
}

void
QueueingModel::Report(std::size_t aServer, std::size_t aEntry)
{
  const LoadReport report = this->Snapshot(this->servers[aServer], aEntry);
  const Duration way = this->settings.oneWay + this->settings.reportLag;
  this->At(this->now + way, [this, aServer, aEntry, report] {
    Entry& entry = this->entries[aEntry];
    const InstanceName& name = this->servers[aServer].name;
    entry.table.OnLoadReport(name, report, this->now);
    entry.health.OnStepTime(name, Duration{ report.stepMicros });
  });
}

void
QueueingModel::Heartbeat(std::size_t aServer, std::size_t aEntry)
{
  this->Report(aServer, aEntry);
  this->At(this->now + this->settings.heartbeat,
           [this, aServer, aEntry] { this->Heartbeat(aServer, aEntry); });
}

void
QueueingModel::EvaluateHealth(std::size_t aEntry)
{
  if (!this->settings.ejects) {
    return;
  }
  Entry& entry = this->entries[aEntry];
  for (const HealthChange& change :
       entry.health.Evaluate(this->now, entry.table.MeanLoad())) {
    entry.table.SetHealthState(change.name, change.healthState);
  }
  this->At(this->now + kHealthPeriod,
           [this, aEntry] { this->EvaluateHealth(aEntry); });
}

LoadReport
QueueingModel::Snapshot(const Server& aServer, std::size_t aEntry) const
{
  LoadReport report;
  report.running = aServer.running;
  report.queued = static_cast<std::uint32_t>(aServer.queue.size());
  report.fromReader = aServer.byEntry[aEntry];
  report.limit = this->settings.slots;
  report.queuedTokens = static_cast<std::uint64_t>(
    static_cast<double>(aServer.queue.size()) * this->settings.meanTokens);
  report.firstTokenMicros =
    static_cast<std::uint32_t>(aServer.firstTokenMicros);
  report.stepMicros = static_cast<std::uint32_t>(
    static_cast<double>(this->settings.step.count()) * aServer.slowness);
  return report;
}

std::size_t
QueueingModel::IndexOf(const InstanceName& aName) const
{
  return std::stoul(aName.Value());
}

namespace {

struct Policy
{
  const char* label;
  const char* chooser;
  std::size_t probes = 0;
  std::size_t reservations = 0;
  bool refuses = false;
  bool ejects = false;
};

constexpr Policy kPolicies[] = {
  { "random", "random" },
  { "round_robin", "round_robin" },
  { "least_connections", "least_connections" },
  { "join_idle", "join_idle" },
  { "hot_cold", "hot_cold" },
  { "two_reservations", "random", 0, 2 },
  { "two_probes", "trusting", 2 },
  { "two_trusting_reports", "trusting" },
  { "least_loaded_of_two", "least_loaded_of_two" },
  { "least_loaded", "least_loaded" },
  { "random+refusal", "random", 0, 0, true },
  { "least_connections+refusal", "least_connections", 0, 0, true },
  { "least_loaded_of_two+refusal", "least_loaded_of_two", 0, 0, true },
  { "least_loaded+refusal", "least_loaded", 0, 0, true },
  { "least_loaded+refusal+ejection", "least_loaded", 0, 0, true, true },
};

struct Fleet
{
  const char* label;
  std::size_t entries;
  std::size_t servers;
  std::size_t subset;
};

constexpr Fleet kFleets[] = {
  { "nairobi_3x12", 3, 12, 12 },
  { "region_84x190_of_40", 84, 190, 40 },
};

struct Case
{
  const char* label;
  double load;
  std::size_t stragglers;
  Duration reportLag;
};

constexpr Case kCases[] = {
  { "load_0.5", 0.5, 0, Duration{ 0 } },
  { "load_0.9", 0.9, 0, Duration{ 0 } },
  { "load_0.5,late_2s", 0.5, 0, seconds(2) },
  { "load_0.9,late_2s", 0.9, 0, seconds(2) },
  { "load_0.5,straggler", 0.5, 1, Duration{ 0 } },
  { "load_0.9,straggler", 0.9, 1, Duration{ 0 } },
  { "load_0.5,straggler,late_2s", 0.5, 1, seconds(2) },
  { "load_0.9,straggler,late_2s", 0.9, 1, seconds(2) },
};

void
Measure(benchmark::State& aState,
        const Fleet& aFleet,
        const Case& aCase,
        const Policy& aPolicy)
{
  ModelSettings settings;
  settings.seed = static_cast<std::uint64_t>(aState.range(0));
  settings.entries = aFleet.entries;
  settings.servers = aFleet.servers;
  settings.subset = aFleet.subset;
  settings.load = aCase.load;
  settings.stragglers = aCase.stragglers;
  settings.reportLag = aCase.reportLag;
  settings.probes = aPolicy.probes;
  settings.reservations = aPolicy.reservations;
  settings.refuses = aPolicy.refuses;
  settings.ejects = aPolicy.ejects;
  ModelResult result;
  for (auto _ : aState) {
    result = QueueingModel(settings, aPolicy.chooser).Run();
  }
  aState.counters["p50_ms"] = result.p50Millis;
  aState.counters["p99_ms"] = result.p99Millis;
  aState.counters["mean_ms"] = result.meanMillis;
  aState.counters["hops"] = result.hops;
  aState.counters["served"] = static_cast<double>(result.served);
}

const bool kRegistered = [] {
  for (const Fleet& fleet : kFleets) {
    for (const Case& load : kCases) {
      for (const Policy& policy : kPolicies) {
        const std::string name =
          fmt::format("{}/{}/{}", fleet.label, load.label, policy.label);
        benchmark::RegisterBenchmark(name.c_str(),
                                     [&](benchmark::State& aState) {
                                       Measure(aState, fleet, load, policy);
                                     })
          ->Arg(1)
          ->Arg(2)
          ->Arg(3)
          ->Iterations(1)
          ->Unit(benchmark::kMillisecond);
      }
    }
  }
  return true;
}();

} // namespace

} // namespace dogwoodvale::bench
