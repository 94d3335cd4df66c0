#include <csignal>

#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Gateway"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

class Protocol final : public BackendProtocol
{
public:
  HttpRequest Compose(const HttpRequest& aRequest,
                      const BackendRequestMetadata&) const override
  {
    return aRequest;
  }
  BackendAnswer ReadHead(int aStatus,
                         std::span<const HeaderField> aHeaders) const override
  {
    BackendAnswer answer;
    answer.status = aStatus;
    answer.attemptId = FindHeader(aHeaders, "attempt");
    answer.isGenuine = !FindHeader(aHeaders, "seal").empty();
    answer.mediaType = FindHeader(aHeaders, "content-type");
    return answer;
  }
  std::vector<HeaderField> ForwardedHeaders(
    std::span<const HeaderField> aHeaders) const override
  {
    return { aHeaders.begin(), aHeaders.end() };
  }
};

class Recorder final : public AttemptListener
{
public:
  void OnAttemptConnected() override {}
  void OnAttemptHead(const BackendAnswer&) override {}
  void OnAttemptEvents(std::string_view aBytes) override
  {
    this->events += aBytes;
  }
  void OnAttemptStreamEnd() override { this->complete = true; }
  void OnAttemptAnswer(std::string_view aBody) override
  {
    this->body = aBody;
    this->complete = true;
  }
  void OnAttemptFailed(AttemptFailure aFailure, std::string_view) override
  {
    this->failure = aFailure;
  }
  void OnAttemptSilent() override {}
  bool Ended() const { return this->complete || this->failure; }

  std::string events;
  std::string body;
  bool complete = false;
  std::optional<AttemptFailure> failure;
};

/// A server of which the test writes every byte, and attempts at it.
struct Server
{
  Server()
    : client(std::move(
        *BackendClient::Create(*this->loop, this->listener.Address(), {})))
  {
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// Begins the next attempt and takes its request at the server.
  void Begin(const std::string& aId, bool aExpectsStream = false)
  {
    DirectAttempt::Plan plan;
    plan.attemptId = aId;
    plan.expectsStream = aExpectsStream;
    this->attempt.reset();
    this->recorder = {};
    this->socket.received.clear();
    this->attempt = std::make_unique<DirectAttempt>(
      *this->loop, this->protocol, this->buffers, plan, this->recorder);
    this->attempt->Start(*this->client, { "POST", "/x", {}, "body" });
    REQUIRE(this->Until([&] {
      this->listener.Accept(this->socket);
      return this->socket.Has("\r\n\r\nbody");
    }));
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  RawSocket listener = RawSocket::Listen();
  RawSocket socket;
  Protocol protocol;
  AnswerBuffers buffers{ 1U << 20U };
  std::unique_ptr<BackendClient> client;
  Recorder recorder;
  std::unique_ptr<DirectAttempt> attempt;
};

const std::string kStreamHead = "HTTP/1.1 200 OK\r\nattempt: a\r\nseal: s\r\n"
                                "Content-Type: text/event-stream\r\n\r\n";

} // namespace

// A caller would get an event that ends with the head of the second answer.
TEST_CASE("a second answer inside an event does not become a part of it",
          "[attempt]")
{
  const std::string cut =
    GENERATE(as<std::string>{}, "id: 2\ndata: sec", "id: 2", "da", "");
  CAPTURE(cut);
  Server server;
  server.Begin("a", true);
  server.socket.Send(kStreamHead + "id: 1\ndata: first\n\n" + cut);
  REQUIRE(server.Until([&] { return !server.recorder.events.empty(); }));
  server.socket.Send(kStreamHead);
  server.Until([] { return false; }, milliseconds(20));
  server.socket.Send("id: 3\ndata: third\n\n");
  server.socket.Close();
  REQUIRE(server.Until([&] { return server.recorder.Ended(); }));
  CHECK(server.recorder.events == "id: 1\ndata: first\n\n");
  CHECK(server.recorder.failure == AttemptFailure::Garbled);
}

TEST_CASE("an event that tells of answers is passed on", "[attempt]")
{
  const std::string event =
    "id: 1\ndata: HTTP/1.1 200 OK\r\ndata: attempt: a\r\n\r\n";
  Server server;
  server.Begin("a", true);
  server.socket.Send(kStreamHead + event);
  server.socket.Close();
  REQUIRE(server.Until([&] { return server.recorder.Ended(); }));
  CHECK(server.recorder.events == event);
  CHECK(server.recorder.complete);
}

// Its answer would be read over, and the request last to its time limit.
TEST_CASE("a request without an id gets its answer on a second connection",
          "[attempt]")
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nseal: s\r\nContent-Length: 5\r\n\r\n";
  Server server;
  for (const std::string body : { "first", "other" }) {
    server.Begin("");
    server.socket.Send(answer + body);
    CHECK(server.Until([&] { return server.recorder.Ended(); }, seconds(1)));
    CHECK(server.recorder.body == body);
  }
}
