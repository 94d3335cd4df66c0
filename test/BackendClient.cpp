#include <catch2/catch.hpp>

#include "RawSockets.h"
#include "dogwoodvale/Http"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

class Recorder final : public BackendCallHandler
{
public:
  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override
  {
    this->status = aStatus;
    this->headers.assign(aHeaders.begin(), aHeaders.end());
    ++this->heads;
  }
  void OnBody(std::string_view aBytes) override
  {
    this->body += aBytes;
    if (this->cancelsInBody) {
      this->call.reset();
    }
  }
  void OnComplete(AnswerEnd aEnd) override
  {
    this->complete = true;
    this->end = aEnd;
  }
  void OnFailed(const absl::Status& aReason, bool aWritten) override
  {
    this->failed = true;
    this->reason = aReason;
    this->written = aWritten;
  }
  bool Ended() const { return this->complete || this->failed; }

  std::unique_ptr<BackendCall> call;
  int status = 0;
  int heads = 0;
  std::vector<HeaderField> headers;
  std::string body;
  bool complete = false;
  std::optional<AnswerEnd> end;
  bool failed = false;
  bool written = false;
  bool cancelsInBody = false;
  absl::Status reason;
};

struct Fixture
{
  explicit Fixture(const BackendClientOptions& aOptions = {})
    : client(std::move(*BackendClient::Create(*this->loop,
                                              this->listener.Address(),
                                              aOptions)))
  {
  }

  void Start(Recorder& aRecorder, const HttpRequest& aRequest)
  {
    aRecorder.call = this->client->Start(aRequest, aRecorder);
  }
  /// Starts a call and takes it at the server's end.
  void Exchange(Recorder& aRecorder)
  {
    this->Start(aRecorder, { "POST", "/x", {}, "body" });
    REQUIRE(this->Until([&] {
      this->listener.Accept(this->server);
      return this->server.Has("\r\n\r\nbody");
    }));
    this->server.received.clear();
  }
  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  RawSocket listener = RawSocket::Listen();
  RawSocket server;
  std::unique_ptr<BackendClient> client;
};

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a call is written whole and its answer comes as it arrives")
{
  Fixture f;
  Recorder r;
  f.Start(r,
          { "POST",
            "/p?q",
            { { "X-A", "v" }, { "Connection", "X-B" }, { "X-B", "hop" } },
            "body" });
  REQUIRE(f.Until([&] {
    f.listener.Accept(f.server);
    return f.server.Has("body");
  }));
  REQUIRE(f.server.Has("POST /p?q HTTP/1.1\r\nX-A: v\r\nHost: 127.0.0.1:"));
  REQUIRE(f.server.Has("Content-Length: 4\r\n\r\nbody"));
  REQUIRE_FALSE(f.server.Has("X-B"));
  f.server.Send(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: 1\r\n\r\n" +
    kChunked + "3\r\nabc\r\n");
  REQUIRE(f.Until([&] { return r.body == "abc"; }));
  REQUIRE(r.status == 200);
  REQUIRE(r.heads == 1);
  REQUIRE_FALSE(r.Ended());
  f.server.Send("2\r\nde\r\n0\r\n\r\n");
  REQUIRE(f.Until([&] { return r.Ended(); }));
  REQUIRE(r.complete);
  REQUIRE(r.body == "abcde");
  REQUIRE(f.client->IdleConnections() == 1);
}

TEST_CASE("a clean connection serves the next call")
{
  Fixture f;
  for (int i = 0; i < 3; ++i) {
    Recorder r;
    f.Exchange(r);
    f.server.Send(kOk);
    REQUIRE(f.Until([&] { return r.Ended(); }));
    REQUIRE(r.complete);
    REQUIRE(f.client->IdleConnections() == 1);
  }
  RawSocket second;
  REQUIRE_FALSE(f.listener.Accept(second));
}

