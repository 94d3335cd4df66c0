#ifndef DOGWOODVALE_ROUTING_SERVERLOAD_H
#define DOGWOODVALE_ROUTING_SERVERLOAD_H

#include <cstdint>
#include <optional>

namespace dogwoodvale {

/// Load that a backend server states in the head of an answer.
struct ServerLoad
{
  /// Requests that it processes.
  std::uint32_t running = 0;
  /// Requests in its queue.
  std::uint32_t waiting = 0;
  /// Requests that it processes concurrently at most.
  std::uint32_t slots = 0;
  /// How long work takes on its machine at this moment, 1 being the usual time;
  /// nothing if it does not state this.
  std::optional<double> timeFactor;

  bool operator==(const ServerLoad&) const = default;
};

} // namespace dogwoodvale

#endif
