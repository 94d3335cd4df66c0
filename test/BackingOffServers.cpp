#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
/// Requests in flight when a server asks for back-off may still arrive.
constexpr Duration kInFlightTime = milliseconds(500);

/// Interval between two requests.
constexpr Duration kRequestInterval = milliseconds(25);

/// The largest number of requests that one gateway sent to the engine during a
/// back-off that the engine had asked for, not counting kInFlightTime at its
/// start.
std::size_t
MaxSentInBackoff(const FleetSite& aSite,
                 const standins::SealedEngine& aEngine,
                 Duration aBackoff)
{
  std::size_t most = 0;
  for (const standins::SealedArrival& refused : aEngine.Arrivals()) {
    if (!refused.turnedAway) {
      continue;
    }
    const std::size_t gateway = aSite.GatewayOf(refused.id);
    const auto count = std::ranges::count_if(
      aEngine.Arrivals(), [&](const standins::SealedArrival& aOne) {
        return aOne.at >= refused.at + kInFlightTime &&
               aOne.at < refused.at + aBackoff &&
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

// Guards against repeated requests to a server during the back-off that its
// refusal (Retry-After) asked for.
TEST_CASE("a server gets no requests during the back-off it asked for",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& resting = site.AddEngine("rests");
  site.AddEngine("works");
  site.AddEngine("works-too");
  site.StartGateways(kGateways);
  site.Play(seconds(1), kRequestInterval);
  resting.SetFault(Refusal("3"));
  site.Play(seconds(6), kRequestInterval);
  CHECK(MaxSentInBackoff(site, resting, seconds(3)) <= 2);
  CHECK(site.ServedCount() == site.sent.size());
}

// Guards against refusals without a Retry-After, and against a thundering herd
// when the back-off of the first server ends.
TEST_CASE("while all servers are in back-off requests are refused",
          "[backpressure]")
{
  FleetSite site;
  std::vector<standins::SealedEngine*> engines;
  for (const char* name : { "e1", "e2" }) {
    engines.push_back(&site.AddEngine(name));
    engines.back()->SetFault(Refusal("1.5"));
  }
  site.StartGateways(2);
  site.Play(milliseconds(300));
  site.sent.clear();
  const TimePoint from = Now();
  site.Play(milliseconds(500));
  CHECK(std::ranges::all_of(site.sent, [](FleetSite::Try& aTry) {
    return aTry.IsRefused() && aTry.RetryAfter() > 0.1;
  }));
  for (const standins::SealedEngine* engine : engines) {
    CHECK(FleetSite::ArrivedBetween(*engine, from, TimePoint::max()) == 0);
  }
  // After the back-off each gateway sends each server one probe request only.
  site.Play(seconds(1));
  for (standins::SealedEngine* engine : engines) {
    CHECK(FleetSite::ArrivedBetween(*engine, from, TimePoint::max()) <= 4);
    engine->SetFault(FleetSite::Fault("clear"));
  }
  site.Run(milliseconds(1600));
  site.sent.clear();
  site.Play(seconds(1));
  CHECK(site.ServedCount() == site.sent.size());
}

TEST_CASE("a refusal without a back-off time does not suspend the server",
          "[backpressure]")
{
  ServerBackoffs rests;
  const InstanceName server("e1");
  const TimePoint start = TimePoint{} + seconds(100);
  CHECK_FALSE(rests.OnRefused(server, Duration::zero(), start));
  CHECK(rests.MaySend(server, start));
}

TEST_CASE("a back-off ends by time and is followed by one probe at a time",
          "[backpressure]")
{
  ServerBackoffs rests;
  const InstanceName server("e1");
  const TimePoint start = TimePoint{} + seconds(100);
  CHECK(rests.OnRefused(server, seconds(3), start));
  // An answer to an earlier request and a shorter back-off change nothing.
  rests.OnAnswer(server, start + seconds(1));
  CHECK_FALSE(rests.OnRefused(server, seconds(1), start + seconds(1)));
  CHECK_FALSE(rests.MaySend(server, start + milliseconds(2999)));
  CHECK(rests.UntilFree(server, start + seconds(1)) == seconds(2));
  CHECK(rests.BackingOffCount(start) == 1);

  const TimePoint over = start + seconds(3);
  CHECK(rests.MaySend(server, over));
  CHECK(rests.BackingOffCount(over) == 0);
  rests.OnSent(server, over);
  CHECK_FALSE(rests.MaySend(server, over + milliseconds(10)));
  CHECK(rests.MaySend(server, over + ServerBackoffs::kProbeRetryInterval));
  rests.OnAnswer(server, over + milliseconds(20));
  CHECK(rests.MaySend(server, over + milliseconds(20)));
}

TEST_CASE("a back-off has an upper bound", "[backpressure]")
{
  ServerBackoffs rests;
  const InstanceName server("e1");
  const TimePoint start = TimePoint{} + seconds(100);
  rests.OnRefused(server, std::chrono::hours(1'000'000), start);
  CHECK_FALSE(rests.MaySend(server, start + std::chrono::minutes(9)));
  CHECK(rests.MaySend(server, start + ServerBackoffs::kMaxBackoff));
}
