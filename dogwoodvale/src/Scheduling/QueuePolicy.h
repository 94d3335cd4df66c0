#ifndef DOGWOODVALE_SCHEDULING_QUEUEPOLICY_H
#define DOGWOODVALE_SCHEDULING_QUEUEPOLICY_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "AbstractRequestQueue.h"

namespace dogwoodvale {

/// The queue implementations that a sidecar can be configured to use.
enum class QueuePolicy : std::uint8_t
{
  Tiered, ///< RequestQueue, for production
  Fifo,   ///< FifoQueue, a baseline for benchmarks
  Strict, ///< StrictPriorityQueue, a baseline for benchmarks
};

/// Parses "tiered", "fifo" or "strict".
///
/// \return InvalidArgument for any other text.
absl::StatusOr<QueuePolicy>
ParseQueuePolicy(std::string_view aText);

/// Creates the queue of a policy.
///
/// \return InvalidArgument when CheckBounds rejects the bounds.
absl::StatusOr<std::unique_ptr<AbstractRequestQueue>>
CreateQueue(QueuePolicy aPolicy, const QueueBounds& aBounds);

/// Validates the limits of a queue.
///
/// \return InvalidArgument when a limit is zero or overdueShare is outside
/// (0, 1].
absl::Status
CheckBounds(const QueueBounds& aBounds);

} // namespace dogwoodvale

#endif
