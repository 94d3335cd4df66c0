#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
/// What is on its way when a server asks for rest may still come.
constexpr Duration kUnderWay = milliseconds(500);

/// From one request to the next.
constexpr Duration kSeldom = milliseconds(25);

/// The most requests that one gateway sent to the engine, which refuses all,
/// within the rest that one of its refusals asked for.
std::size_t
MostInRest(const FleetSite& aSite,
           const standins::SealedEngine& aEngine,
           Duration aRest)
{
  std::size_t most = 0;
  for (const standins::SealedArrival& refused : aEngine.Arrivals()) {
    const std::size_t gateway = aSite.GatewayOf(refused.id);
    const auto count = std::ranges::count_if(
      aEngine.Arrivals(), [&](const standins::SealedArrival& aOne) {
        return aOne.at >= refused.at + kUnderWay &&
               aOne.at < refused.at + aRest &&
               aSite.GatewayOf(aOne.id) == gateway;
      });
    most = std::max(most, static_cast<std::size_t>(count));
  }
  return most;
}

Json::Value
Refusal(const char* aRetryAfter)
{
  Json::Value fault = FleetSite::Fault("refuse");
  fault["retry_after"] = aRetryAfter;
  return fault;
}

} // namespace

// Guards against a server that turns a gateway away being asked again and again
// within the rest that it asked for.
TEST_CASE("a server that asks for rest is left alone", "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& resting = site.AddEngine("rests");
  site.AddEngine("works");
  site.AddEngine("works-too");
  site.StartGateways(kGateways);
  site.Play(seconds(1), kSeldom);
  resting.SetFault(Refusal("3"));
  site.Play(seconds(6), kSeldom);
  CHECK(MostInRest(site, resting, seconds(3)) <= 2);
  CHECK(site.ServedCount() == site.sent.size());
}
