#include "SuspectWait.h"

#include <utility>

namespace dogwoodvale {

SuspectWait::Step
SuspectWait::Next(const SuspectGate& aGate,
                  const CrashSubjects& aSubjects,
                  bool aIsNew,
                  TimePoint aNow,
                  std::mt19937_64& aRandom)
{
  const std::vector<Fingerprint> disputed =
    aGate.DisputedParts(aSubjects, aNow);
  if (!disputed.empty()) {
    return this->WaitForTurn(aGate, disputed, aNow);
  }
  this->EndTurn();
  const bool hasToWait = aGate.HasToWait(aSubjects, aIsNew, aNow);
  if (hasToWait && !this->since) {
    this->since = aNow;
  }
  if (!this->since || Between(*this->since, aNow) >= kMaxWait) {
    return {};
  }
  if (hasToWait) {
    this->needsRandomDelay = true;
    return { Action::Wait, kCheckPeriod };
  }
  // No random delay if an answer has cleared the request meanwhile: duplicates
  // may then run at the same time.
  if (!std::exchange(this->needsRandomDelay, false) ||
      !aGate.IsSuspect(aSubjects, aNow)) {
    return {};
  }
  std::uniform_int_distribution<Duration::rep> draw(0, kMaxRandomDelay.count());
  return { Action::Wait, Duration(draw(aRandom)) };
}

SuspectWait::Step
SuspectWait::WaitForTurn(const SuspectGate& aGate,
                         std::span<const Fingerprint> aDisputed,
                         TimePoint aNow)
{
  if (!this->since) {
    this->since = aNow;
  }
  if (this->AdvanceTurn(aGate, aDisputed, aNow) == TrialTurns::Turn::Mine) {
    return {};
  }
  if (Between(*this->since, aNow) >= kMaxTurnWait) {
    this->EndTurn();
    return { Action::Refuse };
  }
  return { Action::Wait, kCheckPeriod };
}

TrialTurns::Turn
SuspectWait::AdvanceTurn(const SuspectGate& aGate,
                         std::span<const Fingerprint> aDisputed,
                         TimePoint aNow)
{
  if (aGate.IsVerdictDue(aDisputed, aNow)) {
    this->EndTurn();
    return TrialTurns::Turn::Lost;
  }
  if (this->claim == nullptr) {
    this->claim = aGate.Turns().TryClaim(aDisputed, aNow);
    return TrialTurns::Turn::Pending;
  }
  const TrialTurns::Turn turn = aGate.Turns().TurnOf(*this->claim, aNow);
  if (turn == TrialTurns::Turn::Lost) {
    this->EndTurn();
  }
  return turn;
}

} // namespace dogwoodvale
