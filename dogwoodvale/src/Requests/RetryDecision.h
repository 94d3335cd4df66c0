#ifndef DOGWOODVALE_REQUESTS_RETRYDECISION_H
#define DOGWOODVALE_REQUESTS_RETRYDECISION_H

#include <cstdint>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Action after a failed attempt.
enum class RetryVerdict : std::uint8_t
{
  /// Send the request again from the start, with a new id.
  Retry,
  /// Continue on another server after the delivered text, with a new id.
  Resume,
  /// The failure is final; report it to the caller.
  GiveUp,
};

/// How an attempt failed.
struct AttemptOutcome
{
  Disposition disposition = Disposition::MayHaveRun;
  /// Whether requests of this class may run more than once.
  bool idempotent = false;
  /// Tokens of the answer received so far, over all attempts.
  std::uint64_t deliveredTokens = 0;
  /// Whether they were already forwarded to the caller and can't be revoked.
  bool streaming = false;
  /// Whether all received text is still buffered and the engine can continue
  /// from it.
  bool canResume = false;
};

/// Limits on a further attempt.
struct RetryAllowance
{
  /// Whether RetryBudget::TryTake() would succeed.
  bool hasBudget = false;
  /// Time until the caller's deadline.
  Duration deadlineLeft{ 0 };
  /// Minimum remaining time for a further attempt to be worthwhile; an attempt
  /// is made only with more left.
  Duration minUsefulTime{ 0 };
  /// Attempts made so far.
  std::uint32_t attempts = 0;
  std::uint32_t maxAttempts = 3;
};

/// Decides whether to retry after a failed attempt. A request is sent again
/// only if it was not run or is idempotent.
RetryVerdict
DecideRetry(const AttemptOutcome& aOutcome, const RetryAllowance& aAllowance);

/// What to do about an attempt whose server has sent nothing for a while.
enum class SilenceVerdict : std::uint8_t
{
  /// The attempt goes on; its answer is delivered if the server speaks again.
  Wait,
  /// Another attempt takes over in this moment; what the silent server still
  /// sends goes to nobody.
  HandOver,
};

/// Decides whether another attempt takes over from a silent one. A silent
/// server may only be pausing, so that its attempt is given up for another one
/// and never for nothing. \param aOutcome what giving the attempt up would
/// mean. \param aHasUnread bytes from the server have arrived and are not read
/// yet. \param aHasServer another server would take the request now.
SilenceVerdict
DecideOnSilence(const AttemptOutcome& aOutcome,
                const RetryAllowance& aAllowance,
                bool aHasUnread,
                bool aHasServer);

} // namespace dogwoodvale

#endif
