#include <catch2/catch.hpp>

#include <ctime>
#include <malloc.h>
#include <sys/resource.h>

#include "RawSockets.h"
#include "dogwoodvale/Http"

using namespace dogwoodvale;
using test::RawSocket;

namespace {

/// Keeps the exchanges, for the test to answer when it wants.
class Keeper final
  : public CallerHandler
  , public CallerExchangeHandler
{
public:
  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override
  {
    aExchange->SetHandler(this);
    this->paths.push_back(aExchange->Request().path);
    this->open.push_back(std::move(aExchange));
    if (this->answersAtOnce) {
      this->Answer();
    }
  }
  void OnCallerGone() override { this->goneAt = Now(); }
  void OnDrained() override { ++this->drained; }

  /// Answers the oldest request with its own path.
  void Answer()
  {
    auto exchange = std::move(this->open.front());
    this->open.erase(this->open.begin());
    exchange->Respond(200, {}, "<" + exchange->Request().path + ">");
  }

  std::vector<std::unique_ptr<CallerExchange>> open;
  std::vector<std::string> paths;
  std::optional<TimePoint> goneAt;
  int drained = 0;
  bool answersAtOnce = false;
};

struct Fixture
{
  explicit Fixture(const CallerBounds& aBounds = {})
    : server(std::move(*CallerServer::Create(*this->loop,
                                             { "127.0.0.1", 0 },
                                             aBounds,
                                             this->keeper)))
  {
  }

  RawSocket Connect(std::string_view aBytes = "")
  {
    RawSocket made = RawSocket::Connect(this->server->Address());
    made.Send(aBytes);
    return made;
  }

