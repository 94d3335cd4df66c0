#include "tools/load/Prompt.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "tools/load/JsonReader.h"

namespace dogwoodvale::load {

namespace {

constexpr std::string_view kNonceMark = "nonce=";

bool
IsNonceByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9');
}

constexpr std::array<std::string_view, 8> kWords = {
  "cheque", "mandate", "amount", "branch", "permit", "kerb", "shade", "review",
};

/// What the stand-in engine counts as one token of written text.
constexpr int kBytesPerToken = 4;
/// Longer openings are cut to this; the rest is told by pad=.
constexpr int kMaxWrittenTokens = 512;

/// The same text for the same class and number.
std::string
PrefixText(const ClassPlan& aClass, int aPrefix, int aTokens)
{
  const auto length = static_cast<std::size_t>(aTokens) * kBytesPerToken;
  std::string text = fmt::format("{} opening {}", aClass.name, aPrefix);
  for (int index = 0; text.size() < length; ++index) {
    text += ' ';
    text +=
      kWords.at(static_cast<std::size_t>(index * 7 + aPrefix) % kWords.size());
  }
  return text;
}

std::string
ModelBody(const ClassPlan& aClass, const Arrival& aArrival, const Call& aCall)
{
  const int written =
    aClass.prefixes > 0
      ? std::min(
          { aClass.prefixTokens, aArrival.promptTokens, kMaxWrittenTokens })
      : 0;
  const std::string opening = aClass.prefixes > 0
                                ? PrefixText(aClass, aArrival.prefix, written)
                                : std::string();
  const std::string question =
    fmt::format("pad={} nonce={} len={}",
                std::max(0, aArrival.promptTokens - written),
                aCall.nonce,
                aArrival.outputTokens);
  Json::Value body(Json::objectValue);
  body["model"] = aClass.model;
  body["stream"] = aClass.stream;
  body["max_tokens"] = aClass.outputTokens.max;
  if (aClass.kind == Kind::Completion) {
    body["prompt"] = opening.empty() ? question : opening + "\n" + question;
    return WriteJsonLine(body);
  }
  Json::Value& messages = body["messages"] = Json::Value(Json::arrayValue);
  if (!opening.empty()) {
    Json::Value system(Json::objectValue);
    system["role"] = "system";
    system["content"] = opening;
    messages.append(system);
  }
  Json::Value user(Json::objectValue);
  user["role"] = "user";
  user["content"] = question;
  messages.append(user);
  return WriteJsonLine(body);
}

} // namespace

RequestText
RenderRequest(const ClassPlan& aClass,
              const Arrival& aArrival,
              const Call& aCall)
{
  RequestText made;
  made.path = aClass.path;
  if (aClass.kind != Kind::Plain) {
    made.body = ModelBody(aClass, aArrival, aCall);
  } else if (aClass.method == "GET" || aClass.method == "DELETE") {
    made.path += "?nonce=" + aCall.nonce;
  } else {
    Json::Value body(Json::objectValue);
    body["reference"] = "nonce=" + aCall.nonce;
    made.body = WriteJsonLine(body);
  }
  return made;
}

std::vector<std::string_view>
NoncesIn(std::string_view aText)
{
  std::vector<std::string_view> found;
  for (std::size_t at = aText.find(kNonceMark); at != std::string_view::npos;
       at = aText.find(kNonceMark, at + 1)) {
    const std::string_view rest = aText.substr(at + kNonceMark.size());
    const auto end = std::find_if_not(rest.begin(), rest.end(), IsNonceByte);
    found.push_back(
      rest.substr(0, static_cast<std::size_t>(end - rest.begin())));
  }
  return found;
}

} // namespace dogwoodvale::load
