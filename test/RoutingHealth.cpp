#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Routing"

using namespace dogwoodvale;

namespace {

const TimePoint kStart{ seconds(100) };

InstanceName
ServerName(std::size_t aIndex)
{
  return InstanceName(fmt::format("server-{}", aIndex));
}

HealthTracker
MakeTracker(std::size_t aSize, HealthSettings aSettings = {})
{
  HealthTracker health(aSettings);
  for (std::size_t index = 0; index < aSize; ++index) {
    health.Add(ServerName(index));
    health.OnStepTime(ServerName(index), milliseconds(6));
  }
  return health;
}

void
Fail(HealthTracker& aHealth, const InstanceName& aName, int aTimes)
{
  for (int failure = 0; failure < aTimes; ++failure) {
    aHealth.OnFailure(aName);
  }
}

} // namespace

TEST_CASE("A straggler is ejected, then probed with exponential back-off")
{
  // One server's steps take five times as long as the others'. It is ejected
  // and probed after 5 s; while it is still slow, the interval doubles.
  HealthTracker health = MakeTracker(12);
  health.OnStepTime(ServerName(3), milliseconds(30));
  for (int report = 0; report < 30; ++report) {
    health.OnStepTime(ServerName(3), milliseconds(30));
  }
  auto changes = health.Evaluate(kStart, 0.5);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].name == ServerName(3));
  CHECK(std::string_view(changes[0].reason) == "slow");

  CHECK(health.Evaluate(kStart + milliseconds(4900), 0.5).empty());
  changes = health.Evaluate(kStart + seconds(5), 0.5);
  REQUIRE(changes.size() == 1);
  CHECK(health.HealthStateOf(ServerName(3)) == HealthState::Probing);

  health.OnStepTime(ServerName(3), milliseconds(30));
  CHECK(health.Evaluate(kStart + seconds(6), 0.5).size() == 1);
  CHECK(health.HealthStateOf(ServerName(3)) == HealthState::Ejected);
  CHECK(health.Evaluate(kStart + seconds(15), 0.5).empty());
  CHECK(health.Evaluate(kStart + seconds(16), 0.5).size() == 1);

  health.OnStepTime(ServerName(3), milliseconds(6));
  health.OnSuccess(ServerName(3));
  health.OnSuccess(ServerName(3));
  changes = health.Evaluate(kStart + seconds(17), 0.5);
  REQUIRE(changes.size() == 1);
  CHECK(std::string_view(changes[0].reason) == "recovered");
}

TEST_CASE("A slow server stays in service while its capacity is needed")
{
  // At high load, requests would queue at the other servers for longer than the
  // straggler delays them.
  HealthTracker health = MakeTracker(4);
  for (int report = 0; report < 30; ++report) {
    health.OnStepTime(ServerName(0), milliseconds(30));
  }
  CHECK(health.Evaluate(kStart, 0.8).empty());
  CHECK(health.Evaluate(kStart, 0.4).size() == 1);
  const auto changes = health.Evaluate(kStart + seconds(1), 1.2);
  REQUIRE(changes.size() == 1);
  CHECK(std::string_view(changes[0].reason) == "needed");
  CHECK(health.HealthStateOf(ServerName(0)) == HealthState::InService);
}

TEST_CASE("A crashed server is ejected at once")
{
  HealthTracker health = MakeTracker(3);
  health.OnCrash(ServerName(1));
  REQUIRE(health.Evaluate(kStart, 0.99).size() == 1);
  CHECK(health.HealthStateOf(ServerName(1)) == HealthState::Ejected);
}

TEST_CASE("No server is ejected when the whole service slows down")
{
  // In an overload every server is slow. Ejecting the slowest would move its
  // load to the others, and so eject one after another.
  HealthTracker health = MakeTracker(10);
  for (std::size_t index = 0; index < 10; ++index) {
    for (int report = 0; report < 30; ++report) {
      health.OnStepTime(ServerName(index), milliseconds(60 + 5 * index));
    }
  }
  CHECK(health.Evaluate(kStart, 0.5).empty());
}

TEST_CASE("A long time to first token ejects no server that reports step times")
{
  // It includes the wait for a slot: a healthy server that got a burst would be
  // ejected.
  HealthTracker health = MakeTracker(5);
  for (int sample = 0; sample < 20; ++sample) {
    for (std::size_t index = 0; index < 5; ++index) {
      health.OnFirstToken(ServerName(index),
                          milliseconds(index == 0 ? 900 : 20));
    }
  }
  CHECK(health.Evaluate(kStart, 0.5).empty());
}

TEST_CASE("A service without step times is judged by its latency")
{
  HealthTracker health;
  for (std::size_t index = 0; index < 5; ++index) {
    health.Add(ServerName(index));
    for (int sample = 0; sample < 5; ++sample) {
      health.OnFirstToken(ServerName(index),
                          milliseconds(index == 0 ? 900 : 20));
    }
  }
  REQUIRE(health.Evaluate(kStart, 0.5).size() == 1);
  CHECK(health.HealthStateOf(ServerName(0)) == HealthState::Ejected);
}

TEST_CASE("The ejected share is bounded for any input")
{
  // A wrong measurement, or a failure of all servers, must not leave a service
  // without servers.
  rc::prop("unhealthy <= max(1, 30%) and one is in service", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 25);
    HealthTracker health = MakeTracker(size);
    TimePoint now = kStart;
    const auto steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 6),
                      rc::gen::inRange<std::size_t>(0, size)));
    std::map<InstanceName, HealthState> reported;
    for (const auto& [action, index] : steps) {
      const InstanceName name = ServerName(index);
      switch (action) {
        case 0:
          Fail(health, name, 6);
          break;
        case 1:
          health.OnCrash(name);
          break;
        case 2:
          health.OnStepTime(name, seconds(1));
          break;
        case 3:
          health.OnSuccess(name);
          break;
        case 4:
          health.OnFirstToken(name, seconds(5));
          break;
        default:
          now += seconds(4);
      }
      for (const HealthChange& change : health.Evaluate(now, 0.3)) {
        reported[change.name] = change.healthState;
      }
      const auto maxUnhealthy = std::max(1.0, 0.3 * static_cast<double>(size));
      RC_ASSERT(static_cast<double>(health.UnhealthyCount()) <= maxUnhealthy);
      RC_ASSERT(health.UnhealthyCount() < size);
      for (const auto& [changed, state] : reported) {
        RC_ASSERT(health.HealthStateOf(changed) == state);
      }
    }
  });
}

TEST_CASE("An ejected server is always probed again")
{
  HealthTracker health = MakeTracker(5);
  TimePoint now = kStart;
  TimePoint lastProbe = now;
  for (int second = 0; second < 3600; ++second) {
    now += seconds(1);
    Fail(health, ServerName(2), 6);
    for (const HealthChange& change : health.Evaluate(now, 0.3)) {
      if (change.healthState == HealthState::Probing) {
        CHECK(Between(lastProbe, now) <= seconds(125));
        lastProbe = now;
      }
    }
  }
  CHECK(Between(lastProbe, now) <= seconds(125));
}
