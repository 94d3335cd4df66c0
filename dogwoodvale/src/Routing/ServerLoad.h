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

  /// Whether the values are within the bounds of a report. The bound on slots
  /// is far above any server; a time factor outside its bounds would make every
  /// estimate that is multiplied by it useless.
  bool IsValid() const
  {
    constexpr std::uint32_t kMaxSlots = 100'000;
    constexpr double kMinTimeFactor = 0.01;
    constexpr double kMaxTimeFactor = 100.0;
    return this->slots >= 1 && this->slots <= kMaxSlots &&
           this->running <= this->slots &&
           (!this->timeFactor || (*this->timeFactor >= kMinTimeFactor &&
                                  *this->timeFactor <= kMaxTimeFactor));
  }
};

} // namespace dogwoodvale

#endif
