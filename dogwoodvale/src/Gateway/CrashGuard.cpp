#include "CrashGuard.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

constexpr int kMicrosPerMilli = 1000;

void
LogQuarantine(const QuarantineVerdict& aVerdict,
              std::uint32_t aScore,
              std::string_view aFrom)
{
  Log(LogLevel::Warning,
      aVerdict.isLifted ? "quarantine_lifted" : "request_quarantined",
      "fingerprint",
      FingerprintText(aVerdict.request),
      "round",
      aVerdict.round,
      "score",
      aScore,
      "left_ms",
      aVerdict.left.count() / kMicrosPerMilli,
      "from",
      aFrom);
}

} // namespace

CrashGuard::CrashGuard(EventLoop& aLoop,
                       BackendPool& aPool,
                       Options aOptions,
                       VerdictHandler aOnVerdict)
  : pool(aPool)
  , options(aOptions)
  , onVerdict(std::move(aOnVerdict))
  , ledger(aOptions.quarantine)
  , askTimer(aLoop, [this] { this->Ask(); })
{
}

// Requests.

CrashStanding
CrashGuard::StandingOf(RequestFingerprint aRequest) const
{
  return this->options.isOn ? this->ledger.StandingOf(aRequest, Now())
                            : CrashStanding::Clear;
}

Duration
CrashGuard::QuarantineLeft(RequestFingerprint aRequest) const
{
  return this->ledger.QuarantineLeft(aRequest, Now());
}

bool
CrashGuard::HasToWait(RequestFingerprint aRequest) const
{
  const TimePoint now = Now();
  return this->copies.HasAny(aRequest, now) ||
         this->ledger.IsUndecided(aRequest, now);
}

void
CrashGuard::OnSent(RequestFingerprint aRequest)
{
  this->copies.OnSent(aRequest);
}

void
CrashGuard::OnDone(RequestFingerprint aRequest)
{
  this->copies.OnDone(aRequest);
}

void
CrashGuard::OnAnswered(RequestFingerprint aRequest)
{
  const TimePoint now = Now();
  if (this->ledger.OnAnswered(aRequest, now)) {
    const QuarantineVerdict verdict = *this->ledger.VerdictOf(aRequest, now);
    LogQuarantine(verdict, 0, "answer");
    this->onVerdict(verdict);
  }
}

void
CrashGuard::OnBroken(const InstanceName& aInstance,
                     RequestFingerprint aRequest,
                     const BrokenAttempt& aBroken)
{
  // One that was to leave has left: its end is no crash.
  if (!this->options.isOn || this->pool.IsLeaving(aInstance)) {
    return;
  }
  const std::optional<CrashWeight> weight = WeighBreak(aBroken);
  if (!weight || !this->broken.Add(aInstance, aRequest, *weight, Now())) {
    return;
  }
  this->toAsk.push_back(aInstance);
  if (!this->askTimer.IsPending()) {
    this->askTimer.StartOnce(kAskAfter);
  }
}

// Which servers have ended.

void
CrashGuard::Ask()
{
  for (const InstanceName& instance : std::exchange(this->toAsk, {})) {
    BackendClient* client = this->pool.ClientOf(instance);
    if (client == nullptr) {
      this->OnEnded(instance, "removed");
      continue;
    }
    client->Probe([this, instance](ProbeResult aResult) {
      if (aResult == ProbeResult::Accepted) {
        this->broken.OnAlive(instance);
      } else if (aResult == ProbeResult::Refused) {
        this->OnEnded(instance, "refused");
      }
    });
  }
}

void
CrashGuard::OnReplaced(const InstanceName& aInstance)
{
  this->OnEnded(aInstance, "replaced");
}

void
CrashGuard::OnInstances()
{
  for (const InstanceName& instance : this->broken.Open()) {
    if (!this->pool.IsListed(instance)) {
      this->OnEnded(instance, "removed");
    }
  }
}

void
CrashGuard::OnEnded(const InstanceName& aInstance, const char* aHow)
{
  const std::vector<CrashEvidence> runs = this->broken.OnEnded(aInstance);
  if (runs.empty()) {
    return;
  }
  ++this->ended;
  Log(LogLevel::Warning,
      "server_crashed",
      "instance",
      aInstance.Value(),
      "how",
      aHow,
      "broken_off",
      runs.size(),
      "suspects",
      this->ledger.SuspectCount());
  for (const CrashEvidence& evidence : runs) {
    this->ledger.Take(evidence, CrashLedger::Source::Own, Now());
  }
}

void
CrashGuard::Judge(TimePoint aNow)
{
  for (const RequestFingerprint request : this->ledger.Judge(aNow)) {
    const QuarantineVerdict verdict = *this->ledger.VerdictOf(request, aNow);
    LogQuarantine(verdict, this->ledger.ScoreOf(request), "evidence");
    this->onVerdict(verdict);
  }
}

// Other gateways.

void
CrashGuard::Tell(PeerDigest& aDigest) const
{
  if (!this->options.isOn) {
    return;
  }
  aDigest.crashes = this->ledger.News(Now());
  for (const RequestFingerprint request : this->ledger.Suspects()) {
    if (this->copies.HasOwn(request) &&
        aDigest.suspectsUnderWay.size() < CrashLedger::kMostNews) {
      aDigest.suspectsUnderWay.push_back(request);
    }
  }
}

void
CrashGuard::Hear(const PeerDigest& aDigest)
{
  if (!this->options.isOn) {
    return;
  }
  const TimePoint now = Now();
  this->copies.SetOthers(aDigest.gateway, aDigest.suspectsUnderWay, now);
  for (const QuarantineVerdict& verdict : aDigest.crashes.verdicts) {
    if (this->ledger.Take(verdict, now)) {
      LogQuarantine(verdict,
                    this->ledger.ScoreOf(verdict.request),
                    aDigest.gateway.Value());
    }
  }
  if (aDigest.crashes.evidence.empty()) {
    return;
  }
  const std::vector<InstanceName> open = this->broken.Open();
  for (const CrashEvidence& evidence : aDigest.crashes.evidence) {
    this->ledger.Take(evidence, CrashLedger::Source::Told, now);
    // Another gateway has found out that the server ended.
    const auto known = std::ranges::find(open, evidence.server, ServerKeyOf);
    if (known != open.end()) {
      this->OnEnded(*known, "told");
    }
  }
}

void
CrashGuard::Take(const QuarantineVerdict& aVerdict)
{
  if (this->options.isOn && this->ledger.Take(aVerdict, Now())) {
    LogQuarantine(aVerdict, 0, "store");
  }
}

void
CrashGuard::Tend()
{
  const TimePoint now = Now();
  this->broken.Expire(now);
  this->copies.Expire(now);
  this->Judge(now);
  this->ledger.Expire(now);
}

} // namespace dogwoodvale
