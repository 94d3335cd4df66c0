#include "EventSplitter.h"

#include <algorithm>
#include <charconv>

#include "dogwoodvale/Http"

namespace dogwoodvale {

namespace {

/// Bytes of the longest line break between two events.
constexpr std::size_t kLongestBreak = 4;

/// Offset past the last whole event in \p aBytes; 0 if there is none.
std::size_t
EndOfEvents(std::string_view aBytes)
{
  const std::size_t plain = aBytes.rfind("\n\n");
  const std::size_t windows = aBytes.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (plain != std::string_view::npos) {
    end = plain + 2;
  }
  if (windows != std::string_view::npos) {
    end = std::max(end, windows + 4);
  }
  return end;
}

/// The number in the line "id: N"; nothing if it has none.
std::optional<std::uint64_t>
IdOf(std::string_view aLine)
{
  constexpr std::string_view kField = "id:";
  if (!aLine.starts_with(kField)) {
    return std::nullopt;
  }
  std::string_view value = aLine.substr(kField.size());
  value.remove_prefix(value.starts_with(' ') ? 1 : 0);
  std::uint64_t id = 0;
  if (std::from_chars(value.data(), value.data() + value.size(), id).ec !=
      std::errc()) {
    return std::nullopt;
  }
  return id;
}

} // namespace

EventSplitter::EventSplitter(std::optional<std::uint64_t> aLast)
  : last(aLast)
{
}

absl::StatusOr<std::string_view>
EventSplitter::Feed(std::string_view aBytes)
{
  this->complete.clear();
  // No event ends in what is pending, but its last bytes may begin a break.
  const std::size_t searched =
    std::max(this->pending.size(), kLongestBreak) - kLongestBreak;
  this->pending += aBytes;
  const std::size_t found =
    EndOfEvents(std::string_view(this->pending).substr(searched));
  const std::size_t end = found == 0 ? 0 : searched + found;
  if (end == 0) {
    if (this->pending.size() > kMaxEventBytes) {
      return absl::ResourceExhaustedError("an event is too long");
    }
    return std::string_view{};
  }
  this->complete.assign(this->pending, 0, end);
  this->pending.erase(0, end);
  if (absl::Status status = this->Check(this->complete); !status.ok()) {
    return status;
  }
  return std::string_view(this->complete);
}

absl::Status
EventSplitter::Check(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    const std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
    if (IsFirstLineOfAnswer(line)) {
      return absl::DataLossError("another answer inside the stream");
    }
    const std::optional<std::uint64_t> id = IdOf(line);
    if (!id) {
      continue;
    }
    // A server that restarts the stream or skips events instead of resuming it
    // would mix two runs into one answer.
    if (this->last && *id != *this->last + 1) {
      return MakeError(absl::StatusCode::kDataLoss,
                       "event {} follows event {}",
                       *id,
                       *this->last);
    }
    this->last = id;
    ++this->events;
  }
  return absl::OkStatus();
}

} // namespace dogwoodvale
