#ifndef DOGWOODVALE_BENCH_SERVERMODEL_H
#define DOGWOODVALE_BENCH_SERVERMODEL_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "bench/EngineModel.h"
#include "dogwoodvale/Scheduling"

namespace dogwoodvale::model {

/// What a class asks for and is promised.
struct ClassModel
{
  std::string name;
  Tier tier = 0;
  bool idempotent = true;
  std::uint32_t meanPrompt = 0;
  std::uint32_t meanAnswer = 0;
  /// Lengths are log-normal with this sigma.
  double sigma = 0;
  Duration target{ 0 };
  Duration maxWait{ 0 };
  /// When its caller gives up.
  Duration deadline{ 0 };
  /// Share of the requests at the usual load.
  double share = 0;
};

/// One request of a generated load.
struct Arrival
{
  TimePoint at;
  std::size_t classIndex = 0;
  std::string customer;
  std::uint32_t prompt = 0;
  std::uint32_t answer = 0;
};

/// What the callers of one class saw.
struct ClassReport
{
  int requests = 0;
  int onTarget = 0;
  int completed = 0;
  int refused = 0;
  int abandoned = 0;
  Duration longestWait{ 0 };

  /// Share that had its first token in time; 1 when there were no requests.
  double Attainment() const
  {
    return this->requests == 0
             ? 1
             : static_cast<double>(this->onTarget) / this->requests;
  }
};

struct Report
{
  std::vector<ClassReport> classes;
  /// Tokens of requests that completed while the load lasted, a second.
  double goodput = 0;
  /// Share of the engine's tokens (prefilled at a tenth and generated) that
  /// were for requests that did not complete, or were done again.
  double wasted = 0;
  int preemptions = 0;
};

/// One backend server with its sidecar's decisions in front: a queue, a
/// concurrency limit and, if wanted, preemption. Time is the model's.
class ServerModel
{
public:
  struct Options
  {
    EngineModel::Options engine;
    bool preempt = false;
    /// Refuse at once who would not start within its class's bound.
    bool refuseEarly = false;
    /// Tell the engine the tier, which it honours in its own order.
    bool passPriority = false;
    /// Charge each request alike, whatever its length: fairness by requests.
    bool countRequests = false;
  };

  ServerModel(const Options& aOptions,
              std::span<const ClassModel> aClasses,
              std::unique_ptr<AbstractRequestQueue> aQueue,
              std::unique_ptr<ConcurrencyLimit> aLimit);

  /// Runs the whole load and until all of it has ended.
  Report Run(std::span<const Arrival> aArrivals);

private:
  struct Job
  {
    Arrival arrival;
    QueuedRequest request;
    std::uint32_t done = 0;
    std::uint32_t doneAtStart = 0;
    std::uint32_t preemptions = 0;
    TimePoint started;
    bool running = false;
    bool hasFirst = false;
    /// No token has come since this start.
    bool awaitsToken = false;
    bool ended = false;
  };

  Job& JobOf(const RequestId& aId) { return this->jobs.at(aId.sequence); }
  ClassReport& ReportOf(const Job& aJob)
  {
    return this->report.classes.at(aJob.arrival.classIndex);
  }
  QueuedRequest MakeRequest(const Arrival& aArrival, std::uint64_t aId) const;
  void Arrive(const Arrival& aArrival);
  bool WouldWaitTooLong(const QueuedRequest& aRequest);
  void Enqueue(Job& aJob);
  void AbandonLate();
  void StartWhatFits();
  void Start(const QueuedRequest& aRequest);
  void PreemptIfWorth();
  void Preempt(Job& aJob);
  void AdvanceBatch();
  void FinishRunning(Job& aJob);
  void End(Job& aJob);
  Duration ExpectedSlotWait() const;

