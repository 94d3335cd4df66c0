#ifndef DOGWOODVALE_GATEWAY_ATTEMPTHEALTH_H
#define DOGWOODVALE_GATEWAY_ATTEMPTHEALTH_H

#include "DirectAttempt.h"
#include "dogwoodvale/Placement"

namespace dogwoodvale {

/// Reports the events of an attempt to the health tracker of its server.
struct AttemptHealth
{
  /// Null if the pool no longer has the server; nothing is reported then.
  HealthTracker* tracker = nullptr;
  InstanceName instance;

  /// The first part of an answer arrived.
  /// \param aPromptTokens 0 if the request names no prompt.
  /// \param aPrefillTokens prefill tokens of the server until then.
  void OnFirstResponse(Duration aLatency,
                       std::uint32_t aPromptTokens,
                       std::uint64_t aPrefillTokens,
                       PrefillStatistics& aFlow) const;
  /// The server has served the request to its end.
  void OnAnswered() const;
  /// \param aHadFreeSlot the server had fewer known requests than slots.
  void OnFailed(AttemptFailure aFailure, bool aHadFreeSlot) const;
};

} // namespace dogwoodvale

#endif