  bool Until(const std::function<bool()>& aDone,
             Duration aLimit = seconds(5)) const
  {
    return this->loop->RunUntil(aDone, aLimit);
  }
  bool HasRequests(std::size_t aCount)
  {
    return this->Until([&] { return this->keeper.open.size() >= aCount; });
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  Keeper keeper;
  std::unique_ptr<CallerServer> server;
};

const std::string kGet = "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("a request is read whole and answered, and the connection kept")
{
  Fixture f;
  RawSocket caller = f.Connect("POST /p?q HTTP/1.1\r\nHost: h\r\nX-A:  v \r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(f.HasRequests(1));
  const HttpRequest& request = f.keeper.open[0]->Request();
  REQUIRE(request.method == "POST");
  REQUIRE(request.path == "/p?q");
  REQUIRE(FindHeader(request.headers, "x-a") == "v");
  REQUIRE(request.body == "abcde");
  f.keeper.Answer();
  REQUIRE(
    f.Until([&] { return caller.Has("Content-Length: 6\r\n\r\n</p?q>"); }));
  caller.Send(kGet);
  REQUIRE(f.HasRequests(1));
  f.keeper.Answer();
  REQUIRE(f.Until([&] { return caller.Has("</a?b=1>"); }));
  REQUIRE_FALSE(caller.IsClosed());
}

// Guards against bodies that together take more memory than there is, though
// each is within its bound.
TEST_CASE("bodies of many requests share a bound")
{
  CallerBounds bounds;
  bounds.bodyBytes = 100'000;
  bounds.memoryBytes = 400'000;
  Fixture f(bounds);
  const bool isChunked = GENERATE(false, true);
  const std::string body(100'000, 'x');
  const std::string post =
    isChunked ? "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "186a0\r\n" +
                  body + "\r\n0\r\n\r\n"
              : "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + body;
  RawSocket first = f.Connect(post);
  RawSocket second = f.Connect(post);
  REQUIRE(f.HasRequests(2));
  RawSocket third = f.Connect(post);
  REQUIRE(f.Until([&] { return third.IsClosed(); }));
  REQUIRE(third.Has("HTTP/1.1 503"));
  REQUIRE(third.Has("Retry-After: 1\r\n"));
  REQUIRE_FALSE(third.wasReset);
  REQUIRE(f.server->Counters().refusedForMemory == 1);
  // Others are served, and a body's place is free again with its answer.
  RawSocket small = f.Connect(kGet);
  REQUIRE(f.HasRequests(3));
  f.keeper.Answer();
  REQUIRE(f.Until([&] { return first.Has("</>"); }));
  SECTION("answered") {}
  SECTION("left")
  {
    second.Close();
    REQUIRE(f.Until([&] { return f.keeper.goneAt.has_value(); }));
  }
  RawSocket fourth = f.Connect(post);
  REQUIRE(f.HasRequests(3));
}

// Guards against headers of the system that a caller sends behind its body.
TEST_CASE("trailers are no headers of a request")
{
  Fixture f;
  RawSocket caller = f.Connect("POST / HTTP/1.1\r\nX-A: v\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n0\r\n"
                               "X-B: t\r\nX-A: w\r\n\r\n");
  REQUIRE(f.HasRequests(1));
  const HttpRequest& request = f.keeper.open[0]->Request();
  CHECK(request.body == "abc");
  CHECK(FindHeader(request.headers, "x-b").empty());
  CHECK(FindHeader(request.headers, "x-a") == "v");
  CHECK(std::ranges::count_if(request.headers, [](const HeaderField& aField) {
          return aField.name == "X-A";
        }) == 1);
}

// Guards against losing events that a caller has not received yet as its stream
// cannot go on.
TEST_CASE("what was sent of an aborted stream arrives")
{
  Fixture f;
  RawSocket caller = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  const std::string part(100'000, 'x');
  f.keeper.open[0]->StartStream(200, {});
  for (int i = 0; i < 20; ++i) {
    f.keeper.open[0]->SendPart(part);
  }
  f.keeper.open.clear();
  f.Until([] { return false; }, milliseconds(50));
  REQUIRE(f.Until([&] { return caller.IsClosed(); }));
  REQUIRE_FALSE(caller.wasReset);
  REQUIRE(std::ranges::count(caller.received, 'x') == 2'000'000);
  REQUIRE_FALSE(caller.Has("\r\n0\r\n\r\n"));
}

TEST_CASE("pipelined requests each get their own answer, in order")
{
  Fixture f;
  f.keeper.answersAtOnce = GENERATE(false, true);
  RawSocket caller = f.Connect("GET /1 HTTP/1.1\r\n\r\n"
                               "POST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx"
                               "GET /3 HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 3 && !f.keeper.answersAtOnce; ++i) {
    REQUIRE(f.HasRequests(1));
    REQUIRE(f.keeper.paths.size() == std::size_t(i + 1));
    f.keeper.Answer();
  }
  REQUIRE(f.Until([&] { return caller.Has("</3>"); }));
  REQUIRE(caller.received.find("</1>") < caller.received.find("</2>"));
  REQUIRE(caller.received.find("</2>") < caller.received.find("</3>"));
}

TEST_CASE("a caller that leaves is noticed within 100 ms")
{
  // The caller closes while its request waits, or half way through a stream,
  // or with a pipelined request behind. Unnoticed, the engine would go on
  // generating tokens for nobody.
  const bool streaming = GENERATE(false, true);
  const bool pipelined = GENERATE(false, true);
  Fixture f;
  RawSocket caller = f.Connect(pipelined ? kGet + kGet : kGet);
  REQUIRE(f.HasRequests(1));
  if (streaming) {
    f.keeper.open[0]->StartStream(200, {});
    f.keeper.open[0]->SendPart("half");
    REQUIRE(f.Until([&] { return caller.Has("half"); }));
  }
  const TimePoint left = Now();
  caller.Close();
  REQUIRE(f.Until([&] { return f.keeper.goneAt.has_value(); }));
  REQUIRE(Between(left, *f.keeper.goneAt) < milliseconds(100));
  f.keeper.open[0]->SendPart("more");
  f.keeper.open[0]->EndStream();
  f.keeper.open.clear();
  REQUIRE(f.Until([&] { return f.server->OpenConnections() == 0; }));
  REQUIRE(f.keeper.paths.size() == 1);
}

TEST_CASE("a caller that resets its connection is gone too")
{
  Fixture f;
  RawSocket caller = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  caller.Reset();
  REQUIRE(
    f.Until([&] { return f.keeper.goneAt.has_value(); }, milliseconds(100)));
}

TEST_CASE("a caller that takes nothing of its answer is given up in the end")
{
  CallerBounds bounds;
  bounds.idleTimeout = milliseconds(60);
  Fixture f(bounds);
  RawSocket caller = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  f.keeper.open[0]->StartStream(200, {});
  f.keeper.open[0]->SendPart(std::string(16U << 20U, 'x'));
  REQUIRE(f.Until([&] { return f.keeper.goneAt.has_value(); }));
  REQUIRE(f.keeper.open[0]->PendingBytes() == 0);
}

TEST_CASE("a caller that sends far ahead is bounded, answered and let go")
{
  // Behind its request a caller pours in bytes without end. They are not
  // kept: else one caller could take the entry's memory. Its answer stays
  // whole, and that it leaves is still noticed.
  Fixture f;
  RawSocket caller = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  const std::string flood(1U << 20U, 'x');
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  ssize_t sent = 0;
  REQUIRE(f.Until([&] {
    sent += std::max<ssize_t>(caller.Send(flood), 0);
    return sent > 64 << 20;
  }));
  REQUIRE(mallinfo2().uordblks + mallinfo2().hblkhd < before + (8U << 20U));
  SECTION("answered")
  {
    f.keeper.Answer();
    REQUIRE(f.Until([&] { return caller.IsClosed(); }));
    REQUIRE(caller.Has("Connection: close\r\n\r\n</a?b=1>"));
    REQUIRE_FALSE(caller.Has(" 400 "));
  }
  SECTION("leaving")
  {
    caller.Close();
    REQUIRE(
      f.Until([&] { return f.keeper.goneAt.has_value(); }, milliseconds(100)));
  }
}

TEST_CASE("a stream comes in chunks; one that is given up never looks whole")
{
  Fixture f;
  const bool old = GENERATE(false, true);
  RawSocket caller =
    f.Connect(old ? "GET / HTTP/1.0\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n");
  REQUIRE(f.HasRequests(1));
  f.keeper.open[0]->StartStream(200, {});
  f.keeper.open[0]->SendPart("abc");
  f.keeper.open[0]->SendPart("");
  REQUIRE(
    f.Until([&] { return caller.Has(old ? "\r\n\r\nabc" : "3\r\nabc\r\n"); }));
  SECTION("ended")
  {
    f.keeper.open[0]->EndStream();
    REQUIRE(f.Until(
      [&] { return old ? caller.IsClosed() : caller.Has("0\r\n\r\n"); }));
    REQUIRE_FALSE(caller.wasReset);
  }
  SECTION("given up")
  {
    f.keeper.open.clear();
    REQUIRE(f.Until([&] { return caller.IsClosed(); }));
    // Without chunks only a reset tells it from a whole answer.
    REQUIRE(caller.wasReset == old);
    REQUIRE_FALSE(caller.Has("0\r\n\r\n"));
    REQUIRE_FALSE(f.keeper.goneAt);
  }
}

TEST_CASE("a slow reader holds its bytes and tells when they drained")
{
  Fixture f;
  RawSocket caller = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  CallerExchange& exchange = *f.keeper.open[0];
  exchange.StartStream(200, {});
  const std::string part(1U << 20U, 'x');
  for (int i = 0; i < 16; ++i) {
    exchange.SendPart(part);
  }
  REQUIRE_FALSE(
    f.Until([&] { return f.keeper.drained > 0; }, milliseconds(50)));
  REQUIRE(exchange.PendingBytes() > CallerBounds{}.lowWaterBytes);
  REQUIRE(f.Until([&] {
    caller.Read();
    return f.keeper.drained > 0;
  }));
  REQUIRE(f.keeper.drained == 1);
  REQUIRE(exchange.PendingBytes() < CallerBounds{}.lowWaterBytes);
}

TEST_CASE("what is too large or malformed is refused, counted, and no more")
{
  CallerBounds bounds;
  bounds.headerBytes = 4096;
  bounds.bodyBytes = 1000;
  Fixture f(bounds);
  const auto refused = [&](const std::string& aBytes,
                           std::string_view aStatus) {
    RawSocket caller = f.Connect(aBytes);
    INFO(aBytes.substr(0, 80));
    REQUIRE(f.Until([&] { return caller.IsClosed(); }));
    REQUIRE(caller.Has(aStatus));
    REQUIRE(caller.Has("\"disposition\":\"not_run\""));
    REQUIRE_FALSE(caller.wasReset);
  };
  const std::string big(5000, 'x');
  refused("GET /" + big + " HTTP/1.1\r\n\r\n", "HTTP/1.1 431 ");
  refused("GET / HTTP/1.1\r\nA: " + big + "\r\n\r\n", "HTTP/1.1 431 ");
  refused("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "HTTP/1.1 413 ");
  refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + big,
          "HTTP/1.1 413 ");
  REQUIRE(f.server->Counters().tooLarge == 4);
  const std::vector<std::string> malformed = {
    "NONSENSE\r\n\r\n",
    "GET / HTTP/2.7\r\n\r\n",
    "GET /a\x01 HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
    "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
    "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
    "GET / HTTP/1.1\r\nA\x01: b\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
    std::string("\x16\x03\x01\x02\x00\x01\x00", 7) + big,
  };
  for (const std::string& bytes : malformed) {
    refused(bytes, "HTTP/1.1 400 ");
  }
  REQUIRE(f.server->Counters().malformed == malformed.size());
  REQUIRE(f.keeper.paths.empty());
  RawSocket good = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
}

TEST_CASE("bytes after trailers are never taken for a request")
{
  Fixture f;
  f.keeper.answersAtOnce = true;
  RawSocket caller =
    f.Connect("POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\na\r\n0\r\nX-T: 1\r\nGET /evil HTTP/1.1\r\n\r\n");
  REQUIRE(f.Until([&] { return caller.IsClosed(); }));
  REQUIRE(f.keeper.paths == std::vector<std::string>{ "/p" });
}

TEST_CASE("slow senders are cut off and silent callers are let go")
{
  CallerBounds bounds;
  bounds.readTimeout = milliseconds(60);
  bounds.idleTimeout = milliseconds(60);
  Fixture f(bounds);
  f.keeper.answersAtOnce = true;
  RawSocket slow = f.Connect("GET /");
  RawSocket idle = f.Connect(kGet);
  RawSocket mute = f.Connect();
  // One byte now and then does not buy more time.
  Timer trickle(*f.loop, [&] { slow.Send("a"); });
  trickle.StartRepeating(milliseconds(10));
  REQUIRE(f.Until([&] { return slow.IsClosed(); }, milliseconds(500)));
  REQUIRE(slow.Has("HTTP/1.1 408 "));
  REQUIRE(f.Until([&] { return idle.IsClosed() && mute.IsClosed(); }));
  REQUIRE(idle.Has("</a?b=1>"));
  REQUIRE(f.server->Counters().readTimeouts == 1);
}

TEST_CASE("connections over the bound are refused, not queued")
{
  CallerBounds bounds;
  bounds.connections = 2;
  Fixture f(bounds);
  RawSocket one = f.Connect(kGet);
  RawSocket two = f.Connect(kGet);
  REQUIRE(f.HasRequests(2));
  RawSocket three = f.Connect();
  REQUIRE(f.Until([&] { return three.IsClosed(); }));
  REQUIRE(three.Has("HTTP/1.1 503 "));
  REQUIRE(f.server->Counters().refusedConnections == 1);
  two.Close();
  REQUIRE(f.Until([&] { return f.server->OpenConnections() == 1; }));
  RawSocket four = f.Connect(kGet);
  REQUIRE(f.HasRequests(3));
}

// Guards against connections that say nothing keeping out callers that do.
TEST_CASE("a connection without a request makes way for a new one")
{
  CallerBounds bounds;
  bounds.connections = 2;
  Fixture f(bounds);
  RawSocket busy = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  RawSocket quiet = f.Connect(GENERATE("", "POST / HTTP/1.1\r\n"));
  REQUIRE(f.Until([&] { return f.server->OpenConnections() == 2; }));
  SECTION("not at once, so that its request can come")
  {
    RawSocket early = f.Connect(kGet);
    REQUIRE(f.Until([&] { return early.IsClosed(); }));
    REQUIRE(early.Has("HTTP/1.1 503 "));
    REQUIRE(f.server->Counters().closedForNew == 0);
    return;
  }
  f.Until([] { return false; }, milliseconds(300));
  RawSocket next = f.Connect(kGet);
  REQUIRE(f.HasRequests(2));
  REQUIRE(f.Until([&] { return quiet.IsClosed(); }));
  REQUIRE(f.server->Counters().closedForNew == 1);
  REQUIRE(f.server->Counters().refusedConnections == 0);
  REQUIRE_FALSE(busy.IsClosed());
}

TEST_CASE("a caller that never closes is closed after its last answer")
{
  Fixture f;
  RawSocket caller = f.Connect("NONSENSE\r\n\r\n");
  REQUIRE(f.Until([&] { return caller.Has("HTTP/1.1 400 "); }));
  REQUIRE(f.server->OpenConnections() == 1);
  REQUIRE(f.Until([&] { return f.server->OpenConnections() == 0; }));
}

TEST_CASE("with no descriptor left the loop does not spin, and goes on later")
{
  Fixture f;
  RawSocket caller = RawSocket::Unconnected();
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = dup(0);
  close(next);
  const rlimit none{ rlim_t(next), before.rlim_max };
  setrlimit(RLIMIT_NOFILE, &none);
  caller.ConnectTo(f.server->Address());
  caller.Send(kGet);
  const std::clock_t start = std::clock();
  f.Until([] { return false; }, milliseconds(200));
  const double cpuSeconds = double(std::clock() - start) / CLOCKS_PER_SEC;
  setrlimit(RLIMIT_NOFILE, &before);
  REQUIRE(cpuSeconds < 0.1);
  REQUIRE(f.HasRequests(1));
}

TEST_CASE("a planned stop finishes what is begun and closes then")
{
  Fixture f;
  const bool begun = GENERATE(false, true);
  RawSocket caller = f.Connect(kGet);
  RawSocket idle = f.Connect();
  REQUIRE(f.HasRequests(1));
  if (begun) {
    f.keeper.open[0]->StartStream(200, {});
  }
  f.server->StopAccepting();
  REQUIRE(RawSocket::Connect(f.server->Address()).Send("x") < 0);
  if (begun) {
    f.keeper.open[0]->SendPart("last");
    f.keeper.open[0]->EndStream();
  } else {
    f.keeper.Answer();
  }
  REQUIRE(f.Until([&] { return caller.IsClosed(); }));
  REQUIRE(caller.Has(begun ? "last\r\n0\r\n\r\n" : "Connection: close"));
  REQUIRE_FALSE(caller.wasReset);
  caller.Close();
  f.server->CloseIdleConnections();
  REQUIRE(f.Until([&] { return f.server->OpenConnections() == 0; }));
}

// Guards against a reset of connections whose requests have come, be they not
// accepted yet or kept and unread.
TEST_CASE("what has come before accepting ends is read")
{
  Fixture f;
  RawSocket kept = f.Connect(kGet);
  REQUIRE(f.HasRequests(1));
  f.keeper.Answer();
  REQUIRE(f.Until([&] { return kept.Has("</a?b=1>"); }));
  // Longer than a request may be on its way.
  f.Until([] { return false; }, milliseconds(300));
  kept.Send("GET /kept HTTP/1.1\r\n\r\n");
  RawSocket waits = f.Connect("GET /waits HTTP/1.1\r\n\r\n");
  f.server->StopAccepting();
  f.server->CloseIdleConnections();
  REQUIRE(f.HasRequests(2));
  f.keeper.Answer();
  f.keeper.Answer();
  REQUIRE(f.Until([&] { return kept.Has("</kept>"); }));
  REQUIRE(f.Until([&] { return waits.Has("</waits>"); }));
}

TEST_CASE("HEAD, HTTP/1.0 and Expect get what they ask for")
{
  Fixture f;
  f.keeper.answersAtOnce = true;
  RawSocket head = f.Connect("HEAD /h HTTP/1.1\r\n\r\n");
  REQUIRE(f.Until([&] { return head.Has("Content-Length: 4\r\n\r\n"); }));
  REQUIRE_FALSE(head.Has("</h>"));
  RawSocket old = f.Connect("GET /o HTTP/1.0\r\n\r\n");
  REQUIRE(f.Until([&] { return old.IsClosed() && old.Has("</o>"); }));
  RawSocket expects = f.Connect("POST /e HTTP/1.1\r\nContent-Length: 1\r\n"
                                "Expect: 100-continue\r\n\r\n");
  REQUIRE(
    f.Until([&] { return expects.Has("HTTP/1.1 100 Continue\r\n\r\n"); }));
  expects.Send("x");
  REQUIRE(f.Until([&] { return expects.Has("</e>"); }));
}
