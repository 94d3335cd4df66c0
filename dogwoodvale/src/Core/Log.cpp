#include "dogwoodvale/Core"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace dogwoodvale {

namespace {

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

bool
NeedsQuotes(std::string_view aValue)
{
  for (const char c : aValue) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\') {
      return true;
    }
  }
  return aValue.empty();
}

} // namespace

std::string
Field(std::string_view aKey, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return fmt::format("{}={}", aKey, aValue);
  }
  std::string quoted;
  for (const char c : aValue) {
    if (c == '\n') {
      quoted += "\\n";
    } else if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else {
      quoted += (c >= 0 && c < ' ') ? '?' : c;
    }
  }
  return fmt::format("{}=\"{}\"", aKey, quoted);
}

void
WriteLog(LogLevel aLevel, std::string_view aEvent, std::string_view aFields)
{
  using std::chrono::system_clock;
  const auto now = system_clock::now();
  const auto millis =
    std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() %
    1000;
  fmt::print(stderr,
             "{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}{}\n",
             fmt::gmtime(system_clock::to_time_t(now)),
             millis,
             LevelName(aLevel),
             aEvent,
             aFields);
}

} // namespace dogwoodvale