  Options options;
  std::span<const ClassModel> classes;
  std::unique_ptr<AbstractRequestQueue> queue;
  std::unique_ptr<ConcurrencyLimit> limit;
  EngineModel engine;
  WaitEstimator starts = *WaitEstimator::Create(seconds(10));
  EarlyRefusal refusal = *EarlyRefusal::Create({});
  std::optional<PreemptionPolicy> preemption;
  std::map<std::uint64_t, Job> jobs;
  std::set<std::uint64_t> running;
  std::multimap<TimePoint, std::uint64_t> deadlines;
  TimePoint now;
  std::optional<TimePoint> lastFinish;
  double finishGap = 0;
  double spent = 0;
  double useful = 0;
  double completedTokens = 0;
  TimePoint lastArrival;
  Report report;
};

inline ServerModel::ServerModel(const Options& aOptions,
                                std::span<const ClassModel> aClasses,
                                std::unique_ptr<AbstractRequestQueue> aQueue,
                                std::unique_ptr<ConcurrencyLimit> aLimit)
  : options(aOptions)
  , classes(aClasses)
  , queue(std::move(aQueue))
  , limit(std::move(aLimit))
  , engine(aOptions.engine)
{
  this->report.classes.resize(aClasses.size());
  if (aOptions.preempt) {
    PreemptionPolicy::Options preempt;
    preempt.costs.prefillPerToken = aOptions.engine.perPrefillToken;
    preempt.costs.overhead = aOptions.engine.base;
    this->preemption = *PreemptionPolicy::Create(preempt);
  }
}

inline Report
ServerModel::Run(std::span<const Arrival> aArrivals)
{
  std::size_t next = 0;
  this->now = aArrivals.empty() ? TimePoint() : aArrivals.front().at;
  const TimePoint begin = this->now;
  this->lastArrival = aArrivals.empty() ? begin : aArrivals.back().at;
  while (next < aArrivals.size() || this->queue->Size() > 0 ||
         !this->running.empty()) {
    while (next < aArrivals.size() && aArrivals[next].at <= this->now) {
      this->Arrive(aArrivals[next++]);
    }
    this->AbandonLate();
    this->StartWhatFits();
    this->PreemptIfWorth();
    if (this->running.empty()) {
      this->now = next < aArrivals.size() ? aArrivals[next].at : this->now;
      continue;
    }
    this->now = this->engine.Step(this->now);
    this->AdvanceBatch();
  }
  const double span =
    std::chrono::duration<double>(this->lastArrival - begin).count();
  this->report.goodput = span > 0 ? this->completedTokens / span : 0;
  this->report.wasted = this->spent == 0 ? 0 : 1 - this->useful / this->spent;
  return this->report;
}

inline QueuedRequest
ServerModel::MakeRequest(const Arrival& aArrival, std::uint64_t aId) const
{
  const ClassModel& model = this->classes[aArrival.classIndex];
  QueuedRequest request;
  request.id = { 1, aId };
  request.className = ClassName(model.name);
  request.customer = CustomerName(aArrival.customer);
  request.tier = model.tier;
  request.enqueued = aArrival.at;
  request.target = aArrival.at + model.target;
  request.maxWait = model.maxWait;
  request.promptTokens = this->options.countRequests ? 0 : aArrival.prompt;
  request.maxTokens = this->options.countRequests ? 0 : 4096;
  request.bytes = std::uint64_t{ 4 } * aArrival.prompt;
  request.idempotent = model.idempotent;
  request.classQueueBound = 400;
  request.expectedFirstToken =
    this->options.engine.base +
    aArrival.prompt * this->options.engine.perPrefillToken;
  return request;
}

inline void
ServerModel::Arrive(const Arrival& aArrival)
{
  const std::uint64_t id = this->jobs.size() + 1;
  Job& job = this->jobs[id];
  job.arrival = aArrival;
  job.request = this->MakeRequest(aArrival, id);
  ++this->ReportOf(job).requests;
  this->deadlines.emplace(
    aArrival.at + this->classes[aArrival.classIndex].deadline, id);
  if (this->options.refuseEarly && this->WouldWaitTooLong(job.request)) {
    ++this->ReportOf(job).refused;
    this->End(job);
    return;
  }
  this->Enqueue(job);
}

inline bool
ServerModel::WouldWaitTooLong(const QueuedRequest& aRequest)
{
  const TimePoint deadline =
    aRequest.enqueued +
    this->classes[this->jobs.at(aRequest.id.sequence).arrival.classIndex]
      .deadline;
  return this->refusal.Refuses(*this->queue,
                               this->starts,
                               aRequest,
                               Between(this->now, deadline),
                               this->now);
}

inline void
ServerModel::Enqueue(Job& aJob)
{
  const EnqueueResult result = this->queue->Enqueue(aJob.request, this->now);
  for (const RequestId& id : result.evicted) {
    ++this->ReportOf(this->JobOf(id)).refused;
    this->End(this->JobOf(id));
  }
  if (result.verdict != EnqueueVerdict::Queued) {
    ++this->ReportOf(aJob).refused;
    this->End(aJob);
  }
}

inline void
ServerModel::AbandonLate()
{
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first <= this->now) {
    Job& job = this->jobs.at(this->deadlines.begin()->second);
    this->deadlines.erase(this->deadlines.begin());
    if (job.ended) {
      continue;
    }
    ++this->ReportOf(job).abandoned;
    if (job.running) {
      this->engine.Cancel(job.request.id);
      this->FinishRunning(job);
    } else {
      this->queue->Remove(job.request.id);
    }
    this->End(job);
  }
}

