#ifndef DOGWOODVALE_QUARANTINE_CRASHEVIDENCE_H
#define DOGWOODVALE_QUARANTINE_CRASHEVIDENCE_H

#include <optional>

#include "RequestFingerprint.h"

namespace dogwoodvale {

/// Names one incarnation of a backend server, the same at every gateway.
using ServerKey = std::uint64_t;

ServerKey
ServerKeyOf(const InstanceName& aInstance);

/// How much the end of a server says against a request that it ran.
enum class CrashWeight : std::uint8_t
{
  /// Nothing: the request has been answered since, or another one is to blame.
  None = 0,
  /// A part of its answer had come: it had been run for a while.
  Late = 1,
  /// Nothing of its answer had come.
  Early = 2,
};

/// One request was under way at one server when that server ended.
struct CrashEvidence
{
  RequestFingerprint request = 0;
  ServerKey server = 0;
  CrashWeight weight = CrashWeight::None;

  bool operator==(const CrashEvidence&) const = default;
};

/// What a gateway saw of an attempt whose connection broke.
struct BrokenAttempt
{
  /// The answer's head had come.
  bool hasHead = false;
  /// A part of the answer had come.
  bool hasPart = false;
  /// The link fell silent, with no reset.
  bool timedOut = false;
  /// From the sending to the break.
  Duration after{ 0 };
};

/// A server that has gone resets what reaches it within a round trip. Without
/// this bound a request that is sent on from server to server while all of them
/// are killed would seem to have crashed each one.
inline constexpr Duration kLeastRun = milliseconds(10);

/// What the break says if the server turns out to have ended; nothing if the
/// request may not have reached a live server, as when a rack loses its power
/// and whatever is sent there falls silent.
std::optional<CrashWeight>
WeighBreak(const BrokenAttempt& aBroken);

} // namespace dogwoodvale

#endif
