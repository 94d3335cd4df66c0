#include <catch2/catch.hpp>

#include "dogwoodvale/Store"
#include "support/BareSite.h"

using namespace dogwoodvale;
using test::BareSite;
using test::Has;
using test::PlatformSite;
using test::RawSocket;

namespace {

enum class Stop : std::uint8_t
{
  Close,
  HalfClose,
  Reset,
};

constexpr Stop kStops[] = { Stop::Close, Stop::HalfClose, Stop::Reset };

void
End(RawSocket& aServer, Stop aStop)
{
  if (aStop == Stop::Close) {
    aServer.Close();
  } else if (aStop == Stop::HalfClose) {
    aServer.EndSending();
  } else {
    aServer.Reset();
  }
}

/// Heads of answers that would be complete at once, at a length or a close.
const std::vector<std::string> kHeads = {
  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-A: b\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-A: b\r\nConnection: close\r\n\r\n",
  "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
  "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
};

class Recorder final : public BackendCallHandler
{
public:
  void OnHead(int /*aStatus*/,
              std::span<const HeaderField> /*aHeaders*/) override
  {
    this->hasHead = true;
  }
  void OnBody(std::string_view /*aBytes*/) override {}
  void OnComplete(AnswerEnd /*aEnd*/) override { this->isComplete = true; }
  void OnFailed(const absl::Status& /*aReason*/, bool /*aWritten*/) override
  {
    this->hasFailed = true;
  }

  std::unique_ptr<BackendCall> call;
  bool hasHead = false;
  bool isComplete = false;
  bool hasFailed = false;
};

} // namespace

// Guards against an answer whose head stops and that looks whole.
TEST_CASE("an answer whose head stops is never complete", "[heads]")
{
  const std::string method = GENERATE("GET", "HEAD");
  auto loop = std::move(*EventLoop::Create());
  RawSocket listener = RawSocket::Listen();
  auto client =
    std::move(*BackendClient::Create(*loop, listener.Address(), {}));
  for (const std::string& head : kHeads) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      for (const Stop stop : kStops) {
        Recorder recorder;
        recorder.call = client->Start({ method, "/x", {}, "" }, recorder);
        RawSocket server;
        REQUIRE(loop->RunUntil(
          [&] {
            listener.Accept(server);
            return server.Has("\r\n\r\n");
          },
          seconds(5)));
        server.Send(head.substr(0, size));
        End(server, stop);
        INFO(head.substr(0, size));
        REQUIRE(loop->RunUntil(
          [&] { return recorder.hasFailed || recorder.isComplete; },
          seconds(5)));
        REQUIRE(recorder.hasFailed);
        REQUIRE_FALSE(recorder.hasHead);
      }
    }
  }
}

// The same for the documents of other gateways and of the store.
TEST_CASE("a document whose head stops is an error", "[heads]")
{
  auto loop = std::move(*EventLoop::Create());
  RawSocket listener = RawSocket::Listen();
  for (const std::string& head : kHeads) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      HttpCall call;
      call.address = listener.Address();
      call.path = "/x";
      call.timeout = seconds(2);
      std::optional<HttpAnswer> answer;
      const auto exchange =
        HttpExchange::Start(*loop, call, [&answer](const HttpAnswer& aAnswer) {
          answer = aAnswer;
        });
      RawSocket server;
      REQUIRE(loop->RunUntil(
        [&] {
          listener.Accept(server);
          return server.Has("\r\n\r\n");
        },
        seconds(5)));
      server.Send(head.substr(0, size));
      server.Close();
      INFO(head.substr(0, size));
      REQUIRE(loop->RunUntil([&] { return answer.has_value(); }, seconds(5)));
      REQUIRE_FALSE(answer->status.ok());
    }
  }
}

// The same at a gateway's caller.
TEST_CASE("a caller gets no success from a head that stops", "[heads]")
{
  const std::string head = PlatformSite::AnswerHead("a-1") +
                           GENERATE("Content-Length: 2\r\n\r\n", "\r\n");
  const std::string path = GENERATE("/once/x", "/note/stream/x");
  const Stop stop = GENERATE(Stop::Close, Stop::HalfClose, Stop::Reset);
  BareSite site;
  for (std::size_t size = 0; size < head.size(); size += 5) {
    site.Begin(path);
    site.server.Send(head.substr(0, size));
    End(site.server, stop);
    INFO(head.substr(0, size));
    CHECK_FALSE(Has(site.Received(), "HTTP/1.1 200"));
  }
}
