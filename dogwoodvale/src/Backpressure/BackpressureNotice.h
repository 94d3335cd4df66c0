#ifndef DOGWOODVALE_BACKPRESSURE_BACKPRESSURENOTICE_H
#define DOGWOODVALE_BACKPRESSURE_BACKPRESSURENOTICE_H

#include <optional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Backpressure signalled in the headers of one backend response.
struct BackpressureNotice
{
  /// Requests per second that the server accepts from all gateways together;
  /// not negative. A response without it means that there is no such limit.
  std::optional<double> rateLimit;
  /// The server accepts no new requests and will shut down soon.
  bool isLeaving = false;
  /// The server rejected the request and wants this gateway to send no more
  /// requests for this long.
  std::optional<Duration> backoffFor;
  /// A field was present but could not be parsed; it is ignored.
  bool isMalformed = false;
};

} // namespace dogwoodvale

#endif
