#include "dogwoodvale/Settings"

#include <algorithm>
#include <numeric>

namespace dogwoodvale {

namespace {

constexpr std::size_t kMaxExpectedKeys = 16;

std::string_view
TypeName(const Json::Value& aValue)
{
  switch (aValue.type()) {
    case Json::nullValue:
      return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
      return "a number";
    case Json::stringValue:
      return "a string";
    case Json::booleanValue:
      return "true or false";
    case Json::arrayValue:
      return "a list";
    case Json::objectValue:
      return "an object";
  }
  return "of an unknown type";
}

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t change =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, change });
    }
  }
  return row.back();
}

} // namespace

void
ReadScope::Add(const Json::Value& aValue, std::string_view aMessage) const
{
  this->AddAt(this->document.PlaceOf(aValue), aMessage);
}

void
ReadScope::AddAt(Place aPlace, std::string_view aMessage) const
{
  this->findings.Add(std::move(aPlace), std::string(aMessage) + this->note);
}

const Json::Value*
ObjectView::Find(std::string_view aKey) const
{
  if (!this->own.isObject()) {
    return nullptr;
  }
  const char* end = aKey.data() + aKey.size();
  const Json::Value* value = this->own.find(aKey.data(), end);
  if (value == nullptr && this->inherited != nullptr) {
    value = this->inherited->find(aKey.data(), end);
  }
  return value;
}

ObjectReader::ObjectReader(const ReadScope& aScope,
                           ObjectView aObject,
                           std::string_view aWhat)
  : scope(aScope)
  , object(aObject)
  , what(aWhat)
  , isObject(aObject.own.isObject())
{
  this->known.reserve(kMaxExpectedKeys);
  if (!this->isObject) {
    this->scope.Add(aObject.own,
                    fmt::format("{} must be an object, not {}",
                                aWhat,
                                TypeName(aObject.own)));
  }
}

const Json::Value*
ObjectReader::Find(std::string_view aKey)
{
  this->known.push_back(aKey);
  return this->object.Find(aKey);
}

const Json::Value*
ObjectReader::Require(std::string_view aKey)
{
  const Json::Value* value = this->Find(aKey);
  if (value == nullptr && this->isObject) {
    this->scope.Add(this->object.own,
                    fmt::format("{} lacks \"{}\"", this->what, aKey));
  }
  return value;
}

void
ObjectReader::AddWrongType(std::string_view aKey,
                           const Json::Value& aValue,
                           std::string_view aWanted)
{
  this->scope.Add(
    aValue,
    fmt::format("\"{}\" must be {}, not {}", aKey, aWanted, TypeName(aValue)));
}

bool
ObjectReader::ReadString(std::string_view aKey,
                         std::string& aTarget,
                         IntegerBounds aLength)
{
  const Json::Value* value = this->Find(aKey);
  if (value == nullptr) {
    return false;
  }
  if (!value->isString()) {
    this->AddWrongType(aKey, *value, "a string");
    return false;
  }
  std::string text = value->asString();
  const auto length = static_cast<std::int64_t>(text.size());
  if (length < aLength.min || length > aLength.max) {
    this->scope.Add(*value,
                    fmt::format("\"{}\" has {} bytes; {} to {} allowed",
                                aKey,
                                length,
                                aLength.min,
                                aLength.max));
    return false;
  }
  aTarget = std::move(text);
  return true;
}

bool
ObjectReader::ReadName(std::string_view aKey, std::string& aTarget)
{
  std::string text;
  if (!this->ReadString(aKey, text)) {
    return false;
  }
  if (!IsValidName(text)) {
    this->scope.Add(
      *this->Find(aKey),
      fmt::format("\"{}\" must be a name: 1 to {} letters, digits, "
                  "'.', '_' or '-'",
                  aKey,
                  kMaxNameLength));
    return false;
  }
  aTarget = std::move(text);
  return true;
}

bool
ObjectReader::ReadChoice(std::string_view aKey,
                         std::span<const std::string_view> aChoices,
                         std::string& aTarget)
{
  std::string text;
  if (!this->ReadString(aKey, text)) {
    return false;
  }
  if (std::find(aChoices.begin(), aChoices.end(), text) == aChoices.end()) {
    std::string all;
    for (const std::string_view choice : aChoices) {
      all += fmt::format("{}\"{}\"", all.empty() ? "" : ", ", choice);
    }
    this->scope.Add(*this->Find(aKey),
                    fmt::format("\"{}\" must be one of {}", aKey, all));
    return false;
  }
  aTarget = std::move(text);
  return true;
}

bool
ObjectReader::ReadBoolean(std::string_view aKey, bool& aTarget)
{
  const Json::Value* value = this->Find(aKey);
  if (value == nullptr) {
    return false;
  }
  if (!value->isBool()) {
    this->AddWrongType(aKey, *value, "true or false");
    return false;
  }
  aTarget = value->asBool();
  return true;
}

