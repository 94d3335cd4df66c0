#include "dogwoodvale/Sidecar"

#include <memory>

#include <json/json.h>

namespace dogwoodvale {

namespace {

constexpr std::string_view kDone = "[DONE]";

bool
ParseJson(std::string_view aText, Json::Value& aOut)
{
  static const Json::CharReaderBuilder kBuilder;
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  try {
    return reader->parse(
      aText.data(), aText.data() + aText.size(), &aOut, nullptr);
  } catch (const Json::Exception&) {
    // The reader throws only for nesting.
    return false;
  }
}

/// The text of a choice: chat answers carry it in "delta", completions not.
std::string
TextOf(const Json::Value& aChoice)
{
  const Json::Value& delta = aChoice["delta"];
  const Json::Value& text =
    delta.isObject() ? delta["content"] : aChoice["text"];
  return text.isString() ? text.asString() : std::string();
}

} // namespace

absl::Status
TokenStream::Feed(std::string_view aBytes, TokenBatch& aOut)
{
  std::vector<SseEvent> events;
  absl::Status parsed = this->parser.Feed(aBytes, events);
  if (!parsed.ok()) {
    return parsed;
  }
  for (const SseEvent& event : events) {
    absl::Status taken = this->Take(event, aOut);
    if (!taken.ok()) {
      return taken;
    }
  }
  return absl::OkStatus();
}

absl::Status
TokenStream::Take(const SseEvent& aEvent, TokenBatch& aOut)
{
  if (this->done) {
    return absl::DataLossError("the engine sent events after [DONE]");
  }
  if (aEvent.data == kDone) {
    this->done = true;
    return absl::OkStatus();
  }
  Json::Value chunk;
  if (!ParseJson(aEvent.data, chunk) || !chunk.isObject()) {
    return absl::DataLossError("the engine sent an event that is not JSON");
  }
  if (aEvent.event == "error" || chunk.isMember("error")) {
    return absl::UnavailableError("the engine reported an error");
  }
  const Json::Value& usage = chunk["usage"];
  if (usage.isObject() && usage["prompt_tokens"].isUInt()) {
    this->promptTokens = usage["prompt_tokens"].asUInt();
  }
  const Json::Value& choices = chunk["choices"];
  if (!choices.isArray() || choices.empty()) {
    return absl::OkStatus();
  }
  const Json::Value& choice = choices[0];
  const std::string text = TextOf(choice);
  if (!text.empty()) {
    aOut.text += text;
    ++aOut.tokens;
  }
  if (choice["finish_reason"].isString()) {
    this->finishReason = choice["finish_reason"].asString();
  }
  return absl::OkStatus();
}

} // namespace dogwoodvale
