#ifndef DOGWOODVALE_PLACEMENT_LOADREFUSAL_H
#define DOGWOODVALE_PLACEMENT_LOADREFUSAL_H

#include <random>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Whether a prompt should be refused rather than wait this long for its turn.
///
/// Servers read as many prompts with a long queue as with a short one; behind a
/// queue that is longer than the target each of them is late. So what would
/// only lengthen the queue is told at once to come back when there will be
/// room. The request's own size does not count, or large ones would starve.
bool
IsWaitTooLong(Duration aWait, Duration aTarget);

/// The same for a prompt that lets the others pass, see Timeliness::Late: it
/// costs none of them anything while it waits.
bool
IsLateWaitTooLong(Duration aWait, Duration aTarget);

/// When a request that is refused should come back: when the work that is ahead
/// of it will be done but for half a target, drawn from a span as long again,
/// so that those that are refused together don't come back together.
/// \param aWait what it would have waited; zero if it isn't known.
milliseconds
DrawRetryAfter(Duration aWait, Duration aTarget, std::mt19937_64& aRandom);

} // namespace dogwoodvale

#endif
