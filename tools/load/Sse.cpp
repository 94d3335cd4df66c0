#include "tools/load/Sse.h"

#include <utility>

namespace dogwoodvale::load {

void
SseReader::Feed(std::string_view aBytes, SseSink& aSink)
{
  this->partial.append(aBytes);
  std::size_t begin = 0;
  for (std::size_t end = this->partial.find('\n'); end != std::string::npos;
       end = this->partial.find('\n', begin)) {
    std::string_view line(this->partial);
    line = line.substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    this->TakeLine(line, aSink);
    begin = end + 1;
  }
  this->partial.erase(0, begin);
}

void
SseReader::TakeLine(std::string_view aLine, SseSink& aSink)
{
  if (aLine.empty()) {
    if (this->hasData) {
      aSink.OnEvent(this->event);
    }
    this->event = SseEvent();
    this->hasData = false;
    return;
  }
  const std::size_t colon = std::min(aLine.find(':'), aLine.size());
  const std::string_view field = aLine.substr(0, colon);
  std::string_view value = aLine.substr(std::min(colon + 1, aLine.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "event") {
    this->event.name = std::string(value);
  } else if (field == "data") {
    if (this->hasData) {
      this->event.data += '\n';
    }
    this->event.data += value;
    this->hasData = true;
  }
}

} // namespace dogwoodvale::load
