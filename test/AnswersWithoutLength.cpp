#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "support/BareSite.h"

using namespace dogwoodvale;
using test::BareSite;
using test::Ending;
using test::Has;
using test::PlatformSite;
using test::RawSocket;

namespace {

const std::string kHead = PlatformSite::AnswerHead("a-1");
const std::string kStreamHead =
  kHead + "Content-Type: text/event-stream\r\n\r\n";
const std::string kPlainHead = kHead + "\r\n";
const std::string kFirst = "id: 1\ndata: first\n\n";
/// The second event, which ends with a character of three bytes and a break.
const std::string kSecond = "id: 2\ndata: caf\xe2\x82\xac\n\n";
constexpr std::size_t kBreakBytes = 2;

} // namespace

TEST_CASE("an answer that ends with its connection reaches the caller whole",
          "[close]")
{
  BareSite site;
  SECTION("a stream")
  {
    site.Begin("/note/stream/x");
    site.Answer(kStreamHead + kFirst + kSecond, Ending::Close);
    CHECK(Has(site.Received(), kFirst));
    CHECK(Has(site.Received(), kSecond));
    CHECK(site.Received().ends_with("\r\n0\r\n\r\n"));
  }
  SECTION("a stream, to a caller without chunks")
  {
    site.Begin("/note/stream/x", "HTTP/1.0");
    site.Answer(kStreamHead + kFirst + kSecond, Ending::Close);
    CHECK(site.Received().ends_with("\r\n\r\n" + kFirst + kSecond));
    CHECK_FALSE(site.caller.wasReset);
  }
  SECTION("a plain answer")
  {
    site.Begin("/once/x");
    site.Answer(kPlainHead + "whole", Ending::Close);
    CHECK(site.Received().starts_with("HTTP/1.1 200"));
    CHECK(Has(site.Received(), "Content-Length: 5\r\n"));
    CHECK(site.Received().ends_with("\r\n\r\nwhole"));
  }
}

// An answer that was broken off must not look complete.
TEST_CASE("an answer that is broken off does not look complete", "[close]")
{
  BareSite site;
  const std::string whole = kFirst + kSecond;
  const auto without = [&whole](std::size_t aBytes) {
    return whole.substr(0, whole.size() - aBytes);
  };
  SECTION("streams")
  {
    const std::string protocol = GENERATE("HTTP/1.1", "HTTP/1.0");
    SECTION("closed inside an event")
    {
      site.Begin("/note/stream/x", protocol);
      site.Answer(kStreamHead + without(8), Ending::Close);
    }
    SECTION("closed inside a character")
    {
      site.Begin("/note/stream/x", protocol);
      site.Answer(kStreamHead + without(kBreakBytes + 1), Ending::Close);
    }
    SECTION("closed before the break that ends an event")
    {
      site.Begin("/note/stream/x", protocol);
      site.Answer(kStreamHead + without(kBreakBytes), Ending::Close);
    }
    SECTION("reset after an event")
    {
      site.Begin("/note/stream/x", protocol);
      site.Answer(kStreamHead + kFirst, Ending::Reset);
    }
    CHECK(Has(site.Received(), kFirst));
    CHECK_FALSE(Has(site.Received(), "caf"));
    CHECK_FALSE(site.Received().ends_with("0\r\n\r\n"));
    // Without chunks only a reset tells it from a whole answer.
    CHECK(site.caller.wasReset == (protocol == std::string("HTTP/1.0")));
  }
  SECTION("a stream closed after its head")
  {
    site.Begin("/note/stream/x");
    site.Answer(kStreamHead, Ending::Close);
    CHECK(site.Received().starts_with("HTTP/1.1 502"));
  }
  SECTION("a plain answer that is reset")
  {
    site.Begin("/once/x");
    site.Answer(kPlainHead + "half", Ending::Reset);
    CHECK(site.Received().starts_with("HTTP/1.1 502"));
    CHECK_FALSE(Has(site.Received(), "half"));
  }
  SECTION("a plain answer with no proof")
  {
    site.Begin("/once/x");
    site.Answer("HTTP/1.1 200 OK\r\n\r\nwhole", Ending::Close);
    CHECK(site.Received().starts_with("HTTP/1.1 502"));
  }
}

