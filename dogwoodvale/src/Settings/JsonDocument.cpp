#include "dogwoodvale/Settings"

#include <algorithm>
#include <charconv>
#include <memory>

namespace dogwoodvale {

namespace {

std::unique_ptr<Json::CharReader>
MakeReader()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["collectComments"] = false;
  builder["stackLimit"] = JsonDocument::kMaxDepth;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

/// Reads the number that follows \p aLabel; 0 if there is none.
int
NumberAfter(std::string_view aLine, std::string_view aLabel)
{
  const std::size_t at = aLine.find(aLabel);
  int number = 0;
  if (at != std::string_view::npos) {
    const char* begin = aLine.data() + at + aLabel.size();
    std::from_chars(begin, aLine.data() + aLine.size(), number);
  }
  return number;
}

std::string_view
TrimBlanks(std::string_view aLine)
{
  const std::size_t first = aLine.find_first_not_of(' ');
  return first == std::string_view::npos ? "" : aLine.substr(first);
}

} // namespace

JsonDocument
JsonDocument::Parse(std::string_view aText,
                    std::string_view aFile,
                    Findings& aFindings)
{
  JsonDocument document;
  document.file = aFile;
  if (aText.size() > kMaxBytes) {
    aFindings.Add(
      { document.file, 0, 0 },
      fmt::format("{} bytes; at most {} allowed", aText.size(), kMaxBytes));
    return document;
  }
  document.text = aText;
  document.lineStarts.push_back(0);
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '\n') {
      document.lineStarts.push_back(static_cast<std::uint32_t>(i) + 1);
    }
  }
  const char* begin = document.text.data();
  std::string errors;
  try {
    const bool good = MakeReader()->parse(
      begin, begin + document.text.size(), &document.root, &errors);
    if (!good) {
      document.root = Json::Value();
      document.AddParseErrors(errors, aFindings);
    }
  } catch (const Json::Exception&) {
    // The reader throws only for nesting: without the bound a few kilobytes
    // of brackets would end the process by overflowing its stack.
    document.root = Json::Value();
    aFindings.Add({ document.file, 0, 0 },
                  fmt::format("nested deeper than {} levels", kMaxDepth));
  }
  return document;
}

void
JsonDocument::AddParseErrors(const std::string& aErrors,
                             Findings& aFindings) const
{
  // The reader writes "* Line 3, Column 7" and the message on the next line.
  std::string_view rest = aErrors;
  Place place{ this->file, 0, 0 };
  std::size_t added = 0;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (line.substr(0, 2) == "* ") {
      place.line = NumberAfter(line, "Line ");
      place.column = NumberAfter(line, "Column ");
    } else if (line.substr(0, 4) != "See " && !TrimBlanks(line).empty()) {
      aFindings.Add(place, std::string(TrimBlanks(line)));
      ++added;
    }
  }
  if (added == 0) {
    aFindings.Add(place, "not a JSON object");
  }
}

Place
JsonDocument::PlaceAt(std::size_t aOffset) const
{
  const auto after =
    std::upper_bound(this->lineStarts.begin(), this->lineStarts.end(), aOffset);
  const auto line = after - this->lineStarts.begin();
  const std::size_t start = line == 0 ? 0 : this->lineStarts[line - 1];
  return { this->file,
           static_cast<int>(line),
           static_cast<int>(aOffset - start) + 1 };
}

Place
JsonDocument::PlaceOf(const Json::Value& aValue) const
{
  return this->PlaceAt(static_cast<std::size_t>(aValue.getOffsetStart()));
}

Place
JsonDocument::PlaceOfKey(const Json::Value& aObject,
                         std::string_view aKey) const
{
  const Json::Value* value =
    aObject.isObject() ? aObject.find(aKey.data(), aKey.data() + aKey.size())
                       : nullptr;
  if (value == nullptr) {
    return this->PlaceOf(aObject);
  }
  // The reader keeps the offset of the value only; its key is the nearest such
  // text before it. A key with escapes isn't found: the value's place serves.
  const std::string quoted = fmt::format("\"{}\"", aKey);
  const auto offset = static_cast<std::size_t>(value->getOffsetStart());
  const std::size_t key =
    offset == 0 ? std::string::npos : this->text.rfind(quoted, offset - 1);
  const bool inside = key != std::string::npos &&
                      key > static_cast<std::size_t>(aObject.getOffsetStart());
  return inside ? this->PlaceAt(key) : this->PlaceOf(*value);
}

} // namespace dogwoodvale
