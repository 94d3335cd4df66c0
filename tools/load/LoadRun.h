#ifndef DOGWOODVALE_TOOLS_LOAD_LOADRUN_H
#define DOGWOODVALE_TOOLS_LOAD_LOADRUN_H

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tools/load/Arrivals.h"
#include "tools/load/Balancer.h"
#include "tools/load/Call.h"
#include "tools/load/HttpClient.h"

namespace dogwoodvale::load {

/// Takes each call as it ends.
class CallSink
{
public:
  virtual ~CallSink() = default;
  virtual void OnCall(const Call& aCall) = 0;
};

/// What a run needs besides its plan.
struct RunOptions
{
  std::vector<SocketAddress> targets;
  std::uint64_t seed = 1;
  /// Arrivals come this long.
  Duration duration = seconds(10);
  /// After them, calls under way have this long to end.
  Duration drain = seconds(60);
  double rateScale = 1;
  /// Begins every nonce, so that two runs don't share one; letters and digits.
  std::string noncePrefix;
  BalancerOptions balancer;
};

/// Makes the calls of a plan on time, whatever the answers do (open loop).
class LoadRun
{
public:
  /// All arguments outlive this.
  LoadRun(EventLoop& aLoop,
          const LoadPlan& aPlan,
          const RunOptions& aOptions,
          CallSink& aSink);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  void Start();
  /// Whether all calls have ended; each was given to the sink.
  bool IsDone() const { return this->isDone; }
  /// Ends the arrivals now and the calls after the drain time.
  void StopArrivals();
  /// By how much the latest call left after its time; if this grows, the tool
  /// itself is too slow for the load and its figures are worth less.
  double LongestLagMs() const { return this->longestLagMs; }
  /// The most calls that were under way at once.
  std::size_t MostOpenCalls() const { return this->mostOpenCalls; }

private:
  class ActiveCall;
  struct Retry;

  void SendDue();
  void Begin(const Arrival& aArrival, const Call* aEarlier);
  void Finish(ActiveCall& aCall);
  void PlanRetry(const ActiveCall& aCall);
  void GiveUp();
  void CheckDone();

  EventLoop& loop;
  const LoadPlan& plan;
  const RunOptions& options;
  CallSink& sink;
  HttpClient client;
  Balancer balancer;
  Arrivals arrivals;
  std::mt19937_64 random;
  TimePoint startedAt;
  std::optional<Arrival> next;
  std::uint64_t nextNonce = 0;
  double longestLagMs = 0;
  std::size_t mostOpenCalls = 0;
  bool arrivalsEnded = false;
  bool isDone = false;
  std::list<std::unique_ptr<ActiveCall>> active;
  std::list<std::unique_ptr<ActiveCall>> ended;
  std::list<std::unique_ptr<Retry>> retries;
  Timer arrivalTimer;
  Timer drainTimer;
  Timer sweep;
};

/// Milliseconds of the monotonic clock, as histories tell time.
double
ToMs(TimePoint aTime);

} // namespace dogwoodvale::load

#endif
