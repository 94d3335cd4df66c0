#ifndef DOGWOODVALE_SCHEDULING_QUEUEPOLICY_H
#define DOGWOODVALE_SCHEDULING_QUEUEPOLICY_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "AbstractRequestQueue.h"

namespace dogwoodvale {

/// The orders a sidecar can be set to.
enum class QueuePolicy : std::uint8_t
{
  Tiered, ///< RequestQueue, the one to run
  Fifo,   ///< FifoQueue, for comparison
  Strict, ///< StrictPriorityQueue, for comparison
};

/// Parses "tiered", "fifo" or "strict".
///
/// \return InvalidArgument for any other text.
absl::StatusOr<QueuePolicy>
ParseQueuePolicy(std::string_view aText);

/// Makes the queue of a policy.
///
/// \return InvalidArgument when the bounds are unusable.
absl::StatusOr<std::unique_ptr<AbstractRequestQueue>>
CreateQueue(QueuePolicy aPolicy, const QueueBounds& aBounds);

/// InvalidArgument when a bound is zero or the share is outside (0, 1].
absl::Status
CheckBounds(const QueueBounds& aBounds);

} // namespace dogwoodvale

#endif
