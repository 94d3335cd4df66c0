#ifndef DOGWOODVALE_GATEWAY_ATTEMPTPATIENCE_H
#define DOGWOODVALE_GATEWAY_ATTEMPTPATIENCE_H

#include <cstdint>

#include "dogwoodvale/Configuration"

namespace dogwoodvale {

/// How long an attempt waits for a sign of life; zero is for ever.
struct AttemptPatience
{
  Duration firstSign{ 0 };
  Duration betweenEvents{ 0 };
};

/// Patience with a server that says nothing, by the route's targets.
///
/// A server that hangs keeps its connections open, so only silence tells; a
/// request that waits for its whole time limit has none left for another
/// server. Where no other attempt may follow, giving up would gain nothing, so
/// the last one waits for ever.
/// \param aAttempts begun before this one.
/// \param aLeft until the request's time limit.
AttemptPatience
PatienceFor(const HostRoute& aRoute, std::uint32_t aAttempts, Duration aLeft);

} // namespace dogwoodvale

#endif
