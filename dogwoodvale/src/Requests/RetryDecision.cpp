#include "RetryDecision.h"

namespace dogwoodvale {

namespace {

bool
MayRepeat(const AttemptOutcome& aOutcome)
{
  // An answer that has begun shows that the request ran, whatever is claimed.
  const bool hasNotRun = aOutcome.disposition == Disposition::NotRun &&
                         aOutcome.deliveredTokens == 0;
  return hasNotRun || aOutcome.idempotent;
}

bool
IsAllowed(const RetryAllowance& aAllowance)
{
  return aAllowance.hasBudget && aAllowance.attempts < aAllowance.maxAttempts &&
         aAllowance.deadlineLeft > aAllowance.leastUseful;
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
  // A second answer from the start would not fit the beginning that the caller
  // already has.
  return aOutcome.streaming ? RetryVerdict::GiveUp : RetryVerdict::Retry;
}

} // namespace dogwoodvale
