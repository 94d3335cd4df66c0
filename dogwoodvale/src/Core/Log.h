#ifndef DOGWOODVALE_CORE_LOG_H
#define DOGWOODVALE_CORE_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace dogwoodvale {

enum class LogLevel
{
  Info,
  Warning,
  Error,
};

/// Writes one line "time level event key=value ..." to standard output.
///
/// Never waits: a reader that stops reading (a full pipe) would otherwise stop
/// the whole process. Lines that can't be written are held up to a bound, then
/// dropped and counted; the next line that gets out tells how many.
/// \param aFields already in key=value form, see Field().
void
WriteLog(LogLevel aLevel, std::string_view aEvent, std::string_view aFields);

/// How lines reach standard output.
enum class LogFlush
{
  /// Each line at once.
  EachLine,
  /// Held until FlushLog() or until a pipe's worth has gathered, so that a
  /// busy process makes one system call for many lines.
  Batched,
};

void
SetLogFlush(LogFlush aFlush);

/// Writes what is held, as far as the reader takes it.
void
FlushLog();

/// Lines dropped since the start because the reader did not take them.
std::uint64_t
DroppedLogLines();

/// "key=value", quoted where the value has blanks, quotes or control bytes.
std::string
Field(std::string_view aKey, std::string_view aValue);

/// Logs an event with fields given as pairs: Log(LogLevel::Info, "ready",
/// "role", "entry", "epoch", 7).
template<class... Args>
void
Log(LogLevel aLevel, std::string_view aEvent, const Args&... aPairs)
{
  static_assert(sizeof...(aPairs) % 2 == 0, "fields come as key, value pairs");
  std::string fields;
  if constexpr (sizeof...(aPairs) > 0) {
    std::string key;
    bool isKey = true;
    const auto add = [&](const auto& aItem) {
      if (isKey) {
        key = fmt::format("{}", aItem);
      } else {
        fields += ' ';
        fields += Field(key, fmt::format("{}", aItem));
      }
      isKey = !isKey;
    };
    (add(aPairs), ...);
  }
  WriteLog(aLevel, aEvent, fields);
}

} // namespace dogwoodvale

#endif
