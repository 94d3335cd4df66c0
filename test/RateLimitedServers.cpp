#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
constexpr Duration kWindow = seconds(4);
/// From a server's first word to the moment from which it holds everywhere.
constexpr Duration kKnown = milliseconds(500);

/// The most that reached the engine in any window from \p aFrom on.
std::size_t
MostInWindow(const standins::SealedEngine& aEngine, TimePoint aFrom)
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

// Guards against a server in need being sent as much as before: nobody read the
// rate that its answers name.
TEST_CASE("a server gets no more than the rate it names", "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& limited = site.AddEngine("limited");
  site.AddEngine("free");
  site.StartGateways(kGateways);
  site.Play(milliseconds(300));
  limited.SetFault(FleetSite::Fault("rate_limit", "4.4"));
  const TimePoint named = Now();
  site.Play(seconds(5));
  CHECK(MostInWindow(limited, named + kKnown) <= 31);
  CHECK(site.ServedCount() == site.sent.size());
}

// Guards against refusing more than a service in need can't take, and against
// callers that learn nothing of when to come back.
TEST_CASE(
  "where all servers name a rate it is used and the rest refused at once",
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
    CHECK(MostInWindow(*engine, from) <= 41);
    arrived += FleetSite::ArrivedBetween(*engine, from, from + kWindow);
  }
  // 0.7 of what three servers name for four seconds.
  CHECK(arrived >= 50);
  auto one = std::next(site.sent.begin(), static_cast<long>(sentBefore));
  for (; one != site.sent.end(); ++one) {
    CHECK((one->IsServed() || one->IsRefused()));
    CHECK((one->IsServed() || one->RetryAfter() > 0));
  }
}

// Guards against a bound that outlives the need: only a few gateways hear from
// the server itself.
TEST_CASE("a server that names no rate any more gets work at once",
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

// Guards against a new way to a server that passes the rate by: whoever wants
// to send asks for the connection, and gets none.
TEST_CASE("no connection is given beyond a server's rate", "[backpressure]")
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
  pool.Needs().SetGateways(fleet, now);
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
