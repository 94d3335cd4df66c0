#ifndef DOGWOODVALE_CORE_LOG_H
#define DOGWOODVALE_CORE_LOG_H

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

/// Writes one line "time level event key=value ..." to standard error.
///
/// For changes of state only; what happens per request is counted in Metrics.
/// \param aFields already in key=value form, see Field().
void
WriteLog(LogLevel aLevel, std::string_view aEvent, std::string_view aFields);

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
