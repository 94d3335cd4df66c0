#ifndef DOGWOODVALE_SIDECAR_DISPATCHER_H
#define DOGWOODVALE_SIDECAR_DISPATCHER_H

#include <memory>
#include <random>

#include <absl/container/flat_hash_map.h>

#include "SidecarAttempt.h"
#include "dogwoodvale/Scheduling"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// What a dispatcher has done, for metrics.
struct DispatcherCounters
{
  std::uint64_t started = 0;
  std::uint64_t refused = 0;
  std::uint64_t refusedEarly = 0;
  std::uint64_t evicted = 0;
  std::uint64_t preempted = 0;
  std::uint64_t handedBack = 0;
  std::uint64_t barred = 0;
  std::uint64_t completed = 0;
  std::uint64_t backendFailed = 0;
  std::uint64_t withdrawnQueued = 0;
  std::uint64_t withdrawnRunning = 0;
  std::uint64_t tokens = 0;
  /// Tokens of attempts that did not complete.
  std::uint64_t tokensCut = 0;
};

/// Decides which attempt the backend server gets next: the queue, the
/// concurrency limit, preemption and the record of starts, in one place.
class Dispatcher
{
public:
  static absl::StatusOr<std::unique_ptr<Dispatcher>> Create(
    const SidecarSettings& aSettings,
    BackendClient& aBackend);

  /// Queues the attempt, or refuses it at once.
  void Admit(SidecarAttempt& aAttempt);
  /// An attempt ended, in whichever way; forgets it and starts the next.
  void OnEnded(SidecarAttempt& aAttempt, AttemptEnd aEnd);

  void OnFirstToken(SidecarAttempt& aAttempt, Duration aSinceStart);
  void OnTokens(std::uint32_t aTokens, Duration aInterval);

  /// Bars the id unless it was started; see StartRecord.
  Disposition Probe(const RequestId& aId);

  /// No new work from now on; hands back what is queued as NotRun.
  void StartDraining();
  /// While down, new work is refused as NotRun.
  void SetBackendUp(bool aUp);

  bool IsDraining() const { return this->draining; }
  bool IsBackendUp() const { return this->backendUp; }
  std::size_t Running() const { return this->running.size(); }
  std::size_t Queued() const { return this->queue->Size(); }
  std::uint32_t Limit() const { return this->limit->Limit(); }
  /// The load as told to \p aReader, an entry.
  LoadReport Load(const InstanceName& aReader) const;
  const DispatcherCounters& Counters() const { return this->counters; }

private:
  Dispatcher(const SidecarSettings& aSettings,
             BackendClient& aBackend,
             std::unique_ptr<AbstractRequestQueue> aQueue,
             std::unique_ptr<ConcurrencyLimit> aLimit,
             LengthEstimator aLengths,
             WaitEstimator aStarts,
             PreemptionPolicy aPreemption,
             EarlyRefusal aEarlyRefusal);

  void Enqueue(SidecarAttempt& aAttempt, TimePoint aNow);
  QueuedRequest Describe(const SidecarAttempt& aAttempt) const;
  /// Whether it could not start before its budget is spent, or its class's
  /// bound on waiting is out of reach.
  bool WouldExpire(const SidecarAttempt& aAttempt, TimePoint aNow);
  void Evict(std::span<const RequestId> aEvicted, TimePoint aNow);
  void Refuse(SidecarAttempt& aAttempt,
              ErrorCode aCode,
              std::string_view aDetail,
              TimePoint aNow,
              bool aEarly = false);
  void Dispatch();
  void StartNext(const QueuedRequest& aNext, TimePoint aNow);
  void PreemptFor(const QueuedRequest& aHead, TimePoint aNow);
  std::vector<RunningRequest> DescribeRunning() const;
  milliseconds ComeBackAfter(Tier aTier, TimePoint aNow);
  void Forget(const SidecarAttempt& aAttempt);
  void CountEnd(const SidecarAttempt& aAttempt, AttemptEnd aEnd);

  struct Started
  {
    SidecarAttempt* attempt = nullptr;
    bool overdue = false;
  };

  const SidecarSettings settings;
  BackendClient& backend;
  std::unique_ptr<AbstractRequestQueue> queue;
  std::unique_ptr<ConcurrencyLimit> limit;
  LengthEstimator lengths;
  WaitEstimator starts;
  PreemptionPolicy preemption;
  EarlyRefusal earlyRefusal;
  StartRecord record;
  std::mt19937_64 random;
  absl::flat_hash_map<RequestId, SidecarAttempt*> waiting;
  absl::flat_hash_map<RequestId, Started> running;
  /// Requests here, queued and running, by the entry that sent them.
  absl::flat_hash_map<InstanceName, std::uint32_t> byEntry;
  DispatcherCounters counters;
  bool draining = false;
  bool backendUp = true;
  bool dispatching = false;
  /// Smoothed, for load reports.
  double firstTokenMicros = 0;
  /// Smoothed, from start to first token: what the server itself takes.
  double serverMicros = 0;
  double stepMicros = 0;
  /// Expected tokens of one queued request.
  double queuedTokens = 0;
};

} // namespace dogwoodvale

#endif
