#include "dogwoodvale/Configuration"

#include <algorithm>

#include <absl/strings/escaping.h>

#include "dogwoodvale/Settings"

namespace dogwoodvale {

namespace {

constexpr int kFormat = 1;
constexpr std::size_t kHashBytes = 32;
constexpr IntegerBounds kFormats{ kFormat, kFormat };
constexpr IntegerBounds kEpochs{ 1 };
constexpr IntegerBounds kSeconds{ 0 };
constexpr IntegerBounds kChangeIdLength{ 1, ConfigurationRoot::kMaxChangeId };
constexpr IntegerBounds kAuthorLength{ 0, ConfigurationRoot::kMaxAuthor };
constexpr IntegerBounds kCommentLength{ 0, ConfigurationRoot::kMaxComment };

/// Cuts a text of people's off at \p aMax bytes, between UTF-8 characters.
std::string
CutOff(const std::string& aText, std::size_t aMax)
{
  if (aText.size() <= aMax) {
    return aText;
  }
  std::size_t end = aMax;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xc0U) == 0x80U) {
    --end;
  }
  return aText.substr(0, end);
}

/// \tparam Change the root or one of its past.
template<class Change>
Json::Value
EncodeChange(const Change& aChange)
{
  Json::Value value(Json::objectValue);
  value["epoch"] = static_cast<Json::Int64>(aChange.epoch);
  value["change_id"] =
    CutOff(aChange.changeId, ConfigurationRoot::kMaxChangeId);
  value["author"] = CutOff(aChange.author, ConfigurationRoot::kMaxAuthor);
  value["comment"] = CutOff(aChange.comment, ConfigurationRoot::kMaxComment);
  value["accepted_at"] = static_cast<Json::Int64>(aChange.acceptedAt);
  return value;
}

template<class Change>
void
ReadChange(ObjectReader& aReader, Change& aChange)
{
  aReader.Require("epoch");
  aReader.Require("change_id");
  aReader.ReadInteger("epoch", kEpochs, aChange.epoch);
  aReader.ReadString("change_id", aChange.changeId, kChangeIdLength);
  aReader.ReadString("author", aChange.author, kAuthorLength);
  aReader.ReadString("comment", aChange.comment, kCommentLength);
  aReader.ReadInteger("accepted_at", kSeconds, aChange.acceptedAt);
}

/// A hash in base64 takes 43 bytes for 64; the root of a large configuration
/// is mostly hashes, and each change sends it to every process.
std::string
PackHash(const std::string& aHex)
{
  return absl::WebSafeBase64Escape(absl::HexStringToBytes(aHex));
}

void
ReadPages(const ReadScope& aScope,
          const Json::Value& aList,
          std::vector<std::string>& aHashes)
{
  if (aList.size() > ConfigurationRoot::kMaxPages) {
    aScope.Add(aList,
               fmt::format("{} pages; at most {} allowed",
                           aList.size(),
                           ConfigurationRoot::kMaxPages));
    return;
  }
  aHashes.reserve(aList.size());
  for (const Json::Value& item : aList) {
    std::string bytes;
    const bool isHash = item.isString() &&
                        absl::WebSafeBase64Unescape(item.asString(), &bytes) &&
                        bytes.size() == kHashBytes;
    if (!isHash) {
      aScope.Add(item, "not a page's hash");
      return;
    }
    aHashes.push_back(absl::BytesToHexString(bytes));
  }
}

void
ReadHistory(const ReadScope& aScope,
            const Json::Value& aList,
            ConfigurationRoot& aRoot)
{
  if (aList.size() > ConfigurationRoot::kMaxHistory) {
    aScope.Add(aList,
               fmt::format("{} past changes; at most {} allowed",
                           aList.size(),
                           ConfigurationRoot::kMaxHistory));
    return;
  }
  for (const Json::Value& item : aList) {
    ConfigurationRoot::Past past;
    ObjectReader reader(aScope, item, "a past change");
    ReadChange(reader, past);
    reader.Finish();
    const Epoch newer =
      aRoot.history.empty() ? aRoot.epoch : aRoot.history.back().epoch;
    if (past.epoch >= newer) {
      aScope.Add(item, "the past changes are not in order of their epochs");
    }
    aRoot.history.push_back(std::move(past));
  }
}

} // namespace

std::string
EncodeRoot(const ConfigurationRoot& aRoot)
{
  Json::Value value = EncodeChange(aRoot);
  value["format"] = kFormat;
  value["pages"] = Json::Value(Json::arrayValue);
  for (const std::string& hash : aRoot.pageHashes) {
    value["pages"].append(PackHash(hash));
  }
  value["history"] = Json::Value(Json::arrayValue);
  const std::size_t count =
    std::min(aRoot.history.size(), ConfigurationRoot::kMaxHistory);
  for (std::size_t i = 0; i < count; ++i) {
    value["history"].append(EncodeChange(aRoot.history[i]));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

absl::StatusOr<ConfigurationRoot>
DecodeRoot(std::string_view aText)
{
  Findings findings;
  const JsonDocument document = JsonDocument::Parse(aText, "root", findings);
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  ConfigurationRoot root;
  const ReadScope scope{ document, findings, "" };
  ObjectReader reader(scope, document.Root(), "the root");
  int format = 0;
  for (const char* key : { "format", "pages", "history" }) {
    reader.Require(key);
  }
  reader.ReadInteger("format", kFormats, format);
  ReadChange(reader, root);
  if (const Json::Value* pages = reader.FindList("pages")) {
    ReadPages(scope, *pages, root.pageHashes);
  }
  if (const Json::Value* history = reader.FindList("history")) {
    ReadHistory(scope, *history, root);
  }
  reader.Finish();
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  return root;
}

absl::StatusOr<std::vector<ConfigurationSource>>
JoinPages(const ConfigurationRoot& aRoot, std::span<const Page> aPages)
{
  return JoinPages(aRoot.pageHashes, aPages);
}

} // namespace dogwoodvale
