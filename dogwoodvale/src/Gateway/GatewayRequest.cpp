#include "GatewayRequest.h"

#include <algorithm>
#include <utility>

#include "AnswerStatus.h"
#include "GatewayLog.h"
#include "SuccessorAttempt.h"

namespace dogwoodvale {

namespace {

/// With less time left until the deadline no further attempt is made.
constexpr Duration kMinUsefulTime = milliseconds(20);
/// Non-idempotent requests use only connections idle for less than this: a
/// server may be closing an older one, and a request lost that way can't be
/// retried.
constexpr Duration kMaxIdleForNonIdempotent = milliseconds(500);
/// Memory held by a stream is counted at its events, at most this often, so
/// that the use of long streams is known while they run.
constexpr Duration kHeldMemoryPeriod = CustomerShares::kReportPeriod;
/// Targets after which a request that waits for its first token is reported to
/// RankGuard.
constexpr int kOverdueTargets = 2;

} // namespace

std::string_view
ResumptionRefusalName(ResumptionRefusal aRefusal)
{
  switch (aRefusal) {
    case ResumptionRefusal::None:
      return "none";
    case ResumptionRefusal::OriginUnknown:
      return "origin_unknown";
    case ResumptionRefusal::ServiceGone:
      return "service_gone";
    case ResumptionRefusal::NoServer:
      return "no_server";
  }
  return "none";
}

std::string_view
ResumptionRefusalText(ResumptionRefusal aRefusal)
{
  switch (aRefusal) {
    case ResumptionRefusal::None:
      return "";
    case ResumptionRefusal::OriginUnknown:
      return "what began the stream is not known";
    case ResumptionRefusal::ServiceGone:
      return "the route no longer leads to what began the stream";
    case ResumptionRefusal::NoServer:
      return "no server of the stream's software version takes it";
  }
  return "";
}

std::string_view
RequestPhaseName(RequestPhase aPhase)
{
  switch (aPhase) {
    case RequestPhase::FindingOrigin:
      return "finding_origin";
    case RequestPhase::AwaitingTurn:
      return "awaiting_turn";
    case RequestPhase::AwaitingAnswer:
      return "awaiting_answer";
    case RequestPhase::Streaming:
      return "streaming";
  }
  return "unknown";
}

GatewayRequest::GatewayRequest(GatewayRequestHost& aHost,
                               std::unique_ptr<CallerExchange> aExchange,
                               AdmittedRequest aAdmitted)
  : host(aHost)
  , exchange(std::move(aExchange))
  , admitted(std::move(aAdmitted))
  , accepted(Now())
  , deadline(aHost.Loop(), [this] { this->OnDeadline(); })
  , suspectTimer(aHost.Loop(), [this] { this->TryNext(); })
  , overdueTimer(aHost.Loop(), [this] { this->OnOverdue(); })
{
  const Duration limit =
    std::min(this->admitted.callerMetadata.timeLimit.value_or(Duration::max()),
             this->GetRoute().timeout);
  this->deadlineAt = this->accepted + limit;
}

GatewayRequest::~GatewayRequest()
{
  this->EndAttempts();
}

void
GatewayRequest::Start()
{
  this->exchange->SetHandler(this);
  this->deadline.StartOnce(this->TimeLeft(this->accepted));
  const DirectDemand& demand = this->admitted.demand;
  BackendPool& pool = this->host.Backends();
  if (pool.Decisions().rankGuard && demand.promptTokens > 0 &&
      this->GetRoute().target > Duration::zero()) {
    pool.GuardOf(this->admitted.service->name)
      .OnRequest(demand.serviceRank, demand.promptTokens);
    this->waitState = Wait::InTime;
    this->overdueTimer.StartOnce(kOverdueTargets * this->GetRoute().target);
  }
  if (this->admitted.IsResumption()) {
    this->StartResumption();
  } else {
    this->TryNext();
  }
}

// Streams that the caller resumes.

void
GatewayRequest::StartResumption()
{
  OriginFinder& origins = this->host.Origins();
  const StreamKey stream = this->admitted.resumedStream;
  const auto found = origins.Find(stream, this->GetRoute(), this->accepted);
  if (found) {
    this->OnOrigin(found);
    return;
  }
  this->originQuery =
    origins.Ask(stream,
                this->GetRoute(),
                this->host.Random(),
                [this](const std::optional<FoundOrigin>& aFound) {
                  this->OnOrigin(aFound);
                });
}

void
GatewayRequest::OnOrigin(const std::optional<FoundOrigin>& aFound)
{
  this->outcome.origin = aFound;
  if (this->done) {
    return;
  }
  if (!aFound) {
    this->RefuseResumption(ResumptionRefusal::OriginUnknown);
    return;
  }
  const ServiceName& service = aFound->origin.service;
  const bool isRouted = std::ranges::any_of(
    this->GetRoute().services, [&service](const WeightedService& aOne) {
      return aOne.service == service;
    });
  if (!isRouted ||
      (this->admitted.service->name != service &&
       !AssignService(this->admitted, service, this->host.Backends()))) {
    this->RefuseResumption(ResumptionRefusal::ServiceGone);
    return;
  }
  this->admitted.demand.requiredSoftware = aFound->origin.softwareVersion;
  this->TryNext();
}

void
GatewayRequest::RefuseResumption(ResumptionRefusal aWhy)
{
  this->outcome.refusedResumption = aWhy;
  this->GiveUp(ErrorCode::NoBackendServer,
               ResumptionRefusalText(aWhy),
               OriginFinder::kAskTimeout);
}

void
GatewayRequest::RecordOrigin(TimePoint aNow)
{
  const HostRoute& route = this->GetRoute();
  if (!route.isResumable) {
    return;
  }
  const Duration untilCallerLeaves = Between(
    aNow,
    this->accepted + this->admitted.callerMetadata.timeLimit.value_or(
                       OriginFinder::kLifetimeInTimeouts * route.timeout));
  // A stream that has begun keeps its origin, whatever server continues it.
  const StreamOrigin origin{ this->admitted.service->name,
                             this->admitted.demand.requiredSoftware.value_or(
                               this->sent->softwareVersion) };
  for (const StreamKey key :
       { this->admitted.stream, this->admitted.resumedStream }) {
    this->host.Origins().OnSent(key, origin, route, untilCallerLeaves, aNow);
  }
}

void
GatewayRequest::KeepReportedOrigin()
{
  std::optional<std::string>& required = this->admitted.demand.requiredSoftware;
  const std::string& version = this->sent->softwareVersion;
  if (this->GetRoute().isResumable && !required && !version.empty() &&
      this->host.Origins().IsKnownElsewhere(this->admitted.stream)) {
    required = version;
  }
}

void
GatewayRequest::OnOverdue()
{
  if (this->waitState == Wait::InTime) {
    this->waitState = Wait::Overdue;
    this->host.Backends()
      .GuardOf(this->admitted.service->name)
      .OnOverdue(this->admitted.demand.serviceRank);
  }
}

void
GatewayRequest::EndWait(bool aHasAnswer)
{
  this->overdueTimer.Stop();
  const Wait was = std::exchange(this->waitState, Wait::None);
  if (was == Wait::None) {
    return;
  }
  RankGuard& guard =
    this->host.Backends().GuardOf(this->admitted.service->name);
  const std::uint32_t rank = this->admitted.demand.serviceRank;
  if (aHasAnswer) {
    guard.OnBegun(rank, was == Wait::Overdue, Now());
  } else if (was == Wait::Overdue) {
    guard.OnLost(rank, true, Now());
  }
}

Duration
GatewayRequest::TimeLeft(TimePoint aNow) const
{
  return std::max(Between(aNow, this->deadlineAt), Duration::zero());
}

RequestProgress
GatewayRequest::Progress(TimePoint aNow) const
{
  RequestProgress progress;
  progress.age = Between(this->accepted, aNow);
  progress.sinceEvent =
    this->streamStarted ? Between(this->lastEventsAt, aNow) : progress.age;
  progress.unsentBytes =
    this->exchange == nullptr ? 0 : this->exchange->PendingBytes();
  if (this->attempt != nullptr) {
    progress.phase = this->streamStarted ? RequestPhase::Streaming
                                         : RequestPhase::AwaitingAnswer;
  } else {
    progress.phase = this->originQuery != nullptr && !this->outcome.origin
                       ? RequestPhase::FindingOrigin
                       : RequestPhase::AwaitingTurn;
  }
  return progress;
}

void
GatewayRequest::OnStopEnds()
{
  if (this->done || this->streamStarted) {
    return;
  }
  this->mayHaveRun = this->mayHaveRun || this->attempt != nullptr;
  this->EndAttempts();
  this->GiveUp(ErrorCode::Draining, "the gateway is stopping");
}

// Placement and sending.

PlacementRequest
GatewayRequest::MakePlacementRequest(TimePoint aNow) const
{
  PlacementRequest request{ this->admitted.demand, this->admitted.priorities };
  request.target = this->GetRoute().target;
  request.spent = Between(this->accepted, aNow);
  request.outputTokens = this->admitted.callerMetadata.maxOutputTokens;
  request.isFirst = this->outcome.attempts == 0;
  request.hasBegun = this->streamStarted || this->admitted.IsResumption();
  request.mayHaveBeenPrefilled = this->timesSent > 0;
  return request;
}

bool
GatewayRequest::PassesCrashGuard(TimePoint aNow)
{
  CrashGuard& guard = this->host.Crashes();
  const CrashSubjects& subjects = this->admitted.subjects;
  if (const auto quarantined = guard.QuarantinedSubject(subjects)) {
    this->GiveUpQuarantined(*quarantined);
    return false;
  }
  const SuspectGate* gate = guard.Gate();
  if (gate == nullptr) {
    return true;
  }
  const SuspectWait::Step step = this->suspectWait.Next(
    *gate, subjects, this->outcome.attempts == 0, aNow, this->host.Random());
  switch (step.action) {
    case SuspectWait::Action::Send:
      return true;
    case SuspectWait::Action::Wait:
      this->suspectTimer.StartOnce(step.wait);
      return false;
    case SuspectWait::Action::Refuse:
      this->GiveUp(ErrorCode::NoBackendServer,
                   "a part of its prompt may crash backend servers",
                   SuspectWait::kMaxWait);
      return false;
  }
  return true;
}

bool
GatewayRequest::RefuseForRanks(TimePoint aNow)
{
  if (this->outcome.attempts > 0) {
    return false;
  }
  const std::optional<Duration> wait =
    this->host.Backends().GuardRefusal(this->admitted.service->name,
                                       this->admitted.demand,
                                       this->host.Random(),
                                       aNow);
  if (wait) {
    this->GiveUp(ErrorCode::QueueFull, "earlier ranks go first", *wait);
  }
  return wait.has_value();
}

bool
GatewayRequest::RefuseForQueue(const DirectCandidate& aServer, TimePoint aNow)
{
  if (this->outcome.attempts > 0) {
    return false;
  }
  const HostRoute& route = this->GetRoute();
  const Duration patience = CallerPatience(route.target, route.targetGap) -
                            Between(this->accepted, aNow);
  const std::optional<Duration> wait =
    this->host.Backends().QueueRefusal(*this->admitted.service,
                                       this->admitted.demand,
                                       aServer.name,
                                       patience,
                                       aNow);
  if (wait) {
    this->OnOverdue();
    this->GiveUp(ErrorCode::QueueFull, "the queues are too long", *wait);
  }
  return wait.has_value();
}

void
GatewayRequest::TryNext()
{
  // All waits but the one for a connection end here. A request whose caller has
  // left meanwhile must not be sent.
  if (this->exchange->CheckCallerGone()) {
    return;
  }
  const TimePoint now = Now();
  if (!this->PassesCrashGuard(now) || this->RefuseForRanks(now)) {
    return;
  }
  BackendPool& pool = this->host.Backends();
  const std::optional<ShareStanding> standing = this->StandingWhileShort(now);
  PlacementRequest wanted = this->MakePlacementRequest(now);
  if (standing && standing->isOver) {
    this->outcome.overShare = true;
    wanted.priorities.inTime = wanted.priorities.late;
  }
  const auto [candidates, placed] = this->PlaceBeside(this->excluded, wanted);
  if (!placed) {
    const CapacityFinding finding = FindCapacity(candidates, wanted, nullptr);
    if (!this->IsRefusedForShare(finding, standing, now)) {
      this->GiveUpUnplaced();
    }
    return;
  }
  const DirectCandidate& server = candidates[placed->server];
  this->RecordPlacement(server, *placed);
  if (this->IsRefusedForShare(
        FindCapacity(candidates, wanted, &*placed), standing, now)) {
    return;
  }
  if (placed->timeliness == Timeliness::Hopeless) {
    this->GiveUp(ErrorCode::QueueFull, "all servers are behind", placed->wait);
    return;
  }
  if (this->RefuseForQueue(server, now)) {
    return;
  }
  BackendClient* client = pool.Acquire(server.name, this->admitted.demand, now);
  if (client == nullptr) {
    this->GiveUpUnplaced();
    return;
  }
  this->SendTo({ server, *placed, client });
}

GatewayRequest::Placing
GatewayRequest::PlaceBeside(std::span<const InstanceName> aExcluded,
                            const PlacementRequest& aWanted)
{
  const TimePoint now = Now();
  BackendPool& pool = this->host.Backends();
  const ServiceName& service = this->admitted.service->name;
  Placing placing;
  placing.candidates = pool.Candidates(
    *this->admitted.service, this->admitted.demand, aExcluded, now);
  pool.Spread(service,
              this->admitted.demand,
              placing.candidates,
              this->host.Random(),
              now);
  placing.placed = this->host.RequestPlacer().Place(
    placing.candidates, aWanted, pool.PrefillOf(service), this->host.Random());
  return placing;
}

void
GatewayRequest::RecordPlacement(const DirectCandidate& aServer,
                                const Placement& aPlacement)
{
  this->outcome.instance = aServer.name;
  this->outcome.softwareVersion = aServer.softwareVersion;
  this->outcome.cachedTokens = aServer.cachedTokens;
  this->outcome.believedRequests = aServer.work.requests;
  this->outcome.reportedRequests = aServer.reportedRequests;
  this->outcome.timeFactor = aServer.timeFactor;
  this->outcome.placement = aPlacement;
}

std::optional<ShareStanding>
GatewayRequest::StandingWhileShort(TimePoint aNow) const
{
  BackendPool::Sharing* sharing =
    this->host.Backends().SharingOf(this->admitted.service->name);
  if (sharing == nullptr || this->timesSent > 0 || this->mayHaveRun ||
      this->streamStarted || !sharing->shortage.IsShort(aNow)) {
    return std::nullopt;
  }
  return sharing->shares.StandingOf(this->admitted.customer, aNow);
}

bool
GatewayRequest::IsRefusedForShare(const CapacityFinding& aFinding,
                                  const std::optional<ShareStanding>& aStanding,
                                  TimePoint aNow)
{
  BackendPool::Sharing* sharing =
    this->host.Backends().SharingOf(this->admitted.service->name);
  // A later attempt has lost time to a failed server, which is no shortage.
  if (sharing != nullptr && this->outcome.attempts == 0) {
    sharing->shortage.OnPlacement(aFinding.IsWithoutCapacity(), aNow);
  }
  if (!aStanding || !aStanding->isOver || !aFinding.IsRefusedWhenOver()) {
    return false;
  }
  this->outcome.refusedForShare = true;
  this->GiveUp(ErrorCode::QueueFull,
               "the customer is over its share while capacity is short",
               aStanding->drain);
  return true;
}

void
GatewayRequest::RecordHeldMemory(Sent& aSent, TimePoint aNow)
{
  BackendPool::Sharing* sharing =
    this->host.Backends().SharingOf(this->admitted.service->name);
  if (sharing == nullptr) {
    return;
  }
  const Duration held = Between(aSent.heldUntil, aNow);
  aSent.heldUntil = aNow;
  sharing->shares.OnUse(this->admitted.customer,
                        static_cast<double>(aSent.work.memoryTokens) *
                          std::chrono::duration<double>(held).count(),
                        aNow);
}

DirectAttempt::Plan
GatewayRequest::PlanFor(const InstanceName& aInstance, TimePoint aNow) const
{
  DirectAttempt::Plan plan;
  plan.instance = aInstance;
  plan.attemptId = this->admitted.callerMetadata.attemptId;
  plan.expectsStream = this->GetRoute().kind == RouteKind::Streaming;
  plan.resumeAfter = this->lastDeliveredEvent;
  plan.timeouts =
    TimeoutsFor(this->GetRoute(), this->outcome.attempts, this->TimeLeft(aNow));
  if (!this->MayRepeat()) {
    plan.maxConnectionIdle = kMaxIdleForNonIdempotent;
  }
  return plan;
}

BackendRequestMetadata
GatewayRequest::MetadataFor(const InstanceName& aInstance,
                            const Placement& aPlacement,
                            TimePoint aNow) const
{
  const BackendPool& pool = this->host.Backends();
  BackendRequestMetadata metadata;
  metadata.server = pool.ServerOf(aInstance);
  metadata.customer = this->admitted.customer;
  metadata.timeLeft = this->TimeLeft(aNow);
  metadata.priority = aPlacement.priority;
  metadata.resumeAfter = this->lastDeliveredEvent;
  if (aPlacement.fetch) {
    metadata.fetchFrom = pool.AddressOf(aPlacement.fetch->instance);
  }
  return metadata;
}

GatewayRequest::Sent
GatewayRequest::RecordSent(const Destination& aTo, TimePoint aNow)
{
  const DirectCandidate& server = aTo.server;
  const BackendWork& work = aTo.placement.work;
  BackendPool& pool = this->host.Backends();
  if (auto* sharing = pool.SharingOf(this->admitted.service->name)) {
    sharing->shares.OnUse(
      this->admitted.customer, static_cast<double>(work.Prefill()), aNow);
  }
  Sent made{ .instance = server.name,
             .softwareVersion = server.softwareVersion,
             .work = work,
             .at = aNow,
             .expectedPause =
               pool.ExpectedPause(server.name, aNow).value_or(Duration::zero()),
             .hadFreeSlot = server.work.requests < server.slots,
             .heldUntil = aNow };
  pool.OnSent(server.name, work, this->admitted.demand.steps, aNow);
  const std::uint32_t longTokens =
    this->admitted.demand.isLong ? static_cast<std::uint32_t>(work.Prefill())
                                 : 0;
  pool.OnLongPrompt(server.name, longTokens, aNow);
  this->host.OnSent(server.name, this->admitted.demand.steps, longTokens);
  this->host.Crashes().OnSent(this->admitted.subjects);
  this->suspectWait.EndTurn();
  return made;
}

std::unique_ptr<DirectAttempt>
GatewayRequest::MakeAttempt(const InstanceName& aInstance,
                            AttemptListener& aListener,
                            TimePoint aNow)
{
  return std::make_unique<DirectAttempt>(this->host.Loop(),
                                         *this->host.Ports().backends,
                                         this->host.Answers(),
                                         this->PlanFor(aInstance, aNow),
                                         aListener);
}

void
GatewayRequest::StartAttempt(DirectAttempt& aAttempt,
                             const Destination& aTo,
                             TimePoint aNow)
{
  ++this->outcome.attempts;
  aAttempt.Start(*aTo.client,
                 this->host.Ports().backends->Compose(
                   this->exchange->Request(),
                   this->MetadataFor(aTo.server.name, aTo.placement, aNow)));
}

void
GatewayRequest::SendTo(const Destination& aTo)
{
  const TimePoint now = Now();
  this->sent = this->RecordSent(aTo, now);
  this->outcome.expectedPause = this->sent->expectedPause;
  this->RecordOrigin(now);
  this->attempt = this->MakeAttempt(aTo.server.name, *this, now);
  this->StartAttempt(*this->attempt, aTo, now);
}

// Answers of the backend server.

AttemptHealth
GatewayRequest::HealthOf(const InstanceName& aInstance) const
{
  return { this->host.Backends().HealthOf(aInstance), aInstance };
}

void
GatewayRequest::RecordFirstResponse(TimePoint aNow)
{
  if (!this->sent || this->sent->hasResponded) {
    return;
  }
  this->sent->hasResponded = true;
  const Duration latency = Between(this->sent->at, aNow);
  PrefillStatistics& statistics =
    this->host.Backends().PrefillOf(this->admitted.service->name);
  const std::uint64_t prefilled =
    this->outcome.placement.prefillAhead + this->sent->work.Prefill();
  this->HealthOf(this->sent->instance)
    .OnFirstResponse(
      latency, this->admitted.demand.promptTokens, prefilled, statistics);
  statistics.OnFirstToken(this->sent->instance, prefilled, latency);
  BackendWork prefill;
  prefill.prefillTokens = this->sent->work.prefillTokens;
  this->host.Backends().OnDone(this->sent->instance, prefill);
  this->sent->work -= prefill;
  if (this->outcome.firstResponse == Duration::zero()) {
    this->outcome.firstResponse = Between(this->accepted, aNow);
  }
}

void
GatewayRequest::RecordPassed()
{
  if (!std::exchange(this->sent->hasPassed, true)) {
    this->host.Crashes().OnPassed(this->admitted.subjects,
                                  this->sent->begunAt.value_or(this->sent->at));
  }
}

void
GatewayRequest::RecordExecutionStart(TimePoint aStarted)
{
  if (!std::exchange(this->hasStarted, true)) {
    this->host.OnExecutionStarted(this->admitted.customer, aStarted);
  }
}

void
GatewayRequest::RecordGap(TimePoint aNow)
{
  if (this->streamStarted) {
    this->outcome.longestGap =
      std::max(this->outcome.longestGap, Between(this->lastEventsAt, aNow));
  }
  this->lastEventsAt = aNow;
}

std::uint64_t
GatewayRequest::EventsOfAttempt() const
{
  return std::max(this->attempt->EventCount(), this->outcome.events);
}

void
GatewayRequest::RecordStream(TimePoint aNow)
{
  // A resumed stream has been at two servers.
  if (this->outcome.resumes > 0) {
    return;
  }
  BackendPool& pool = this->host.Backends();
  const InstanceName& instance = this->sent->instance;
  const std::uint64_t events = this->EventsOfAttempt();
  this->outcome.meanPause =
    this->observer.MeanPause(events, this->lastEventsAt);
  std::optional<StreamSample> sample =
    this->observer.Sample(events,
                          this->lastEventsAt,
                          this->outcome.longestGap,
                          pool.ActivityOf(instance, aNow));
  if (sample) {
    sample->isInteractive = this->admitted.demand.isInteractive;
    sample->ownPrefillTokens =
      static_cast<double>(this->outcome.placement.work.Prefill());
    pool.OnStream(instance, *sample, aNow);
  }
}

void
GatewayRequest::OnAttemptConnected()
{
  this->exchange->CheckCallerGone();
}

void
GatewayRequest::OnAttemptHead(const BackendAnswer& aHead)
{
  this->RecordHead(this->sent->instance, aHead);
}

void
GatewayRequest::RecordHead(const InstanceName& aInstance,
                           const BackendAnswer& aHead)
{
  const TimePoint now = Now();
  BackendPool& pool = this->host.Backends();
  pool.OnStatedLoad(aInstance, aHead, now);
  // If another instance has taken over the address, the notice does not apply
  // to the instance that the request was meant for.
  if (!aHead.wrongInstance) {
    pool.OnNotice(aInstance, aHead.notice, now);
  }
}

void
GatewayRequest::OnAttemptEvents(std::string_view aBytes)
{
  const TimePoint now = Now();
  this->DropSuccessor("the first server goes on");
  this->RecordFirstResponse(now);
  this->RecordExecutionStart(now);
  if (!this->sent->begunAt) {
    this->sent->begunAt = now;
  } else if (Between(*this->sent->begunAt, now) >= CrashLedger::kPassTime) {
    this->RecordPassed();
  }
  this->RecordGap(now);
  if (!this->streamStarted) {
    this->EndWait(true);
    this->streamStarted = true;
    if (!this->admitted.demand.requiredSoftware) {
      this->admitted.demand.requiredSoftware = this->sent->softwareVersion;
    }
    this->outcome.status = this->attempt->Answer().status;
    this->exchange->StartStream(this->outcome.status, this->attempt->Headers());
  }
  if (Between(this->sent->heldUntil, now) >= kHeldMemoryPeriod) {
    this->RecordHeldMemory(*this->sent, now);
  }
  if (++this->outcome.events == 1) {
    this->observer.OnFirstEvents(
      this->EventsOfAttempt(),
      this->host.Backends().ActivityOf(this->sent->instance, now));
  }
  this->lastDeliveredEvent = this->attempt->LastEvent();
  this->outcome.answerBytes += aBytes.size();
  this->exchange->SendPart(aBytes);
  if (this->exchange != nullptr && this->attempt != nullptr &&
      this->exchange->PendingBytes() > kCallerBufferBytes) {
    this->attempt->SetReadingPaused(true);
    this->observer.OnReadingPaused();
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
  this->outcome.answerEnd = this->attempt->End();
  this->host.Crashes().OnAnswered(this->admitted.subjects);
  this->RecordPassed();
  this->exchange->EndStream();
  this->Finish();
}

void
GatewayRequest::OnAttemptAnswer(std::string_view aBody)
{
  this->RecordFirstResponse(Now());
  const BackendAnswer& answer = this->attempt->Answer();
  if (!answer.isGenuine) {
    this->HandleFailure(AttemptFailure::Garbled, "an answer with no proof");
    return;
  }
  // A whole answer arrives after the run, so the time of sending stands for its
  // start.
  this->RecordExecutionStart(this->sent->at);
  // Only a success shows that the request ran without crashing the server; an
  // error may have been returned before it ran.
  if (IsSuccess(answer.status)) {
    this->host.Crashes().OnAnswered(this->admitted.subjects);
    this->RecordPassed();
  }
  // The caller already has the head of a stream, so a whole answer can't be
  // forwarded.
  if (this->streamStarted) {
    this->HandleFailure(AttemptFailure::Garbled,
                        "no stream where one was to go on");
    return;
  }
  if (!this->ShouldForward(answer)) {
    this->HandleFailure(AttemptFailure::Lost, "the server failed");
    return;
  }
  this->ForwardAnswer(aBody);
}

bool
GatewayRequest::ShouldForward(const BackendAnswer& aAnswer) const
{
  // To the caller these statuses mean "not run", but the server has not stated
  // that it did not run the request.
  if (ImpliesNotRun(aAnswer.status)) {
    return false;
  }
  if (!IsServerError(aAnswer.status)) {
    return true;
  }
  if (this->successor != nullptr) {
    return false;
  }
  return !this->MayRepeat() ||
         this->timesSent + 1 >= this->GetRoute().maxAttempts ||
         !this->host.RetriesOf(this->admitted.service->name).HasRoom(Now());
}

void
GatewayRequest::ForwardAnswer(std::string_view aBody)
{
  this->outcome.status = this->attempt->Answer().status;
  this->outcome.complete = IsSuccess(this->outcome.status);
  this->outcome.answerEnd = this->attempt->End();
  this->outcome.answerBytes = aBody.size();
  this->EndWait(this->outcome.complete);
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

// Failed attempts and the end of the request.

void
GatewayRequest::OnAttemptFailed(AttemptFailure aFailure,
                                std::string_view aReason)
{
  this->HandleFailure(aFailure, aReason);
}

void
GatewayRequest::RecordFailure(const Sent& aSent,
                              const DirectAttempt& aAttempt,
                              AttemptFailure aFailure,
                              TimePoint aNow)
{
  this->HealthOf(aSent.instance).OnFailed(aFailure, aSent.hadFreeSlot);
  if (aFailure == AttemptFailure::WrongInstance) {
    this->host.Backends().OnWrongInstance(aSent.instance);
    this->host.Crashes().OnReplaced(aSent.instance);
  }
  if (const auto broken = aAttempt.ConnectionBreak(aNow)) {
    this->host.Crashes().OnBroken(
      aSent.instance, this->admitted.subjects, *broken, aSent.hasPassed);
  }
  this->mayHaveRun = this->mayHaveRun || !IsNotRun(aFailure);
  this->timesSent += aFailure == AttemptFailure::NotSent ? 0 : 1;
  this->excluded.push_back(aSent.instance);
}

void
GatewayRequest::HandleFailure(AttemptFailure aFailure, std::string_view aReason)
{
  const TimePoint now = Now();
  this->RecordFailure(*this->sent, *this->attempt, aFailure, now);
  this->KeepReportedOrigin();
  if (this->successor != nullptr && this->MayContinueAtSuccessor()) {
    this->LogAttempt(AttemptFailureName(aFailure), aReason, "hand_over");
    this->ContinueAtSuccessor();
    return;
  }
  this->DropSuccessor("of another software version");
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

AttemptOutcome
GatewayRequest::OutcomeSoFar() const
{
  AttemptOutcome ended;
  ended.disposition =
    this->mayHaveRun ? Disposition::MayHaveRun : Disposition::NotRun;
  ended.idempotent = this->MayRepeat();
  ended.deliveredTokens = this->outcome.events;
  ended.streaming = this->streamStarted;
  ended.canResume =
    this->GetRoute().isResumable && this->lastDeliveredEvent.has_value();
  return ended;
}

RetryAllowance
GatewayRequest::AllowanceAt(TimePoint aNow, bool aIsFree)
{
  RetryAllowance allowance;
  allowance.hasBudget =
    aIsFree || this->host.RetriesOf(this->admitted.service->name).HasRoom(aNow);
  allowance.deadlineLeft = this->TimeLeft(aNow);
  allowance.minUsefulTime = kMinUsefulTime;
  allowance.attempts = this->timesSent;
  allowance.maxAttempts = this->GetRoute().maxAttempts;
  return allowance;
}

RetryVerdict
GatewayRequest::Decide(AttemptFailure aFailure, TimePoint aNow)
{
  // A request of which no byte was written puts no load on any server, so it is
  // not charged to the retry budget.
  const bool isFree = aFailure == AttemptFailure::NotSent;
  const RetryVerdict verdict =
    DecideRetry(this->OutcomeSoFar(), this->AllowanceAt(aNow, isFree));
  if (verdict != RetryVerdict::GiveUp && !isFree) {
    this->host.RetriesOf(this->admitted.service->name).TryTake(aNow);
  }
  return verdict;
}

void
GatewayRequest::GiveUpUnplaced()
{
  if (this->admitted.demand.requiredSoftware) {
    this->RefuseResumption(ResumptionRefusal::NoServer);
    return;
  }
  const Duration wait =
    this->host.Backends().UntilFree(this->admitted.service->name, Now());
  this->GiveUp(ErrorCode::NoBackendServer,
               wait > Duration::zero()
                 ? "its backend servers take no more for now"
                 : "no backend server takes it",
               wait);
}

void
GatewayRequest::GiveUpQuarantined(Fingerprint aSubject)
{
  const bool isPart = aSubject != this->admitted.subjects.request;
  this->outcome.quarantinedPart = isPart ? aSubject : 0;
  this->GiveUp(
    ErrorCode::Quarantined,
    isPart ? "a part of its prompt crashes the backend servers that run it"
           : "it crashes the backend servers that run it",
    this->host.Crashes().QuarantineLeft(aSubject));
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
  // Other codes imply that the request has not run; a caller would then repeat
  // one that may have.
  if (this->mayHaveRun && aCode != ErrorCode::DeadlineExceeded) {
    error.code = ErrorCode::BackendFailed;
  }
  if (!this->mayHaveRun) {
    error.retryAfter =
      aCode == ErrorCode::Quarantined
        ? std::chrono::ceil<milliseconds>(aWait)
        : DrawRetryAfter(aWait, this->GetRoute().target, this->host.Random());
  }
  this->outcome.error = error;
  if (this->streamStarted) {
    // The head is already sent; only closing the connection tells the caller
    // that the stream is incomplete.
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
  // A request in flight may run until its connection is closed.
  this->mayHaveRun = this->mayHaveRun || this->attempt != nullptr;
  if (this->attempt != nullptr) {
    this->LogAttempt("deadline", "the time limit passed", "give_up");
  }
  this->EndAttempts();
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
GatewayRequest::RecordDone(Sent& aSent)
{
  this->RecordHeldMemory(aSent, Now());
  this->host.Backends().OnDone(aSent.instance, aSent.work);
  this->host.Crashes().OnDone(this->admitted.subjects, aSent.hasPassed);
}

void
GatewayRequest::EndAttempt()
{
  if (this->sent) {
    this->RecordDone(*this->sent);
    this->sent.reset();
  }
  this->attempt.reset();
}

void
GatewayRequest::EndAttempts()
{
  this->EndSuccessor();
  this->EndAttempt();
}

void
GatewayRequest::Finish()
{
  if (this->done) {
    return;
  }
  this->done = true;
  this->deadline.Stop();
  this->suspectTimer.Stop();
  this->suspectWait.EndTurn();
  this->EndWait(false);
  const TimePoint now = Now();
  this->outcome.total = Between(this->accepted, now);
  if (this->outcome.complete && this->sent) {
    BackendPool& pool = this->host.Backends();
    const ServiceName& service = this->admitted.service->name;
    pool.PrefillOf(service).OnRequestTime(this->outcome.total);
    if (this->streamStarted) {
      pool.PausesOf(service).OnStream(this->GetRoute().targetGap,
                                      this->outcome.longestGap);
      this->RecordStream(now);
    }
    this->HealthOf(this->sent->instance).OnAnswered();
  }
  // Before EndAttempt(), since the log line names the server of the attempt.
  this->host.OnDone(*this);
  this->EndAttempts();
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
