#include <catch2/catch.hpp>

#include "support/BareSite.h"

using namespace dogwoodvale;
using test::BareSite;
using test::Ending;
using test::Has;
using test::PlatformSite;

namespace {

const std::string kIds = "Dogwoodvale-Attempt-Id: a-1\r\n"
                         "Dogwoodvale-Response-Seal: a seal\r\n";
const std::string kLine = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 5\r\n\r\nwhole";

} // namespace

// A caller would get a status that is none, or a body framed by a field that is
// none.
TEST_CASE("an answer with a malformed head does not reach the caller",
          "[heads]")
{
  const std::string answer =
    GENERATE_REF(as<std::string>{},
                 "HTTP/1.1 000 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 007 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 2000 OK\r\n" + kIds + kBody,
                 "HTTP/1.1 600 OK\r\n" + kIds + kBody,
                 "HTTP/1.1  200 OK\r\n" + kIds + kBody,
                 kLine + "X A: 1\r\n" + kIds + kBody,
                 kLine + "X\x01: 1\r\n" + kIds + kBody,
                 kLine + kIds + "Content-Length : 5\r\n\r\nwhole",
                 kLine + kIds + "Content-Length\x01: 2\r\n" + kBody,
                 kLine + kIds + "Transfer-Encoding\x0b: chunked\r\n\r\nwhole");
  INFO(answer);
  BareSite site;
  site.Begin("/once/x");
  site.Answer(answer, Ending::Close);
  CHECK(site.Received().starts_with("HTTP/1.1 502"));
  CHECK_FALSE(Has(site.Received(), "whole"));
  CHECK_FALSE(Has(site.Received(), "X"));
}

// A server may answer twice, the second time late, where the next answer on the
// connection is expected; only an id tells whose it is.
TEST_CASE("a late second answer without an id reaches nobody", "[heads]")
{
  const std::string path = GENERATE("/again/x", "/once/x");
  const bool isWhole = GENERATE(true, false);
  CAPTURE(path, isWhole);
  BareSite site;
  site.Begin(path);
  site.server.Send(kLine + kIds + kBody);
  CHECK(site.Received().ends_with("whole"));
  site.BeginOnSameConnection(path, "a-2");
  const std::string late =
    "HTTP/1.1 200 OK\r\nDogwoodvale-Response-Seal: a seal\r\n"
    "Content-Length: 5\r\n\r\nlate!";
  site.server.Send(isWhole ? late : late.substr(0, late.size() - 2));
  site.Until([] { return false; }, milliseconds(30));
  if (isWhole) {
    site.server.Send(PlatformSite::AnswerHead("a-2") +
                     "Content-Length: 5\r\n\r\nright");
    CHECK(site.Received().starts_with("HTTP/1.1 200"));
    CHECK(site.Received().ends_with("right"));
  } else {
    site.server.Close();
    CHECK(site.Received().starts_with("HTTP/1.1 50"));
  }
  CHECK_FALSE(Has(site.Received(), "lat"));
}

// A server that does not state ids still serves on a connection of its own.
TEST_CASE("an answer without an id on a new connection reaches its caller",
          "[heads]")
{
  BareSite site;
  for (int i = 0; i < 2; ++i) {
    site.Begin("/once/x");
    site.Answer("HTTP/1.1 200 OK\r\nDogwoodvale-Response-Seal: a seal\r\n"
                "Connection: close\r\n" +
                  kBody,
                Ending::Close);
    CHECK(site.Received().ends_with("whole"));
  }
}

