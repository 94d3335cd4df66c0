#include "SuspectGate.h"

#include <algorithm>
#include <iterator>

namespace dogwoodvale {

SuspectGate::SuspectGate(const CrashLedger& aLedger,
                         const InFlightDuplicates& aInFlight,
                         const UnresolvedAttempts& aBroken,
                         TrialTurns& aTurns)
  : ledger(aLedger)
  , inFlight(aInFlight)
  , broken(aBroken)
  , turns(aTurns)
{
}

bool
SuspectGate::IsSuspect(const CrashSubjects& aSubjects, TimePoint aNow) const
{
  const auto isSuspect = [&](Fingerprint aSubject) {
    return this->ledger.StatusOf(aSubject, aNow) == CrashStatus::Suspect;
  };
  return isSuspect(aSubjects.request) ||
         std::ranges::any_of(aSubjects.parts, isSuspect);
}

bool
SuspectGate::HasToWait(const CrashSubjects& aSubjects,
                       bool aIsNew,
                       TimePoint aNow) const
{
  if (aIsNew && this->broken.HasRecentBreak(aSubjects.request, aNow)) {
    return true;
  }
  return this->IsToWaitFor(aSubjects.request, aIsNew, aNow) ||
         std::ranges::any_of(aSubjects.parts, [&](Fingerprint aPart) {
           return this->IsToWaitFor(aPart, aIsNew, aNow);
         });
}

bool
SuspectGate::IsToWaitFor(Fingerprint aSubject,
                         bool aIsNew,
                         TimePoint aNow) const
{
  return this->ledger.StatusOf(aSubject, aNow) == CrashStatus::Suspect &&
         (this->inFlight.HasAny(aSubject, aNow) ||
          (aIsNew && this->broken.HasRecentBreak(aSubject, aNow)) ||
          this->ledger.IsUndecided(aSubject, aNow));
}

std::vector<Fingerprint>
SuspectGate::DisputedParts(const CrashSubjects& aSubjects, TimePoint aNow) const
{
  std::vector<Fingerprint> disputed;
  std::ranges::copy_if(
    aSubjects.parts, std::back_inserter(disputed), [&](Fingerprint aPart) {
      return this->ledger.IsDisputed(aPart, aNow);
    });
  return disputed;
}

std::vector<Fingerprint>
SuspectGate::SuspectsInFlight(std::size_t aMax, TimePoint aNow) const
{
  std::vector<Fingerprint> subjects = this->ledger.Suspects();
  std::erase_if(subjects, [&](Fingerprint aSubject) {
    return !this->inFlight.HasOwn(aSubject) &&
           !this->turns.IsClaimed(aSubject) &&
           !this->broken.HasRecentBreak(aSubject, aNow);
  });
  subjects.resize(std::min(subjects.size(), aMax));
  return subjects;
}

bool
SuspectGate::IsVerdictDue(std::span<const Fingerprint> aParts,
                          TimePoint aNow) const
{
  return std::ranges::any_of(aParts, [&](Fingerprint aPart) {
    return this->broken.HasRecentBreak(aPart, aNow) ||
           this->ledger.IsUndecided(aPart, aNow);
  });
}

} // namespace dogwoodvale
