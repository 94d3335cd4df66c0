#include "RetryDecision.h"

namespace dogwoodvale {

namespace {

bool
MayRepeat(const AttemptOutcome& aOutcome)
{
  // Received tokens prove that the request ran, even if NotRun was reported.
  const bool hasNotRun = aOutcome.disposition == Disposition::NotRun &&
                         aOutcome.deliveredTokens == 0;
  return hasNotRun || aOutcome.idempotent;
}

bool
IsAllowed(const RetryAllowance& aAllowance)
{
  return aAllowance.hasBudget && aAllowance.attempts < aAllowance.maxAttempts &&
         aAllowance.deadlineLeft > aAllowance.minUsefulTime;
}

} // namespace

RetryVerdict
DecideRetry(const AttemptOutcome& aOutcome, const RetryAllowance& aAllowance)
{
  if (!MayRepeat(aOutcome) || !IsAllowed(aAllowance)) {
    return RetryVerdict::GiveUp;
  }
  if (aOutcome.deliveredTokens == 0) {
    return RetryVerdict::Retry;
  }
  if (aOutcome.canResume) {
    return RetryVerdict::Resume;
  }
  // The start of a new answer would not match the part that was already
  // streamed to the caller.
  return aOutcome.streaming ? RetryVerdict::GiveUp : RetryVerdict::Retry;
}

SilenceVerdict
DecideOnSilence(const AttemptOutcome& aOutcome,
                const RetryAllowance& aAllowance,
                bool aHasUnread,
                bool aHasServer)
{
  const bool isSilent = !aHasUnread;
  const bool canFollow =
    aHasServer && DecideRetry(aOutcome, aAllowance) != RetryVerdict::GiveUp;
  return isSilent && canFollow ? SilenceVerdict::HandOver
                               : SilenceVerdict::Wait;
}

} // namespace dogwoodvale