// A server that cuts an answer and answers again would have its second head and
// body taken for the rest of the first body.
TEST_CASE("a second answer does not fill up a body that was cut", "[heads]")
{
  const std::size_t bodySize = GENERATE(12U, 300U, 20'000U);
  const std::size_t missing = GENERATE(1U, 6U, 10U);
  const bool isByLength = GENERATE(true, false);
  CAPTURE(bodySize, missing, isByLength);
  const std::string body(bodySize, 'w');
  const std::string head =
    kLine + kIds +
    (isByLength ? fmt::format("Content-Length: {}\r\n\r\n", bodySize) : "\r\n");
  BareSite site;
  site.Begin("/once/x");
  site.server.Send(head + body.substr(0, bodySize - missing));
  site.Until([] { return false; }, milliseconds(30));
  site.Answer(head + body, Ending::Close);
  CHECK(site.Received().starts_with("HTTP/1.1 502"));
  CHECK_FALSE(Has(site.Received(), "ww"));
}

TEST_CASE("a second answer behind a whole one does not harm it", "[heads]")
{
  BareSite site;
  site.Begin("/once/x");
  site.Answer(kLine + kIds + kBody + kLine + kIds + kBody, Ending::Close);
  CHECK(site.Received().starts_with("HTTP/1.1 200"));
  CHECK(site.Received().ends_with("whole"));
}

TEST_CASE("a body that tells of answers is passed on", "[heads]")
{
  const std::string body =
    GENERATE(as<std::string>{},
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.1 ",
             "seen: HTTP/1.1 200 OK\r\n",
             "Dogwoodvale-Attempt-Id: a-1\r\n\r\n");
  BareSite site;
  site.Begin("/once/x");
  site.Answer(kLine + kIds +
                fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body +
                "extra",
              Ending::Close);
  CHECK(site.Received().starts_with("HTTP/1.1 200"));
  CHECK(site.Received().ends_with(body));
}

// The head of the second answer would stand among the events.
TEST_CASE("a second answer behind a stream does not become a part of it",
          "[heads]")
{
  const std::string head =
    kLine + kIds + "Content-Type: text/event-stream\r\n\r\n";
  const std::string event = "id: 1\ndata: first\n\n";
  BareSite site;
  site.Begin("/note/stream/x");
  site.server.Send(head + event);
  site.Until([] { return false; }, milliseconds(30));
  site.server.Send(head);
  site.Until([] { return false; }, milliseconds(30));
  site.Answer(event, Ending::Close);
  const std::string& received = site.Received();
  CHECK(Has(received, event));
  CHECK(received.find("HTTP/1.1") == received.rfind("HTTP/1.1"));
  CHECK_FALSE(received.ends_with("0\r\n\r\n"));
}

// A request that may run once would run at a second server while the first one
// runs it, if it took another request's refusal for its own.
TEST_CASE("a late refusal without an id does not free a request to run again",
          "[heads]")
{
  BareSite site(2);
  const std::size_t first = site.Begin("/once/x");
  site.server.Send(kLine + kIds + kBody);
  CHECK(site.Received().ends_with("whole"));
  // The next request may go to either server.
  test::RawSocket other;
  std::string id;
  site.server.received.clear();
  for (int i = 2; !site.server.Has(" HTTP/1.1") && i < 50; ++i) {
    id = fmt::format("a-{}", i);
    other.received.clear();
    site.caller = test::RawSocket::Connect(site.gateway->CallerAddress());
    site.caller.Send(
      PlatformSite::RequestText("/once/x", id, "Connection: close\r\n"));
    REQUIRE(site.Until([&] {
      site.listeners[1 - first].Accept(other);
      return site.server.Has("\r\n\r\nbody") || other.Has("\r\n\r\nbody");
    }));
    if (!site.server.Has("body")) {
      other.Send(PlatformSite::AnswerHead(id) + kBody);
      site.Received();
    }
  }
  REQUIRE(site.server.Has("Attempt-Id: " + id));
  site.server.Send("HTTP/1.1 503 Busy\r\nDogwoodvale-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n");
  CHECK_FALSE(site.Until(
    [&] {
      site.listeners[1 - first].Accept(other);
      return other.Has("Attempt-Id: " + id);
    },
    seconds(1)));
}
