#include "dogwoodvale/Sidecar"

#include <algorithm>

namespace dogwoodvale {

namespace {

constexpr Duration kStartRateMemory = seconds(10);
constexpr double kSmoothing = 0.1;
constexpr std::uint32_t kInitialConcurrency = 8;
constexpr Duration kPrefillPerToken{ 12 };
constexpr Duration kPreemptionOverhead = milliseconds(20);
/// What a queued request holds beside its body.
constexpr std::uint64_t kRequestOverheadBytes = 1024;

double
Smooth(double aOld, double aNew)
{
  return aOld == 0 ? aNew : aOld + kSmoothing * (aNew - aOld);
}

absl::StatusOr<std::unique_ptr<ConcurrencyLimit>>
CreateLimit(const SidecarSettings& aSettings)
{
  if (!aSettings.adaptiveConcurrency) {
    auto fixed = FixedConcurrencyLimit::Create(aSettings.maxConcurrency);
    if (!fixed.ok()) {
      return fixed.status();
    }
    return std::make_unique<FixedConcurrencyLimit>(*std::move(fixed));
  }
  AdaptiveConcurrencyLimit::Options options;
  options.minimum = aSettings.minConcurrency;
  options.maximum = aSettings.maxConcurrency;
  options.initial = std::clamp(
    kInitialConcurrency, aSettings.minConcurrency, aSettings.maxConcurrency);
  auto adaptive = AdaptiveConcurrencyLimit::Create(options);
  if (!adaptive.ok()) {
    return adaptive.status();
  }
  return std::make_unique<AdaptiveConcurrencyLimit>(*std::move(adaptive));
}

} // namespace

absl::StatusOr<std::unique_ptr<Dispatcher>>
Dispatcher::Create(const SidecarSettings& aSettings, BackendClient& aBackend)
{
  const auto policy = ParseQueuePolicy(aSettings.policy);
  if (!policy.ok()) {
    return policy.status();
  }
  QueueBounds bounds;
  bounds.bytes = aSettings.queueBytes;
  bounds.requests = static_cast<std::uint32_t>(aSettings.queueRequests);
  bounds.overdueShare = aSettings.overdueShare;
  auto queue = CreateQueue(*policy, bounds);
  if (!queue.ok()) {
    return queue.status();
  }
  auto limit = CreateLimit(aSettings);
  if (!limit.ok()) {
    return limit.status();
  }
  auto lengths = LengthEstimator::Create({});
  auto starts = WaitEstimator::Create(kStartRateMemory);
  PreemptionPolicy::Options options;
  options.costs = { kPrefillPerToken, kPreemptionOverhead };
  auto preemption = PreemptionPolicy::Create(options);
  auto refusal = EarlyRefusal::Create({});
  for (const absl::Status& status : { lengths.status(),
                                      starts.status(),
                                      preemption.status(),
                                      refusal.status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  return std::unique_ptr<Dispatcher>(new Dispatcher(aSettings,
                                                    aBackend,
                                                    *std::move(queue),
                                                    *std::move(limit),
                                                    *std::move(lengths),
                                                    *std::move(starts),
                                                    *std::move(preemption),
                                                    *std::move(refusal)));
}

Dispatcher::Dispatcher(const SidecarSettings& aSettings,
                       BackendClient& aBackend,
                       std::unique_ptr<AbstractRequestQueue> aQueue,
                       std::unique_ptr<ConcurrencyLimit> aLimit,
                       LengthEstimator aLengths,
                       WaitEstimator aStarts,
                       PreemptionPolicy aPreemption,
                       EarlyRefusal aEarlyRefusal)
  : settings(aSettings)
  , backend(aBackend)
  , queue(std::move(aQueue))
  , limit(std::move(aLimit))
  , lengths(std::move(aLengths))
  , starts(std::move(aStarts))
  , preemption(aPreemption)
  , earlyRefusal(std::move(aEarlyRefusal))
  , random(DrawIncarnation())
{
}

void
Dispatcher::Admit(SidecarAttempt& aAttempt)
{
  const TimePoint now = Now();
  const RequestId id = aAttempt.Request().id;
  if (this->waiting.contains(id) || this->running.contains(id)) {
    // A second stream with the same id must not disturb the first.
    aAttempt.Refuse({ ErrorCode::Barred,
                      Disposition::MayHaveRun,
                      "this id is already here",
                      milliseconds(0) });
    return;
  }
  if (this->draining) {
    this->Refuse(aAttempt, ErrorCode::Draining, "stopping", now);
    return;
  }
  if (!this->backendUp) {
    this->Refuse(aAttempt, ErrorCode::NoBackendServer, "no connection", now);
    return;
  }
  if (this->WouldExpire(aAttempt, now)) {
    this->Refuse(
      aAttempt, ErrorCode::QueueFull, "could not start within budget", now);
    return;
  }
  if (ShouldRefuseEarly(this->Load(aAttempt.Entry()),
                        aAttempt.Request().refusalsLeft)) {
    ++this->counters.refusedEarly;
    this->Refuse(
      aAttempt, ErrorCode::QueueFull, "busy, others may not be", now, true);
    return;
  }
  this->Enqueue(aAttempt, now);
}

bool
Dispatcher::WouldExpire(const SidecarAttempt& aAttempt, TimePoint aNow)
{
  // With fewer before it than run at once, the rate of starts says little: a
  // few long answers would make the wait look endless.
  if (this->queue->SizeAtOrAbove(aAttempt.Request().tier) <
      this->limit->Limit()) {
    return false;
  }
  return this->earlyRefusal.Refuses(*this->queue,
                                    this->starts,
                                    this->Describe(aAttempt),
                                    Between(aNow, aAttempt.Deadline()),
                                    aNow);
}

QueuedRequest
Dispatcher::Describe(const SidecarAttempt& aAttempt) const
{
  const RunRequest& run = aAttempt.Request();
  QueuedRequest queued;
  queued.id = run.id;
  queued.service = ServiceName(run.service);
  queued.className = ClassName(run.className);
  queued.customer = CustomerName(run.customer);
  queued.tier = run.tier;
  queued.classWeight = run.classWeight;
  queued.customerWeight = run.customerWeight;
  queued.enqueued = aAttempt.Arrived();
  queued.target = aAttempt.Arrived() + Duration(run.targetMicros);
  queued.maxWait = Duration(run.maxWaitMicros);
  queued.promptTokens = run.promptTokens;
  const double expected = this->lengths.Mean(queued.className, queued.customer);
  queued.maxTokens =
    std::min(run.maxTokens, static_cast<std::uint32_t>(expected) + 1);
  queued.bytes = run.body.size() + kRequestOverheadBytes;
  queued.idempotent = run.idempotent;
  queued.classQueueBound = run.classQueueBound;
  queued.resumed = run.preemptions > 0;
  queued.expectedFirstToken =
    Duration(static_cast<Duration::rep>(this->serverMicros));
  return queued;
}

void
Dispatcher::Enqueue(SidecarAttempt& aAttempt, TimePoint aNow)
{
  const QueuedRequest queued = this->Describe(aAttempt);
  this->queuedTokens = Smooth(this->queuedTokens, queued.maxTokens);
  this->waiting[queued.id] = &aAttempt;
  ++this->byEntry[aAttempt.Entry()];
  const EnqueueResult result = this->queue->Enqueue(queued, aNow);
  this->Evict(result.evicted, aNow);
  if (result.verdict != EnqueueVerdict::Queued) {
    this->waiting.erase(queued.id);
    this->Forget(aAttempt);
    this->Refuse(aAttempt, ErrorCode::QueueFull, "queue is full", aNow);
    return;
  }
  this->Dispatch();
  const QueuedRequest* head = this->queue->Peek(aNow);
  if (this->settings.preemption && head != nullptr && head->id == queued.id) {
    this->PreemptFor(*head, aNow);
  }
}

void
Dispatcher::Evict(std::span<const RequestId> aEvicted, TimePoint aNow)
{
  for (const RequestId& id : aEvicted) {
    SidecarAttempt* attempt = this->waiting.at(id);
    this->waiting.erase(id);
    this->Forget(*attempt);
    ++this->counters.evicted;
    this->Refuse(*attempt, ErrorCode::Evicted, "made room", aNow);
  }
}

milliseconds
Dispatcher::ComeBackAfter(Tier aTier, TimePoint aNow)
{
  const double wait = EstimatedWait(*this->queue, this->starts, aTier, aNow);
  const double draw =
    std::uniform_real_distribution<double>(0, 1)(this->random);
  return RetryAfter(wait, draw);
}

void
Dispatcher::Refuse(SidecarAttempt& aAttempt,
                   ErrorCode aCode,
                   std::string_view aDetail,
                   TimePoint aNow,
                   bool aEarly)
{
  ++this->counters.refused;
  RequestError error;
  error.code = aCode;
  // Barred before the word is given, so that a copy of the request that comes
  // late can't make "not run" untrue.
  error.disposition = this->record.Bar(aAttempt.Request().id, aNow);
  error.detail = std::string(aDetail);
  error.retryAfter = this->ComeBackAfter(aAttempt.Request().tier, aNow);
  aAttempt.Refuse(error, aEarly);
}

void
Dispatcher::Dispatch()
{
  // Starting an attempt may end it at once and so come back here.
  if (this->dispatching) {
    return;
  }
  this->dispatching = true;
  while (this->limit->HasRoom()) {
    const TimePoint now = Now();
    const std::optional<QueuedRequest> next = this->queue->Dequeue(now);
    if (!next) {
      break;
    }
    this->StartNext(*next, now);
  }
  this->dispatching = false;
}

void
Dispatcher::StartNext(const QueuedRequest& aNext, TimePoint aNow)
{
  SidecarAttempt* attempt = this->waiting.at(aNext.id);
  this->waiting.erase(aNext.id);
  const Duration left = Between(aNow, attempt->Deadline());
  const bool expired = left <= Duration(0);
  if (expired || !this->record.Begin(aNext.id, left, aNow)) {
    this->queue->OnFinished(aNext.className, aNext.customer, 0);
    this->Forget(*attempt);
    this->Refuse(*attempt,
                 expired ? ErrorCode::DeadlineExceeded : ErrorCode::Barred,
                 "not started",
                 aNow);
    return;
  }
  ++this->counters.started;
  this->running[aNext.id] = { attempt, aNext.startedOverdue };
  this->limit->OnStart(aNow);
  this->starts.OnStart(aNext, aNow);
  attempt->Start(this->backend, aNow);
}

std::vector<RunningRequest>
Dispatcher::DescribeRunning() const
{
  std::vector<RunningRequest> all;
  all.reserve(this->running.size());
  for (const auto& [id, started] : this->running) {
    const RunRequest& run = started.attempt->Request();
    RunningRequest described;
    described.id = id;
    described.tier = run.tier;
    // Only a token stream can go on from where it was cut.
    described.idempotent =
      run.idempotent && run.answerKind == AnswerKind::Tokens;
    described.promptTokens = run.promptTokens;
    described.tokensGenerated = started.attempt->Tokens();
    described.started = started.attempt->StartedAt();
    described.startedOverdue = started.overdue;
    described.preemptions = run.preemptions;
    all.push_back(described);
  }
  return all;
}

void
Dispatcher::PreemptFor(const QueuedRequest& aHead, TimePoint aNow)
{
  const double rate = this->starts.StartRate(aNow);
  if (rate <= 0) {
    return;
  }
  const Duration wait{ static_cast<Duration::rep>(1e6 / rate) };
  const std::vector<RunningRequest> all = this->DescribeRunning();
  const std::optional<RequestId> victim =
    this->preemption.PickVictim(all, aHead, wait, aNow);
  if (victim) {
    this->running.at(*victim).attempt->Preempt();
  }
}

void
Dispatcher::OnEnded(SidecarAttempt& aAttempt, AttemptEnd aEnd)
{
  const RunRequest& run = aAttempt.Request();
  const auto waits = this->waiting.find(run.id);
  if (waits != this->waiting.end() && waits->second == &aAttempt) {
    this->queue->Remove(run.id);
    this->waiting.erase(waits);
    this->Forget(aAttempt);
    ++this->counters.withdrawnQueued;
    return;
  }
  const auto runs = this->running.find(run.id);
  if (runs == this->running.end() || runs->second.attempt != &aAttempt) {
    return;
  }
  this->running.erase(runs);
  this->Forget(aAttempt);
  if (aAttempt.HasFirstToken()) {
    this->limit->OnFinish(Now());
  } else {
    this->limit->OnFinishWithoutFirstToken(Now());
  }
  this->CountEnd(aAttempt, aEnd);
  const ClassName className(run.className);
  const CustomerName customer(run.customer);
  this->queue->OnFinished(className, customer, aAttempt.Tokens());
  if (aEnd == AttemptEnd::Completed) {
    this->lengths.Observe(className, customer, aAttempt.Tokens());
  }
  this->Dispatch();
}

void
Dispatcher::Forget(const SidecarAttempt& aAttempt)
{
  const auto found = this->byEntry.find(aAttempt.Entry());
  if (--found->second == 0) {
    this->byEntry.erase(found);
  }
}

void
Dispatcher::CountEnd(const SidecarAttempt& aAttempt, AttemptEnd aEnd)
{
  this->counters.tokens += aAttempt.Tokens();
  if (aEnd != AttemptEnd::Completed) {
    this->counters.tokensCut += aAttempt.Tokens();
  }
  switch (aEnd) {
    case AttemptEnd::Completed:
      ++this->counters.completed;
      break;
    case AttemptEnd::BackendFailed:
      ++this->counters.backendFailed;
      break;
    case AttemptEnd::Withdrawn:
      ++this->counters.withdrawnRunning;
      break;
    case AttemptEnd::Preempted:
      ++this->counters.preempted;
      break;
    case AttemptEnd::NotRun:
      break;
  }
}

void
Dispatcher::OnFirstToken(SidecarAttempt& aAttempt, Duration aSinceStart)
{
  this->limit->OnFirstToken(aSinceStart, aAttempt.Request().promptTokens);
  this->serverMicros =
    Smooth(this->serverMicros, static_cast<double>(aSinceStart.count()));
  const Duration sinceArrival = Between(aAttempt.Arrived(), Now());
  this->firstTokenMicros =
    Smooth(this->firstTokenMicros, static_cast<double>(sinceArrival.count()));
}

void
Dispatcher::OnTokens(std::uint32_t aTokens, Duration aInterval)
{
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    this->limit->OnToken(aInterval);
  }
  this->stepMicros =
    Smooth(this->stepMicros, static_cast<double>(aInterval.count()));
}

Disposition
Dispatcher::Probe(const RequestId& aId)
{
  const TimePoint now = Now();
  const Disposition disposition = this->record.Bar(aId, now);
  const auto waits = this->waiting.find(aId);
  if (waits != this->waiting.end()) {
    SidecarAttempt* attempt = waits->second;
    this->queue->Remove(aId);
    this->waiting.erase(waits);
    this->Forget(*attempt);
    ++this->counters.barred;
    this->Refuse(*attempt, ErrorCode::Barred, "barred by a probe", now);
  }
  return disposition;
}

void
Dispatcher::StartDraining()
{
  this->draining = true;
  const TimePoint now = Now();
  for (const RequestId& id : this->queue->DrainAll()) {
    SidecarAttempt* attempt = this->waiting.at(id);
    this->waiting.erase(id);
    this->Forget(*attempt);
    ++this->counters.handedBack;
    this->Refuse(*attempt, ErrorCode::Draining, "handed back", now);
  }
}

void
Dispatcher::SetBackendUp(bool aUp)
{
  this->backendUp = aUp;
}

LoadReport
Dispatcher::Load(const InstanceName& aReader) const
{
  LoadReport load;
  load.running = static_cast<std::uint32_t>(this->running.size());
  load.queued = static_cast<std::uint32_t>(this->queue->Size());
  load.queuedTokens =
    static_cast<std::uint64_t>(this->queuedTokens * load.queued);
  load.limit = this->limit->Limit();
  load.firstTokenMicros = static_cast<std::uint32_t>(this->firstTokenMicros);
  load.stepMicros = static_cast<std::uint32_t>(this->stepMicros);
  const auto own = this->byEntry.find(aReader);
  load.fromReader = own == this->byEntry.end() ? 0 : own->second;
  std::size_t above = 0;
  for (Tier tier = 0; tier < kTierCount && above < load.queued; ++tier) {
    const std::size_t upTo = this->queue->SizeAtOrAbove(tier);
    load.queuedByTier.push_back(static_cast<std::uint32_t>(upTo - above));
    above = upTo;
  }
  return load;
}

} // namespace dogwoodvale