// The write of the request's rest takes the error of the reset, after which the
// connection reads as closed.
TEST_CASE("an early answer that is reset during the upload does not look whole",
          "[close]")
{
  std::signal(SIGPIPE, SIG_IGN);
  BareSite site;
  site.AllowBodies(8U << 20U);
  const std::string upload(7U << 20U, 'x');
  const bool isStream = GENERATE(false, true);
  CAPTURE(isStream);
  site.BeginUpload(isStream ? "/note/stream/x" : "/once/x", upload);
  site.server.Send(isStream ? kStreamHead + kFirst : kPlainHead + "half");
  site.Until([] { return false; }, milliseconds(30));
  site.server.Reset();
  const std::string& received = site.Received();
  CHECK(Has(received, kFirst) == isStream);
  CHECK_FALSE(received.ends_with("0\r\n\r\n"));
  CHECK(received.starts_with(isStream ? "HTTP/1.1 200" : "HTTP/1.1 502"));
}

// On a busy gateway the look at what a silent server has sent comes before the
// read, and takes the error of the reset.
TEST_CASE("an answer that is reset while its server is silent does not look "
          "whole",
          "[close]")
{
  BareSite site;
  const bool isStream = GENERATE(false, true);
  CAPTURE(isStream);
  const TimePoint begun = Now();
  site.Begin(isStream ? "/stream/x" : "/again/x");
  site.server.Send(isStream ? kStreamHead + kFirst : kPlainHead + "half");
  const TimePoint sent = Now();
  // The gateway looks 750 ms after the request (half the caller's time) or
  // 900 ms after the last event, and each 100 ms from then on.
  const TimePoint look =
    isStream ? sent + milliseconds(905) : begun + milliseconds(755);
  site.Until([&] { return Now() >= look - milliseconds(40); });
  Timer busy(*site.loop, [&] {
    site.server.Reset();
    std::this_thread::sleep_for(milliseconds(20));
  });
  busy.StartOnce(milliseconds(1));
  std::this_thread::sleep_until(look + milliseconds(20));
  const std::string& received = site.Received();
  CHECK(Has(received, kFirst) == isStream);
  CHECK_FALSE(received.ends_with("0\r\n\r\n"));
  CHECK_FALSE(Has(received, "half"));
}

TEST_CASE("a stream that ends inside an event is resumed after it", "[close]")
{
  BareSite site(2);
  const std::size_t first = site.Begin("/stream/x");
  site.Answer(kStreamHead + kFirst + kSecond.substr(0, 9), Ending::Close);
  CHECK(site.Take() != first);
  CHECK(site.server.Has("Last-Event-Id: 1\r\n"));
  site.Answer(kStreamHead + kSecond, Ending::Close);
  CHECK(Has(site.Received(), kFirst));
  CHECK(Has(site.Received(), kSecond));
  CHECK(site.Received().ends_with("\r\n0\r\n\r\n"));
}

// A server that crashes ends the connections of answers without a length in
// order, so that no error tells of it.
TEST_CASE("a server that ends after a half event is seen to have crashed",
          "[close]")
{
  BareSite site;
  site.Begin("/note/stream/x");
  site.listeners[0].Close();
  SECTION("inside its first event")
  {
    site.Answer(kStreamHead + kFirst.substr(0, 9), Ending::Close);
  }
  SECTION("after its head")
  {
    site.Answer(kStreamHead, Ending::Close);
  }
  site.Received();
  CHECK(site.Until([&] {
    return Has(site.gateway->Metrics(), "{reason=\"servers_crashed\"} 1\n");
  }));
  CHECK(Has(site.gateway->Metrics(), "{reason=\"crash_suspects\"} 1\n"));
}

// The server would take the next request for a part of a connection that it is
// about to close.
TEST_CASE("a connection that ends an answer is not used again", "[close]")
{
  BareSite site;
  site.Begin("/again/x");
  site.server.Send(kPlainHead + "whole");
  CHECK_FALSE(
    site.Until([&] { return site.caller.IsClosed(); }, milliseconds(100)));
  site.server.Close();
  CHECK(site.Received().ends_with("whole"));
  site.Begin("/again/x");
  site.Answer(kPlainHead + "next", Ending::Close);
  CHECK(site.Received().ends_with("next"));
}
