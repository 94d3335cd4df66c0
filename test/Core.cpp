#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

#include "dogwoodvale/Core"

using namespace dogwoodvale;

TEST_CASE("a request id survives its text form")
{
  const RequestId id{ 0xfeedULL, 42 };
  REQUIRE(ParseRequestId(ToString(id)) == id);
  REQUIRE_FALSE(ParseRequestId("feed"));
  REQUIRE_FALSE(ParseRequestId("feed-"));
  REQUIRE_FALSE(ParseRequestId("xyz-1"));
}

TEST_CASE("findings are rendered with their place, all at once")
{
  Findings findings;
  findings.Add(PlaceOfOffset("a.json", "{\n  \"x\": 1\n}", 4), "unknown key");
  findings.Add({ "a.json", 3, 1 }, "missing key");
  REQUIRE(findings.ToStatus().code() == absl::StatusCode::kInvalidArgument);
  REQUIRE(findings.Render() ==
          "a.json:2:3: unknown key\na.json:3:1: missing key\n");
}

TEST_CASE("socket addresses take IP numbers only")
{
  REQUIRE(SocketAddress::Parse("[::1]:80")->ToString() == "[::1]:80");
  REQUIRE(SocketAddress::Parse("127.0.0.1:9")->port == 9);
  for (const char* bad :
       { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "" }) {
    REQUIRE_FALSE(SocketAddress::Parse(bad).ok());
  }
}

TEST_CASE("a timer may destroy itself in its own callback")
{
  auto loop = EventLoop::Create();
  REQUIRE(loop.ok());
  std::unique_ptr<Timer> timer;
  int calls = 0;
  timer = std::make_unique<Timer>(**loop, [&] {
    ++calls;
    timer.reset();
  });
  timer->StartRepeating(milliseconds(1));
  REQUIRE((*loop)->RunUntil([&] { return calls == 1; }, seconds(1)));
  REQUIRE_FALSE((*loop)->RunUntil([&] { return calls > 1; }, milliseconds(10)));
}

// Guards against taking the moment at which a slow loop notices a signal for
// the moment of the signal.
TEST_CASE("a signal is told with the time at which it came")
{
  auto loop = EventLoop::Create();
  REQUIRE(loop.ok());
  std::vector<TimePoint> came;
  const SignalWatch watch(
    **loop, SIGUSR1, [&](TimePoint aReceived) { came.push_back(aReceived); });
  for (std::size_t i = 1; i <= 2; ++i) {
    const TimePoint sent = Now();
    std::raise(SIGUSR1);
    const TimePoint received = Now();
    std::this_thread::sleep_for(milliseconds(20));
    // The first of several counts.
    std::raise(SIGUSR1);
    REQUIRE((*loop)->RunUntil([&] { return came.size() == i; }, seconds(1)));
    REQUIRE(came.back() >= sent);
    REQUIRE(came.back() <= received);
  }
}