bool
ObjectReader::ReadNumber(std::string_view aKey,
                         NumberBounds aBounds,
                         double& aTarget)
{
  const Json::Value* value = this->Find(aKey);
  if (value == nullptr) {
    return false;
  }
  if (!value->isNumeric()) {
    this->AddWrongType(aKey, *value, "a number");
    return false;
  }
  const double number = value->asDouble();
  if (!(number >= aBounds.min && number <= aBounds.max)) {
    this->scope.Add(*value,
                    fmt::format("\"{}\" is {}; {} to {} allowed",
                                aKey,
                                number,
                                aBounds.min,
                                aBounds.max));
    return false;
  }
  aTarget = number;
  return true;
}

bool
ObjectReader::ReadWhole(std::string_view aKey,
                        IntegerBounds aBounds,
                        std::int64_t& aTarget)
{
  const Json::Value* value = this->Find(aKey);
  if (value == nullptr) {
    return false;
  }
  // A real with an integral value (1e3) counts as whole in this library.
  if (!value->isNumeric() || !value->isInt64()) {
    const bool isNumber = value->isNumeric();
    this->AddWrongType(
      aKey,
      *value,
      fmt::format("a whole number from {} to {}", aBounds.min, aBounds.max) +
        (isNumber ? " (this one isn't)" : ""));
    return false;
  }
  const std::int64_t number = value->asInt64();
  if (number < aBounds.min || number > aBounds.max) {
    this->scope.Add(*value,
                    fmt::format("\"{}\" is {}; {} to {} allowed",
                                aKey,
                                number,
                                aBounds.min,
                                aBounds.max));
    return false;
  }
  aTarget = number;
  return true;
}

bool
ObjectReader::ReadAddress(std::string_view aKey, SocketAddress& aTarget)
{
  std::string text;
  if (!this->ReadString(aKey, text)) {
    return false;
  }
  auto address = SocketAddress::Parse(text);
  if (!address.ok()) {
    this->scope.Add(
      *this->Find(aKey),
      fmt::format("\"{}\": {}", aKey, std::string(address.status().message())));
    return false;
  }
  aTarget = *std::move(address);
  return true;
}

bool
ObjectReader::ReadMilliseconds(std::string_view aKey,
                               IntegerBounds aBounds,
                               Duration& aTarget)
{
  std::int64_t count = 0;
  if (!this->ReadWhole(aKey, aBounds, count)) {
    return false;
  }
  aTarget = milliseconds(count);
  return true;
}

const Json::Value*
ObjectReader::FindList(std::string_view aKey)
{
  const Json::Value* value = this->Find(aKey);
  if (value != nullptr && !value->isArray()) {
    this->AddWrongType(aKey, *value, "a list");
    return nullptr;
  }
  return value;
}

bool
ObjectReader::ReadStrings(std::string_view aKey,
                          std::vector<std::string>& aTarget)
{
  const Json::Value* list = this->FindList(aKey);
  if (list == nullptr) {
    return false;
  }
  std::vector<std::string> texts;
  bool good = true;
  for (const Json::Value& item : *list) {
    const bool fits = item.isString() && !item.asString().empty() &&
                      item.asString().size() <= kMaxTextLength;
    if (!fits) {
      this->scope.Add(item,
                      fmt::format("\"{}\" must hold strings of 1 to {} bytes",
                                  aKey,
                                  kMaxTextLength));
      good = false;
      continue;
    }
    texts.push_back(item.asString());
  }
  if (good) {
    aTarget = std::move(texts);
  }
  return good;
}

void
ObjectReader::Finish()
{
  if (!this->isObject) {
    return;
  }
  this->ReportUnknown(this->object.own);
  if (this->object.inherited != nullptr) {
    this->ReportUnknown(*this->object.inherited);
  }
}

void
ObjectReader::ReportUnknown(const Json::Value& aObject)
{
  for (auto member = aObject.begin(); member != aObject.end(); ++member) {
    const char* end = nullptr;
    const char* begin = member.memberName(&end);
    const std::string_view key(begin, static_cast<std::size_t>(end - begin));
    if (std::find(this->known.begin(), this->known.end(), key) !=
        this->known.end()) {
      continue;
    }
    this->scope.AddAt(this->scope.document.PlaceOfKey(aObject, key),
                      fmt::format("{} has no key \"{}\"{}",
                                  this->what,
                                  key,
                                  Suggestion(key, this->known)));
  }
}

bool
IsValidName(std::string_view aText)
{
  const auto isNameCharacter = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
           aCharacter == '_' || aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), isNameCharacter);
}

std::string
NearestName(std::string_view aText, std::span<const std::string_view> aKnown)
{
  // Beyond half of its letters changed, a suggestion would mislead.
  constexpr std::size_t kMaxCompared = 64;
  if (aText.size() > kMaxCompared) {
    return "";
  }
  std::size_t best = std::max<std::size_t>(aText.size() / 2, 2);
  std::string_view nearest;
  for (const std::string_view candidate : aKnown) {
    const std::size_t distance = EditDistance(aText, candidate);
    if (distance <= best && distance < candidate.size() &&
        (nearest.empty() || distance < best)) {
      best = distance;
      nearest = candidate;
    }
  }
  return std::string(nearest);
}

std::string
Suggestion(std::string_view aText, std::span<const std::string_view> aKnown)
{
  const std::string nearest = NearestName(aText, aKnown);
  return nearest.empty() ? "" : fmt::format("; did you mean \"{}\"?", nearest);
}

} // namespace dogwoodvale
