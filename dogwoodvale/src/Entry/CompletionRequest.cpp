#include "dogwoodvale/Entry"

#include <array>
#include <memory>

#include <xxhash.h>

namespace dogwoodvale {

namespace {

constexpr int kMaxJsonDepth = 64;
constexpr std::uint32_t kBytesPerToken = 4;
/// A shorter beginning is shared by chance and not worth routing by.
constexpr std::size_t kPrefixBytes = 256;

/// Fields whose answers carry more than text, which is not passed on.
constexpr std::array<const char*, 5> kRefusedFields = {
  "tools", "functions", "logprobs", "best_of", "echo",
};

absl::Status
Invalid(std::string_view aMessage)
{
  return absl::InvalidArgumentError(ToAbsl(aMessage));
}

absl::StatusOr<Json::Value>
ParseObject(std::string_view aBody)
{
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = kMaxJsonDepth;
  builder["failIfExtra"] = true;
  builder["allowComments"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    // Depth beyond the bound is the one thing that jsoncpp throws for.
    if (!reader->parse(
          aBody.data(), aBody.data() + aBody.size(), &value, &errors)) {
      return Invalid("the body is not JSON");
    }
  } catch (const Json::Exception&) {
    return Invalid("the body is nested too deeply");
  }
  if (!value.isObject()) {
    return Invalid("the body must be a JSON object");
  }
  return value;
}

std::string
TextOfContent(const Json::Value& aContent)
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

} // namespace

absl::StatusOr<CompletionRequest>
CompletionRequest::Parse(std::string_view aPath, std::string_view aBody)
{
  auto value = ParseObject(aBody);
  if (!value.ok()) {
    return value.status();
  }
  CompletionRequest request;
  request.chat = aPath == kChatPath;
  request.body = *std::move(value);
  const absl::Status fields = request.ReadFields();
  if (!fields.ok()) {
    return fields;
  }
  const absl::Status prompt = request.ReadPrompt();
  if (!prompt.ok()) {
    return prompt;
  }
  return request;
}

absl::Status
CompletionRequest::ReadFields()
{
  const Json::Value& modelValue = this->body["model"];
  if (!modelValue.isString() || modelValue.asString().empty()) {
    return Invalid("\"model\" must be a string");
  }
  this->model = modelValue.asString();
  const Json::Value& streamValue = this->body["stream"];
  if (!streamValue.isNull() && !streamValue.isBool()) {
    return Invalid("\"stream\" must be true or false");
  }
  this->stream = streamValue.isBool() && streamValue.asBool();
  const Json::Value& options = this->body["stream_options"];
  this->usage = options.isObject() && options["include_usage"].isBool() &&
                options["include_usage"].asBool();
  const char* bound = this->body.isMember("max_completion_tokens")
                        ? "max_completion_tokens"
                        : "max_tokens";
  const Json::Value& tokens = this->body[bound];
  if (!tokens.isNull() && (!tokens.isUInt() || tokens.asUInt() == 0)) {
    return Invalid("\"max_tokens\" must be a positive integer");
  }
  this->maxTokens = tokens.isNull() ? 0 : tokens.asUInt();
  const Json::Value& choices = this->body["n"];
  if (!choices.isNull() && (!choices.isUInt() || choices.asUInt() != 1)) {
    return Invalid("only \"n\": 1 is supported");
  }
  for (const char* field : kRefusedFields) {
    const Json::Value& refused = this->body[field];
    if (!refused.isNull() && refused != Json::Value(false)) {
      return absl::InvalidArgumentError(
        fmt::format("\"{}\" is not supported", field));
    }
  }
  return absl::OkStatus();
}

absl::Status
CompletionRequest::ReadPrompt()
{
  std::string text;
  if (this->chat) {
    const Json::Value& messages = this->body["messages"];
    if (!messages.isArray() || messages.empty()) {
      return Invalid("\"messages\" must be a list that is not empty");
    }
    for (const Json::Value& message : messages) {
      if (!message.isObject() || !message["role"].isString()) {
        return Invalid("each message needs a \"role\"");
      }
      text += TextOfContent(message["content"]);
    }
  } else {
    const Json::Value& prompt = this->body["prompt"];
    if (!prompt.isString()) {
      return Invalid("\"prompt\" must be a string");
    }
    text = prompt.asString();
  }
  this->promptTokens =
    static_cast<std::uint32_t>(text.size()) / kBytesPerToken + 1;
  if (text.size() >= kPrefixBytes) {
    this->prefix = XXH3_64bits(text.data(), kPrefixBytes);
  }
  return absl::OkStatus();
}

std::string
CompletionRequest::EngineBody(Tier aTier,
                              std::uint32_t aDefaultMaxTokens,
                              std::string_view aDelivered,
                              std::uint64_t aDeliveredTokens) const
{
  Json::Value engine = this->body;
  engine["stream"] = true;
  engine["stream_options"]["include_usage"] = true;
  engine["priority"] = aTier;
  engine.removeMember("max_completion_tokens");
  const std::uint64_t bound =
    this->maxTokens > 0 ? this->maxTokens : aDefaultMaxTokens;
  // At least one, so that the engine can say how the answer ends.
  engine["max_tokens"] =
    Json::UInt64(bound > aDeliveredTokens ? bound - aDeliveredTokens : 1);
  if (!aDelivered.empty()) {
    const std::string delivered(aDelivered);
    if (this->chat) {
      Json::Value message;
      message["role"] = "assistant";
      message["content"] = delivered;
      engine["messages"].append(message);
      engine["continue_final_message"] = true;
      engine["add_generation_prompt"] = false;
    } else {
      engine["continue_text"] = delivered;
    }
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, engine);
}

} // namespace dogwoodvale
