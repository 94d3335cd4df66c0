#ifndef DOGWOODVALE_GATEWAY_EVENTSPLITTER_H
#define DOGWOODVALE_GATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Cuts a stream of server-sent events into whole events, bytes unchanged, and
/// checks that their ids go on without a gap.
///
/// A server may stop in the middle of an event. If that half were passed on, a
/// stream that goes on elsewhere would be joined to it, and the caller would
/// read one event made of two.
class EventSplitter
{
public:
  /// \param aLast the last id that the caller has; nothing at the beginning.
  explicit EventSplitter(std::optional<std::uint64_t> aLast);

  /// \return the bytes of the events that are whole now (valid until the next
  /// call), or an error: an id out of order, or an event over the bound.
  absl::StatusOr<std::string_view> Feed(std::string_view aBytes);

  /// The last id that Feed() has given out, or the one from the beginning.
  const std::optional<std::uint64_t>& LastId() const { return this->last; }
  std::uint64_t EventCount() const { return this->events; }
  bool HasPartialEvent() const { return !this->held.empty(); }

  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

private:
  absl::Status Check(std::string_view aEvent);

  std::optional<std::uint64_t> last;
  std::uint64_t events = 0;
  std::string held;
  std::string whole;
};

} // namespace dogwoodvale

#endif
