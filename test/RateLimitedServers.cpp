#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
constexpr Duration kWindow = seconds(4);
/// From a server's first word to the moment from which it holds everywhere.
constexpr Duration kKnown = milliseconds(500);

Json::Value
RateLimit(const char* aPerSecond)
{
  Json::Value fault(Json::objectValue);
  fault["rate_limit"] = aPerSecond;
  return fault;
}

/// Sends one try each \p aStep, at each gateway in turn.
void
Play(FleetSite& aSite, Duration aTime, Duration aStep = milliseconds(10))
{
  const auto steps = aTime / aStep;
  for (int step = 0; step < steps; ++step) {
    aSite.Send(static_cast<std::size_t>(step) % kGateways, "/stream/x", "note");
    aSite.Run(aStep);
  }
  aSite.Settle();
}

std::size_t
ArrivedBetween(const standins::SealedEngine& aEngine,
               TimePoint aFrom,
               TimePoint aUntil)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aEngine.Arrivals(), [&](const standins::SealedArrival& aOne) {
      return aOne.at >= aFrom && aOne.at < aUntil;
    }));
}

/// The most that reached the engine in any window from \p aFrom on.
std::size_t
MostInWindow(const standins::SealedEngine& aEngine, TimePoint aFrom)
{
  std::size_t most = 0;
  for (const standins::SealedArrival& first : aEngine.Arrivals()) {
    if (first.at >= aFrom) {
      most =
        std::max(most, ArrivedBetween(aEngine, first.at, first.at + kWindow));
    }
  }
  return most;
}

std::size_t
ServedCount(FleetSite& aSite)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSite.sent, &FleetSite::Try::IsServed));
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
  Play(site, milliseconds(300));
  limited.SetFault(RateLimit("4.4"));
  const TimePoint named = Now();
  Play(site, seconds(5));
  CHECK(MostInWindow(limited, named + kKnown) <= 31);
  CHECK(ServedCount(site) == site.sent.size());
}
