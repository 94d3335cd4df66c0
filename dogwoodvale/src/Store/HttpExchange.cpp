#include "dogwoodvale/Store"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace dogwoodvale {

namespace {

/// Disables evhttp's time-outs, which apply per read or write; the exchange has
/// its own.
constexpr int kNoTimeoutSeconds = 24 * 3600;

class EvhttpExchange : public HttpExchange
{
public:
  EvhttpExchange(EventLoop& aLoop,
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
    this->Send(aLoop, aCall);
  }

  ~EvhttpExchange() override { this->Close(); }

private:
  void Send(EventLoop& aLoop, const HttpCall& aCall)
  {
    this->connection = evhttp_connection_base_new(
      aLoop.Base(), nullptr, aCall.address.ip.c_str(), aCall.address.port);
    if (this->connection == nullptr) {
      this->Fail("out of memory for a connection");
      return;
    }
    evhttp_connection_set_retries(this->connection, 0);
    evhttp_connection_set_timeout(this->connection, kNoTimeoutSeconds);
    evhttp_connection_set_max_body_size(
      this->connection, static_cast<ev_ssize_t>(aCall.maxBodyBytes));
    bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
    evbuffer_add_cb(
      bufferevent_get_output(stream), &EvhttpExchange::OnOutput, this);
    evbuffer_add_cb(
      bufferevent_get_input(stream), &EvhttpExchange::OnInput, this);
    evhttp_request* request = this->MakeRequest(aCall);
    const evhttp_cmd_type method =
      aCall.method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    if (evhttp_make_request(
          this->connection, request, method, aCall.path.c_str()) != 0) {
      this->Fail("the connection could not be opened");
    }
  }

  evhttp_request* MakeRequest(const HttpCall& aCall)
  {
    evhttp_request* request = evhttp_request_new(&EvhttpExchange::OnEnd, this);
    if (this->onPart) {
      evhttp_request_set_chunked_cb(request, &EvhttpExchange::OnChunk);
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", aCall.address.ToString().c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (aCall.acceptsCompressed) {
      evhttp_add_header(
        headers, "Accept-Encoding", std::string(kCompressionName).c_str());
    }
    if (aCall.method == "POST") {
      evhttp_add_header(headers, "Content-Type", "application/json");
      evbuffer_add(evhttp_request_get_output_buffer(request),
                   aCall.body.data(),
                   aCall.body.size());
    }
    return request;
  }

  static void OnOutput(evbuffer* /*aBuffer*/,
                       const evbuffer_cb_info* aInfo,
                       void* aSelf)
  {
    // evhttp fills the buffer only once connected, so a request whose
    // connection was refused never counts as written.
    auto* self = static_cast<EvhttpExchange*>(aSelf);
    self->bytesTransferred += aInfo->n_deleted;
    if (aInfo->n_deleted > 0) {
      self->answer.written = true;
    }
  }

  static void OnInput(evbuffer* /*aBuffer*/,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf)
  {
    auto* self = static_cast<EvhttpExchange*>(aSelf);
    self->answer.received += aInfo->n_added;
    self->bytesTransferred += aInfo->n_added;
  }

  static void OnChunk(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<EvhttpExchange*>(aSelf);
    const std::string bytes =
      TakeAll(evhttp_request_get_input_buffer(aRequest));
    const int code = evhttp_request_get_response_code(aRequest);
    (code == 200 ? self->part : self->answer.body) += bytes;
    self->timeoutTimer.StartOnce(self->timeout);
    self->deliveryTimer.StartOnce(Duration(0));
  }

  static void OnEnd(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<EvhttpExchange*>(aSelf);
    const int code =
      aRequest == nullptr ? 0 : evhttp_request_get_response_code(aRequest);
    if (code == 0) {
      self->Fail(self->answer.written
                   ? "the connection was lost before the response was complete"
                   : "could not connect");
      return;
    }
    self->answer.code = code;
    self->answer.body += TakeAll(evhttp_request_get_input_buffer(aRequest));
    const char* encoding = evhttp_find_header(
      evhttp_request_get_input_headers(aRequest), "Content-Encoding");
    if (encoding != nullptr) {
      self->Decode(encoding);
    }
    self->Finish();
  }

  void Decode(std::string_view aEncoding)
  {
    absl::StatusOr<std::string> text =
      aEncoding == kCompressionName
        ? Decompress(this->answer.body, this->maxBodyBytes)
        : absl::UnimplementedError(
            "the response has a Content-Encoding that was not requested");
    this->answer.status = text.status();
    this->answer.body = text.ok() ? *std::move(text) : std::string();
  }

  static std::string TakeAll(evbuffer* aBuffer)
  {
    const std::size_t length = evbuffer_get_length(aBuffer);
    std::string bytes(length, '\0');
    evbuffer_remove(aBuffer, bytes.data(), length);
    return bytes;
  }

  void Fail(const char* aReason)
  {
    this->answer.status = absl::UnavailableError(aReason);
    this->Finish();
  }

  void OnTimeout()
  {
    // The time-out of a stream restarts with each part.
    const bool isProgressing =
      !this->onPart && this->limit.Check(this->bytesTransferred);
    if (isProgressing) {
      this->timeoutTimer.StartOnce(this->timeout);
      return;
    }
    this->Close();
    this->answer.status =
      absl::DeadlineExceededError("timed out waiting for the HTTP response");
    this->Finish();
    this->Deliver();
  }

  void Finish()
  {
    this->isDone = true;
    this->timeoutTimer.Stop();
    this->deliveryTimer.StartOnce(Duration(0));
  }

  /// Runs from a timer, never inside evhttp's callbacks: freeing the connection
  /// there would be a use after free.
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
      this->Close();
      const DoneHandler handler = std::exchange(this->onDone, nullptr);
      const HttpAnswer result = std::move(this->answer);
      handler(result);
    }
  }

  void Close()
  {
    if (this->connection == nullptr) {
      return;
    }
    bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
    evbuffer_remove_cb(
      bufferevent_get_output(stream), &EvhttpExchange::OnOutput, this);
    evbuffer_remove_cb(
      bufferevent_get_input(stream), &EvhttpExchange::OnInput, this);
    evhttp_connection_free(std::exchange(this->connection, nullptr));
  }

  PartHandler onPart;
  DoneHandler onDone;
  Duration timeout;
  std::size_t maxBodyBytes;
  Timer deliveryTimer;
  Timer timeoutTimer;
  evhttp_connection* connection = nullptr;
  HttpAnswer answer;
  TransferLimit limit;
  /// Bytes sent and received.
  std::size_t bytesTransferred = 0;
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
  return std::make_unique<EvhttpExchange>(
    aLoop, aCall, nullptr, std::move(aOnDone));
}

std::unique_ptr<HttpExchange>
HttpExchange::StartStream(EventLoop& aLoop,
                          const HttpCall& aCall,
                          PartHandler aOnPart,
                          DoneHandler aOnDone)
{
  return std::make_unique<EvhttpExchange>(
    aLoop, aCall, std::move(aOnPart), std::move(aOnDone));
}

} // namespace dogwoodvale
