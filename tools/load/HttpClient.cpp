#include "tools/load/HttpClient.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace dogwoodvale::load {

namespace {

/// Longer than any load; the run has limits of its own.
constexpr int kConnectionTimeoutSeconds = 3600;

evhttp_cmd_type
Command(std::string_view aMethod)
{
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_POST;
}

std::string
Header(evhttp_request* aRequest, const char* aName)
{
  const char* value =
    evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName);
  return value == nullptr ? std::string() : std::string(value);
}

} // namespace

Exchange::Exchange(HttpClient& aClient,
                   SocketAddress aTarget,
                   AnswerSink& aSink)
  : client(aClient)
  , target(std::move(aTarget))
  , sink(aSink)
{
}

Exchange::~Exchange()
{
  if (this->connection != nullptr) {
    evhttp_connection_free(this->connection);
  }
}

void
Exchange::TakeHead(evhttp_request* aRequest)
{
  if (this->hasHead) {
    return;
  }
  this->hasHead = true;
  AnswerHead head;
  head.status = evhttp_request_get_response_code(aRequest);
  head.contentType = Header(aRequest, "Content-Type");
  head.requestId = Header(aRequest, "X-Request-Id");
  head.retryAfter = Header(aRequest, "Retry-After");
  this->sink.OnHead(head);
}

void
Exchange::OnChunk(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  self->TakeHead(aRequest);
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const std::size_t length = evbuffer_get_length(input);
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  if (length > 0 && bytes != nullptr) {
    self->sink.OnBody({ bytes, length });
  }
  evbuffer_drain(input, length);
}

void
Exchange::OnComplete(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  if (aRequest == nullptr) {
    self->Finish(ExchangeEnd::Broken);
  } else if (evhttp_request_get_response_code(aRequest) == 0) {
    self->Finish(ExchangeEnd::NotConnected);
  } else {
    self->TakeHead(aRequest);
    self->Finish(ExchangeEnd::Whole);
  }
}

void
Exchange::Finish(ExchangeEnd aEnd)
{
  evhttp_connection* mine = std::exchange(this->connection, nullptr);
  if (aEnd == ExchangeEnd::Whole) {
    this->client.Keep(this->target, mine);
  } else {
    this->client.Drop(mine);
  }
  this->sink.OnEnd(aEnd);
}

HttpClient::HttpClient(EventLoop& aLoop)
  : loop(aLoop)
  , sweep(aLoop, [this] {
    for (evhttp_connection* each : std::exchange(this->dropped, {})) {
      evhttp_connection_free(each);
    }
  })
{
}

HttpClient::~HttpClient()
{
  for (evhttp_connection* each : this->dropped) {
    evhttp_connection_free(each);
  }
  for (auto& [target, connections] : this->idle) {
    for (evhttp_connection* each : connections) {
      evhttp_connection_free(each);
    }
  }
}

evhttp_connection*
HttpClient::TakeConnection(const SocketAddress& aTarget)
{
  std::vector<evhttp_connection*>& kept = this->idle[aTarget];
  if (!kept.empty()) {
    evhttp_connection* connection = kept.back();
    kept.pop_back();
    return connection;
  }
  evhttp_connection* made = evhttp_connection_base_new(
    this->loop.Base(), nullptr, aTarget.ip.c_str(), aTarget.port);
  evhttp_connection_set_timeout(made, kConnectionTimeoutSeconds);
  return made;
}

void
HttpClient::Keep(const SocketAddress& aTarget, evhttp_connection* aConnection)
{
  this->idle[aTarget].push_back(aConnection);
}

void
HttpClient::Drop(evhttp_connection* aConnection)
{
  this->dropped.push_back(aConnection);
  this->sweep.StartOnce(Duration(0));
}

std::unique_ptr<Exchange>
HttpClient::Send(const SocketAddress& aTarget,
                 const HttpRequest& aRequest,
                 AnswerSink& aSink)
{
  std::unique_ptr<Exchange> exchange(new Exchange(*this, aTarget, aSink));
  exchange->connection = this->TakeConnection(aTarget);
  evhttp_request* request =
    evhttp_request_new(&Exchange::OnComplete, exchange.get());
  evhttp_request_set_chunked_cb(request, &Exchange::OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", aTarget.ToString().c_str());
  for (const auto& [name, value] : aRequest.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aRequest.body.data(),
               aRequest.body.size());
  evhttp_make_request(exchange->connection,
                      request,
                      Command(aRequest.method),
                      aRequest.path.c_str());
  return exchange;
}

} // namespace dogwoodvale::load
