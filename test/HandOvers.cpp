#include <catch2/catch.hpp>

#include "support/BareSite.h"

using namespace dogwoodvale;
using test::BareSite;
using test::Has;
using test::PlatformSite;
using test::RawSocket;

namespace {

constexpr milliseconds kTimeLimit(8000);
const std::string kId = "a-1";

std::string
Chunk(const std::string& aText)
{
  return fmt::format("{:x}\r\n{}\r\n", aText.size(), aText);
}

std::string
Event(int aNumber)
{
  return Chunk(fmt::format("id: {0}\ndata: piece {0}\n\n", aNumber));
}

const std::string kEnd = "0\r\n\r\n";
const std::string kStreamHead = PlatformSite::AnswerHead(kId) +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
const std::string kRejection = PlatformSite::Rejection(kId);

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/// One caller's request at a server that falls silent, beside another server.
struct HandOverSite : BareSite
{
  explicit HandOverSite(const std::string& aPath)
    : BareSite(2)
  {
    this->PutConfiguration(2, static_cast<int>(kTimeLimit.count()));
    REQUIRE(this->Until([this] {
      return Has(this->gateway->Statusz(), "\"routes_version\" : 2");
    }));
    this->caller = RawSocket::Connect(this->gateway->CallerAddress());
    this->caller.Send(WithTimeLimit(
      RequestText(aPath, kId, "Connection: close\r\n"), kTimeLimit));
    this->firstAt = this->Take();
    this->first = std::move(this->server);
    this->server = RawSocket();
  }

  RawSocket& OtherListener() { return this->listeners[1 - this->firstAt]; }

  /// Begins the stream at the first server and waits until its silence has the
  /// other one asked.
  void BeginStream()
  {
    this->first.Send(kStreamHead + Event(1));
    REQUIRE(this->Until([this] { return this->caller.Has("piece 1"); }));
    this->TakeSecond();
    REQUIRE(this->second.Has("Last-Event-Id: 1"));
  }

  void TakeSecond()
  {
    REQUIRE(this->Until([this] {
      this->OtherListener().Accept(this->second);
      return this->second.Has("\r\n\r\nbody");
    }));
  }

  void Run(Duration aTime) const
  {
    this->Until([] { return false; }, aTime);
  }

  bool IsFirstOpen()
  {
    this->first.Read();
    return !this->first.closed;
  }

  /// The first server goes on, and the caller gets a whole answer of it.
  void CheckFirstGoesOn()
  {
    REQUIRE(this->IsFirstOpen());
    this->first.Send(Event(2) + Event(3) + kEnd);
    const std::string& received = this->Received();
    CHECK(Has(received, Event(1) + Event(2) + Event(3) + kEnd));
    CHECK(CountOf(received, "piece 1\n") == 1);
  }

  std::size_t firstAt = 0;
  RawSocket first;
  RawSocket second;
};

} // namespace

// Guards against streams cut as the server that was to go on rejects them.
TEST_CASE("a silent stream goes on at its server if no other one does",
          "[handover]")
{
  HandOverSite site("/stream/x");
  site.BeginStream();
  SECTION("the other server rejects it")
  {
    site.second.Send(kRejection);
  }
  SECTION("the other server fails")
  {
    site.second.Send(PlatformSite::AnswerHead(kId).replace(9, 6, "500 No") +
                     "Content-Length: 0\r\n\r\n");
  }
  SECTION("the other server closes")
  {
    site.second.Close();
  }
  SECTION("the other server resets")
  {
    site.second.Reset();
  }
  SECTION("the other server skips an event")
  {
    site.second.Send(kStreamHead + Event(3));
  }
  SECTION("the other server has nothing to add")
  {
    site.second.Send(kStreamHead + kEnd);
  }
  SECTION("the other server sends no stream")
  {
    site.second.Send(PlatformSite::AnswerHead(kId) +
                     "Content-Length: 2\r\n\r\nok");
  }
  site.Run(milliseconds(400));
  site.CheckFirstGoesOn();
}

