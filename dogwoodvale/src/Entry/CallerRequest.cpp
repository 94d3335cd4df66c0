#include "dogwoodvale/Entry"

#include <algorithm>

#include <strings.h>

namespace dogwoodvale {

namespace {

/// Text kept so that a cut answer can be resumed.
constexpr std::size_t kResumeBytes = 256U << 10U;
/// A further attempt with less time left than this is of no use.
constexpr Duration kLeastUseful = milliseconds(20);
/// Longer than a round trip between data centres by far; the caller waits for
/// its final answer meanwhile.
constexpr Duration kProbeTimeout = milliseconds(250);
/// A second hop after an early refusal costs the engines nothing.
constexpr double kHopCost = 0.1;
constexpr milliseconds kReleaseTime{ 1000 };
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
/// Giving way to a higher tier was the system's choice. If it were charged to
/// the class's retry budget, a busy hour would use that up, and preempted
/// answers would end in the middle instead of going on. Sidecars bound how
/// often one request gives way (PreemptionPolicy::Options::maxPreemptions).
constexpr double kPreemptionCost = 0.0;

/// Going on from what was delivered costs the next engine a prefill and none of
/// the work again. At the price of a whole retry one crash, which cuts many
/// answers at once, would empty the budget, and the rest of them would end in
/// the middle.
constexpr double kResumeCost = 0.1;

/// What a further attempt takes from the class's retry budget.
double
RetryCost(const RequestError& aError)
{
  return aError.disposition == Disposition::NotRun ? kHopCost : 1.0;
}

RequestError
MakeRequestError(const Failed& aFailed)
{
  return { aFailed.code,
           aFailed.disposition,
           aFailed.detail,
           milliseconds(aFailed.retryAfterMillis) };
}

} // namespace

/// The one message exchange that settles what became of an attempt.
class CallerRequest::ProbeStream final : public PeerStreamHandler
{
public:
  ProbeStream(CallerRequest& aOwner,
              std::unique_ptr<PeerStream> aStream,
              const Probe& aProbe)
    : owner(aOwner)
    , stream(std::move(aStream))
    , timeout(aOwner.host.Loop(), [this] { this->owner.OnProbeEnd({}); })
  {
    this->stream->SetHandler(this);
    this->stream->Send(aProbe);
    this->stream->FinishSending();
    this->timeout.StartOnce(kProbeTimeout);
  }
  ~ProbeStream() override { this->stream->SetHandler(nullptr); }

  void OnMessage(Message aMessage) override
  {
    if (const auto* reply = std::get_if<ProbeReply>(&aMessage)) {
      this->answered = true;
      this->owner.OnProbeEnd(reply->disposition);
    }
  }
  void OnEnd() override { this->Give(); }
  void OnLost(const absl::Status& /*aReason*/) override { this->Give(); }

private:
  void Give()
  {
    if (!this->answered) {
      this->answered = true;
      this->owner.OnProbeEnd({});
    }
  }

