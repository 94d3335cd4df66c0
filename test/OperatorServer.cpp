#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Http"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

class Operators final : public OperatorHandler
{
public:
  std::string Metrics() override { return "a 1\n"; }
  absl::Status Ready() override { return this->ready; }
  std::string Statusz() override { return "{}"; }
  OperatorResponse Other(const HttpRequest& aRequest) override
  {
    if (aRequest.method == "POST" && aRequest.path == "/drain") {
      return { .body = "drain " + aRequest.body };
    }
    return OperatorHandler::Other(aRequest);
  }

  absl::Status ready;
};

} // namespace

TEST_CASE("operators read metrics, health, readiness and status")
{
  auto loop = std::move(*EventLoop::Create());
  Operators operators;
  auto server = OperatorServer::Create(*loop, { "127.0.0.1", 0 }, operators);
  REQUIRE(server.ok());
  const auto ask = [&](const std::string& aLine,
                       const std::string& aBody = "") {
    RawSocket socket = RawSocket::Connect((*server)->Address());
    socket.Send(fmt::format("{} HTTP/1.1\r\nConnection: close\r\n"
                            "Content-Length: {}\r\n\r\n{}",
                            aLine,
                            aBody.size(),
                            aBody));
    REQUIRE(loop->RunUntil([&] { return socket.IsClosed(); }, seconds(5)));
    return socket.received;
  };
  using Catch::Contains;
  REQUIRE_THAT(ask("GET /metrics"), Contains("200") && Contains("a 1\n"));
  REQUIRE_THAT(ask("GET /healthz"), Contains(" 200 ") && Contains("ok"));
  REQUIRE_THAT(ask("GET /readyz?x"), Contains(" 200 "));
  operators.ready = absl::UnavailableError("draining");
  REQUIRE_THAT(ask("GET /readyz"), Contains(" 503 ") && Contains("draining"));
  REQUIRE_THAT(ask("GET /statusz"), Contains("application/json"));
  REQUIRE_THAT(ask("GET /nothing"), Contains(" 404 "));
  REQUIRE_THAT(ask("POST /drain", "now"), Contains("drain now"));
  REQUIRE_THAT(ask("DELETE /drain"), Contains(" 501 "));
  REQUIRE_THAT(ask("GET /metrics\r\nA: " + std::string(20000, 'x')),
               Contains(" 431 "));
}
