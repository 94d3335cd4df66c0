#ifndef DOGWOODVALE_REQUESTS_RETRYDECISION_H
#define DOGWOODVALE_REQUESTS_RETRYDECISION_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What to do after an attempt has failed.
enum class RetryVerdict : std::uint8_t
{
  /// Send the request again from the start, with a new id.
  Retry,
  /// Go on elsewhere from what was delivered, with a new id.
  Resume,
  /// The failure is final; tell the caller now.
  GiveUp,
};

/// How an attempt failed.
struct AttemptOutcome
{
  Disposition disposition = Disposition::MayHaveRun;
  /// Whether the request's class may be repeated.
  bool idempotent = false;
  /// Tokens of the answer received so far, over all attempts.
  std::uint64_t deliveredTokens = 0;
  /// Whether those went on to the caller, so that they can't be taken back.
  bool streaming = false;
  /// Whether all that was received is still kept, and the engine can go on
  /// from it.
  bool canResume = false;
};

/// What is left for a further attempt.
struct RetryAllowance
{
  /// RetryBudget::TryTake() would succeed.
  bool hasBudget = false;
  /// Until the caller's deadline.
  Duration deadlineLeft{ 0 };
  /// The least time in which a further attempt can be of use.
  Duration leastUseful{ 0 };
  /// Attempts made so far.
  std::uint32_t attempts = 0;
  std::uint32_t maxAttempts = 3;
};

/// Decides on a failed attempt. Only a request that was not run, or that may be
/// repeated, is ever sent again.
RetryVerdict
DecideRetry(const AttemptOutcome& aOutcome, const RetryAllowance& aAllowance);

} // namespace dogwoodvale

#endif
