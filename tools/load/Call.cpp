#include "tools/load/Call.h"

#include <array>

namespace dogwoodvale::load {

namespace {

constexpr std::array<std::string_view, kEndingCount> kEndingNames = {
  "complete", "crossed",   "duplicated", "truncated",
  "error",    "abandoned", "cut",        "unanswered",
};

} // namespace

std::string_view
EndingName(Ending aEnding)
{
  return kEndingNames.at(static_cast<std::size_t>(aEnding));
}

std::optional<Ending>
ParseEnding(std::string_view aName)
{
  for (std::size_t index = 0; index < kEndingNames.size(); ++index) {
    if (kEndingNames.at(index) == aName) {
      return static_cast<Ending>(index);
    }
  }
  return std::nullopt;
}

std::optional<double>
MeanGapMs(const Call& aCall)
{
  if (aCall.tokens < 2 || !aCall.firstTokenMs || !aCall.lastTokenMs) {
    return std::nullopt;
  }
  return (*aCall.lastTokenMs - *aCall.firstTokenMs) / (aCall.tokens - 1);
}

} // namespace dogwoodvale::load