// The same where nothing listens at the other server's address.
TEST_CASE("a silent stream goes on as the other server is gone", "[handover]")
{
  HandOverSite site("/stream/x");
  site.OtherListener().Close();
  site.first.Send(kStreamHead + Event(1));
  REQUIRE(site.Until([&] { return site.caller.Has("piece 1"); }));
  site.Run(milliseconds(1500));
  site.CheckFirstGoesOn();
}

// Guards against two servers that both go on with one stream.
TEST_CASE("the server that speaks first goes on with a silent stream",
          "[handover]")
{
  HandOverSite site("/stream/x");
  site.BeginStream();
  SECTION("the first one")
  {
    site.second.Send(kStreamHead);
    site.Run(milliseconds(200));
    site.CheckFirstGoesOn();
    CHECK(site.Until([&] {
      site.second.Read();
      return site.second.closed;
    }));
  }
  SECTION("the other one")
  {
    site.Run(milliseconds(500));
    CHECK(site.IsFirstOpen());
    site.second.Send(kStreamHead + Event(2));
    CHECK(site.Until([&] { return !site.IsFirstOpen(); }, milliseconds(400)));
    site.second.Send(Event(3) + kEnd);
    CHECK(Has(site.Received(), Event(1) + Event(2) + Event(3) + kEnd));
  }
}

// Guards against giving up as the first server ends while the other is asked.
TEST_CASE("a silent stream goes on at the other server as the first one ends",
          "[handover]")
{
  HandOverSite site("/stream/x");
  site.BeginStream();
  SECTION("by a close")
  {
    site.first.Close();
  }
  SECTION("by a reset")
  {
    site.first.Reset();
  }
  SECTION("by an event that is out of order")
  {
    site.first.Send(Event(5));
  }
  site.Run(milliseconds(200));
  site.second.Send(kStreamHead + Event(2) + kEnd);
  CHECK(Has(site.Received(), Event(1) + Event(2) + kEnd));
}

// Guards against losing the answer of a slow server as the other one rejects.
TEST_CASE("a silent server's answer is taken if no other one comes",
          "[handover]")
{
  HandOverSite site("/again/x");
  site.TakeSecond();
  SECTION("the other server rejects the request")
  {
    site.second.Send(kRejection);
  }
  SECTION("the other server fails")
  {
    site.second.Send(PlatformSite::AnswerHead(kId).replace(9, 6, "500 No") +
                     "Content-Length: 0\r\n\r\n");
  }
  SECTION("the other server is silent too") {}
  site.Run(milliseconds(400));
  REQUIRE(site.IsFirstOpen());
  site.first.Send(PlatformSite::AnswerHead(kId) +
                  "Content-Length: 2\r\n\r\nok");
  CHECK(Has(site.Received(), "HTTP/1.1 200"));
  CHECK(Has(site.caller.received, "\r\n\r\nok"));
}

// Guards against an error of the first server that hides the other's answer.
TEST_CASE("a silent server's failure leaves the other one's answer",
          "[handover]")
{
  HandOverSite site("/again/x");
  site.TakeSecond();
  site.first.Send(PlatformSite::AnswerHead(kId).replace(9, 6, "500 No") +
                  "Content-Length: 0\r\n\r\n");
  site.Run(milliseconds(200));
  site.second.Send(PlatformSite::AnswerHead(kId) +
                   "Content-Length: 2\r\n\r\nok");
  CHECK(Has(site.Received(), "HTTP/1.1 200"));
}

// Guards against work at two servers for a caller that has left.
TEST_CASE("both servers are left as the caller leaves", "[handover]")
{
  HandOverSite site("/stream/x");
  site.BeginStream();
  site.caller.Close();
  CHECK(site.Until(
    [&] {
      site.second.Read();
      return !site.IsFirstOpen() && site.second.closed;
    },
    milliseconds(500)));
}
