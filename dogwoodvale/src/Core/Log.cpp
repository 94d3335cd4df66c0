#include "dogwoodvale/Core"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

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

/// Most bytes held while the reader is behind.
constexpr std::size_t kMaxHeldBytes = 256U << 10U;
/// poll() calls a pipe writable when a write of this many bytes won't block.
constexpr std::size_t kWriteBytes = 4096;

/// Lines on their way to standard output.
class LogBuffer
{
public:
  /// One for the process; what is held goes out when the process ends.
  static LogBuffer& Get()
  {
    static LogBuffer* buffer = [] {
      std::atexit([] { FlushLog(); });
      return new LogBuffer();
    }();
    return *buffer;
  }

  void Add(std::string_view aLine)
  {
    if (this->held.size() + aLine.size() > kMaxHeldBytes) {
      ++this->dropped;
      return;
    }
    this->held += aLine;
    if (this->flush == LogFlush::EachLine || this->held.size() >= kWriteBytes) {
      this->Flush();
    }
  }

  void Flush()
  {
    std::size_t written = 0;
    while (written < this->held.size() && IsWritable()) {
      const std::size_t size =
        std::min(kWriteBytes, this->held.size() - written);
      const ssize_t taken =
        ::write(STDOUT_FILENO, this->held.data() + written, size);
      if (taken <= 0) {
        break;
      }
      written += static_cast<std::size_t>(taken);
    }
    this->held.erase(0, written);
    if (this->held.empty() && this->dropped > this->told) {
      this->told = this->dropped;
      Log(LogLevel::Warning, "log_lines_dropped", "total", this->dropped);
    }
  }

  void SetFlush(LogFlush aFlush) { this->flush = aFlush; }
  std::uint64_t Dropped() const { return this->dropped; }

private:
  static bool IsWritable()
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  }

  std::string held;
  LogFlush flush = LogFlush::EachLine;
  std::uint64_t dropped = 0;
  std::uint64_t told = 0;
};

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
  LogBuffer::Get().Add(
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}{}\n",
                fmt::gmtime(system_clock::to_time_t(now)),
                millis,
                LevelName(aLevel),
                aEvent,
                aFields));
}

void
SetLogFlush(LogFlush aFlush)
{
  LogBuffer::Get().SetFlush(aFlush);
}

void
FlushLog()
{
  LogBuffer::Get().Flush();
}

std::uint64_t
DroppedLogLines()
{
  return LogBuffer::Get().Dropped();
}

} // namespace dogwoodvale
