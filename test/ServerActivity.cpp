#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "dogwoodvale/Placement"

using namespace dogwoodvale;

namespace {

constexpr TimePoint kStart = TimePoint() + seconds(1000);
const InstanceName kServer("e1");

} // namespace

TEST_CASE("two snapshots give the mean requests, tokens and prompts between",
          "[activity]")
{
  ServerActivity activity;
  activity.SetRequests(kServer, 100, kStart - seconds(5));
  activity.OnPrefill(kServer, 5000, kStart - seconds(5));
  activity.SetRequests(kServer, 10, kStart);
  const auto from = activity.Of(kServer, kStart);
  activity.OnPrefill(kServer, 1200, kStart + seconds(1));
  activity.SetRequests(kServer, 20, kStart + seconds(1));
  activity.OnPrefill(kServer, 300, kStart + seconds(2));
  activity.SetRequests(kServer, 0, kStart + seconds(3));
  const auto to = activity.Of(kServer, kStart + seconds(4));
  const auto between = ServerActivity::Subtract(from, to);
  CHECK(between.meanRequests == Approx((10 + 2 * 20 + 0) / 4.0));
  CHECK(between.prefilledTokens == 1500);
  CHECK(between.prompts == 2);
}

TEST_CASE("an unknown server has done nothing", "[activity]")
{
  const ServerActivity activity;
  const auto snapshot = activity.Of(kServer, kStart);
  CHECK(snapshot.at == kStart);
  CHECK(snapshot.requestSeconds == 0);
  CHECK(activity.RatesOf(kServer, kStart).tokensPerSecond == 0);
}

// A server was removed and came back during a stream: the counts began anew.
TEST_CASE("no difference is taken across a removal", "[activity]")
{
  ServerActivity activity;
  activity.SetRequests(kServer, 10, kStart);
  activity.OnPrefill(kServer, 500, kStart);
  const auto from = activity.Of(kServer, kStart + seconds(10));
  activity.Forget(kServer);
  activity.SetRequests(kServer, 1, kStart + seconds(11));
  const auto to = activity.Of(kServer, kStart + seconds(12));
  const auto between = ServerActivity::Subtract(from, to);
  CHECK(between.meanRequests == 0);
  CHECK(between.prefilledTokens == 0);
  CHECK(between.prompts == 0);
  CHECK(ServerActivity::Subtract(to, to).meanRequests == 0);
}

TEST_CASE("rates approach a steady flow and fade", "[activity]")
{
  ServerActivity activity;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    activity.OnPrefill(kServer, 700, now);
  }
  CHECK(activity.RatesOf(kServer, now).promptsPerSecond ==
        Approx(10).epsilon(0.06));
  CHECK(activity.RatesOf(kServer, now).tokensPerSecond ==
        Approx(7000).epsilon(0.06));
  CHECK(activity.RatesOf(kServer, now + seconds(1)).tokensPerSecond ==
        Approx(7000 / std::exp(1.0)).epsilon(0.06));
  CHECK(activity.RatesOf(kServer, now + seconds(60)).tokensPerSecond < 1e-6);
}

TEST_CASE("invalid token counts are ignored", "[activity]")
{
  ServerActivity activity;
  activity.OnPrefill(kServer, -1, kStart);
  activity.OnPrefill(kServer, std::numeric_limits<double>::quiet_NaN(), kStart);
  activity.OnPrefill(kServer, std::numeric_limits<double>::infinity(), kStart);
  CHECK(activity.Of(kServer, kStart).prompts == 0);
}

// Reads in between must not change the integral, or streams would change what
// others measure.
TEST_CASE("the integral doesn't depend on reads and is never negative",
          "[activity]")
{
  CHECK(rc::check([] {
    ServerActivity plain;
    ServerActivity watched;
    TimePoint now = kStart;
    double expected = 0;
    std::uint32_t requests = 0;
    const auto steps =
      *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 5000),
                      rc::gen::inRange<std::uint32_t>(0, 200)));
    for (const auto& [millis, next] : steps) {
      const TimePoint later = now + milliseconds(millis);
      expected += requests * millis / 1e3;
      watched.SetRequests(kServer, requests, now + milliseconds(millis / 2));
      RC_ASSERT(watched.Of(kServer, later).requestSeconds >= 0);
      now = later;
      requests = next;
      plain.SetRequests(kServer, requests, now);
      watched.SetRequests(kServer, requests, now);
    }
    RC_ASSERT(plain.Of(kServer, now).requestSeconds ==
              Approx(expected).margin(1e-9));
    RC_ASSERT(watched.Of(kServer, now).requestSeconds ==
              Approx(expected).margin(1e-9));
  }));
}
