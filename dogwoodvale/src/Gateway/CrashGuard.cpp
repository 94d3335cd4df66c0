#include "CrashGuard.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

CrashGuard::CrashGuard(EventLoop& aLoop,
                       BackendPool& aPool,
                       StoreClient& aStore,
                       Options aOptions)
  : pool(aPool)
  , options(aOptions)
  , ledger(aOptions.quarantine)
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

bool
CrashGuard::IsQuarantined(Fingerprint aRequest) const
{
  return this->options.isOn &&
         this->ledger.StatusOf(aRequest, Now()) == CrashStatus::Quarantined;
}

bool
CrashGuard::IsSuspect(Fingerprint aRequest) const
{
  return this->ledger.StatusOf(aRequest, Now()) == CrashStatus::Suspect;
}

Duration
CrashGuard::QuarantineLeft(Fingerprint aRequest) const
{
  return this->ledger.QuarantineLeft(aRequest, Now());
}

bool
CrashGuard::HasToWait(Fingerprint aRequest, bool aIsNew) const
{
  const TimePoint now = Now();
  if (!this->options.isOn) {
    return false;
  }
  if (aIsNew && this->broken.HasRecentBreak(aRequest, now)) {
    return true;
  }
  return this->ledger.StatusOf(aRequest, now) == CrashStatus::Suspect &&
         (this->copies.HasAny(aRequest, now) ||
          this->ledger.IsUndecided(aRequest, now));
}

void
CrashGuard::OnSent(Fingerprint aRequest)
{
  this->copies.OnSent(aRequest);
}

void
CrashGuard::OnDone(Fingerprint aRequest)
{
  this->copies.OnDone(aRequest);
}

void
CrashGuard::OnAnswered(Fingerprint aRequest)
{
  const TimePoint now = Now();
  if (this->ledger.OnAnswered(aRequest, now)) {
    this->keeper.Persist(this->LogVerdict(aRequest, "answer", now));
  }
}

void
CrashGuard::OnBroken(const InstanceName& aInstance,
                     Fingerprint aRequest,
                     const BrokenAttempt& aBroken)
{
  // A server that announced its departure has left: this is no crash.
  if (!this->options.isOn || this->pool.IsLeaving(aInstance)) {
    return;
  }
  const std::optional<CrashWeight> weight = WeighBreak(aBroken);
  if (!weight || !this->broken.Add(aInstance, aRequest, *weight, Now())) {
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
      runs.size(),
      "suspects",
      this->ledger.SuspectCount());
  for (const CrashEvidence& evidence : runs) {
    this->ledger.Take(evidence, CrashLedger::Source::Own, Now());
  }
}

QuarantineVerdict
CrashGuard::LogVerdict(Fingerprint aRequest,
                       std::string_view aFrom,
                       TimePoint aNow) const
{
  const QuarantineVerdict verdict = *this->ledger.VerdictOf(aRequest, aNow);
  Log(LogLevel::Warning,
      verdict.isLifted ? "quarantine_lifted" : "request_quarantined",
      "fingerprint",
      FingerprintText(aRequest),
      "round",
      verdict.round,
      "score",
      this->ledger.ScoreOf(aRequest),
      "left_ms",
      WholeMillis(verdict.left),
      "from",
      aFrom);
  return verdict;
}

void
CrashGuard::EvaluateEvidence(TimePoint aNow)
{
  for (const Fingerprint request : this->ledger.Evaluate(aNow)) {
    this->keeper.Persist(this->LogVerdict(request, "evidence", aNow));
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
  for (const Fingerprint request : this->ledger.Suspects()) {
    // A request that has just been aborted counts as in flight until the
    // verdict on its server can be sent: meanwhile other gateways would send
    // their duplicates.
    const bool isInFlight =
      this->copies.HasOwn(request) || this->broken.HasRecentBreak(request, now);
    if (isInFlight &&
        aDigest.suspectsInFlight.size() < CrashLedger::kMaxUpdateEntries) {
      aDigest.suspectsInFlight.push_back(request);
    }
  }
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
      this->LogVerdict(verdict.request, aDigest.gateway.Value(), now);
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
    this->LogVerdict(aVerdict.request, "store", now);
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
