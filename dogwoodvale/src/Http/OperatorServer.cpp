#include "OperatorServer.h"

#include "CallerServer.h"

namespace dogwoodvale {

namespace {

constexpr int kNotImplemented = 501;

CallerBounds
BoundsWithin(std::size_t aMemoryBytes)
{
  CallerBounds bounds;
  bounds.headerBytes = 16U << 10U;
  bounds.bodyBytes = 1U << 20U;
  bounds.connections = 256;
  bounds.readTimeout = seconds(10);
  bounds.idleTimeout = seconds(10);
  bounds.memoryBytes = aMemoryBytes;
  bounds.socketBytes = 1U << 20U;
  bounds.priority = EventPriority::Control;
  // Strangers must not keep the loop from its traffic.
  bounds.loopShare = 0.25;
  return bounds;
}

class OperatorServerImpl final
  : public OperatorServer
  , public CallerHandler
{
public:
  explicit OperatorServerImpl(OperatorHandler& aHandler)
    : handler(aHandler)
  {
  }

  absl::Status Listen(EventLoop& aLoop,
                      const SocketAddress& aAddress,
                      std::size_t aMemoryBytes)
  {
    auto made =
      CallerServer::Create(aLoop, aAddress, BoundsWithin(aMemoryBytes), *this);
    if (!made.ok()) {
      return made.status();
    }
    this->server = *std::move(made);
    return absl::OkStatus();
  }

  SocketAddress Address() const override { return this->server->Address(); }

  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override
  {
    const OperatorResponse response = this->Route(aExchange->Request());
    std::vector<HeaderField> headers{ { "Content-Type",
                                        response.contentType } };
    if (!response.contentEncoding.empty()) {
      headers.push_back({ "Content-Encoding", response.contentEncoding });
    }
    aExchange->Respond(response.status, headers, response.body);
  }

private:
  OperatorResponse Route(const HttpRequest& aRequest)
  {
    if (aRequest.method != "GET" && aRequest.method != "POST") {
      return { .status = kNotImplemented, .body = "method not implemented\n" };
    }
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
  std::unique_ptr<CallerServer> server;
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
                       OperatorHandler& aHandler,
                       std::size_t aMemoryBytes)
{
  auto server = std::make_unique<OperatorServerImpl>(aHandler);
  if (absl::Status status = server->Listen(aLoop, aAddress, aMemoryBytes);
      !status.ok()) {
    return status;
  }
  return server;
}

} // namespace dogwoodvale
