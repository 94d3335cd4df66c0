#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <csignal>
#include <list>
#include <numeric>

#include "RawSockets.h"
#include "dogwoodvale/Http"
#include "dogwoodvale/src/Http/BodyBuffer.h"
#include "dogwoodvale/src/Http/SocketBuffers.h"

using namespace dogwoodvale;
using internal::BodyBuffer;
using internal::SocketBuffers;
using test::RawSocket;

namespace {

constexpr std::size_t kMemory = 400'000;

/// Keeps the exchanges until the test answers them.
class Keeper final
  : public CallerHandler
  , public CallerExchangeHandler
{
public:
  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override
  {
    aExchange->SetHandler(this);
    this->open.push_back(std::move(aExchange));
  }
  void OnCallerGone() override { ++this->gone; }
  void OnDrained() override {}

  /// Answers the oldest request with as many bytes.
  void Answer(std::size_t aBytes)
  {
    if (!this->open.empty()) {
      auto exchange = std::move(this->open.front());
      this->open.pop_front();
      exchange->Respond(200, {}, std::string(aBytes, 'a'));
    }
  }

  std::list<std::unique_ptr<CallerExchange>> open;
  int gone = 0;
};

struct Fixture
{
  explicit Fixture(const CallerBounds& aBounds)
    : server(std::move(*CallerServer::Create(*this->loop,
                                             { "127.0.0.1", 0 },
                                             aBounds,
                                             this->keeper)))
  {
    // As in the daemon: a caller may reset its connection at any moment.
    std::signal(SIGPIPE, SIG_IGN);
  }

  static CallerBounds Bounds()
  {
    CallerBounds bounds;
    bounds.bodyBytes = 100'000;
    bounds.memoryBytes = kMemory;
    return bounds;
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
  void RunFor(Duration aTime) const
  {
    this->Until([] { return false; }, aTime);
  }

  std::unique_ptr<EventLoop> loop = std::move(*EventLoop::Create());
  Keeper keeper;
  std::unique_ptr<CallerServer> server;
};

/// A chunked request whose only chunk lacks its last byte.
std::string
Unfinished(std::size_t aBytes)
{
  return fmt::format(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}",
    aBytes,
    std::string(aBytes - 1, 'x'));
}

std::string
Whole(std::size_t aBytes)
{
  return fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}",
                     aBytes,
                     std::string(aBytes, 'x'));
}

} // namespace

