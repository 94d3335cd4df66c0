#include "EmbeddedAnswer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <absl/strings/ascii.h>

#include "HttpGrammar.h"

namespace dogwoodvale {

namespace {

constexpr std::string_view kStart = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";
/// Longest head that is looked at.
constexpr std::size_t kMaxHeadBytes = 32U << 10U;

/// Takes the next whole line; nothing if \p aText has none.
std::optional<std::string_view>
TakeLine(std::string_view& aText)
{
  const std::size_t end = aText.find(kLineEnd);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(end + kLineEnd.size());
  return line;
}

/// The fields of the head that \p aText begins with, as far as they are whole;
/// none if it begins with no head.
std::vector<HeaderField>
ReadFields(std::string_view aText)
{
  std::vector<HeaderField> fields;
  const std::optional<std::string_view> first = TakeLine(aText);
  if (!first || !internal::IsStatusLine(*first)) {
    return fields;
  }
  for (auto line = TakeLine(aText); line && !line->empty();
       line = TakeLine(aText)) {
    const std::size_t colon = line->find(':');
    if (colon == std::string_view::npos ||
        !internal::IsToken(line->substr(0, colon))) {
      break;
    }
    const absl::string_view value =
      absl::StripAsciiWhitespace(ToAbsl(line->substr(colon + 1)));
    fields.push_back(
      { std::string(line->substr(0, colon)), std::string(FromAbsl(value)) });
  }
  return fields;
}

/// Where a head may begin that goes on behind the body: at a part of its first
/// bytes, too.
std::size_t
LastStart(std::string_view aBody)
{
  for (std::size_t size = std::min(kStart.size() - 1, aBody.size()); size > 0;
       --size) {
    if (kStart.starts_with(aBody.substr(aBody.size() - size))) {
      return aBody.size() - size;
    }
  }
  return std::string_view::npos;
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
  const auto isHeadAt = [&](std::size_t aAt) {
    std::string text(aBody.substr(aAt, kMaxHeadBytes));
    text += aBehind.substr(0, kMaxHeadBytes);
    return aIsAnswer(ReadFields(text));
  };
  for (std::size_t at = aBody.find(kStart); at != std::string_view::npos;
       at = aBody.find(kStart, at + 1)) {
    if (isHeadAt(at)) {
      return true;
    }
  }
  const std::size_t last =
    aBehind.empty() ? std::string_view::npos : LastStart(aBody);
  return last != std::string_view::npos && isHeadAt(last);
}

} // namespace dogwoodvale
