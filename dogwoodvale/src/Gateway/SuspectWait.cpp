#include "SuspectWait.h"

#include <utility>

namespace dogwoodvale {

std::optional<Duration>
SuspectWait::Next(const CrashGuard& aGuard,
                  const CrashSubjects& aSubjects,
                  bool aIsNew,
                  TimePoint aNow,
                  std::mt19937_64& aRandom)
{
  const bool hasToWait = aGuard.HasToWait(aSubjects, aIsNew);
  if (hasToWait && !this->since) {
    this->since = aNow;
  }
  if (!this->since || Between(*this->since, aNow) >= kMaxWait) {
    return std::nullopt;
  }
  if (hasToWait) {
    this->needsRandomDelay = true;
    return kCheckPeriod;
  }
  // No random delay if an answer has cleared the request meanwhile: duplicates
  // may then run at the same time.
  if (!std::exchange(this->needsRandomDelay, false) ||
      !aGuard.IsSuspect(aSubjects)) {
    return std::nullopt;
  }
  std::uniform_int_distribution<Duration::rep> draw(0, kMaxRandomDelay.count());
  return Duration(draw(aRandom));
}

} // namespace dogwoodvale
