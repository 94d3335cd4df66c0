#include "CrashGuard.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

CrashGuard::CrashGuard(EventLoop& aLoop,
                       BackendPool& aPool,
                       StoreClient& aStore,
                       Options aOptions)
  : pool(aPool)
  , options(std::move(aOptions))
  , ledger(this->options.quarantine)
  , turns(this->options.self, this->copies)
  , gate(this->ledger, this->copies, this->broken, this->turns)
  , keeper(
      aLoop,
      aStore,
      [this](const QuarantineVerdict& aVerdict) { this->OnStored(aVerdict); })
  , probeTimer(aLoop, [this] { this->ProbeServers(); })
{
}

void
CrashGuard::Start()
{
  if (this->options.isOn) {
    this->keeper.Start();
  }
}

// Requests.

std::optional<Fingerprint>
CrashGuard::QuarantinedSubject(const CrashSubjects& aSubjects) const
{
  if (!this->options.isOn) {
    return std::nullopt;
  }
  const TimePoint now = Now();
  Fingerprint longest = aSubjects.request;
  for (const Fingerprint part : aSubjects.parts) {
    if (this->ledger.QuarantineLeft(part, now) >
        this->ledger.QuarantineLeft(longest, now)) {
      longest = part;
    }
  }
  return this->ledger.StatusOf(longest, now) == CrashStatus::Quarantined
           ? std::optional(longest)
           : std::nullopt;
}

Duration
CrashGuard::QuarantineLeft(Fingerprint aSubject) const
{
  return this->ledger.QuarantineLeft(aSubject, Now());
}

void
CrashGuard::OnSent(const CrashSubjects& aSubjects)
{
  this->copies.OnSent(aSubjects.request);
  for (const Fingerprint part : aSubjects.parts) {
    this->copies.OnSent(part);
  }
}

void
CrashGuard::OnDone(const CrashSubjects& aSubjects, bool aHasPassed)
{
  this->copies.OnDone(aSubjects.request);
  if (aHasPassed) {
    return;
  }
  for (const Fingerprint part : aSubjects.parts) {
    this->copies.OnDone(part);
  }
}

void
CrashGuard::OnAnswered(const CrashSubjects& aSubjects)
{
  const TimePoint now = Now();
  if (this->ledger.OnAnswered(aSubjects.request, now)) {
    this->keeper.Persist(this->LogVerdict(aSubjects.request, "answer", now));
  }
}

void
CrashGuard::OnPassed(const CrashSubjects& aSubjects, TimePoint aBegun)
{
  const TimePoint now = Now();
  for (const Fingerprint part : aSubjects.parts) {
    this->copies.OnDone(part);
    if (this->ledger.OnPassed(part, aBegun, now)) {
      this->keeper.Persist(this->LogVerdict(part, "answer", now));
    }
  }
}

void
CrashGuard::OnBroken(const InstanceName& aInstance,
                     const CrashSubjects& aSubjects,
                     const BrokenAttempt& aBroken,
                     bool aHasPassed)
{
  // A server that announced its departure has left: this is no crash.
  if (!this->options.isOn || this->pool.IsLeaving(aInstance)) {
    return;
  }
  const std::optional<CrashWeight> weight = WeighBreak(aBroken);
  if (!weight ||
      !this->broken.Add(aInstance, aSubjects, *weight, aHasPassed, Now())) {
    return;
  }
  this->toProbe.push_back(aInstance);
  if (!this->probeTimer.IsPending()) {
    this->probeTimer.StartOnce(kProbeDelay);
  }
}

// Detection of crashed servers.

void
CrashGuard::ProbeServers()
{
  for (const InstanceName& instance : std::exchange(this->toProbe, {})) {
    const auto onResult = [this, instance](ProbeResult aResult) {
      if (aResult == ProbeResult::Accepted) {
        this->broken.OnServerAlive(instance);
      } else if (aResult == ProbeResult::Refused) {
        this->OnCrashed(instance, "refused");
      }
    };
    if (!this->pool.Probe(instance, onResult)) {
      this->OnCrashed(instance, "removed");
    }
  }
}

