#ifndef DOGWOODVALE_GATEWAY_ATTEMPTTIMEOUTS_H
#define DOGWOODVALE_GATEWAY_ATTEMPTTIMEOUTS_H

#include <cstdint>

#include "dogwoodvale/Configuration"

namespace dogwoodvale {

/// How long a server may send nothing before its attempt counts as silent and
/// another one may take over; 0 is no limit.
struct AttemptTimeouts
{
  /// From sending to the first event of a stream or the end of an answer.
  Duration firstResponse{ 0 };
  /// Between two events of a stream.
  Duration betweenEvents{ 0 };
};

/// The time-outs of an attempt, derived from the route's latency targets.
///
/// A server that hangs keeps its connections open and can be recognised only by
/// its silence; a request that waits for its whole time limit has no time left
/// for another server. An attempt that none may follow has no time-outs, since
/// giving it up would gain nothing; the request's own deadline still applies.
/// \param aAttempts attempts started before this one.
/// \param aLeft time until the request's deadline.
AttemptTimeouts
TimeoutsFor(const HostRoute& aRoute, std::uint32_t aAttempts, Duration aLeft);

} // namespace dogwoodvale

#endif
