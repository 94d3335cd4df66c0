#ifndef DOGWOODVALE_QUARANTINE_CRASHEVIDENCE_H
#define DOGWOODVALE_QUARANTINE_CRASHEVIDENCE_H

#include <optional>

#include "Fingerprint.h"

namespace dogwoodvale {

/// Identifies one run of a backend server process; the same at every gateway.
using ServerKey = std::uint64_t;

ServerKey
ServerKeyOf(const InstanceName& aInstance);

/// Weight of a server exit as evidence against a request in flight there.
enum class CrashWeight : std::uint8_t
{
  /// None: the request has been answered since, or the exit is attributed to
  /// another one.
  None = 0,
  /// A part of its answer had been received, so it had run for a while.
  Late = 1,
  /// Nothing of its answer had been received.
  Early = 2,
};

/// How few requests share a subject: the position of a part in its prompt, from
/// 0 on, or kWholeRequest. Requests share the first parts of their prompts, so
/// of two subjects that explain the same exits the more specific one is blamed.
using Specificity = std::uint8_t;
inline constexpr Specificity kWholeRequest = 255;

/// A request, or a request with one part of a prompt, was in flight at a server
/// when that server exited.
struct CrashEvidence
{
  Fingerprint subject = 0;
  ServerKey server = 0;
  CrashWeight weight = CrashWeight::None;
  Specificity specificity = kWholeRequest;

  bool IsOfPart() const { return this->specificity != kWholeRequest; }

  bool operator==(const CrashEvidence&) const = default;
};

/// What a gateway observed of an attempt whose connection broke.
struct BrokenAttempt
{
  /// The response headers had been received.
  bool hasHead = false;
  /// A part of the response body had been received.
  bool hasPart = false;
  /// The connection timed out, without a reset.
  bool timedOut = false;
  /// Time from sending the request to the break.
  Duration after{ 0 };
};

/// Shortest time to a break that counts as evidence. The host of a server that
/// has exited resets connections within a round trip. Without this bound a
/// request that is retried at one server after another while all of them are
/// being killed would seem to have crashed each one.
inline constexpr Duration kMinRunTime = milliseconds(10);

/// \return the weight of the break as evidence if the server turns out to have
/// exited; nothing if the request may not have reached a live server, as when a
/// rack loses power and connections to it time out.
std::optional<CrashWeight>
WeighBreak(const BrokenAttempt& aBroken);

} // namespace dogwoodvale

#endif
