#include "TrialTurns.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

TrialTurns::Claim::Claim(TrialTurns& aTurns,
                         std::span<const Fingerprint> aSubjects,
                         TimePoint aNow)
  : turns(aTurns)
  , subjects(aSubjects.begin(), aSubjects.end())
  , since(aNow)
{
  this->turns.claimed.insert(this->subjects.begin(), this->subjects.end());
}

TrialTurns::Claim::~Claim()
{
  for (const Fingerprint subject : this->subjects) {
    this->turns.claimed.erase(subject);
  }
}

TrialTurns::TrialTurns(InstanceName aSelf, const InFlightDuplicates& aInFlight)
  : self(std::move(aSelf))
  , inFlight(aInFlight)
{
}

void
TrialTurns::SetReportPeriod(Duration aPeriod)
{
  this->claimTime = std::max(kMinClaimTime, kReportsOfClaim * aPeriod);
}

std::unique_ptr<TrialTurns::Claim>
TrialTurns::TryClaim(std::span<const Fingerprint> aSubjects, TimePoint aNow)
{
  const bool isTaken =
    std::ranges::any_of(aSubjects, [&](Fingerprint aSubject) {
      return this->IsClaimed(aSubject) || this->inFlight.HasAny(aSubject, aNow);
    });
  return isTaken ? nullptr : std::make_unique<Claim>(*this, aSubjects, aNow);
}

TrialTurns::Turn
TrialTurns::TurnOf(const Claim& aClaim, TimePoint aNow) const
{
  const bool isLost =
    std::ranges::any_of(aClaim.subjects, [&](Fingerprint aSubject) {
      return this->inFlight.HasPeerBefore(this->self, aSubject, aNow);
    });
  if (isLost) {
    return Turn::Lost;
  }
  return Between(aClaim.since, aNow) >= this->claimTime ? Turn::Mine
                                                        : Turn::Pending;
}

} // namespace dogwoodvale
