#ifndef DOGWOODVALE_QUARANTINE_SUSPECTGATE_H
#define DOGWOODVALE_QUARANTINE_SUSPECTGATE_H

#include <vector>

#include "CrashLedger.h"
#include "CrashSubjects.h"
#include "TrialTurns.h"
#include "UnresolvedAttempts.h"

namespace dogwoodvale {

/// What one gateway knows of the subjects of a request that is about to be
/// sent: the evidence against them, and which requests with them are in flight.
class SuspectGate
{
public:
  /// All must outlive this object.
  SuspectGate(const CrashLedger& aLedger,
              const InFlightDuplicates& aInFlight,
              const UnresolvedAttempts& aBroken,
              TrialTurns& aTurns);

  bool IsSuspect(const CrashSubjects& aSubjects, TimePoint aNow) const;
  /// \param aIsNew the request has not been sent yet. A retry goes to the next
  /// server without waiting for the verdict on the last one.
  /// \return whether the request has to wait: it or a part of its prompt is a
  /// suspect, and another request with this is in flight, here or at a gateway
  /// that reported so, or evidence against it is still being collected.
  bool HasToWait(const CrashSubjects& aSubjects,
                 bool aIsNew,
                 TimePoint aNow) const;
  /// The parts with enough evidence for a quarantine and no verdict: requests
  /// with one of them take turns, see TrialTurns.
  std::vector<Fingerprint> DisputedParts(const CrashSubjects& aSubjects,
                                         TimePoint aNow) const;
  /// Whether a verdict on one of the parts may follow from evidence that is
  /// there or about to come.
  bool IsVerdictDue(std::span<const Fingerprint> aParts, TimePoint aNow) const;
  /// The suspects that this gateway reports to the others as in flight, at most
  /// \p aMax. What has just been broken off counts until the verdict on its
  /// server can be sent: meanwhile other gateways would send theirs.
  std::vector<Fingerprint> SuspectsInFlight(std::size_t aMax,
                                            TimePoint aNow) const;
  TrialTurns& Turns() const { return this->turns; }

private:
  bool IsToWaitFor(Fingerprint aSubject, bool aIsNew, TimePoint aNow) const;

  const CrashLedger& ledger;
  const InFlightDuplicates& inFlight;
  const UnresolvedAttempts& broken;
  TrialTurns& turns;
};

} // namespace dogwoodvale

#endif
