#include "GatewayRequest.h"

#include <utility>

#include "GatewayLog.h"
#include "SuccessorAttempt.h"

namespace dogwoodvale {

std::optional<GatewayRequest::Destination>
GatewayRequest::FindSuccessor(TimePoint aNow)
{
  CrashGuard& guard = this->host.Crashes();
  const CrashSubjects& subjects = this->admitted.subjects;
  if (guard.QuarantinedSubject(subjects)) {
    return std::nullopt;
  }
  if (const SuspectGate* gate = guard.Gate()) {
    const auto step =
      this->suspectWait.Next(*gate, subjects, false, aNow, this->host.Random());
    if (step.action != SuspectWait::Action::Send) {
      this->suspectWait.EndTurn();
      return std::nullopt;
    }
  }
  std::vector<InstanceName> tried = this->excluded;
  tried.push_back(this->sent->instance);
  if (this->successor != nullptr) {
    tried.push_back(this->successor->sent.instance);
  }
  PlacementRequest wanted = this->MakePlacementRequest(aNow);
  wanted.mayHaveBeenPrefilled = true;
  const auto [candidates, placed] = this->PlaceBeside(tried, wanted);
  if (!placed || placed->timeliness == Timeliness::Hopeless) {
    return std::nullopt;
  }
  const DirectCandidate& server = candidates[placed->server];
  BackendClient* client =
    this->host.Backends().Acquire(server.name, this->admitted.demand, aNow);
  if (client == nullptr) {
    return std::nullopt;
  }
  return Destination{ server, *placed, client };
}

std::optional<GatewayRequest::Destination>
GatewayRequest::DecideSuccessor(bool aHasUnread, TimePoint aNow)
{
  AttemptOutcome ended = this->OutcomeSoFar();
  ended.disposition = Disposition::MayHaveRun;
  RetryAllowance allowance = this->AllowanceAt(aNow, false);
  allowance.attempts += this->successor == nullptr ? 1 : 2;
  // Finding a server is the dearer part.
  if (DecideOnSilence(ended, allowance, aHasUnread, true) ==
      SilenceVerdict::Wait) {
    return std::nullopt;
  }
  this->KeepReportedOrigin();
  return this->FindSuccessor(aNow);
}

void
GatewayRequest::OnAttemptSilent()
{
  if (this->exchange->CheckCallerGone()) {
    return;
  }
  if (this->successor != nullptr) {
    return;
  }
  const TimePoint now = Now();
  const bool hasUnread = this->attempt->HasUnread();
  if (!hasUnread && !std::exchange(this->sent->wasSilent, true)) {
    this->HealthOf(this->sent->instance)
      .OnFailed(AttemptFailure::Silent, this->sent->hadFreeSlot);
    LogOpenRequest(LogLevel::Info, "attempt_silent", *this, now);
  }
  if (auto next = this->DecideSuccessor(hasUnread, now)) {
    this->StartSuccessor(*std::move(next), now);
  }
}

void
GatewayRequest::StartSuccessor(Destination aTo, TimePoint aNow)
{
  this->mayHaveRun = true;
  this->host.RetriesOf(this->admitted.service->name).TryTake(aNow);
  const Sent record = this->RecordSent(aTo, aNow);
  this->successor = std::make_unique<Successor>(*this, std::move(aTo), record);
  ++this->outcome.successors;
  this->LogSuccessor("asked", "the first server is silent");
  Successor& next = *this->successor;
  next.attempt = this->MakeAttempt(next.sent.instance, next, aNow);
  this->StartAttempt(*next.attempt, next.to, aNow);
}

bool
GatewayRequest::MayContinueAtSuccessor() const
{
  const auto& required = this->admitted.demand.requiredSoftware;
  return !required || *required == this->successor->sent.softwareVersion;
}

bool
GatewayRequest::TakeOver()
{
  // Another gateway may have been told of the first server's software.
  this->KeepReportedOrigin();
  if (!this->MayContinueAtSuccessor()) {
    this->DropSuccessor("of another software version");
    return false;
  }
  ++this->timesSent;
  this->excluded.push_back(this->sent->instance);
  this->LogAttempt(AttemptFailureName(AttemptFailure::Silent),
                   "another server takes over",
                   "hand_over");
  this->ContinueAtSuccessor();
  return true;
}

void
GatewayRequest::ContinueAtSuccessor()
{
  this->EndAttempt();
  const std::unique_ptr<Successor> next = std::move(this->successor);
  this->sent = std::move(next->sent);
  this->attempt = std::move(next->attempt);
  this->attempt->SetListener(*this);
  this->RecordPlacement(next->to.server, next->to.placement);
  this->outcome.expectedPause = this->sent->expectedPause;
  this->outcome.resumes += this->outcome.events > 0 ? 1 : 0;
  ++this->outcome.takeOvers;
  this->RecordOrigin(Now());
}

void
GatewayRequest::OnSuccessorFailed(AttemptFailure aFailure,
                                  std::string_view aReason)
{
  Successor& failed = *this->successor;
  this->RecordFailure(failed.sent, *failed.attempt, aFailure, Now());
  this->LogSuccessor(AttemptFailureName(aFailure), aReason);
  this->EndSuccessor();
}

void
GatewayRequest::OnSuccessorSilent()
{
  const TimePoint now = Now();
  Successor& silent = *this->successor;
  const bool hasUnread = silent.attempt->HasUnread();
  if (!hasUnread && !std::exchange(silent.sent.wasSilent, true)) {
    this->HealthOf(silent.sent.instance)
      .OnFailed(AttemptFailure::Silent, silent.sent.hadFreeSlot);
  }
  if (auto next = this->DecideSuccessor(hasUnread, now)) {
    this->excluded.push_back(silent.sent.instance);
    this->DropSuccessor("it is silent too");
    this->StartSuccessor(*std::move(next), now);
  }
}

void
GatewayRequest::DropSuccessor(std::string_view aReason)
{
  if (this->successor == nullptr) {
    return;
  }
  ++this->timesSent;
  this->LogSuccessor("dropped", aReason);
  this->EndSuccessor();
}

void
GatewayRequest::LogSuccessor(std::string_view aResult,
                             std::string_view aReason) const
{
  LogSuccessorAttempt(
    *this,
    { this->sent->instance, this->successor->sent.instance, aResult, aReason },
    Now());
}

void
GatewayRequest::EndSuccessor()
{
  // The attempt, whose callback this may be, goes last.
  const std::unique_ptr<Successor> ended = std::move(this->successor);
  if (ended != nullptr) {
    this->RecordDone(ended->sent);
  }
}

} // namespace dogwoodvale
