#ifndef DOGWOODVALE_HTTP_SSEPARSER_H
#define DOGWOODVALE_HTTP_SSEPARSER_H

#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

struct SseEvent
{
  /// Empty means the default, "message".
  std::string event;
  std::string data;
};

/// Reads server-sent events (WHATWG) incrementally, in bounded memory.
class SseParser
{
public:
  explicit SseParser(std::size_t aMaxEventBytes = kDefaultMaxEventBytes);

  /// Appends whole events to \p aOut. \return an error for an event over the
  /// bound; the answer must then be treated as cut.
  absl::Status Feed(std::string_view aBytes, std::vector<SseEvent>& aOut);

  /// Whether bytes of an unfinished event are held.
  bool HasPartialEvent() const;

  static constexpr std::size_t kDefaultMaxEventBytes = 1U << 20U;

private:
  void TakeLine(std::vector<SseEvent>& aOut);
  void TakeField(std::string_view aName, std::string_view aValue);
  void Dispatch(std::vector<SseEvent>& aOut);
  std::size_t HeldBytes() const;

  std::size_t maxEventBytes;
  std::string line;
  SseEvent current;
  bool isFirstLine = true;
  bool hasData = false;
  bool skipLineFeed = false;
};

} // namespace dogwoodvale

#endif
