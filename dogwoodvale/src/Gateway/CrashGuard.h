#ifndef DOGWOODVALE_GATEWAY_CRASHGUARD_H
#define DOGWOODVALE_GATEWAY_CRASHGUARD_H

#include "BackendPool.h"
#include "PeerDigest.h"
#include "QuarantineStore.h"
#include "dogwoodvale/Quarantine"

namespace dogwoodvale {

/// Quarantines requests that crash backend servers, and parts of prompts that
/// do: detects crashed servers, exchanges the evidence with the other gateways,
/// and decides whether a request may be sent. The evidence is evaluated by
/// CrashLedger.
///
/// Guards against a request that crashes each server that starts it and that
/// its caller retries, under new ids, at any gateway: each crash aborts
/// everything else that the server runs, and within seconds most of a service
/// is down. With four gateways and twelve engines that restart after 0.4 s, 25
/// engines crashed within 2 s and 79 to 88 of 100 requests of others were
/// served afterwards; with the guard, 4 or 5 crash and all 100 are served (test
/// CrashingRequest, three runs each).
class CrashGuard
{
public:
  struct Options
  {
    /// If false, no evidence is collected and no request is held back.
    bool isOn = true;
    /// How long a request stays quarantined.
    Duration quarantine = seconds(600);
    InstanceName self{};
  };

  CrashGuard(EventLoop& aLoop,
             BackendPool& aPool,
             StoreClient& aStore,
             Options aOptions);

  /// Reads the quarantines that are stored.
  void Start();

  /// \return the request or the part of its prompt that is quarantined for the
  /// longest time; nothing if the request may be sent.
  std::optional<Fingerprint> QuarantinedSubject(
    const CrashSubjects& aSubjects) const;
  /// Time until the quarantine ends.
  Duration QuarantineLeft(Fingerprint aSubject) const;
  /// What is known of suspects; nothing if the guard is off.
  const SuspectGate* Gate() const
  {
    return this->options.isOn ? &this->gate : nullptr;
  }

  void OnSent(const CrashSubjects& aSubjects);
  /// \param aHasPassed OnPassed() was called for this attempt.
  void OnDone(const CrashSubjects& aSubjects, bool aHasPassed);
  /// A server has completed the request.
  void OnAnswered(const CrashSubjects& aSubjects);
  /// The parts of the prompt have got through, see CrashLedger::OnPassed().
  /// Called once per attempt.
  void OnPassed(const CrashSubjects& aSubjects, TimePoint aBegun);
  /// The connection broke before the answer was complete. The server is probed
  /// after kProbeDelay, to see whether it crashed.
  void OnBroken(const InstanceName& aInstance,
                const CrashSubjects& aSubjects,
                const BrokenAttempt& aBroken,
                bool aHasPassed);
  /// Another incarnation has taken over the server's address.
  void OnReplaced(const InstanceName& aInstance);
  /// The list of backend servers in the pool has changed.
  void OnInstances();
  /// \param aPeriod time between two digests from the same gateway.
  void SetDigestPeriod(Duration aPeriod)
  {
    this->turns.SetReportPeriod(aPeriod);
  }

  /// Adds this gateway's evidence, verdicts and suspects in flight.
  void AddToDigest(PeerDigest& aDigest) const;
  void ApplyDigest(const PeerDigest& aDigest);
  /// Evaluates the evidence and expires old state. Call a few times a second.
  void RunMaintenance();

  const CrashLedger& Ledger() const { return this->ledger; }
  std::uint64_t ServersCrashed() const { return this->crashedCount; }

  /// Delay before a server is probed. A process that exits closes its
  /// connections and its listener one by one, so that a probe at once might
  /// still be accepted.
  static constexpr Duration kProbeDelay = milliseconds(50);

private:
  /// Applies a verdict read from the store.
  void OnStored(const QuarantineVerdict& aVerdict);
  /// Probes the servers in toProbe.
  void ProbeServers();
  /// The server has crashed: its aborted requests become evidence.
  /// \param aHow how that was detected, for the log.
  void OnCrashed(const InstanceName& aInstance, const char* aHow);
  /// Logs and stores the verdicts that follow from the evidence.
  void EvaluateEvidence(TimePoint aNow);
  /// Logs the subject's newest verdict after a change. \return the verdict.
  QuarantineVerdict LogVerdict(Fingerprint aSubject,
                               std::string_view aFrom,
                               TimePoint aNow) const;

  BackendPool& pool;
  Options options;
  CrashLedger ledger;
  UnresolvedAttempts broken;
  InFlightDuplicates copies;
  TrialTurns turns;
  SuspectGate gate;
  QuarantineStore keeper;
  /// Servers to be probed for whether they still accept connections.
  std::vector<InstanceName> toProbe;
  std::uint64_t crashedCount = 0;
  Timer probeTimer;
};

} // namespace dogwoodvale

#endif