// Guards against bodies that stop short of their end keeping out all others.
TEST_CASE("a body that stands still is refused for one that comes")
{
  Fixture f(Fixture::Bounds());
  std::list<RawSocket> holders;
  for (int i = 0; i < 3; ++i) {
    holders.push_back(f.Connect(Unfinished(70'000)));
  }
  REQUIRE(f.Until([&] { return f.server->HeldBytes() > 210'000; }));
  PrometheusWriter metrics;
  f.server->WriteMetrics(metrics);
  CHECK_THAT(metrics.Take(),
             !Catch::Contains("caller_memory_bytes{reason=\"bodies\"} 0\n"));
  f.RunFor(milliseconds(20));
  RawSocket ordinary = f.Connect(Whole(90'000));
  REQUIRE(f.Until([&] { return f.keeper.open.size() == 1; }));
  REQUIRE(f.server->Counters().refusedForMemory > 0);
  REQUIRE(f.server->HeldBytes() <= kMemory);
  f.keeper.Answer(10);
  REQUIRE(f.Until([&] { return ordinary.Has("HTTP/1.1 200 "); }));
  const auto refused = std::ranges::count_if(holders, [](RawSocket& aOne) {
    return aOne.Has("HTTP/1.1 503 ") && aOne.Has("Retry-After: 1\r\n") &&
           aOne.Has("\"disposition\":\"not_run\"");
  });
  REQUIRE(std::size_t(refused) == f.server->Counters().refusedForMemory);
}

// Guards against answers that nobody reads filling the memory of a process.
TEST_CASE("an answer that is not read is given up for one that is")
{
  CallerBounds bounds = Fixture::Bounds();
  bounds.memoryBytes = 16U << 20U;
  Fixture f(bounds);
  std::list<RawSocket> callers;
  // Some of each lies in the system's own buffers.
  constexpr std::size_t kAnswer = 8U << 20U;
  constexpr int kCallers = 6;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(f.Connect(Whole(10)));
    REQUIRE(f.Until([&] { return f.keeper.open.size() == 1; }));
    f.keeper.Answer(kAnswer);
    REQUIRE(f.server->HeldBytes() <= bounds.memoryBytes);
    f.RunFor(milliseconds(5));
  }
  REQUIRE(f.server->Counters().unreadAnswers > 0);
  // The newest is whole for a caller that reads.
  RawSocket& last = callers.back();
  REQUIRE(f.Until([&] { return last.Read().size() > kAnswer; }));
}

TEST_CASE("a body that never fits is refused at its head")
{
  CallerBounds bounds = Fixture::Bounds();
  bounds.bodyBytes = 2 * kMemory;
  Fixture f(bounds);
  RawSocket caller = f.Connect(
    fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", kMemory));
  REQUIRE(f.Until([&] { return caller.IsClosed(); }));
  REQUIRE(caller.Has("HTTP/1.1 503 "));
}

// Guards against memory that stays charged, or that is freed twice.
TEST_CASE("nothing is held once the last connection has gone")
{
  REQUIRE(rc::check([] {
    Fixture f(Fixture::Bounds());
    std::list<RawSocket> callers;
    std::size_t largestAnswer = 0;
    const int count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < count; ++i) {
      const auto size = std::size_t(*rc::gen::inRange(1, 100'001));
      const std::string request =
        *rc::gen::element(Unfinished(size),
                          Whole(size),
                          Whole(size) + Whole(10),
                          Unfinished(size) + "x\r\n0\r\n\r\n" + Whole(1),
                          std::string("GET / HTTP/1.1\r\nX: y"),
                          std::string("NONSENSE\r\n\r\n"));
      const auto split = std::size_t(*rc::gen::inRange(0, 100'000));
      callers.push_back(f.Connect(request.substr(0, split)));
      f.RunFor(Duration(*rc::gen::inRange(0, 500)));
      callers.back().Send(
        std::string_view(request).substr(std::min(split, request.size())));
      RC_ASSERT(f.server->HeldBytes() <= kMemory + largestAnswer);
      const int then = *rc::gen::inRange(0, 6);
      if (then == 0) {
        callers.front().Reset();
        callers.pop_front();
      } else if (then == 1) {
        // An answer that is ready is taken, also above the limit; then others
        // yield.
        const auto answer = std::size_t(*rc::gen::inRange(0, 10'000'000));
        largestAnswer = std::max(largestAnswer, answer);
        f.keeper.Answer(answer);
      } else if (then == 2 && !f.keeper.open.empty()) {
        f.keeper.open.pop_back();
      }
      f.RunFor(Duration(*rc::gen::inRange(0, 500)));
    }
    callers.clear();
    f.keeper.open.clear();
    RC_ASSERT(f.Until([&] { return f.server->OpenConnections() == 0; }));
    RC_ASSERT(f.server->HeldBytes() == 0U);
  }));
}

TEST_CASE("a body is the same in blocks, which take little more than it")
{
  REQUIRE(rc::check([](const std::vector<std::uint16_t>& aSizes) {
    BodyBuffer buffer;
    buffer.Start(*rc::gen::inRange(0U, 100'000U));
    std::string expected;
    for (const std::uint16_t size : aSizes) {
      const std::string part(size, static_cast<char>('a' + size % 26));
      const std::size_t before = buffer.Capacity();
      const std::size_t growth = buffer.GrowthFor(size);
      buffer.Append(part);
      expected += part;
      RC_ASSERT(buffer.Capacity() <= before + growth + 32);
      RC_ASSERT(
        buffer.Capacity() <=
        buffer.Size() +
          std::max<std::size_t>(std::min(buffer.Size(), BodyBuffer::kMaxBlock),
                                BodyBuffer::kFirstBlock));
    }
    RC_ASSERT(buffer.Size() == expected.size());
    RC_ASSERT(buffer.Take() == expected);
    RC_ASSERT(buffer.Capacity() == 0U);
  }));
}

TEST_CASE("receive buffers of any number of sockets have a bound together")
{
  REQUIRE(rc::check([](const std::vector<bool>& aSteps) {
    constexpr std::size_t kLimit = 2U << 20U;
    SocketBuffers buffers(kLimit);
    std::vector<std::size_t> granted;
    for (const bool isNew : aSteps) {
      for (int i = 0; i < 40; ++i) {
        if (isNew) {
          granted.push_back(buffers.Grant());
        } else if (!granted.empty()) {
          buffers.Return(granted.back());
          granted.pop_back();
        }
      }
      const std::size_t sum =
        std::accumulate(granted.begin(), granted.end(), std::size_t(0));
      RC_ASSERT(buffers.Granted() == sum);
      RC_ASSERT(sum <= kLimit + granted.size() * SocketBuffers::kSmallest);
    }
  }));
}
