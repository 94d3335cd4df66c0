#include "dogwoodvale/Store"

#include <charconv>
#include <utility>

#include "dogwoodvale/Http"

namespace dogwoodvale {

namespace {

/// Disables the client's own time-outs; the exchange has its own.
constexpr Duration kNoTimeout = std::chrono::hours(24);
constexpr int kHttpOk = 200;

BackendClientOptions
ClientOptions()
{
  BackendClientOptions options;
  options.idleConnections = 0;
  options.connectTimeout = kNoTimeout;
  options.idleTimeout = kNoTimeout;
  options.priority = EventPriority::Control;
  return options;
}

HttpRequest
MakeRequest(const HttpCall& aCall)
{
  HttpRequest request;
  request.method = aCall.method;
  request.path = aCall.path;
  request.body = aCall.body;
  if (aCall.acceptsCompressed) {
    request.headers.push_back(
      { "Accept-Encoding", std::string(kCompressionName) });
  }
  if (aCall.method == "POST") {
    request.headers.push_back({ "Content-Type", "application/json" });
  }
  return request;
}

class ClientExchange final
  : public HttpExchange
  , public BackendCallHandler
{
public:
  ClientExchange(EventLoop& aLoop,
                 const HttpCall& aCall,
                 PartHandler aOnPart,
                 DoneHandler aOnDone)
    : onPart(std::move(aOnPart))
    , onDone(std::move(aOnDone))
    , timeout(aCall.timeout)
    , maxBodyBytes(aCall.maxBodyBytes)
    , deliveryTimer(
        aLoop,
        [this] { this->Deliver(); },
        EventPriority::Control)
    , timeoutTimer(aLoop, [this] { this->OnTimeout(); })
  {
    this->timeoutTimer.StartOnce(this->timeout);
    auto made = BackendClient::Create(aLoop, aCall.address, ClientOptions());
    if (!made.ok()) {
      this->Fail(made.status());
      return;
    }
    this->client = *std::move(made);
    this->call = this->client->Start(MakeRequest(aCall), *this);
  }

  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override
  {
    this->answer.code = aStatus;
    this->encoding = FindHeader(aHeaders, "content-encoding");
    const std::string_view length = FindHeader(aHeaders, "content-length");
    std::size_t stated = 0;
    std::from_chars(length.data(), length.data() + length.size(), stated);
    this->CheckSize(stated);
  }

  void OnBody(std::string_view aBytes) override
  {
    this->bodyBytes += aBytes.size();
    if (!this->CheckSize(this->bodyBytes)) {
      return;
    }
    if (!this->onPart) {
      this->answer.body += aBytes;
      return;
    }
    (this->answer.code == kHttpOk ? this->part : this->answer.body) += aBytes;
    this->timeoutTimer.StartOnce(this->timeout);
    this->deliveryTimer.StartOnce(Duration(0));
  }

  void OnComplete(AnswerEnd /*aEnd*/) override
  {
    this->answer.written = true;
    if (!this->encoding.empty()) {
      this->Decode();
    }
    this->Finish();
  }

  void OnFailed(const absl::Status& aReason, bool aWritten) override
  {
    this->answer.written = aWritten;
    this->Fail(MakeError(
      absl::StatusCode::kUnavailable,
      "{}: {}",
      aWritten ? "the connection was lost before the response was complete"
               : "could not connect",
      MessageOf(aReason)));
  }

private:
  /// \return false if a body of \p aBytes is too long, which ends the exchange.
  bool CheckSize(std::size_t aBytes)
  {
    if (aBytes <= this->maxBodyBytes) {
      return true;
    }
    this->answer.written = true;
    this->Fail(absl::ResourceExhaustedError("the response is too long"));
    return false;
  }

  void Decode()
  {
    absl::StatusOr<std::string> text =
      this->encoding == kCompressionName
        ? Decompress(this->answer.body, this->maxBodyBytes)
        : absl::UnimplementedError(
            "the response has a Content-Encoding that was not requested");
    this->answer.status = text.status();
    this->answer.body = text.ok() ? *std::move(text) : std::string();
  }

  void Fail(const absl::Status& aReason)
  {
    this->answer.code = 0;
    this->answer.body.clear();
    this->answer.status = aReason;
    this->Finish();
  }

  void OnTimeout()
  {
    // The time-out of a stream restarts with each part.
    const bool isProgressing =
      !this->onPart &&
      this->limit.Check(this->call->BytesSent() + this->call->BytesReceived());
    if (isProgressing) {
      this->timeoutTimer.StartOnce(this->timeout);
      return;
    }
    this->answer.written = this->call->BytesSent() > 0;
    this->Fail(
      absl::DeadlineExceededError("timed out waiting for the HTTP response"));
    this->Deliver();
  }

  void Finish()
  {
    this->isDone = true;
    this->timeoutTimer.Stop();
    if (this->call) {
      this->answer.received = this->call->BytesReceived();
      this->call.reset();
    }
    this->deliveryTimer.StartOnce(Duration(0));
  }

  /// Runs from a timer, never inside the client's callbacks: destroying the
  /// client there would be a use after free.
  void Deliver()
  {
    if (!this->part.empty()) {
      const std::string bytes = std::exchange(this->part, {});
      if (this->isDone) {
        this->deliveryTimer.StartOnce(Duration(0));
      }
      const PartHandler handler = this->onPart;
      handler(bytes);
      return;
    }
    if (this->isDone && this->onDone) {
      this->deliveryTimer.Stop();
      const DoneHandler handler = std::exchange(this->onDone, nullptr);
      const HttpAnswer result = std::move(this->answer);
      handler(result);
    }
  }

  PartHandler onPart;
  DoneHandler onDone;
  Duration timeout;
  std::size_t maxBodyBytes;
  Timer deliveryTimer;
  Timer timeoutTimer;
  std::unique_ptr<BackendClient> client;
  std::unique_ptr<BackendCall> call;
  HttpAnswer answer;
  TransferLimit limit;
  /// The answer's Content-Encoding.
  std::string encoding;
  /// Of the answer, as they came.
  std::size_t bodyBytes = 0;
  /// Bytes of a streamed response not yet passed to onPart.
  std::string part;
  bool isDone = false;
};

} // namespace

std::unique_ptr<HttpExchange>
HttpExchange::Start(EventLoop& aLoop,
                    const HttpCall& aCall,
                    DoneHandler aOnDone)
{
  return std::make_unique<ClientExchange>(
    aLoop, aCall, nullptr, std::move(aOnDone));
}

std::unique_ptr<HttpExchange>
HttpExchange::StartStream(EventLoop& aLoop,
                          const HttpCall& aCall,
                          PartHandler aOnPart,
                          DoneHandler aOnDone)
{
  return std::make_unique<ClientExchange>(
    aLoop, aCall, std::move(aOnPart), std::move(aOnDone));
}

} // namespace dogwoodvale
