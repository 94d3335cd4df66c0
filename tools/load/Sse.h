#ifndef DOGWOODVALE_TOOLS_LOAD_SSE_H
#define DOGWOODVALE_TOOLS_LOAD_SSE_H

#include <string>
#include <string_view>

namespace dogwoodvale::load {

/// One server-sent event.
struct SseEvent
{
  /// Empty for the default kind.
  std::string name;
  std::string data;
};

/// Takes the events of a stream as they come.
class SseSink
{
public:
  virtual ~SseSink() = default;
  virtual void OnEvent(const SseEvent& aEvent) = 0;
};

/// Cuts a byte stream, fed in any pieces, into server-sent events.
class SseReader
{
public:
  void Feed(std::string_view aBytes, SseSink& aSink);

private:
  void TakeLine(std::string_view aLine, SseSink& aSink);

  std::string partial;
  SseEvent event;
  bool hasData = false;
};

} // namespace dogwoodvale::load

#endif
