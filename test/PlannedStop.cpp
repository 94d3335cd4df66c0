#include <catch2/catch.hpp>

#include <thread>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;
using test::RawSocket;

namespace {

constexpr Duration kGrace = seconds(2);

/// A gateway with a grace period of two seconds before one engine, whose
/// streams take as long as a test says.
class StoppingSite : public PlatformSite
{
public:
  explicit StoppingSite(Duration aStream)
    : PlatformSite(0)
  {
    standins::SealedEngineSettings engine;
    engine.events = kEvents;
    engine.gap = aStream / kEvents;
    this->AddEngine("e1", engine);
    this->PutConfiguration(2, kTimeLimitMillis);
    this->gateway = &this->ReadyGateway();
  }

  RawSocket Begin(const std::string& aPath, const std::string& aId)
  {
    RawSocket caller = RawSocket::Connect(this->gateway->CallerAddress());
    caller.Send(
      WithTimeLimit(RequestText(aPath, aId), milliseconds(kTimeLimitMillis)));
    const std::size_t runs = this->engines[0]->Runs().size();
    this->Until([&] { return this->engines[0]->Runs().size() > runs; });
    return caller;
  }

  void Stop()
  {
    this->stopped = Now();
    this->gateway->BeginStop();
  }

  /// Runs until that long after the stop was ordered.
  void RunUntilAfterStop(Duration aTime) const
  {
    this->Until([] { return false; }, Between(Now(), this->stopped + aTime));
  }

  /// Runs the loop to its end, as the daemon does.
  void RunToExit() const { this->loop->Run(); }

  /// A caller on a new connection that has sent a whole request and waits for
  /// its answer.
  RawSocket Send(const std::string& aPath, const std::string& aId) const
  {
    RawSocket caller = RawSocket::Connect(this->gateway->CallerAddress());
    caller.Send(
      WithTimeLimit(RequestText(aPath, aId), milliseconds(kTimeLimitMillis)));
    return caller;
  }

  static constexpr std::uint64_t kEvents = 20;
  /// Longer than the grace period.
  static constexpr int kTimeLimitMillis = 5000;
  Gateway* gateway = nullptr;
  TimePoint stopped{};
};

/// Nothing on the loop is handled meanwhile.
void
BlockLoop(Duration aTime)
{
  std::this_thread::sleep_for(aTime);
}

/// Whether it has got a refusal that allows the request to be sent again.
bool
IsRefusedUnrun(RawSocket& aCaller)
{
  return aCaller.Has("HTTP/1.1 503") && aCaller.Has("Retry-After") &&
         aCaller.Has("Connection: close");
}

} // namespace

// Guards against passing on, late in a planned stop, what its end then cuts:
// the caller of a request that is refused unrun goes to another gateway.
TEST_CASE("a request read after accepting has ended is refused unrun", "[stop]")
{
  StoppingSite site(milliseconds(20));
  const std::string request = PlatformSite::RequestText("/stream/x", "id-1");
  RawSocket caller = RawSocket::Connect(site.gateway->CallerAddress());
  caller.Send(request.substr(0, 40));
  site.Until([] { return false; }, milliseconds(20));
  site.Stop();
  site.RunUntilAfterStop(milliseconds(1200));
  caller.Send(request.substr(40));
  CHECK(site.Until([&] { return caller.Has("HTTP/1.1 503"); }, seconds(1)));
  CHECK(caller.Has("Retry-After"));
  CHECK(caller.Has("Connection: close"));
  CHECK(site.engines[0]->Runs().empty());
}

// Guards against cutting streams off while there is time left to finish them.
TEST_CASE("a stream that ends late in the grace period is whole", "[stop]")
{
  StoppingSite site(milliseconds(1850));
  RawSocket caller = site.Begin("/note/stream/x", "id-1");
  site.Stop();
  site.RunToExit();
  CHECK(Between(site.stopped, Now()) < kGrace);
  CHECK(caller.Has("piece 20\n"));
  CHECK(caller.Has("\r\n0\r\n\r\n"));
}

// Guards against a reset where a true answer can be given: no server will end
// this request in time, so that its caller is told that it may have run.
TEST_CASE("a request with no answer at the end of a stop is told so", "[stop]")
{
  StoppingSite site(milliseconds(20));
  Json::Value hangs(Json::objectValue);
  hangs["hang"] = true;
  site.engines[0]->SetFault(hangs);
  RawSocket caller = site.Begin("/once/x", "id-1");
  site.Stop();
  site.RunToExit();
  CHECK(caller.Has("HTTP/1.1 502"));
  CHECK_FALSE(caller.wasReset);
}

