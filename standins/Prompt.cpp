#include "Prompt.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <random>

#include <xxhash.h>

#include "BatchingCore.h"

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxDirective = 128;
constexpr std::size_t kMaxPad = 1000000;
constexpr std::size_t kMaxLength = 1000000;
constexpr double kMedianLength = 60;
constexpr double kLengthSigma = 0.9;
constexpr double kMaxDrawnLength = 4000;

std::size_t
NumberDirective(std::string_view aText,
                std::string_view aName,
                std::size_t aDefault,
                std::size_t aMax)
{
  const std::string word = Directive(aText, aName);
  std::size_t number = aDefault;
  std::from_chars(word.data(), word.data() + word.size(), number);
  return std::min(number, aMax);
}

/// Text of a message's content: a string, or a list of parts with text.
std::string
ContentText(const Json::Value& aContent)
{
  if (aContent.isString()) {
    return aContent.asString();
  }
  std::string text;
  if (aContent.isArray()) {
    for (const Json::Value& part : aContent) {
      if (part.isObject() && part["text"].isString()) {
        text += part["text"].asString();
      }
    }
  }
  return text;
}

std::size_t
CountWords(std::string_view aText)
{
  std::size_t words = 0;
  bool inWord = false;
  for (const char c : aText) {
    const bool isWord = c != ' ';
    words += isWord && !inWord ? 1 : 0;
    inWord = isWord;
  }
  return words;
}

/// Adds one message's tokens and blocks; \p aChain hashes all before it.
void
AddMessage(std::string_view aText, std::uint64_t& aChain, Prompt& aPrompt)
{
  const std::size_t tokens =
    aText.size() / kBytesPerToken + NumberDirective(aText, "pad", 0, kMaxPad);
  aPrompt.tokens += tokens;
  constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  for (std::size_t block = 0; block < tokens / kBlockTokens; ++block) {
    const std::string_view piece =
      aText.substr(std::min(block * kBlockBytes, aText.size()), kBlockBytes);
    aChain = XXH3_64bits_withSeed(piece.data(), piece.size(), aChain + 1);
    aPrompt.blocks.push_back(aChain);
  }
  aChain = XXH3_64bits_withSeed(aText.data(), aText.size(), aChain + 1);
}

/// The same on every engine with the same seed, so that a resumed answer has
/// the same end.
std::size_t
DrawLength(std::uint64_t aHash, std::uint64_t aSeed)
{
  std::mt19937_64 random(aHash ^ (aSeed * 0x9e3779b97f4a7c15ULL));
  std::lognormal_distribution<double> draw(std::log(kMedianLength),
                                           kLengthSigma);
  return static_cast<std::size_t>(
    std::clamp(draw(random), 1.0, kMaxDrawnLength));
}

void
SetAnswer(std::string_view aText, std::uint64_t aSeed, Prompt& aPrompt)
{
  const std::uint64_t hash = XXH3_64bits(aText.data(), aText.size());
  aPrompt.nonce = Directive(aText, "nonce");
  if (aPrompt.nonce.empty()) {
    aPrompt.nonce = fmt::format("{:016x}", hash);
  }
  aPrompt.length =
    NumberDirective(aText, "len", DrawLength(hash, aSeed), kMaxLength);
}

absl::StatusOr<Prompt>
ParseChat(const Json::Value& aBody, std::uint64_t aSeed)
{
  const Json::Value& messages = aBody["messages"];
  if (!messages.isArray() || messages.empty()) {
    return absl::InvalidArgumentError("messages must be a non-empty list");
  }
  Prompt prompt;
  std::uint64_t chain = 0;
  std::string question;
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["role"].isString()) {
      return absl::InvalidArgumentError("a message must have a role");
    }
    const std::string text = ContentText(message["content"]);
    const std::string role = message["role"].asString();
    const bool isLast = &message == &messages[messages.size() - 1];
    if (role == "user") {
      question = text;
    } else if (role == "assistant" && isLast &&
               aBody["continue_final_message"].isBool() &&
               aBody["continue_final_message"].asBool()) {
      prompt.resumed = CountWords(text);
    }
    AddMessage(text, chain, prompt);
  }
  SetAnswer(question, aSeed, prompt);
  return prompt;
}

absl::StatusOr<Prompt>
ParseCompletion(const Json::Value& aBody, std::uint64_t aSeed)
{
  if (!aBody["prompt"].isString()) {
    return absl::InvalidArgumentError("prompt must be a string");
  }
  Prompt prompt;
  std::uint64_t chain = 0;
  const std::string text = aBody["prompt"].asString();
  AddMessage(text, chain, prompt);
  if (aBody["continue_text"].isString()) {
    const std::string generated = aBody["continue_text"].asString();
    prompt.resumed = CountWords(generated);
    AddMessage(generated, chain, prompt);
  }
  SetAnswer(text, aSeed, prompt);
  return prompt;
}

} // namespace

std::string
Directive(std::string_view aText, std::string_view aName)
{
  const std::string key = std::string(aName) + "=";
  std::size_t at = aText.find(key);
  // "xlen=3" isn't "len=3".
  while (at != std::string_view::npos && at > 0 &&
         std::isalnum(static_cast<unsigned char>(aText[at - 1])) != 0) {
    at = aText.find(key, at + 1);
  }
  std::string value;
  if (at != std::string_view::npos) {
    for (const char c : aText.substr(at + key.size(), kMaxDirective)) {
      if (std::isalnum(static_cast<unsigned char>(c)) == 0 && c != '-' &&
          c != '_') {
        break;
      }
      value += c;
    }
  }
  return value;
}

absl::StatusOr<Prompt>
ParsePrompt(const Json::Value& aBody, bool aIsChat, std::uint64_t aSeed)
{
  return aIsChat ? ParseChat(aBody, aSeed) : ParseCompletion(aBody, aSeed);
}

std::string
TokenText(std::string_view aNonce, std::size_t aIndex)
{
  return fmt::format("{}.{} ", aNonce, aIndex);
}

} // namespace dogwoodvale::standins
