#ifndef DOGWOODVALE_CORE_STATUS_H
#define DOGWOODVALE_CORE_STATUS_H

#include <string>
#include <string_view>
#include <utility>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <fmt/format.h>

namespace dogwoodvale {

/// Debian's absl has a string_view of its own; these convert both ways.
inline absl::string_view
ToAbsl(std::string_view aText)
{
  return absl::string_view(aText.data(), aText.size());
}

inline std::string_view
FromAbsl(absl::string_view aText)
{
  return std::string_view(aText.data(), aText.size());
}

/// An error status whose message is formatted by fmt.
template<class... Args>
absl::Status
MakeError(absl::StatusCode aCode,
          fmt::format_string<Args...> aFormat,
          Args&&... aArgs)
{
  return absl::Status(aCode,
                      fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

/// The message of \p aStatus as a standard view.
inline std::string_view
MessageOf(const absl::Status& aStatus)
{
  return FromAbsl(aStatus.message());
}

} // namespace dogwoodvale

#endif
