#include "dogwoodvale/Entry"

#include <ctime>
#include <optional>

namespace dogwoodvale {

namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kIdHeader = "X-Request-Id";
constexpr std::string_view kDone = "data: [DONE]\n\n";
/// An opaque answer is held back up to this size, so that a failure in the
/// middle can still be told as an error.
constexpr std::size_t kHeldBytes = 1U << 20U;
/// The text of an answer that is given as one JSON object.
constexpr std::size_t kMaxTextBytes = 8U << 20U;

HeaderField
ContentType(std::string_view aType)
{
  return { "Content-Type", std::string(aType) };
}

HeaderField
IdField(std::string_view aId)
{
  return { std::string(kIdHeader), std::string(aId) };
}

std::string
UsageJson(const AnswerUsage& aUsage)
{
  return fmt::format(
    R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
    aUsage.promptTokens,
    aUsage.completionTokens,
    aUsage.promptTokens + aUsage.completionTokens);
}

std::string
Quoted(std::string_view aText)
{
  // Not valueToQuotedString, which stops at a NUL byte.
  static const Json::StreamWriterBuilder kWriter = [] {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    writer["emitUTF8"] = true;
    return writer;
  }();
  return Json::writeString(
    kWriter, Json::Value(aText.data(), aText.data() + aText.size()));
}

/// Answers of an engine that are not 200 (a refused prompt, say): passed on
/// whole by all model writers.
class PassedOn
{
public:
  /// \return false if it is too long.
  bool Take(const Chunk& aChunk)
  {
    if (aChunk.status != 0) {
      this->status = aChunk.status;
      this->headers = aChunk.headers;
    }
    this->body += aChunk.text;
    return this->body.size() <= kHeldBytes;
  }
  bool IsUsed() const { return this->status != 0; }
  void Respond(CallerExchange& aExchange, std::string_view aId)
  {
    this->headers.push_back(IdField(aId));
    aExchange.Respond(this->status, this->headers, this->body);
  }

private:
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
};

class StreamWriter final : public AnswerWriter
{
public:
  StreamWriter(CallerExchange& aExchange,
               const CompletionRequest& aRequest,
               std::string aId)
    : exchange(aExchange)
    , id(std::move(aId))
    , usage(aRequest.WantsUsage())
  {
    const bool chat = aRequest.IsChat();
    this->head = fmt::format(
      R"({{"id":"{}-{}","object":"{}","created":{},"model":{},"choices":[)",
      chat ? "chatcmpl" : "cmpl",
      this->id,
      chat ? "chat.completion.chunk" : "text_completion",
      std::time(nullptr),
      Quoted(aRequest.Model()));
    this->open =
      chat ? R"({"index":0,"delta":{"content":)" : R"({"index":0,"text":)";
    this->close = chat ? "}" : "";
    this->last = chat ? R"({"index":0,"delta":{})" : R"({"index":0,"text":"")";
  }

  bool OnChunk(const Chunk& aChunk) override
  {
    if (aChunk.status != 0 || this->other.IsUsed()) {
      return this->other.Take(aChunk);
    }
    this->Begin();
    this->exchange.SendPart(
      fmt::format("data: {}{}{}{},\"finish_reason\":null}}]}}\n\n",
                  this->head,
                  this->open,
                  Quoted(aChunk.text),
                  this->close));
    return true;
  }

  void Complete(std::string_view aFinishReason,
                const AnswerUsage& aUsage) override
  {
    if (this->other.IsUsed()) {
      this->other.Respond(this->exchange, this->id);
      return;
    }
    this->Begin();
    std::string part = fmt::format("data: {}{},\"finish_reason\":{}}}]}}\n\n",
                                   this->head,
                                   this->last,
                                   Quoted(aFinishReason));
    if (this->usage) {
      part += fmt::format(
        "data: {}],\"usage\":{}}}\n\n", this->head, UsageJson(aUsage));
    }
    part += kDone;
    this->exchange.SendPart(part);
    this->exchange.EndStream();
  }

  bool Fail(const RequestError& aError) override
  {
    if (!this->begun) {
      RespondError(this->exchange, aError, this->id);
      return true;
    }
    // No [DONE] after it: that marks whole answers only.
    this->exchange.SendPart(
      fmt::format("event: error\ndata: {}\n\n", ErrorBody(aError)));
    this->exchange.EndStream();
    return true;
  }

  bool HasBegun() const override { return this->begun; }

private:
  void Begin()
  {
    if (this->begun) {
      return;
    }
    this->begun = true;
    const std::vector<HeaderField> headers = {
      ContentType("text/event-stream"),
      { "Cache-Control", "no-cache" },
      IdField(this->id),
    };
    this->exchange.StartStream(kHttpOk, headers);
  }

