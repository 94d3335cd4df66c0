#include "CopyWait.h"

#include <utility>

namespace dogwoodvale {

std::optional<Duration>
CopyWait::Next(const CrashGuard& aGuard,
               RequestFingerprint aRequest,
               bool aIsNew,
               TimePoint aNow,
               std::mt19937_64& aRandom)
{
  const bool hasToWait = aGuard.HasToWait(aRequest, aIsNew);
  if (hasToWait && !this->since) {
    this->since = aNow;
  }
  if (!this->since || Between(*this->since, aNow) >= kLongestWait) {
    return std::nullopt;
  }
  if (hasToWait) {
    this->yields = true;
    return kCheckPeriod;
  }
  // One that an answer has cleared meanwhile has no more copies to let go
  // first.
  if (!std::exchange(this->yields, false) || !aGuard.IsSuspect(aRequest)) {
    return std::nullopt;
  }
  std::uniform_int_distribution<Duration::rep> draw(0, kLongestYield.count());
  return Duration(draw(aRandom));
}

} // namespace dogwoodvale
