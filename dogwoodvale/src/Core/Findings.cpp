#include "dogwoodvale/Core"

#include <algorithm>

namespace dogwoodvale {

void
Findings::Add(Place aPlace, std::string aMessage)
{
  this->all.push_back({ std::move(aPlace), std::move(aMessage) });
}

void
Findings::Append(const Findings& aOther)
{
  this->all.insert(this->all.end(), aOther.all.begin(), aOther.all.end());
}

std::string
Findings::Render() const
{
  std::string text;
  for (const Finding& finding : this->all) {
    text += fmt::format("{}:{}:{}: {}\n",
                        finding.place.file,
                        finding.place.line,
                        finding.place.column,
                        finding.message);
  }
  return text;
}

absl::Status
Findings::ToStatus() const
{
  if (this->all.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(this->Render());
}

Place
PlaceOfOffset(std::string_view aFile,
              std::string_view aText,
              std::size_t aOffset)
{
  const std::string_view before = aText.substr(0, aOffset);
  const auto lines = std::count(before.begin(), before.end(), '\n');
  const std::size_t lineStart = before.rfind('\n');
  const std::size_t column = lineStart == std::string_view::npos
                               ? before.size() + 1
                               : before.size() - lineStart;
  return { std::string(aFile),
           static_cast<int>(lines) + 1,
           static_cast<int>(column) };
}

} // namespace dogwoodvale