// Guards against a planned stop that lasts after all work is done.
TEST_CASE("a stop ends when nothing is left to deliver", "[stop]")
{
  StoppingSite site(milliseconds(200));
  RawSocket caller = site.Begin("/stream/x", "id-1");
  site.Stop();
  bool ended = false;
  Timer closes(*site.loop, [&] {
    if (caller.Has("\r\n0\r\n\r\n") && !ended) {
      ended = true;
      caller.Close();
    }
  });
  closes.StartRepeating(milliseconds(5));
  site.RunToExit();
  CHECK(ended);
  CHECK(Between(site.stopped, Now()) < milliseconds(1200));
}

// Guards against a reset that takes a whole answer from a caller that has sent
// its next request already: unread bytes make the system reset a connection.
TEST_CASE("an answer is whole though its caller sent more during a stop",
          "[stop]")
{
  StoppingSite site(milliseconds(1850));
  RawSocket caller = site.Begin("/note/stream/x", "id-1");
  site.Stop();
  Timer sendsMore(*site.loop, [&] {
    if (caller.Has("piece 19\n")) {
      caller.Send(PlatformSite::RequestText("/note/stream/x", "id-2"));
    }
  });
  sendsMore.StartRepeating(milliseconds(5));
  site.RunToExit();
  site.gateways.clear();
  CHECK(caller.Has("piece 20\n"));
  CHECK(caller.Has("\r\n0\r\n\r\n"));
  CHECK_FALSE(caller.wasReset);
  CHECK(site.engines[0]->Runs().size() == 1);
}

// Guards against a reset of connections whose requests have come and are not
// read: on a slow loop they lie there when accepting ends.
TEST_CASE("requests that lie unread when accepting ends are refused unrun",
          "[stop]")
{
  StoppingSite site(milliseconds(20));
  RawSocket kept = site.Begin("/again/x", "id-1");
  REQUIRE(site.Until([&] { return kept.Has("HTTP/1.1 200"); }));
  site.Stop();
  site.RunUntilAfterStop(milliseconds(950));
  RawSocket fresh = site.Send("/once/x", "id-2");
  kept.Send(PlatformSite::RequestText("/once/x", "id-3"));
  BlockLoop(milliseconds(150));
  CHECK(site.Until([&] { return IsRefusedUnrun(fresh); }, milliseconds(500)));
  CHECK(site.Until([&] { return IsRefusedUnrun(kept); }, milliseconds(500)));
  CHECK_FALSE(fresh.wasReset);
  CHECK_FALSE(kept.wasReset);
  CHECK(site.engines[0]->Runs().size() == 1);
}

// Guards against closing a connection while its first request is on its way.
TEST_CASE("a request on a connection made just before accepting ends is "
          "refused unrun",
          "[stop]")
{
  StoppingSite site(milliseconds(20));
  site.Stop();
  site.RunUntilAfterStop(milliseconds(960));
  RawSocket caller = RawSocket::Connect(site.gateway->CallerAddress());
  site.RunUntilAfterStop(milliseconds(1080));
  caller.Send(PlatformSite::RequestText("/once/x", "id-1"));
  CHECK(site.Until([&] { return IsRefusedUnrun(caller); }, milliseconds(500)));
  CHECK(site.engines[0]->Runs().empty());
}

// Guards against a whole answer that is cut when idle connections are closed:
// its caller has not taken it yet.
TEST_CASE("a long answer that its caller takes slowly is whole", "[stop]")
{
  StoppingSite site(milliseconds(20));
  constexpr std::size_t kBytes = 4'000'000;
  RawSocket caller =
    site.Begin(fmt::format("/once/x?bytes={}", kBytes), "id-1");
  REQUIRE(site.Until(
    [&] { return caller.Peek() > 0 && site.engines[0]->Runs().size() == 1; }));
  site.Until([] { return false; }, milliseconds(100));
  site.Stop();
  site.RunUntilAfterStop(milliseconds(1300));
  Timer takes(*site.loop, [&] { caller.Read(); });
  takes.StartRepeating(milliseconds(1));
  site.RunToExit();
  site.gateways.clear();
  caller.Read();
  CHECK(caller.Has("HTTP/1.1 200"));
  CHECK(caller.received.size() > kBytes);
  CHECK_FALSE(caller.wasReset);
}

