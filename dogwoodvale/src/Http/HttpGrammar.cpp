#include "HttpGrammar.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace dogwoodvale::internal {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

} // namespace

bool
IsTokenByte(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(aByte)) ||
         kMarks.find(aByte) != kMarks.npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsTokenByte);
}

bool
IsFieldByte(char aByte)
{
  return aByte == '\t' ||
         !absl::ascii_iscntrl(static_cast<unsigned char>(aByte));
}

bool
IsFieldValue(std::string_view aText)
{
  return std::ranges::all_of(aText, IsFieldByte);
}

bool
IsStatusLine(std::string_view aLine)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kBlankAt = kVersion.size() + 1;
  constexpr std::size_t kStatusAt = kBlankAt + 1;
  constexpr std::size_t kStatusSize = 3;
  if (!aLine.starts_with(kVersion) || aLine.size() < kStatusAt + kStatusSize) {
    return false;
  }
  const char minor = aLine[kVersion.size()];
  const std::string_view status = aLine.substr(kStatusAt, kStatusSize);
  const std::string_view rest = aLine.substr(kStatusAt + kStatusSize);
  return (minor == '0' || minor == '1') && aLine[kBlankAt] == ' ' &&
         status[0] >= '1' && status[0] <= '5' &&
         std::ranges::all_of(status, absl::ascii_isdigit) &&
         (rest.empty() || (rest[0] == ' ' && IsFieldValue(rest)));
}

bool
AreFieldLines(std::string_view aLines)
{
  while (!aLines.empty()) {
    const std::size_t end = aLines.find(kLineEnd);
    const std::string_view line = aLines.substr(0, end);
    const std::size_t colon = line.find(':');
    if (end == std::string_view::npos || colon == std::string_view::npos ||
        !IsToken(line.substr(0, colon)) || !IsFieldValue(line.substr(colon))) {
      return false;
    }
    aLines.remove_prefix(end + kLineEnd.size());
  }
  return true;
}

} // namespace dogwoodvale::internal
