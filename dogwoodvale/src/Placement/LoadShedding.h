#ifndef DOGWOODVALE_PLACEMENT_LOADSHEDDING_H
#define DOGWOODVALE_PLACEMENT_LOADSHEDDING_H

#include <random>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Whether a prompt should be refused rather than wait this long before its
/// prefill starts.
///
/// Servers prefill as many prompts with a long queue as with a short one, but
/// behind a queue longer than the target each of them is late. So a request
/// that would only lengthen the queue is refused at once, to be retried when
/// there is capacity. Its own size does not count, or large requests would
/// starve.
bool
IsWaitTooLong(Duration aWait, Duration aTarget);

/// The same for a prompt that the others overtake, see Timeliness::Late. Its
/// limit is higher, as it delays none of them while it waits.
bool
IsLateWaitTooLong(Duration aWait, Duration aTarget);

/// Time after which a caller disconnects from a request whose answer has not
/// begun: 2 s, or longer if the route's own bounds are long.
/// \param aTarget for the time to the first token.
/// \param aMaxPause the bound on the pause between two events.
Duration
CallerPatience(Duration aTarget, Duration aMaxPause);

/// Time in which so many waiting requests begin.
/// \param aPerSecond requests that begin per second; 0 if none has lately.
Duration
DrainTime(double aWaiting, double aPerSecond);

/// Delay after which a refused request should be retried: the time until the
/// work ahead of it takes only half a target more, at least 100 ms, with random
/// jitter of up to as much again, so that requests refused together are not
/// retried together.
/// \param aWait the time that it would have waited; zero if unknown.
milliseconds
DrawRetryAfter(Duration aWait, Duration aTarget, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
