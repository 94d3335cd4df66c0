#include "AttemptHealth.h"

namespace dogwoodvale {

void
AttemptHealth::OnFirstResponse(Duration aLatency,
                               std::uint32_t aPromptTokens,
                               std::uint64_t aPrefillTokens,
                               PrefillStatistics& aFlow) const
{
  const std::optional<Duration> sample =
    aPromptTokens == 0
      ? aLatency
      : aFlow.HealthSample(aPromptTokens, aPrefillTokens, aLatency);
  if (this->tracker != nullptr && sample) {
    this->tracker->OnFirstToken(this->instance, *sample);
  }
}

void
AttemptHealth::OnAnswered() const
{
  if (this->tracker != nullptr) {
    this->tracker->OnSuccess(this->instance);
  }
}

void
AttemptHealth::OnFailed(AttemptFailure aFailure, bool aHadFreeSlot) const
{
  if (this->tracker == nullptr) {
    return;
  }
  if (aFailure == AttemptFailure::NotSent) {
    this->tracker->OnCrash(this->instance);
    return;
  }
  // Refusing despite a free slot counts as a failure.
  const bool isUnhealthy =
    !IsNotRun(aFailure) ||
    (aFailure == AttemptFailure::Refused && aHadFreeSlot);
  if (isUnhealthy) {
    this->tracker->OnFailure(this->instance);
  }
}

} // namespace dogwoodvale
