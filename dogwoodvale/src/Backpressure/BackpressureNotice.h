#ifndef DOGWOODVALE_BACKPRESSURE_BACKPRESSURENOTICE_H
#define DOGWOODVALE_BACKPRESSURE_BACKPRESSURENOTICE_H

#include <optional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What the head of one answer states of its server's needs.
struct BackpressureNotice
{
  /// Requests a second that the server takes from all gateways together; not
  /// negative. An answer without it says that there is no such bound.
  std::optional<double> rateLimit;
  /// The server takes no new work and ends soon.
  bool isLeaving = false;
  /// The server turned the request away and wants nothing from this gateway for
  /// so long.
  std::optional<Duration> restFor;
  /// A field was there and could not be read; it is ignored.
  bool isMalformed = false;
};

} // namespace dogwoodvale

#endif
