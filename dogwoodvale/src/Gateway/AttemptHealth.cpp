#include "AttemptHealth.h"

namespace dogwoodvale {

void
AttemptHealth::OnFirstSign(Duration aLatency,
                           std::uint32_t aPromptTokens,
                           std::uint64_t aReadTokens,
                           PrefillFlow& aFlow) const
{
  const std::optional<Duration> sample =
    aPromptTokens == 0
      ? aLatency
      : aFlow.HealthSample(aPromptTokens, aReadTokens, aLatency);
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
AttemptHealth::OnFailed(AttemptFailure aFailure, bool aHadRoom) const
{
  if (this->tracker == nullptr) {
    return;
  }
  if (aFailure == AttemptFailure::NotSent) {
    this->tracker->OnCrash(this->instance);
    return;
  }
  // One that refuses though it has room is as sick as one that fails.
  const bool isSick =
    !IsNotRun(aFailure) || (aFailure == AttemptFailure::Refused && aHadRoom);
  if (isSick) {
    this->tracker->OnFailure(this->instance);
  }
}

} // namespace dogwoodvale