  CallerRequest& owner;
  std::unique_ptr<PeerStream> stream;
  Timer timeout;
  bool answered = false;
};

CallerRequest::CallerRequest(CallerRequestHost& aHost,
                             std::unique_ptr<CallerExchange> aExchange,
                             ResolvedRequest aResolved,
                             const RequestId& aId)
  : host(aHost)
  , exchange(std::move(aExchange))
  , resolved(std::move(aResolved))
  , id(aId)
  , accepted(Now())
  , assembler(kResumeBytes)
  , deadline(aHost.Loop(), [this] { this->OnDeadline(); })
  , pause(aHost.Loop(), [this] { this->TryNext(); })
{
  this->exchange->SetHandler(this);
  this->CreateWriter();
}

CallerRequest::~CallerRequest() = default;

void
CallerRequest::CreateWriter()
{
  const std::string text = ToString(this->id);
  if (!this->resolved.completion) {
    this->writer = CreateOpaqueWriter(*this->exchange, text);
  } else if (this->resolved.completion->WantsStream()) {
    this->writer =
      CreateStreamWriter(*this->exchange, *this->resolved.completion, text);
  } else {
    this->writer =
      CreateJsonWriter(*this->exchange, *this->resolved.completion, text);
  }
}

void
CallerRequest::Start()
{
  this->admitted = true;
  this->deadline.StartOnce(this->BudgetLeft(Now()));
  this->refusalsLeft =
    this->host.Servers().EarlyRefusals(this->resolved.service);
  if (this->IsKeyed()) {
    this->OpenClaim();
  } else {
    this->TryNext();
  }
}

bool
CallerRequest::IsKeyed() const
{
  return !this->resolved.requestClass.idempotent &&
         !FindHeader(this->Http().headers, kIdempotencyKeyHeader).empty();
}

void
CallerRequest::OpenClaim()
{
  RequestError error;
  this->claim = this->host.Claims().Open(
    this->resolved.customer,
    FindHeader(this->Http().headers, kIdempotencyKeyHeader),
    this->id,
    [this](ClaimStep aStep) { this->OnClaim(aStep); },
    error);
  if (this->claim == nullptr) {
    this->GiveUp(error);
    return;
  }
  this->claim->Start();
}

void
CallerRequest::OnClaim(ClaimStep aStep)
{
  if (this->done) {
    return;
  }
  if (aStep == ClaimStep::Proceed) {
    this->TryNext();
    return;
  }
  if (aStep == ClaimStep::Duplicate) {
    // This repeat was not run, but the request that it repeats may have been.
    this->GiveUp({ ErrorCode::DuplicateKey,
                   Disposition::MayHaveRun,
                   "a request with this Idempotency-Key was accepted before",
                   milliseconds(0) });
    return;
  }
  this->GiveUp({ ErrorCode::StoreUnavailable,
                 Disposition::NotRun,
                 "the key could not be claimed",
                 JitteredRetryAfter(seconds(1), this->host.Random()) });
}

Duration
CallerRequest::BudgetLeft(TimePoint aNow) const
{
  return this->resolved.requestClass.budget - Between(this->accepted, aNow);
}

bool
CallerRequest::IsTokens() const
{
  return this->resolved.completion.has_value();
}

std::uint64_t
CallerRequest::EstimatedTokens() const
{
  if (!this->IsTokens()) {
    return 1;
  }
  return this->resolved.completion->EstimatedPromptTokens() +
         this->resolved.requestClass.defaultMaxTokens;
}

void
CallerRequest::TryNext()
{
  // A caller that has left, perhaps before its request was read, gets nothing
  // sent for it.
  if (this->done || this->exchange->CheckCallerGone()) {
    return;
  }
  ChoiceRequest choice;
  choice.tier = this->resolved.requestClass.tier;
  if (this->IsTokens()) {
    choice.promptTokens = this->resolved.completion->EstimatedPromptTokens();
    choice.prefixHash = this->resolved.completion->Prefix();
  }
  for (;;) {
    choice.excluded = this->excluded;
    const std::optional<InstanceName> server =
      this->host.Servers().Choose(this->resolved.service, choice);
    if (!server) {
      this->GiveUp(this->outcome.attempts > 0
                     ? this->pendingError
                     : RequestError{
                         ErrorCode::NoBackendServer,
                         Disposition::NotRun,
                         "no backend server takes work",
                         JitteredRetryAfter(seconds(1), this->host.Random()) });
      return;
    }
    if (this->SendTo(*server)) {
      return;
    }
    this->excluded.push_back(*server);
  }
}

bool
CallerRequest::SendTo(const InstanceName& aServer)
{
  SidecarLink* link = this->host.Servers().FindLink(aServer);
  std::unique_ptr<PeerStream> stream =
    link == nullptr ? nullptr : link->OpenStream();
  if (stream == nullptr) {
    return false;
  }
  const RequestId attemptId =
    this->outcome.attempts == 0 ? this->id : this->host.NextId();
  ++this->outcome.attempts;
  this->assembler.BeginAttempt(attemptId);
  this->running.emplace(Running{ aServer,
                                 Attempt(attemptId, link->PeerIncarnation()),
                                 std::move(stream),
                                 Now(),
                                 false,
                                 false,
                                 this->outcome.tokens });
  PeerStream& opened = *this->running->stream;
  opened.SetHandler(this);
  opened.Send(this->MakeRun(attemptId));
  opened.FinishSending();
  this->host.Servers().OnSent(
    this->resolved.service,
    aServer,
    this->EstimatedTokens(),
    this->resolved.requestClass.tier,
    this->IsTokens() ? this->resolved.completion->Prefix() : 0);
  return true;
}

RunRequest
CallerRequest::MakeRun(const RequestId& aAttemptId) const
{
  const RequestClass& spec = this->resolved.requestClass;
  const HttpRequest& http = this->exchange->Request();
  const TimePoint now = Now();
  RunRequest run;
  run.id = aAttemptId;
  run.service = this->resolved.service.Value();
  run.className = spec.name.Value();
  run.customer = this->resolved.customer.Value();
  run.tier = spec.tier;
  run.classWeight = spec.weight;
  run.customerWeight = this->resolved.customerWeight;
  run.idempotent = spec.idempotent;
  const Duration firstDue =
    this->IsTokens() ? spec.target.firstToken : spec.target.total;
  run.targetMicros = (firstDue - Between(this->accepted, now)).count();
  run.budgetMicros = this->BudgetLeft(now).count();
  run.maxWaitMicros = spec.maxWait.count();
  run.classQueueBound = spec.queueBound;
  run.refusalsLeft = this->refusalsLeft;
  run.preemptions = static_cast<std::uint32_t>(this->outcome.preemptions);
  run.method = http.method;
  run.path = http.path;
  run.epoch = this->host.CurrentEpoch();
  if (!this->IsTokens()) {
    run.answerKind = AnswerKind::Opaque;
    run.headers = WithoutHopByHop(http.headers);
    // The caller's key is for this system; the rest is framed anew.
    std::erase_if(run.headers, [](const HeaderField& aField) {
      return strcasecmp(aField.name.c_str(), "Authorization") == 0 ||
             strcasecmp(aField.name.c_str(), "Content-Length") == 0 ||
             strcasecmp(aField.name.c_str(), "Host") == 0;
    });
    run.body = http.body;
    return run;
  }
  const CompletionRequest& completion = *this->resolved.completion;
  run.promptTokens = completion.EstimatedPromptTokens();
  run.maxTokens =
    completion.MaxTokens() > 0 ? completion.MaxTokens() : spec.defaultMaxTokens;
  run.headers = { { "Content-Type", "application/json" } };
  run.body = completion.EngineBody(spec.tier,
                                   spec.defaultMaxTokens,
                                   this->assembler.Delivered(),
                                   this->assembler.DeliveredTokens());
  return run;
}

void
CallerRequest::OnMessage(Message aMessage)
{
  if (this->done || !this->running) {
    return;
  }
  if (const auto* started = std::get_if<Started>(&aMessage)) {
    this->OnStarted(*started);
  } else if (const auto* chunk = std::get_if<Chunk>(&aMessage)) {
    this->OnChunk(*chunk);
  } else if (const auto* finished = std::get_if<Finished>(&aMessage)) {
    this->OnFinished(*finished);
  } else if (const auto* failure = std::get_if<Failed>(&aMessage)) {
    this->OnFailed(*failure);
  }
}

void
CallerRequest::OnStarted(const Started& aStarted)
{
  this->running->started = true;
  this->outcome.queueWait += Duration(aStarted.queueWaitMicros);
}

void
CallerRequest::NoteTokens(std::uint32_t aTokens)
{
  const TimePoint now = Now();
  if (this->outcome.firstToken == Duration(0)) {
    this->firstTokenAt = now;
    this->outcome.firstToken = Between(this->accepted, now);
  }
  this->running->firstToken = true;
  this->lastTokenAt = now;
  this->outcome.tokens += aTokens;
}

void
CallerRequest::OnChunk(const Chunk& aChunk)
{
  const absl::Status added = this->assembler.Add(
    this->running->attempt.Id(), aChunk.sequence, aChunk.text, aChunk.tokens);
  if (!added.ok()) {
    this->Conclude({ ErrorCode::TruncatedAnswer,
                     Disposition::MayHaveRun,
                     std::string(MessageOf(added)),
                     milliseconds(0) },
                   SendResult::Failed,
                   false);
    return;
  }
  this->passedOn = this->passedOn || aChunk.status != 0;
  this->NoteTokens(aChunk.tokens);
  if (!this->writer->OnChunk(aChunk)) {
    this->Conclude({ ErrorCode::BackendFailed,
                     Disposition::MayHaveRun,
                     "the answer is too long",
                     milliseconds(0) },
                   SendResult::Failed,
                   false);
    return;
  }
  // A slow caller slows its own stream alone; nothing is held without bound.
  if (this->exchange->PendingBytes() > this->host.Bounds().callerBufferBytes) {
    this->running->stream->SetReadingPaused(true);
  }
}

void
CallerRequest::OnDrained()
{
  if (this->running) {
    this->running->stream->SetReadingPaused(false);
  }
}

void
CallerRequest::OnFinished(const Finished& aFinished)
{
  const absl::Status whole = this->assembler.Finish(
    this->running->attempt.Id(), aFinished.count, aFinished.checksum);
  if (!whole.ok()) {
    this->Conclude({ ErrorCode::TruncatedAnswer,
                     Disposition::MayHaveRun,
                     std::string(MessageOf(whole)),
                     milliseconds(0) },
                   SendResult::Failed,
                   false);
    return;
  }
  this->host.Servers().OnLoad(
    this->resolved.service, this->running->server, aFinished.load);
  this->StopAttempt(SendResult::Completed);
  this->outcome.complete = true;
  if (this->outcome.attempts == 1 || this->promptTokens == 0) {
    this->promptTokens = aFinished.promptTokens;
  }
  this->writer->Complete(aFinished.finishReason,
                         { this->promptTokens, this->outcome.tokens });
  this->host.BudgetOf(this->resolved).OnSuccess();
  this->Finish();
}

void
CallerRequest::OnFailed(const Failed& aFailed)
{
  this->running->attempt.OnWriting();
  this->running->attempt.OnDispositionReported(this->running->attempt.Target(),
                                               aFailed.disposition);
  this->host.Servers().OnLoad(
    this->resolved.service, this->running->server, aFailed.load);
  if (aFailed.early && this->refusalsLeft > 0) {
    this->Hop();
    return;
  }
  if (aFailed.resumable && aFailed.code == ErrorCode::Evicted) {
    // Preempted: nothing is wrong with the server, and it may go on there.
    ++this->outcome.preemptions;
    this->StopAttempt(SendResult::Refused);
    this->Decide(MakeRequestError(aFailed), kPreemptionCost);
    return;
  }
  const bool broke = aFailed.code == ErrorCode::BackendFailed;
  this->excluded.push_back(this->running->server);
  if (broke) {
    this->failed.push_back(this->running->server);
    this->host.Servers().OnCrash(this->resolved.service, this->running->server);
  }
  this->Conclude(MakeRequestError(aFailed),
                 broke ? SendResult::Failed : SendResult::Refused,
                 false);
}

void
CallerRequest::Hop()
{
  --this->refusalsLeft;
  ++this->outcome.hops;
  this->excluded.push_back(this->running->server);
  this->StopAttempt(SendResult::Refused);
  if (this->refusalsLeft == 0) {
    // Their reports are fresh now, so that they are worth choosing again.
    this->excluded = this->failed;
  }
  this->pause.StartOnce(Duration(0));
}

void
CallerRequest::OnEnd()
{
  if (!this->done && this->running) {
    this->OnLost(absl::DataLossError("the stream ended early"));
  }
}

void
CallerRequest::OnLost(const absl::Status& aReason)
{
  if (this->done || !this->running) {
    return;
  }
  this->excluded.push_back(this->running->server);
  this->failed.push_back(this->running->server);
  if (this->running->stream->WasWritten()) {
    this->running->attempt.OnWriting();
  }
  const RequestError error{ ErrorCode::ConnectionLost,
                            this->running->attempt.CurrentDisposition(),
                            std::string(MessageOf(aReason)),
                            milliseconds(0) };
  this->Conclude(error, SendResult::Failed, true);
}

void
CallerRequest::StopAttempt(SendResult aResult)
{
  const Duration first = this->running->firstToken
                           ? Between(this->running->sent, this->firstTokenAt)
                           : Duration(0);
  this->host.Servers().OnEnded(this->resolved.service,
                               this->running->server,
                               this->EstimatedTokens(),
                               this->resolved.requestClass.tier,
                               aResult,
                               std::max(first, Duration(0)));
  // Its own callback may be on the stack; it goes with the request or the next
  // attempt's end.
  this->running->stream->SetHandler(nullptr);
  this->endedStream = std::move(this->running->stream);
  this->running.reset();
}

void
CallerRequest::Conclude(const RequestError& aError,
                        SendResult aResult,
                        bool aSettle)
{
  const bool repeatable = this->resolved.requestClass.idempotent;
  const bool mustAsk = aSettle && !repeatable &&
                       aError.disposition == Disposition::MayHaveRun &&
                       !this->running->started;
  if (mustAsk && this->AskAbout(*this->running, aError)) {
    this->StopAttempt(aResult);
    return;
  }
  this->StopAttempt(aResult);
  this->Decide(aError, RetryCost(aError));
}

bool
CallerRequest::AskAbout(const Running& aLast, const RequestError& aError)
{
  SidecarLink* link = this->host.Servers().FindLink(aLast.server);
  if (link == nullptr || link->PeerIncarnation() != aLast.attempt.Target()) {
    return false;
  }
  std::unique_ptr<PeerStream> stream = link->OpenStream();
  if (stream == nullptr) {
    return false;
  }
  this->unclear = aLast.attempt;
  this->pendingError = aError;
  this->probe = std::make_unique<ProbeStream>(
    *this,
    std::move(stream),
    Probe{ aLast.attempt.Id(), aLast.attempt.Target() });
  return true;
}

void
CallerRequest::OnProbeEnd(std::optional<Disposition> aWord)
{
  if (this->done || !this->unclear) {
    return;
  }
  if (aWord) {
    this->unclear->OnDispositionReported(this->unclear->Target(), *aWord);
  } else {
    this->unclear->OnProbeFailed();
  }
  RequestError error = this->pendingError;
  error.disposition = this->unclear->CurrentDisposition();
  this->unclear.reset();
  this->endedProbe = std::move(this->probe);
  this->Decide(error, RetryCost(error));
}

void
CallerRequest::Decide(const RequestError& aError, double aCost)
{
  const TimePoint now = Now();
  this->pendingError = aError;
  this->mayHaveRun =
    this->mayHaveRun || aError.disposition == Disposition::MayHaveRun;
  AttemptOutcome last;
  last.disposition = aError.disposition;
  last.idempotent = this->resolved.requestClass.idempotent;
  last.streaming = this->writer->HasBegun();
  // A plain answer has no tokens; a part of it that is out was delivered, too.
  last.deliveredTokens = std::max<std::uint64_t>(
    this->assembler.DeliveredTokens(), last.streaming ? 1 : 0);
  last.canResume =
    this->IsTokens() && !this->passedOn && this->assembler.CanResume();
  const bool resumes = last.canResume && last.deliveredTokens > 0;
  const double cost = resumes ? std::min(aCost, kResumeCost) : aCost;
  RetryBudget& budget = this->host.BudgetOf(this->resolved);
  RetryAllowance allowance;
  allowance.hasBudget = budget.Available(now) >= cost;
  allowance.deadlineLeft = this->BudgetLeft(now);
  allowance.minUsefulTime = kLeastUseful;
  allowance.attempts = static_cast<std::uint32_t>(
    this->outcome.attempts - this->outcome.hops - this->outcome.preemptions);
  allowance.maxAttempts =
    static_cast<std::uint32_t>(this->host.Bounds().maxAttempts);
  const RetryVerdict verdict = DecideRetry(last, allowance);
  if (verdict == RetryVerdict::GiveUp) {
    this->GiveUp(aError);
    return;
  }
  budget.TryTake(now, cost);
  if (verdict == RetryVerdict::Resume) {
    ++this->outcome.resumes;
  } else {
    this->StartOver();
  }
  // Not run or preempted is tried at once; a failure may be the whole
  // service's.
  const Duration wait =
    aCost < 1.0 ? Duration(0)
                : RetryBackoff(allowance.attempts, this->host.Random());
  this->pause.StartOnce(std::min(wait, allowance.deadlineLeft));
}

void
CallerRequest::StartOver()
{
  this->outcome.wastedTokens += this->outcome.tokens;
  this->outcome.tokens = 0;
  this->assembler = AnswerAssembler(kResumeBytes);
  this->CreateWriter();
}

Disposition
CallerRequest::CurrentDisposition()
{
  if (!this->running) {
    return this->unclear                ? Disposition::MayHaveRun
           : this->outcome.attempts > 0 ? this->pendingError.disposition
                                        : Disposition::NotRun;
  }
  if (this->running->stream->WasWritten()) {
    this->running->attempt.OnWriting();
  }
  return this->running->attempt.CurrentDisposition();
}

void
CallerRequest::OnDeadline()
{
  if (this->done) {
    return;
  }
  const RequestError error{ ErrorCode::DeadlineExceeded,
                            this->CurrentDisposition(),
                            "the class's budget is spent",
                            JitteredRetryAfter(seconds(1),
                                               this->host.Random()) };
  if (this->running) {
    // A request that still waits in a queue can truthfully be called not run.
    const bool asks =
      error.disposition == Disposition::MayHaveRun && !this->running->started;
    const bool isAsking = asks && this->AskAbout(*this->running, error);
    this->StopAttempt(SendResult::Cancelled);
    if (isAsking) {
      return;
    }
  }
  this->GiveUp(error);
}

void
CallerRequest::OnStopEnds()
{
  if (this->done) {
    return;
  }
  RequestError error = StoppingEntryError();
  error.disposition = this->CurrentDisposition();
  if (this->running) {
    this->StopAttempt(SendResult::Cancelled);
  }
  if (error.disposition == Disposition::MayHaveRun) {
    error.code = ErrorCode::BackendFailed;
    error.retryAfter = milliseconds(0);
  }
  this->GiveUp(error);
}

void
CallerRequest::GiveUp(const RequestError& aError)
{
  RequestError final = aError;
  if (this->mayHaveRun) {
    // The last attempt was not run, but an earlier one may have been: of the
    // caller's request as a whole "not run" would be untrue.
    final.disposition = Disposition::MayHaveRun;
  }
  this->outcome.error = final;
  if (this->claim && this->claim->Claim().NeedsRelease(final.disposition)) {
    this->host.Claims().Release(this->claim->Claim());
    // A repeat that comes before the release took effect would be told that
    // it is a duplicate.
    final.retryAfter = std::max(final.retryAfter, kReleaseTime);
  }
  const bool told = this->writer->Fail(final);
  if (!told) {
    this->exchange.reset();
  }
  this->Finish();
}

void
CallerRequest::Refuse(const RequestError& aError)
{
  this->GiveUp(aError);
}

void
CallerRequest::OnCallerGone()
{
  if (this->done) {
    return;
  }
  this->outcome.abandoned = true;
  if (this->running) {
    this->StopAttempt(SendResult::Cancelled);
  }
  this->Finish();
}

void
CallerRequest::Finish()
{
  const TimePoint now = Now();
  this->done = true;
  this->deadline.Stop();
  this->pause.Stop();
  this->probe.reset();
  this->outcome.total = Between(this->accepted, now);
  if (this->outcome.tokens > 1) {
    this->outcome.betweenTokens =
      Between(this->firstTokenAt, this->lastTokenAt) /
      static_cast<Duration::rep>(this->outcome.tokens - 1);
  }
  if (!this->outcome.complete) {
    this->outcome.wastedTokens += this->outcome.tokens;
  }
  this->host.OnDone(*this);
}

RequestError
StoppingEntryError()
{
  // A balancer sends the next attempt to another entry.
  constexpr milliseconds kOtherEntryRetryAfter(50);
  return { ErrorCode::Draining,
           Disposition::NotRun,
           "the entry is stopping",
           kOtherEntryRetryAfter };
}

} // namespace dogwoodvale