// Guards against a request that was read behind an answer without an announced
// close and then dropped.
TEST_CASE("a request sent behind a stream during a stop is answered", "[stop]")
{
  const bool isLate = GENERATE(false, true);
  StoppingSite site(milliseconds(isLate ? 1400 : 500));
  RawSocket caller = site.Begin("/note/stream/x", "id-1");
  REQUIRE(site.Until([&] { return caller.Has("piece 1\n"); }));
  site.Stop();
  caller.Send(PlatformSite::RequestText("/once/x", "id-2"));
  site.RunToExit();
  const std::size_t end = caller.Read().find("\r\n0\r\n\r\n");
  REQUIRE(end != std::string::npos);
  const std::string second = caller.received.substr(end + 7);
  CHECK(second.starts_with(isLate ? "HTTP/1.1 503" : "HTTP/1.1 200"));
  CHECK(second.find("Connection: close") != std::string::npos);
  CHECK(site.engines[0]->Runs().size() == (isLate ? 1 : 2));
  CHECK_FALSE(caller.wasReset);
}

// Guards against an end of the stop that comes after the process is killed, so
// that nobody is told anything.
TEST_CASE("all callers are answered within the grace though the loop is slow",
          "[stop]")
{
  StoppingSite site(milliseconds(20));
  Json::Value hangs(Json::objectValue);
  hangs["hang"] = true;
  site.engines[0]->SetFault(hangs);
  RawSocket caller = site.Begin("/once/x", "id-1");
  site.Stop();
  Timer slow(*site.loop, [] { BlockLoop(milliseconds(110)); });
  slow.StartRepeating(milliseconds(1));
  site.RunToExit();
  CHECK(Between(site.stopped, Now()) < kGrace);
  CHECK(caller.Has("HTTP/1.1 502"));
  CHECK_FALSE(caller.wasReset);
}

// Guards against a grace period that is counted from when the loop came to
// notice the order: the process is killed by the time of the order.
TEST_CASE("the grace period counts from the order, not from its notice",
          "[stop]")
{
  StoppingSite site(milliseconds(20));
  Json::Value hangs(Json::objectValue);
  hangs["hang"] = true;
  site.engines[0]->SetFault(hangs);
  RawSocket caller = site.Begin("/once/x", "id-1");
  site.stopped = Now();
  BlockLoop(milliseconds(400));
  site.gateway->BeginStop(site.stopped);
  site.RunToExit();
  CHECK(Between(site.stopped, Now()) < kGrace);
  CHECK(caller.Has("HTTP/1.1 502"));
}

// Guards against a closed connection where a true refusal can be given: what
// has not been read whole is never passed on.
TEST_CASE("a request that has not come whole at the end is refused unrun",
          "[stop]")
{
  StoppingSite site(milliseconds(20));
  RawSocket caller = RawSocket::Connect(site.gateway->CallerAddress());
  const std::string request = PlatformSite::RequestText("/once/x", "id-1");
  caller.Send(request.substr(0, request.size() - 2));
  site.Stop();
  site.RunToExit();
  CHECK(IsRefusedUnrun(caller));
  CHECK_FALSE(caller.wasReset);
  CHECK(site.engines[0]->Runs().empty());
}

// Guards against an answer that ends early and looks whole: HTTP/1.0 has no
// chunks to tell the two apart.
TEST_CASE("a stream to an HTTP/1.0 caller that a stop cuts ends by a reset",
          "[stop]")
{
  StoppingSite site(seconds(4));
  std::string request = PlatformSite::WithTimeLimit(
    PlatformSite::RequestText("/note/stream/x", "id-1"), seconds(5));
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  RawSocket caller = RawSocket::Connect(site.gateway->CallerAddress());
  caller.Send(request);
  REQUIRE(site.Until([&] { return caller.Has("piece 1\n"); }));
  site.Stop();
  site.RunToExit();
  site.gateways.clear();
  CHECK(site.Until([&] { return caller.IsClosed(); }, milliseconds(500)));
  CHECK(caller.wasReset);
}

// Guards against requests that may not be repeated and get nothing: those that
// the last moment still lets in are answered whole, or told that they may have
// run.
TEST_CASE("a request taken at the last moment is answered by the end", "[stop]")
{
  const bool fits = GENERATE(true, false);
  StoppingSite site(milliseconds(20));
  Json::Value slow(Json::objectValue);
  slow["work_ms"] = fits ? 700 : 3000;
  site.engines[0]->SetFault(slow);
  site.Stop();
  site.RunUntilAfterStop(milliseconds(930));
  RawSocket caller = site.Send("/once/x?bytes=100000", "id-1");
  site.RunToExit();
  site.gateways.clear();
  CHECK(Between(site.stopped, Now()) < kGrace);
  CHECK(caller.Has(fits ? "HTTP/1.1 200" : "HTTP/1.1 502"));
  CHECK((caller.received.size() > 100000) == fits);
  CHECK_FALSE(caller.wasReset);
}
