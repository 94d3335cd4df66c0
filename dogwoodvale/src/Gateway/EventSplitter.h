#ifndef DOGWOODVALE_GATEWAY_EVENTSPLITTER_H
#define DOGWOODVALE_GATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Splits a stream of server-sent events into whole events, bytes unchanged,
/// and checks that their ids are consecutive.
///
/// A server may stop in the middle of an event. If that half were forwarded,
/// the events of the server that resumes the stream would be appended to it,
/// and the caller would read one event made of two.
class EventSplitter
{
public:
  /// \param aLast id of the last event that the caller has; nothing for a new
  /// stream.
  explicit EventSplitter(std::optional<std::uint64_t> aLast);

  /// \return the bytes of the events completed by \p aBytes, valid until the
  /// next call; kDataLoss if an id is out of order, kResourceExhausted if an
  /// event is longer than kMaxEventBytes.
  absl::StatusOr<std::string_view> Feed(std::string_view aBytes);

  /// The last id that Feed() has returned, or the one given at construction.
  const std::optional<std::uint64_t>& LastId() const { return this->last; }
  /// Number of returned events that have an id.
  std::uint64_t EventCount() const { return this->events; }
  bool HasPartialEvent() const { return !this->pending.empty(); }

  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

private:
  absl::Status Check(std::string_view aEvent);

  std::optional<std::uint64_t> last;
  std::uint64_t events = 0;
  std::string pending;
  std::string complete;
};

} // namespace dogwoodvale

#endif
