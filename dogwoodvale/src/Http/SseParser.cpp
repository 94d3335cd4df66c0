#include "SseParser.h"

namespace dogwoodvale {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

} // namespace

SseParser::SseParser(std::size_t aMaxEventBytes)
  : maxEventBytes(aMaxEventBytes)
{
}

absl::Status
SseParser::Feed(std::string_view aBytes, std::vector<SseEvent>& aOut)
{
  while (!aBytes.empty()) {
    if (this->skipLineFeed) {
      this->skipLineFeed = false;
      if (aBytes.front() == '\n') {
        aBytes.remove_prefix(1);
        continue;
      }
    }
    const std::size_t end = aBytes.find_first_of("\r\n");
    const std::string_view part = aBytes.substr(0, end);
    if (this->HeldBytes() + part.size() > this->maxEventBytes) {
      return MakeError(absl::StatusCode::kResourceExhausted,
                       "an event of more than {} bytes",
                       this->maxEventBytes);
    }
    this->line += part;
    if (end == std::string_view::npos) {
      break;
    }
    this->skipLineFeed = aBytes[end] == '\r';
    aBytes.remove_prefix(end + 1);
    this->TakeLine(aOut);
  }
  return absl::OkStatus();
}

void
SseParser::TakeLine(std::vector<SseEvent>& aOut)
{
  std::string_view text = this->line;
  if (this->isFirstLine && text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  this->isFirstLine = false;
  if (text.empty()) {
    this->Dispatch(aOut);
  } else if (text.front() != ':') {
    const std::size_t colon = text.find(':');
    std::string_view value =
      colon == std::string_view::npos ? "" : text.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    this->TakeField(text.substr(0, colon), value);
  }
  this->line.clear();
}

void
SseParser::TakeField(std::string_view aName, std::string_view aValue)
{
  if (aName == "event") {
    this->current.event = aValue;
  } else if (aName == "data") {
    if (this->hasData) {
      this->current.data += '\n';
    }
    this->current.data += aValue;
    this->hasData = true;
  }
}

void
SseParser::Dispatch(std::vector<SseEvent>& aOut)
{
  if (this->hasData) {
    aOut.push_back(std::move(this->current));
  }
  this->current = {};
  this->hasData = false;
}

std::size_t
SseParser::HeldBytes() const
{
  return this->line.size() + this->current.data.size() +
         this->current.event.size();
}

bool
SseParser::HasPartialEvent() const
{
  return !this->line.empty() || this->hasData || !this->current.event.empty();
}

} // namespace dogwoodvale
