#ifndef DOGWOODVALE_BENCH_ROUTING_QUEUEINGMODEL_H
#define DOGWOODVALE_BENCH_ROUTING_QUEUEINGMODEL_H

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "dogwoodvale/Routing"

/// A deterministic queueing model to compare choosers: entries, servers with
/// slots and one queue each, and reports that come late. Not a cluster
/// simulator: no protocol, no faults but slow servers.
namespace dogwoodvale::bench {

struct ModelSettings
{
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::size_t servers = 12;
  std::size_t subset = 12;
  std::uint32_t slots = 16;
  /// Share of the capacity of healthy servers that is asked for.
  double load = 0.9;
  /// The first servers run slower by slowFactor.
  std::size_t stragglers = 0;
  double slowFactor = 5.0;
  Duration step = milliseconds(6);
  double meanTokens = 200.0;
  std::uint32_t promptTokens = 512;
  Duration oneWay = std::chrono::microseconds(1500);
  /// Added to what a report takes on its way.
  Duration reportLag{ 0 };
  /// Reports to each connected entry beside those with first token and end.
  Duration heartbeat = seconds(5);
  Duration length = seconds(120);
  Duration warmUp = seconds(20);
  /// Ask this many drawn servers for their load before each choice, at the
  /// cost of a round trip.
  std::size_t probes = 0;
  /// Put the request on this many servers; the first with a free slot serves
  /// it, after a round trip to claim it.
  std::size_t reservations = 0;
  /// Servers without a free slot refuse early.
  bool refuses = false;
  bool ejects = false;
};

struct ModelResult
{
  /// From arrival to the first token.
  double p50Millis = 0.0;
  double p99Millis = 0.0;
  double meanMillis = 0.0;
  std::uint64_t served = 0;
  /// Second and further hops after a refusal, per request.
  double hops = 0.0;
};

class QueueingModel
{
public:
  QueueingModel(ModelSettings aSettings, const std::string& aChooser);
  ModelResult Run();

private:
  struct Job
  {
    std::size_t entry = 0;
    double tokens = 0.0;
    TimePoint arrival{};
    std::vector<InstanceName> refusedBy;
    std::uint32_t refusalsLeft = 0;
    bool claimed = false;
  };

  struct Server
  {
    InstanceName name;
    double slowness = 1.0;
    std::uint32_t running = 0;
    std::deque<std::size_t> queue;
    double queuedTokens = 0.0;
    double firstTokenMicros = 0.0;
    /// Running and queued, by entry.
    std::vector<std::uint32_t> byEntry;
  };

  struct Entry
  {
    InstanceName name;
    BackendTable table;
    HealthTracker health;
    std::unique_ptr<BackendChooser> chooser;
  };

  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  void At(TimePoint aWhen, std::function<void()> aAct);
  void Connect(const std::string& aChooser);
  void ScheduleArrival();
  void Arrive();
  void Send(std::size_t aJob);
  void Reserve(std::size_t aJob);
  Duration Probe(Entry& aEntry);
  void Deliver(std::size_t aJob, std::size_t aServer);
  void Refuse(std::size_t aJob, std::size_t aServer);
  void StartNext(std::size_t aServer);
  void Start(std::size_t aJob, std::size_t aServer);
  void Finish(std::size_t aJob, std::size_t aServer);
  void Report(std::size_t aServer, std::size_t aEntry);
  void Heartbeat(std::size_t aServer, std::size_t aEntry);
  void EvaluateHealth(std::size_t aEntry);
  LoadReport Snapshot(const Server& aServer, std::size_t aEntry) const;
  std::size_t IndexOf(const InstanceName& aName) const;

  ModelSettings settings;
  std::mt19937_64 arrivals;
  std::mt19937_64 choices;
  TimePoint now{ seconds(1) };
  TimePoint end{};
  std::uint64_t eventOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Server> servers;
  std::vector<Entry> entries;
  std::vector<Job> jobs;
  std::vector<double> waits;
  std::uint64_t refusals = 0;
};

} // namespace dogwoodvale::bench

#endif