void
CrashGuard::OnReplaced(const InstanceName& aInstance)
{
  this->OnCrashed(aInstance, "replaced");
}

void
CrashGuard::OnInstances()
{
  for (const InstanceName& instance : this->broken.UnresolvedServers()) {
    if (!this->pool.IsListed(instance)) {
      this->OnCrashed(instance, "removed");
    }
  }
}

void
CrashGuard::OnCrashed(const InstanceName& aInstance, const char* aHow)
{
  const std::vector<CrashEvidence> runs =
    this->broken.OnServerExited(aInstance);
  if (runs.empty()) {
    return;
  }
  ++this->crashedCount;
  Log(LogLevel::Warning,
      "server_crashed",
      "instance",
      aInstance.Value(),
      "how",
      aHow,
      "broken_off",
      std::ranges::count(runs, kWholeRequest, &CrashEvidence::specificity),
      "suspects",
      this->ledger.SuspectCount());
  for (const CrashEvidence& evidence : runs) {
    this->ledger.Take(evidence, CrashLedger::Source::Own, Now());
  }
}

QuarantineVerdict
CrashGuard::LogVerdict(Fingerprint aSubject,
                       std::string_view aFrom,
                       TimePoint aNow) const
{
  const QuarantineVerdict verdict = *this->ledger.VerdictOf(aSubject, aNow);
  Log(LogLevel::Warning,
      verdict.isLifted ? "quarantine_lifted" : "request_quarantined",
      "fingerprint",
      FingerprintText(aSubject),
      "kind",
      this->ledger.IsPart(aSubject) ? "part" : "request",
      "round",
      verdict.round,
      "score",
      this->ledger.ScoreOf(aSubject),
      "left_ms",
      WholeMillis(verdict.left),
      "from",
      aFrom);
  return verdict;
}

void
CrashGuard::EvaluateEvidence(TimePoint aNow)
{
  for (const Fingerprint subject : this->ledger.Evaluate(aNow)) {
    this->keeper.Persist(this->LogVerdict(subject, "evidence", aNow));
  }
}

// Other gateways.

void
CrashGuard::AddToDigest(PeerDigest& aDigest) const
{
  if (!this->options.isOn) {
    return;
  }
  const TimePoint now = Now();
  aDigest.crashes = this->ledger.OutgoingUpdate(now);
  aDigest.suspectsInFlight =
    this->gate.SuspectsInFlight(CrashLedger::kMaxUpdateEntries, now);
}

void
CrashGuard::ApplyDigest(const PeerDigest& aDigest)
{
  if (!this->options.isOn) {
    return;
  }
  const TimePoint now = Now();
  this->copies.SetPeerDuplicates(
    aDigest.gateway, aDigest.suspectsInFlight, now);
  for (const QuarantineVerdict& verdict : aDigest.crashes.verdicts) {
    if (this->ledger.Take(verdict, now)) {
      this->LogVerdict(verdict.subject, aDigest.gateway.Value(), now);
    }
  }
  if (aDigest.crashes.evidence.empty()) {
    return;
  }
  const std::vector<InstanceName> open = this->broken.UnresolvedServers();
  for (const CrashEvidence& evidence : aDigest.crashes.evidence) {
    this->ledger.Take(evidence, CrashLedger::Source::Peer, now);
    // Another gateway has detected that the server crashed.
    const auto known = std::ranges::find(open, evidence.server, ServerKeyOf);
    if (known != open.end()) {
      this->OnCrashed(*known, "told");
    }
  }
}

void
CrashGuard::OnStored(const QuarantineVerdict& aVerdict)
{
  const TimePoint now = Now();
  if (this->ledger.Take(aVerdict, now)) {
    this->LogVerdict(aVerdict.subject, "store", now);
  }
}

void
CrashGuard::RunMaintenance()
{
  const TimePoint now = Now();
  this->broken.Expire(now);
  this->copies.Expire(now);
  this->EvaluateEvidence(now);
  this->ledger.Expire(now);
  this->keeper.RunMaintenance();
}

} // namespace dogwoodvale
