#include "OperatorServer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "Sockets.h"

namespace dogwoodvale {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16U << 10U;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr int kTimeoutSeconds = 10;

HttpRequest
ToHttpRequest(evhttp_request* aRequest)
{
  HttpRequest request;
  request.method =
    evhttp_request_get_command(aRequest) == EVHTTP_REQ_POST ? "POST" : "GET";
  request.path = evhttp_request_get_uri(aRequest);
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* field = headers->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    request.headers.push_back({ field->key, field->value });
  }
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  return request;
}

class OperatorServerImpl final : public OperatorServer
{
public:
  OperatorServerImpl(EventLoop& aLoop, OperatorHandler& aHandler)
    : handler(aHandler)
    , server(evhttp_new(aLoop.Base()), &evhttp_free)
  {
    evhttp_set_max_headers_size(this->server.get(), kMaxHeaderBytes);
    evhttp_set_max_body_size(this->server.get(), kMaxBodyBytes);
    evhttp_set_timeout(this->server.get(), kTimeoutSeconds);
    evhttp_set_allowed_methods(this->server.get(),
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(
      this->server.get(),
      [](evhttp_request* aRequest, void* aSelf) {
        static_cast<OperatorServerImpl*>(aSelf)->Answer(aRequest);
      },
      this);
  }

  absl::Status Listen(EventLoop& aLoop, const SocketAddress& aAddress)
  {
    auto listener = internal::Listen(aLoop, aAddress, nullptr, nullptr);
    if (!listener.ok()) {
      return listener.status();
    }
    this->address =
      internal::LocalAddress(evconnlistener_get_fd(listener->get()));
    // evhttp owns the listener from here on.
    if (evhttp_bind_listener(this->server.get(), listener->get()) == nullptr) {
      return absl::InternalError("evhttp took no listener");
    }
    static_cast<void>(listener->release());
    return absl::OkStatus();
  }

  SocketAddress Address() const override { return this->address; }

private:
  void Answer(evhttp_request* aRequest)
  {
    const OperatorResponse response = this->Route(ToHttpRequest(aRequest));
    evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                      "Content-Type",
                      response.contentType.c_str());
    if (!response.contentEncoding.empty()) {
      evhttp_add_header(evhttp_request_get_output_headers(aRequest),
                        "Content-Encoding",
                        response.contentEncoding.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(aRequest),
                 response.body.data(),
                 response.body.size());
    evhttp_send_reply(aRequest, response.status, nullptr, nullptr);
  }

  OperatorResponse Route(const HttpRequest& aRequest)
  {
    const std::string path = aRequest.path.substr(0, aRequest.path.find('?'));
    if (path == "/metrics") {
      return { 200,
               "text/plain; version=0.0.4; charset=utf-8",
               this->handler.Metrics() };
    }
    if (path == "/healthz") {
      return { .body = "ok\n" };
    }
    if (path == "/readyz") {
      const absl::Status ready = this->handler.Ready();
      return { .status = ready.ok() ? 200 : 503,
               .body = ready.ok() ? "ready\n"
                                  : fmt::format("{}\n", MessageOf(ready)) };
    }
    if (path == "/statusz") {
      return { 200, "application/json", this->handler.Statusz() };
    }
    return this->handler.Other(aRequest);
  }

  OperatorHandler& handler;
  std::unique_ptr<evhttp, void (*)(evhttp*)> server;
  SocketAddress address;
};

} // namespace

OperatorResponse
OperatorHandler::Other(const HttpRequest& /*aRequest*/)
{
  return { .status = 404, .body = "not found\n" };
}

absl::StatusOr<std::unique_ptr<OperatorServer>>
OperatorServer::Create(EventLoop& aLoop,
                       const SocketAddress& aAddress,
                       OperatorHandler& aHandler)
{
  auto server = std::make_unique<OperatorServerImpl>(aLoop, aHandler);
  if (absl::Status status = server->Listen(aLoop, aAddress); !status.ok()) {
    return status;
  }
  return server;
}

} // namespace dogwoodvale