inline void
ServerModel::StartWhatFits()
{
  while (this->limit->HasRoom()) {
    const auto started = this->queue->Dequeue(this->now);
    if (!started) {
      return;
    }
    this->Start(*started);
  }
}

inline void
ServerModel::Start(const QueuedRequest& aRequest)
{
  Job& job = this->JobOf(aRequest.id);
  job.request = aRequest;
  job.started = this->now;
  job.running = true;
  job.awaitsToken = true;
  job.doneAtStart = job.done;
  if (!job.hasFirst) {
    Duration& longest = this->ReportOf(job).longestWait;
    longest = std::max(longest, Between(job.arrival.at, this->now));
  }
  this->running.insert(aRequest.id.sequence);
  this->engine.Start(aRequest.id,
                     job.arrival.prompt + job.done,
                     job.arrival.answer - job.done,
                     this->now,
                     this->options.passPriority ? aRequest.tier : 0);
  this->limit->OnStart(this->now);
  this->starts.OnStart(aRequest, this->now);
}

inline void
ServerModel::PreemptIfWorth()
{
  const QueuedRequest* head = this->preemption && !this->limit->HasRoom()
                                ? this->queue->Peek(this->now)
                                : nullptr;
  if (head == nullptr) {
    return;
  }
  std::vector<RunningRequest> candidates;
  for (const std::uint64_t id : this->running) {
    const Job& job = this->jobs.at(id);
    candidates.push_back({ job.request.id,
                           job.request.tier,
                           job.request.idempotent,
                           job.arrival.prompt,
                           job.done,
                           job.started,
                           job.preemptions,
                           job.request.startedOverdue });
  }
  const auto victim = this->preemption->PickVictim(
    candidates, *head, this->ExpectedSlotWait(), this->now);
  if (victim) {
    this->Preempt(this->JobOf(*victim));
    this->StartWhatFits();
  }
}

inline void
ServerModel::Preempt(Job& aJob)
{
  ++this->report.preemptions;
  ++aJob.preemptions;
  this->engine.Cancel(aJob.request.id);
  this->FinishRunning(aJob);
  // Prefilling it again is work that its caller gains nothing by.
  this->spent += 0.1 * (aJob.arrival.prompt + aJob.done);
  aJob.request.resumed = true;
  this->Enqueue(aJob);
}

inline void
ServerModel::AdvanceBatch()
{
  std::vector<std::uint64_t> finished;
  for (EngineModel::Sequence& sequence : this->engine.Batch()) {
    if (!sequence.advanced) {
      continue;
    }
    Job& job = this->JobOf(sequence.id);
    ++job.done;
    job.awaitsToken = false;
    if (!sequence.hasFirst) {
      this->limit->OnFirstToken(Between(sequence.started, this->now),
                                job.arrival.prompt);
    } else {
      this->limit->OnToken(Between(sequence.lastToken, this->now));
    }
    sequence.hasFirst = true;
    sequence.lastToken = this->now;
    if (!job.hasFirst) {
      job.hasFirst = true;
      const bool inTime = this->now <= job.request.target;
      this->ReportOf(job).onTarget += inTime ? 1 : 0;
    }
    if (sequence.tokensLeft == 0) {
      finished.push_back(sequence.id.sequence);
    }
  }
  for (const std::uint64_t id : finished) {
    Job& job = this->jobs.at(id);
    this->FinishRunning(job);
    ++this->ReportOf(job).completed;
    this->useful += 0.1 * job.arrival.prompt + job.done;
    if (this->now <= this->lastArrival) {
      this->completedTokens += job.done;
    }
    this->End(job);
  }
}

inline void
ServerModel::FinishRunning(Job& aJob)
{
  aJob.running = false;
  this->running.erase(aJob.request.id.sequence);
  if (aJob.awaitsToken) {
    this->limit->OnFinishWithoutFirstToken(this->now);
  } else {
    this->limit->OnFinish(this->now);
  }
  const std::uint32_t generated = aJob.done - aJob.doneAtStart;
  this->queue->OnFinished(
    aJob.request.className, aJob.request.customer, generated);
  this->spent += generated;
  if (this->lastFinish) {
    const auto gap =
      static_cast<double>(Between(*this->lastFinish, this->now).count());
    this->finishGap += (gap - this->finishGap) / 16;
  }
  this->lastFinish = this->now;
}

inline void
ServerModel::End(Job& aJob)
{
  aJob.ended = true;
  if (aJob.hasFirst) {
    this->spent += 0.1 * aJob.arrival.prompt;
  }
}

inline Duration
ServerModel::ExpectedSlotWait() const
{
  return Duration(static_cast<std::int64_t>(this->finishGap));
}

} // namespace dogwoodvale::model

#endif
