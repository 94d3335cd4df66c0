#include "GatewayRequest.h"

#include <algorithm>
#include <utility>

#include "AnswerStatus.h"
#include "GatewayLog.h"

namespace dogwoodvale {

namespace {

/// The least time in which another attempt can still be of use.
constexpr Duration kLeastUseful = milliseconds(20);
/// What must not be repeated goes only on connections used this lately.
constexpr Duration kFreshForOnce = milliseconds(500);

} // namespace

GatewayRequest::GatewayRequest(GatewayRequestHost& aHost,
                               std::unique_ptr<CallerExchange> aExchange,
                               AdmittedRequest aAdmitted)
  : host(aHost)
  , exchange(std::move(aExchange))
  , admitted(std::move(aAdmitted))
  , accepted(Now())
  , deadline(aHost.Loop(), [this] { this->OnDeadline(); })
  , waiting(aHost.Loop(), [this] { this->TryNext(); })
{
  const Duration limit =
    std::min(this->admitted.envelope.timeLimit.value_or(Duration::max()),
             this->GetRoute().timeout);
  this->deadlineAt = this->accepted + limit;
}

GatewayRequest::~GatewayRequest()
{
  this->EndAttempt();
}

void
GatewayRequest::Start()
{
  this->exchange->SetHandler(this);
  this->deadline.StartOnce(this->TimeLeft(this->accepted));
  this->TryNext();
}

Duration
GatewayRequest::TimeLeft(TimePoint aNow) const
{
  return std::max(Between(aNow, this->deadlineAt), Duration::zero());
}

// Sending.

PlacementRequest
GatewayRequest::ToPlace(TimePoint aNow) const
{
  PlacementRequest request{ this->admitted.demand, this->admitted.places };
  request.target = this->GetRoute().target;
  request.spent = Between(this->accepted, aNow);
  request.outputTokens = this->admitted.envelope.maxOutputTokens;
  request.isFirst = this->outcome.attempts == 0;
  request.hasBegun = this->streamBegun;
  request.wasRead = this->reads > 0;
  return request;
}

bool
GatewayRequest::PassesCrashGuard(TimePoint aNow)
{
  CrashGuard& guard = this->host.Crashes();
  const RequestFingerprint request = this->admitted.fingerprint;
  if (guard.IsQuarantined(request)) {
    this->GiveUp(ErrorCode::Quarantined,
                 "it crashes the backend servers that run it");
    return false;
  }
  const std::optional<Duration> wait = this->copyWait.Next(
    guard, request, this->outcome.attempts == 0, aNow, this->host.Random());
  if (wait) {
    this->waiting.StartOnce(*wait);
  }
  return !wait;
}

void
GatewayRequest::TryNext()
{
  const TimePoint now = Now();
  if (!this->PassesCrashGuard(now)) {
    return;
  }
  BackendPool& pool = this->host.Backends();
  const std::vector<DirectCandidate> candidates = pool.Candidates(
    *this->admitted.service, this->admitted.demand, this->excluded, now);
  const std::optional<Placement> placed =
    this->host.RequestPlacer().Place(candidates,
                                     this->ToPlace(now),
                                     pool.FlowOf(this->admitted.service->name),
                                     this->host.Random());
  if (!placed) {
    this->GiveUpUnplaced();
    return;
  }
  const DirectCandidate& server = candidates[placed->server];
  this->outcome.instance = server.name;
  this->outcome.cachedTokens = server.cachedTokens;
  this->outcome.placement = *placed;
  if (placed->timeliness == Timeliness::Hopeless) {
    this->GiveUp(ErrorCode::QueueFull, "all servers are behind", placed->wait);
    return;
  }
  BackendClient* client = pool.Acquire(server.name, this->admitted.demand, now);
  if (client == nullptr) {
    this->GiveUpUnplaced();
    return;
  }
  this->SendTo(server, *client);
}

DirectAttempt::Plan
GatewayRequest::PlanFor(const InstanceName& aInstance, TimePoint aNow) const
{
  DirectAttempt::Plan plan;
  plan.instance = aInstance;
  plan.attemptId = this->admitted.envelope.attemptId;
  plan.expectsStream = this->GetRoute().kind == RouteKind::Streaming;
  plan.resumeAfter = this->delivered;
  plan.patience =
    PatienceFor(this->GetRoute(), this->outcome.attempts, this->TimeLeft(aNow));
  if (!this->MayRepeat()) {
    plan.freshness = kFreshForOnce;
  }
  return plan;
}

BackendOrder
GatewayRequest::OrderFor(const InstanceName& aInstance, TimePoint aNow) const
{
  const BackendPool& pool = this->host.Backends();
  BackendOrder order;
  order.server = pool.ServerOf(aInstance);
  order.customer = this->admitted.customer;
  order.timeLeft = this->TimeLeft(aNow);
  order.place = this->outcome.placement.place;
  order.resumeAfter = this->delivered;
  if (this->outcome.placement.fetch) {
    order.fetchFrom = pool.AddressOf(this->outcome.placement.fetch->instance);
  }
  return order;
}

void
GatewayRequest::SendTo(const DirectCandidate& aCandidate,
                       BackendClient& aClient)
{
  const TimePoint now = Now();
  const Placement& placement = this->outcome.placement;
  BackendPool& pool = this->host.Backends();
  this->sent = Sent{ .instance = aCandidate.name,
                     .work = placement.work,
                     .at = now,
                     .hadRoom = aCandidate.work.requests < aCandidate.slots };
  pool.OnSent(aCandidate.name, placement.work, this->admitted.demand.steps);
  const std::uint32_t longTokens =
    this->admitted.demand.isLong
      ? static_cast<std::uint32_t>(placement.work.Prefill())
      : 0;
  pool.OnLongPrompt(aCandidate.name, longTokens, now);
  this->host.OnSent(aCandidate.name, this->admitted.demand.steps, longTokens);
  this->attempt =
    std::make_unique<DirectAttempt>(this->host.Loop(),
                                    *this->host.Ports().backends,
                                    this->PlanFor(aCandidate.name, now),
                                    *this);
  this->host.Crashes().OnSent(this->admitted.fingerprint);
  const BackendOrder order = this->OrderFor(aCandidate.name, now);
  ++this->outcome.attempts;
  this->attempt->Start(
    aClient,
    this->host.Ports().backends->Compose(this->exchange->Request(), order));
}

// The answer.

AttemptHealth
GatewayRequest::HealthOf(const InstanceName& aInstance) const
{
  return { this->host.Backends().HealthOf(aInstance), aInstance };
}

void
GatewayRequest::NoteFirstSign(TimePoint aNow)
{
  if (!this->sent || this->sent->firstSign) {
    return;
  }
  this->sent->firstSign = true;
  const Duration latency = Between(this->sent->at, aNow);
  PrefillFlow& flow =
    this->host.Backends().FlowOf(this->admitted.service->name);
  const std::uint64_t read =
    this->outcome.placement.prefillAhead + this->sent->work.Prefill();
  this->HealthOf(this->sent->instance)
    .OnFirstSign(latency, this->admitted.demand.promptTokens, read, flow);
  flow.OnFirstToken(this->sent->instance, read, latency);
  BackendWork prefill;
  prefill.prefillTokens = this->sent->work.prefillTokens;
  this->host.Backends().OnDone(this->sent->instance, prefill);
  this->sent->work -= prefill;
  if (this->outcome.firstSign == Duration::zero()) {
    this->outcome.firstSign = Between(this->accepted, aNow);
  }
}

void
GatewayRequest::NoteBegan(TimePoint aBegan)
{
  if (!std::exchange(this->hasRun, true)) {
    this->host.OnBegan(this->admitted.customer, aBegan);
  }
}

void
GatewayRequest::NoteGap(TimePoint aNow)
{
  if (this->streamBegun) {
    this->outcome.longestGap =
      std::max(this->outcome.longestGap, Between(this->lastEventsAt, aNow));
  }
  this->lastEventsAt = aNow;
}

void
GatewayRequest::OnAttemptHead(const BackendAnswer& aHead)
{
  // Another server that has the address now speaks for itself only.
  if (!aHead.wrongInstance) {
    this->host.Backends().OnNotice(this->sent->instance, aHead.notice, Now());
  }
}

void
GatewayRequest::OnAttemptEvents(std::string_view aBytes)
{
  const TimePoint now = Now();
  this->NoteFirstSign(now);
  this->NoteBegan(now);
  this->NoteGap(now);
  if (!this->streamBegun) {
    this->streamBegun = true;
    this->outcome.status = this->attempt->Answer().status;
    this->exchange->StartStream(this->outcome.status, this->attempt->Headers());
  }
  ++this->outcome.events;
  this->delivered = this->attempt->LastEvent();
  this->exchange->SendPart(aBytes);
  if (this->exchange != nullptr && this->attempt != nullptr &&
      this->exchange->PendingBytes() > kCallerBufferBytes) {
    this->attempt->SetReadingPaused(true);
  }
}

void
GatewayRequest::OnDrained()
{
  if (this->attempt != nullptr) {
    this->attempt->SetReadingPaused(false);
  }
}

void
GatewayRequest::OnAttemptStreamEnd()
{
  this->outcome.complete = true;
  this->host.Crashes().OnAnswered(this->admitted.fingerprint);
  this->exchange->EndStream();
  this->Finish();
}

void
GatewayRequest::OnAttemptAnswer(std::string_view aBody)
{
  this->NoteFirstSign(Now());
  const BackendAnswer& answer = this->attempt->Answer();
  if (!answer.isGenuine) {
    this->Conclude(AttemptFailure::Garbled, "an answer with no proof");
    return;
  }
  // A whole answer comes when the run is over.
  this->NoteBegan(this->sent->at);
  // A server's own failure may have come before the request was run.
  if (IsSuccess(answer.status)) {
    this->host.Crashes().OnAnswered(this->admitted.fingerprint);
  }
  // A stream has begun with another head, so this can't be passed on any more.
  if (this->streamBegun) {
    this->Conclude(AttemptFailure::Garbled, "no stream where one was to go on");
    return;
  }
  if (!this->IsToBePassedOn(answer)) {
    this->Conclude(AttemptFailure::Lost, "the server failed");
    return;
  }
  this->PassOn(aBody);
}

bool
GatewayRequest::IsToBePassedOn(const BackendAnswer& aAnswer) const
{
  // A server's own word that promises "not run" without being one: only this
  // gateway's caller would take it for a promise.
  if (IsPromise(aAnswer.status)) {
    return false;
  }
  if (!IsServerError(aAnswer.status)) {
    return true;
  }
  return !this->MayRepeat() ||
         this->reads + 1 >= this->GetRoute().maxAttempts ||
         !this->host.RetriesOf(this->admitted.service->name).HasRoom(Now());
}

void
GatewayRequest::PassOn(std::string_view aBody)
{
  this->outcome.status = this->attempt->Answer().status;
  this->outcome.complete = IsSuccess(this->outcome.status);
  if (!this->outcome.complete) {
    this->outcome.error = RequestError{ ErrorCode::BackendFailed,
                                        Disposition::MayHaveRun,
                                        "the server's own failure",
                                        milliseconds(0) };
  }
  this->exchange->Respond(
    this->outcome.status, this->attempt->Headers(), aBody);
  this->Finish();
}

// Failures.

void
GatewayRequest::OnAttemptFailed(AttemptFailure aFailure,
                                std::string_view aReason)
{
  this->Conclude(aFailure, aReason);
}

void
GatewayRequest::Conclude(AttemptFailure aFailure, std::string_view aReason)
{
  const TimePoint now = Now();
  const InstanceName instance = this->sent->instance;
  this->HealthOf(instance).OnFailed(aFailure, this->sent->hadRoom);
  if (aFailure == AttemptFailure::WrongInstance) {
    this->host.Backends().OnWrongInstance(instance);
    this->host.Crashes().OnReplaced(instance);
  }
  if (const auto broken = this->attempt->Break(now)) {
    this->host.Crashes().OnBroken(
      instance, this->admitted.fingerprint, *broken);
  }
  this->mayHaveRun = this->mayHaveRun || !IsNotRun(aFailure);
  this->reads += aFailure == AttemptFailure::NotSent ? 0 : 1;
  this->excluded.push_back(instance);
  const RetryVerdict verdict = this->Decide(aFailure, now);
  this->LogAttempt(AttemptFailureName(aFailure),
                   aReason,
                   verdict == RetryVerdict::GiveUp   ? "give_up"
                   : verdict == RetryVerdict::Resume ? "resume"
                                                     : "retry");
  this->EndAttempt();
  if (verdict == RetryVerdict::GiveUp) {
    this->GiveUp(aFailure == AttemptFailure::Refused ? ErrorCode::QueueFull
                                                     : ErrorCode::BackendFailed,
                 aReason);
    return;
  }
  this->outcome.resumes += verdict == RetryVerdict::Resume ? 1 : 0;
  this->TryNext();
}

RetryVerdict
GatewayRequest::Decide(AttemptFailure aFailure, TimePoint aNow)
{
  RetryWindow& retries = this->host.RetriesOf(this->admitted.service->name);
  // What was never written reached no server, so it costs none of them a
  // retry.
  const bool isFree = aFailure == AttemptFailure::NotSent;
  AttemptOutcome ended;
  ended.disposition =
    this->mayHaveRun ? Disposition::MayHaveRun : Disposition::NotRun;
  ended.idempotent = this->MayRepeat();
  ended.deliveredTokens = this->outcome.events;
  ended.streaming = this->streamBegun;
  ended.canResume = this->GetRoute().isResumable && this->delivered.has_value();
  RetryAllowance allowance;
  allowance.hasBudget = isFree || retries.HasRoom(aNow);
  allowance.deadlineLeft = this->TimeLeft(aNow);
  allowance.leastUseful = kLeastUseful;
  allowance.attempts = this->reads;
  allowance.maxAttempts = this->GetRoute().maxAttempts;
  const RetryVerdict verdict = DecideRetry(ended, allowance);
  if (verdict != RetryVerdict::GiveUp && !isFree) {
    retries.TryTake(aNow);
  }
  return verdict;
}

void
GatewayRequest::GiveUpUnplaced()
{
  const Duration wait =
    this->host.Backends().UntilFree(this->admitted.service->name, Now());
  this->GiveUp(ErrorCode::NoBackendServer,
               wait > Duration::zero()
                 ? "its backend servers take no more for now"
                 : "no backend server takes it",
               wait);
}

void
GatewayRequest::GiveUp(ErrorCode aCode,
                       std::string_view aReason,
                       Duration aWait)
{
  RequestError error;
  error.code = aCode;
  error.disposition =
    this->mayHaveRun ? Disposition::MayHaveRun : Disposition::NotRun;
  error.detail = aReason;
  // Without a word that it may have run, a caller would take a failure of what
  // was sent for one of what was not.
  if (this->mayHaveRun && aCode != ErrorCode::DeadlineExceeded) {
    error.code = ErrorCode::BackendFailed;
  }
  if (!this->mayHaveRun) {
    error.retryAfter =
      aCode == ErrorCode::Quarantined
        ? std::chrono::ceil<milliseconds>(
            this->host.Crashes().QuarantineLeft(this->admitted.fingerprint))
        : DrawRetryAfter(aWait, this->GetRoute().target, this->host.Random());
  }
  this->outcome.error = error;
  if (this->streamBegun) {
    // Only a connection that breaks tells the caller that the stream is cut.
    this->exchange.reset();
    this->Finish();
    return;
  }
  this->outcome.status = HttpStatusOf(error);
  this->exchange->Respond(this->outcome.status,
                          this->host.Ports().callers->ErrorHeaders(error),
                          ErrorBody(error));
  this->Finish();
}

void
GatewayRequest::OnDeadline()
{
  // What was sent may run on until its connection closes.
  this->mayHaveRun = this->mayHaveRun || this->attempt != nullptr;
  if (this->attempt != nullptr) {
    this->LogAttempt("deadline", "the time limit passed", "give_up");
  }
  this->EndAttempt();
  this->GiveUp(ErrorCode::DeadlineExceeded, "the time limit passed");
}

void
GatewayRequest::OnCallerGone()
{
  if (this->done) {
    return;
  }
  this->outcome.abandoned = true;
  this->Finish();
}

void
GatewayRequest::EndAttempt()
{
  if (this->sent) {
    this->host.Backends().OnDone(this->sent->instance, this->sent->work);
    this->host.Crashes().OnDone(this->admitted.fingerprint);
    this->sent.reset();
  }
  this->attempt.reset();
}

void
GatewayRequest::Finish()
{
  if (this->done) {
    return;
  }
  this->done = true;
  this->deadline.Stop();
  this->waiting.Stop();
  this->outcome.total = Between(this->accepted, Now());
  if (this->outcome.complete && this->sent) {
    BackendPool& pool = this->host.Backends();
    const ServiceName& service = this->admitted.service->name;
    pool.FlowOf(service).OnStay(this->outcome.total);
    if (this->streamBegun) {
      pool.PausesOf(service).OnStream(this->GetRoute().targetGap,
                                      this->outcome.longestGap);
    }
    this->HealthOf(this->sent->instance).OnAnswered();
  }
  // Before the attempt goes: the log line names its server.
  this->host.OnDone(*this);
  this->EndAttempt();
}

void
GatewayRequest::LogAttempt(std::string_view aResult,
                           std::string_view aReason,
                           std::string_view aNext) const
{
  if (!this->sent) {
    return;
  }
  const TimePoint now = Now();
  const FailedAttempt failed{
    aResult, aReason, aNext, Between(this->sent->at, now), this->TimeLeft(now)
  };
  LogFailedAttempt(*this, failed, this->host.ListAge());
}

} // namespace dogwoodvale
