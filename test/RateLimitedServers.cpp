#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
constexpr Duration kWindow = seconds(4);
/// Time until a rate limit named by a server is in force at every gateway.
constexpr Duration kPropagationTime = milliseconds(500);

/// The largest number of requests that reached the engine in any window of
/// kWindow that starts at or after \p aFrom.
std::size_t
MaxInWindow(const standins::SealedEngine& aEngine, TimePoint aFrom)
{
  std::size_t most = 0;
  for (const standins::SealedArrival& first : aEngine.Arrivals()) {
    if (first.at >= aFrom) {
      most = std::max(
        most, FleetSite::ArrivedBetween(aEngine, first.at, first.at + kWindow));
    }
  }
  return most;
}

} // namespace

// Guards against gateways that ignore the rate limit in a server's answers.
TEST_CASE("a server gets no more than its rate limit", "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& limited = site.AddEngine("limited");
  site.AddEngine("free");
  site.StartGateways(kGateways);
  site.Play(milliseconds(300));
  limited.SetFault(FleetSite::Fault("rate_limit", "4.4"));
  const TimePoint named = Now();
  site.Play(seconds(5));
  CHECK(MaxInWindow(limited, named + kPropagationTime) <= 31);
  CHECK(site.ServedCount() == site.sent.size());
}

// Guards against refusing more requests than the rate limits require, and
// against refusals without a Retry-After.
TEST_CASE("when all servers limit their rate the excess is refused at once",
          "[backpressure]")
{
  FleetSite site;
  std::vector<standins::SealedEngine*> engines;
  for (const char* name : { "e1", "e2", "e3" }) {
    engines.push_back(&site.AddEngine(name));
    engines.back()->SetFault(FleetSite::Fault("rate_limit", "6"));
  }
  site.StartGateways(kGateways);
  site.Play(seconds(4));
  const TimePoint from = Now();
  const std::size_t sentBefore = site.sent.size();
  site.Play(seconds(4));
  std::size_t arrived = 0;
  for (const standins::SealedEngine* engine : engines) {
    CHECK(MaxInWindow(*engine, from) <= 41);
    arrived += FleetSite::ArrivedBetween(*engine, from, from + kWindow);
  }
  // 0.7 of the requests that three servers allow in four seconds.
  CHECK(arrived >= 50);
  auto one = std::next(site.sent.begin(), static_cast<long>(sentBefore));
  for (; one != site.sent.end(); ++one) {
    CHECK((one->IsServed() || one->IsRefused()));
    CHECK((one->IsServed() || one->RetryAfter() > 0));
  }
}

// Guards against a rate limit that stays in force at some gateways after the
// server has lifted it: only a few of them get an answer of the server itself.
TEST_CASE("a server that lifts its rate limit gets work at once",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& engine = site.AddEngine("e1");
  engine.SetFault(FleetSite::Fault("rate_limit", "8"));
  site.StartGateways(kGateways);
  site.Play(seconds(4));
  engine.SetFault(FleetSite::Fault("clear"));
  site.Play(seconds(2));
  const TimePoint from = Now();
  site.Play(seconds(1));
  CHECK(FleetSite::ArrivedBetween(engine, from, from + seconds(1)) >= 80);
}

// Guards against a code path that bypasses the rate limit: every sender must
// acquire the client of the server, which is denied beyond the limit.
TEST_CASE("no client is acquired beyond a server's rate limit",
          "[backpressure]")
{
  auto loop = *EventLoop::Create();
  BackendPool::Options options;
  options.self = InstanceName("g1");
  BackendPool pool(*loop, options);
  DirectInstance instance;
  instance.name = InstanceName("e1");
  instance.server = instance.name;
  instance.service = ServiceName("s");
  instance.address = { "127.0.0.1", 9 };
  pool.SetInstances({ &instance, 1 });
  const std::vector<InstanceName> fleet{ InstanceName("g1") };
  const TimePoint now = Now();
  pool.Backpressure().SetGateways(fleet, now);
  CHECK(pool.Acquire(instance.name, {}, now) != nullptr);
  BackpressureNotice limited;
  limited.rateLimit = 1.0;
  pool.OnNotice(instance.name, limited, now);
  CHECK(pool.Acquire(instance.name, {}, now) == nullptr);
  const TimePoint later = now + seconds(10);
  std::size_t given = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint at = later + i * milliseconds(10);
    given += pool.Acquire(instance.name, {}, at) != nullptr ? 1 : 0;
  }
  CHECK(given <= 6);
  pool.OnNotice(instance.name, {}, later);
  CHECK(pool.Acquire(instance.name, {}, later) != nullptr);
}
