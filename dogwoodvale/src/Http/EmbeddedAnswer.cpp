#include "EmbeddedAnswer.h"

#include <algorithm>
#include <optional>
#include <string>

#include <absl/strings/ascii.h>

#include "HttpGrammar.h"

namespace dogwoodvale {

namespace {

constexpr std::string_view kStart = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";

/// The field of a whole line; nothing if it is none.
std::optional<HeaderField>
ReadField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos ||
      !internal::IsToken(aLine.substr(0, colon))) {
    return std::nullopt;
  }
  const absl::string_view value =
    absl::StripAsciiWhitespace(ToAbsl(aLine.substr(colon + 1)));
  return HeaderField{ std::string(aLine.substr(0, colon)),
                      std::string(FromAbsl(value)) };
}

/// Whether a status line that begins before \p aLimit ends with the line.
bool
HasStatusLine(std::string_view aLine, std::size_t aLimit)
{
  // Behind the last byte that no status line holds, the first bytes of one
  // decide, so that no byte is looked at for each of many.
  const auto control =
    std::find_if_not(aLine.rbegin(), aLine.rend(), [](char aByte) {
      return internal::IsFieldByte(aByte);
    });
  const std::size_t from = std::size_t(std::distance(control, aLine.rend()));
  std::size_t at = aLimit;
  while (at > from) {
    at = aLine.rfind(kStart, at - 1);
    if (at == std::string_view::npos || at < from) {
      return false;
    }
    if (internal::IsStatusLine(aLine.substr(at))) {
      return true;
    }
  }
  return false;
}

/// Whether a head begins before \p aLimit and has a field of an answer. Takes
/// time in proportion to the text: all heads that begin in one line, or in a
/// field of another, share the fields behind it.
bool
HasHead(std::string_view aText,
        std::size_t aLimit,
        const std::function<bool(std::span<const HeaderField>)>& aIsAnswer)
{
  bool isInHead = false;
  std::size_t at = 0;
  while (true) {
    at = isInHead ? at : aText.find(kStart, at);
    const std::size_t end = aText.find(kLineEnd, at);
    if (end == std::string_view::npos || (!isInHead && at >= aLimit)) {
      return false;
    }
    const std::string_view line = aText.substr(at, end - at);
    if (isInHead) {
      const std::optional<HeaderField> field = ReadField(line);
      if (field && aIsAnswer({ &*field, 1 })) {
        return true;
      }
      isInHead = field.has_value();
    }
    isInHead = isInHead || HasStatusLine(line, std::max(aLimit, at) - at);
    at = end + kLineEnd.size();
  }
}

} // namespace

bool
IsFirstLineOfAnswer(std::string_view aLine)
{
  const std::size_t end = aLine.find_last_not_of(kLineEnd);
  return internal::IsStatusLine(aLine.substr(0, end + 1));
}

bool
HasEmbeddedAnswer(
  std::string_view aBody,
  std::string_view aBehind,
  const std::function<bool(std::span<const HeaderField>)>& aIsAnswer)
{
  if (aBehind.empty()) {
    return HasHead(aBody, aBody.size(), aIsAnswer);
  }
  return HasHead(fmt::format("{}{}", aBody, aBehind), aBody.size(), aIsAnswer);
}

} // namespace dogwoodvale