  CallerExchange& exchange;
  std::string id;
  bool usage;
  std::string head;
  std::string open;
  std::string close;
  std::string last;
  bool begun = false;
  PassedOn other;
};

class JsonWriter final : public AnswerWriter
{
public:
  JsonWriter(CallerExchange& aExchange,
             const CompletionRequest& aRequest,
             std::string aId)
    : exchange(aExchange)
    , id(std::move(aId))
    , model(aRequest.Model())
    , chat(aRequest.IsChat())
  {
  }

  bool OnChunk(const Chunk& aChunk) override
  {
    if (aChunk.status != 0 || this->other.IsUsed()) {
      return this->other.Take(aChunk);
    }
    this->text += aChunk.text;
    return this->text.size() <= kMaxTextBytes;
  }

  void Complete(std::string_view aFinishReason,
                const AnswerUsage& aUsage) override
  {
    if (this->other.IsUsed()) {
      this->other.Respond(this->exchange, this->id);
      return;
    }
    const std::string content =
      this->chat
        ? fmt::format(R"("message":{{"role":"assistant","content":{}}})",
                      Quoted(this->text))
        : fmt::format(R"("text":{})", Quoted(this->text));
    const std::string body = fmt::format(
      R"({{"id":"{}-{}","object":"{}","created":{},"model":{},)"
      R"("choices":[{{"index":0,{},"finish_reason":{}}}],"usage":{}}})",
      this->chat ? "chatcmpl" : "cmpl",
      this->id,
      this->chat ? "chat.completion" : "text_completion",
      std::time(nullptr),
      Quoted(this->model),
      content,
      Quoted(aFinishReason),
      UsageJson(aUsage));
    const std::vector<HeaderField> headers = {
      ContentType("application/json"),
      IdField(this->id),
    };
    this->exchange.Respond(kHttpOk, headers, body);
  }

  bool Fail(const RequestError& aError) override
  {
    RespondError(this->exchange, aError, this->id);
    return true;
  }

  bool HasBegun() const override { return false; }

private:
  CallerExchange& exchange;
  std::string id;
  std::string model;
  bool chat;
  std::string text;
  PassedOn other;
};

class OpaqueWriter final : public AnswerWriter
{
public:
  OpaqueWriter(CallerExchange& aExchange, std::string aId)
    : exchange(aExchange)
    , id(std::move(aId))
  {
  }

  bool OnChunk(const Chunk& aChunk) override
  {
    if (aChunk.status != 0) {
      this->status = aChunk.status;
      this->headers = aChunk.headers;
      this->headers.push_back(IdField(this->id));
    }
    if (this->begun) {
      this->exchange.SendPart(aChunk.text);
      return true;
    }
    this->held += aChunk.text;
    if (this->held.size() > kHeldBytes) {
      this->begun = true;
      this->exchange.StartStream(this->status, this->headers);
      this->exchange.SendPart(this->held);
      this->held.clear();
    }
    return true;
  }

  void Complete(std::string_view /*aFinishReason*/,
                const AnswerUsage& /*aUsage*/) override
  {
    if (this->begun) {
      this->exchange.EndStream();
    } else {
      this->exchange.Respond(this->status, this->headers, this->held);
    }
  }

  bool Fail(const RequestError& aError) override
  {
    if (this->begun) {
      return false;
    }
    RespondError(this->exchange, aError, this->id);
    return true;
  }

  bool HasBegun() const override { return this->begun; }

private:
  CallerExchange& exchange;
  std::string id;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string held;
  bool begun = false;
};

} // namespace

std::unique_ptr<AnswerWriter>
CreateStreamWriter(CallerExchange& aExchange,
                   const CompletionRequest& aRequest,
                   std::string aId)
{
  return std::make_unique<StreamWriter>(aExchange, aRequest, std::move(aId));
}

std::unique_ptr<AnswerWriter>
CreateJsonWriter(CallerExchange& aExchange,
                 const CompletionRequest& aRequest,
                 std::string aId)
{
  return std::make_unique<JsonWriter>(aExchange, aRequest, std::move(aId));
}

std::unique_ptr<AnswerWriter>
CreateOpaqueWriter(CallerExchange& aExchange, std::string aId)
{
  return std::make_unique<OpaqueWriter>(aExchange, std::move(aId));
}

std::vector<HeaderField>
ErrorHeaders(const RequestError& aError)
{
  std::vector<HeaderField> headers = { ContentType("application/json") };
  if (aError.retryAfter.count() > 0) {
    // The header counts whole seconds; the body has the milliseconds.
    const auto whole = std::chrono::ceil<seconds>(aError.retryAfter).count();
    headers.push_back({ "Retry-After", fmt::format("{}", whole) });
  }
  return headers;
}

void
RespondError(CallerExchange& aExchange,
             const RequestError& aError,
             std::string_view aId)
{
  std::vector<HeaderField> headers = ErrorHeaders(aError);
  headers.push_back(IdField(aId));
  aExchange.Respond(HttpStatusOf(aError), headers, ErrorBody(aError));
}

} // namespace dogwoodvale