TEST_CASE(
  "an answer that is cut is never complete and its connection is closed")
{
  // The server dies while it answers: in the head, inside a chunk, between
  // chunks, before the last one, short of its length, before anything. Taken
  // for whole, the caller would act on half an answer.
  const std::string bytes = GENERATE(
    as<std::string>{},
    "",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n");
  Fixture f;
  Recorder r;
  f.Exchange(r);
  f.server.Send(bytes);
  f.server.Close();
  REQUIRE(f.Until([&] { return r.Ended(); }));
  REQUIRE(r.failed);
  REQUIRE(r.written);
  REQUIRE(f.client->IdleConnections() == 0);
}

TEST_CASE("a malformed answer fails the call")
{
  const std::string bytes = GENERATE(
    as<std::string>{},
    "garbage\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 20\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX",
    "HTTP/1.1 200 OK\r\nA: " + std::string(40000, 'x'));
  Fixture f;
  Recorder r;
  f.Exchange(r);
  f.server.Send(bytes);
  REQUIRE(f.Until([&] { return r.Ended(); }));
  REQUIRE(r.failed);
  REQUIRE(r.written);
  REQUIRE(f.Until([&] { return f.server.IsClosed(); }));
}

TEST_CASE("an answer without a length ends when the server closes")
{
  Fixture f;
  Recorder r;
  f.Exchange(r);
  f.server.Send("HTTP/1.0 200 OK\r\n\r\nall of it");
  REQUIRE(f.Until([&] { return r.body == "all of it"; }));
  REQUIRE_FALSE(r.Ended());
  f.server.Close();
  REQUIRE(f.Until([&] { return r.Ended(); }));
  REQUIRE(r.complete);
  REQUIRE(f.client->IdleConnections() == 0);
}

TEST_CASE("a connection with any doubt is not used again")
{
  // Bytes beyond the answer, a close announced, a wrong length: the next call
  // on that connection would get what was meant for the last one.
  const std::string bytes = GENERATE(
    as<std::string>{},
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + kOk,
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    kChunked + "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n");
  Fixture f;
  Recorder r;
  f.Exchange(r);
  f.server.Send(bytes);
  REQUIRE(f.Until([&] { return r.Ended(); }));
  REQUIRE(r.complete);
  REQUIRE(r.body == "ok");
  REQUIRE(f.client->IdleConnections() == 0);
  REQUIRE(f.Until([&] { return f.server.IsClosed(); }));
}

TEST_CASE("a pooled connection that the server closes or speaks on is dropped")
{
  const bool speaks = GENERATE(false, true);
  const bool loopRuns = GENERATE(false, true);
  Fixture f;
  Recorder first;
  f.Exchange(first);
  f.server.Send(kOk);
  REQUIRE(f.Until([&] { return first.Ended(); }));
  if (speaks) {
    f.server.Send(kOk);
  } else {
    f.server.Close();
  }
  if (loopRuns) {
    REQUIRE(f.Until([&] { return f.client->IdleConnections() == 0; }));
  }
  RawSocket old = std::move(f.server);
  Recorder second;
  f.Exchange(second);
  f.server.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  REQUIRE(f.Until([&] { return second.Ended(); }));
  REQUIRE(second.body == "new");
}

TEST_CASE("HEAD and 204 have no body, whatever their length says")
{
  Fixture f;
  Recorder head;
  f.Start(head, { "HEAD", "/", {}, "" });
  REQUIRE(f.Until([&] {
    f.listener.Accept(f.server);
    return f.server.Has("\r\n\r\n");
  }));
  f.server.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  REQUIRE(f.Until([&] { return head.Ended(); }));
  REQUIRE(head.complete);
  REQUIRE(f.client->IdleConnections() == 1);
  Recorder none;
  f.Exchange(none);
  f.server.Send("HTTP/1.1 204 No Content\r\n\r\n");
  REQUIRE(f.Until([&] { return none.Ended(); }));
  REQUIRE(none.complete);
}

TEST_CASE("only a call of which nothing was sent counts as not written")
{
  BackendClientOptions options;
  options.connectTimeout = milliseconds(50);
  options.idleTimeout = milliseconds(50);
  SECTION("refused")
  {
    Fixture f(options);
    f.listener.Close();
    Recorder r;
    f.Start(r, { "GET", "/", {}, "" });
    REQUIRE_FALSE(r.Ended());
    REQUIRE(f.Until([&] { return r.failed; }));
    REQUIRE_FALSE(r.written);
  }
  SECTION("not accepted in time")
  {
    Fixture f(options);
    f.listener = RawSocket::Listen(0);
    f.client =
      std::move(*BackendClient::Create(*f.loop, f.listener.Address(), options));
    RawSocket filler = RawSocket::Connect(f.listener.Address());
    Recorder r;
    f.Start(r, { "GET", "/", {}, "" });
    REQUIRE(f.Until([&] { return r.failed; }));
    REQUIRE_FALSE(r.written);
    REQUIRE(r.reason.code() == absl::StatusCode::kDeadlineExceeded);
  }
  SECTION("silent")
  {
    Fixture f(options);
    Recorder r;
    f.Exchange(r);
    REQUIRE(f.Until([&] { return r.failed; }));
    REQUIRE(r.written);
    REQUIRE(r.reason.code() == absl::StatusCode::kDeadlineExceeded);
  }
  SECTION("unfit to be sent")
  {
    Fixture f(options);
    Recorder r;
    f.Start(r, { "GET", "/", { { "A", "b\r\nEvil: 1" } }, "" });
    REQUIRE(f.Until([&] { return r.failed; }));
    REQUIRE_FALSE(r.written);
  }
}

TEST_CASE("cancelling closes the connection at once, also from a callback")
{
  Fixture f;
  Recorder r;
  f.Exchange(r);
  r.cancelsInBody = GENERATE(false, true);
  f.server.Send(kChunked + "2\r\nab\r\n2\r\ncd\r\n");
  if (!r.cancelsInBody) {
    REQUIRE(f.Until([&] { return r.body == "abcd"; }));
    r.call.reset();
  }
  const TimePoint cancelled = Now();
  REQUIRE(f.Until([&] { return f.server.IsClosed(); }));
  REQUIRE(Between(cancelled, Now()) < milliseconds(100));
  REQUIRE(r.body == (r.cancelsInBody ? "ab" : "abcd"));
  REQUIRE_FALSE(r.Ended());
}

TEST_CASE("a paused call takes no more than a bounded amount, and goes on")
{
  Fixture f;
  Recorder r;
  f.Exchange(r);
  r.call->SetReadingPaused(true);
  const std::string part = "100000\r\n" + std::string(1U << 20U, 'x') + "\r\n";
  std::string left = kChunked;
  for (int i = 0; i < 32; ++i) {
    left += part;
  }
  left += "0\r\n\r\n";
  const auto push = [&] {
    const ssize_t count = f.server.Send(left);
    left.erase(0, std::size_t(std::max<ssize_t>(count, 0)));
  };
  REQUIRE_FALSE(f.Until(
    [&] {
      push();
      return left.empty();
    },
    milliseconds(100)));
  REQUIRE(r.body.empty());
  r.call->SetReadingPaused(false);
  REQUIRE(f.Until(
    [&] {
      push();
      return r.Ended();
    },
    seconds(20)));
  REQUIRE(r.complete);
  REQUIRE(r.body.size() == 32U << 20U);
}

namespace {

/// Knows its own answer by a header.
class Owner final : public BackendCallHandler
{
public:
  bool IsOwnAnswer(std::span<const HeaderField> aHeaders,
                   bool /*aIsFirst*/) override
  {
    return FindHeader(aHeaders, "x-id") == "own";
  }
  void OnHead(int aStatus, std::span<const HeaderField>) override
  {
    this->status = aStatus;
  }
  void OnBody(std::string_view aBytes) override { this->body += aBytes; }
  void OnComplete(AnswerEnd /*aEnd*/) override { this->complete = true; }
  void OnFailed(const absl::Status&, bool) override { this->failed = true; }

  std::unique_ptr<BackendCall> call;
  int status = 0;
  std::string body;
  bool complete = false;
  bool failed = false;
};

} // namespace

// A caller gets the answer to somebody else's request: the server sent a second
// answer to the one before, late, just where the next was expected.
TEST_CASE("an answer to an earlier request is read over", "[backend]")
{
  Fixture fixture;
  Owner owner;
  owner.call = fixture.client->Start({ "POST", "/x", {}, "body" }, owner);
  REQUIRE(fixture.Until([&] {
    fixture.listener.Accept(fixture.server);
    return fixture.server.Has("\r\n\r\nbody");
  }));
  fixture.server.Send("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n"
                      "\r\nwrongHTTP/1.1 201 Created\r\nX-Id: own\r\n"
                      "Content-Length: 5\r\n\r\nright");
  REQUIRE(fixture.Until([&] { return owner.complete || owner.failed; }));
  CHECK(owner.complete);
  CHECK(owner.status == 201);
  CHECK(owner.body == "right");
}

TEST_CASE("a call that asks for a fresh connection gets no stale one",
          "[backend]")
{
  Fixture fixture;
  Recorder first;
  fixture.Exchange(first);
  fixture.server.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(fixture.Until([&] { return first.Ended(); }));
  REQUIRE(fixture.client->IdleConnections() == 1);
  fixture.Until([] { return false; }, milliseconds(60));
  Recorder second;
  second.call = fixture.client->StartFresh(
    { "POST", "/x", {}, "body" }, second, milliseconds(30));
  RawSocket another;
  CHECK(fixture.Until([&] { return fixture.listener.Accept(another); }));
  CHECK(fixture.client->OpenConnections() == 2);
  fixture.client->CloseIdleConnections();
  CHECK(fixture.client->OpenConnections() == 1);
}

// A request is lost in a connection that the server had said it would close.
TEST_CASE("a connection is not used beyond its keep-alive time", "[backend]")
{
  Fixture fixture;
  Recorder first;
  fixture.Exchange(first);
  fixture.server.Send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                      "Content-Length: 2\r\n\r\nok");
  REQUIRE(fixture.Until([&] { return first.Ended(); }));
  REQUIRE(fixture.client->IdleConnections() == 1);
  fixture.Until([] { return false; }, milliseconds(850));
  Recorder second;
  fixture.Start(second, { "POST", "/x", {}, "body" });
  RawSocket another;
  CHECK(fixture.Until([&] { return fixture.listener.Accept(another); }));
}

