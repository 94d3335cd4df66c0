#ifndef DOGWOODVALE_GATEWAY_ATTEMPTHEALTH_H
#define DOGWOODVALE_GATEWAY_ATTEMPTHEALTH_H

#include "DirectAttempt.h"
#include "dogwoodvale/Placement"

namespace dogwoodvale {

/// What an attempt says of its server's health.
struct AttemptHealth
{
  /// Null for a server that is gone.
  HealthTracker* tracker = nullptr;
  InstanceName instance;

  /// The first sign of an answer came.
  /// \param aPromptTokens 0 where requests name no prompt.
  /// \param aReadTokens what the server had to read until then.
  void OnFirstSign(Duration aLatency,
                   std::uint32_t aPromptTokens,
                   std::uint64_t aReadTokens,
                   PrefillFlow& aFlow) const;
  /// It has served the request to its end.
  void OnAnswered() const;
  /// \param aHadRoom fewer requests than slots were there, as far as known.
  void OnFailed(AttemptFailure aFailure, bool aHadRoom) const;
};

} // namespace dogwoodvale

#endif