// A server that broke off an answer is asked whether it ended or lost that one.
TEST_CASE("a probe tells a server that has ended", "[backend]")
{
  Fixture fixture;
  std::vector<ProbeResult> results;
  const auto note = [&](ProbeResult aResult) { results.push_back(aResult); };
  fixture.client->Probe(note);
  REQUIRE(fixture.Until([&] { return !results.empty(); }));
  CHECK(results[0] == ProbeResult::Accepted);
  SECTION("its connection is kept for the next call")
  {
    CHECK(fixture.client->IdleConnections() == 1);
    Recorder recorder;
    fixture.Exchange(recorder);
    CHECK(fixture.client->OpenConnections() == 1);
  }
  SECTION("nothing listens any more")
  {
    fixture.listener.Close();
    fixture.client->Probe(note);
    REQUIRE(fixture.Until([&] { return results.size() == 2; }));
    CHECK(results[1] == ProbeResult::Refused);
  }
}

// A server that was slow to accept would count as crashed, and the request that
// it had broken off as what crashed it.
TEST_CASE("a probe that takes too long is not refused by another's error",
          "[backend]")
{
  BackendClientOptions options;
  options.connectTimeout = milliseconds(200);
  Fixture fixture(options);
  RawSocket busy = RawSocket::Listen(0);
  const RawSocket waiting = RawSocket::Connect(busy.Address());
  const auto slow =
    std::move(*BackendClient::Create(*fixture.loop, busy.Address(), options));
  std::optional<ProbeResult> result;
  slow->Probe([&](ProbeResult aResult) { result = aResult; });
  std::vector<ProbeResult> refused;
  fixture.listener.Close();
  fixture.client->Probe(
    [&](ProbeResult aResult) { refused.push_back(aResult); });
  REQUIRE(fixture.Until([&] { return result.has_value(); }));
  CHECK(refused == std::vector{ ProbeResult::Refused });
  CHECK(result == ProbeResult::Unclear);
}
