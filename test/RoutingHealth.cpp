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

TEST_CASE("A straggler is ejected and comes back by trial, later each time")
{
  // One server's steps take five times as long; callers sent there get their
  // tokens late. It is taken out, tried after 5 s, and while it is still slow
  // the next trial comes after twice as long.
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
  CHECK(health.StandingOf(ServerName(3)) == Standing::OnTrial);

  health.OnStepTime(ServerName(3), milliseconds(30));
  CHECK(health.Evaluate(kStart + seconds(6), 0.5).size() == 1);
  CHECK(health.StandingOf(ServerName(3)) == Standing::Ejected);
  CHECK(health.Evaluate(kStart + seconds(15), 0.5).empty());
  CHECK(health.Evaluate(kStart + seconds(16), 0.5).size() == 1);

  health.OnStepTime(ServerName(3), milliseconds(6));
  health.OnSuccess(ServerName(3));
  health.OnSuccess(ServerName(3));
  changes = health.Evaluate(kStart + seconds(17), 0.5);
  REQUIRE(changes.size() == 1);
  CHECK(std::string_view(changes[0].reason) == "recovered");
}

TEST_CASE("A slow server stays while the others can't do without it")
{
  // At high load the rest would queue for longer than the straggler is slow.
  HealthTracker health = MakeTracker(4);
  for (int report = 0; report < 30; ++report) {
    health.OnStepTime(ServerName(0), milliseconds(30));
  }
  CHECK(health.Evaluate(kStart, 0.8).empty());
  CHECK(health.Evaluate(kStart, 0.4).size() == 1);
  const auto changes = health.Evaluate(kStart + seconds(1), 1.2);
  REQUIRE(changes.size() == 1);
  CHECK(std::string_view(changes[0].reason) == "needed");
  CHECK(health.StandingOf(ServerName(0)) == Standing::InService);
}

TEST_CASE("A crash takes a server out at once")
{
  HealthTracker health = MakeTracker(3);
  health.OnCrash(ServerName(1));
  REQUIRE(health.Evaluate(kStart, 0.99).size() == 1);
  CHECK(health.StandingOf(ServerName(1)) == Standing::Ejected);
}

TEST_CASE("A whole service that slows down loses no server")
{
  // In an overload every server is slow. Ejecting the slowest would put its
  // load on the rest, and so on to the last.
  HealthTracker health = MakeTracker(10);
  for (std::size_t index = 0; index < 10; ++index) {
    for (int report = 0; report < 30; ++report) {
      health.OnStepTime(ServerName(index), milliseconds(60 + 5 * index));
    }
  }
  CHECK(health.Evaluate(kStart, 0.5).empty());
}

TEST_CASE("A high latency to the first token is no verdict on a model engine")
{
  // It contains the wait for a slot. A healthy server that got a burst would
  // be ejected for it.
  HealthTracker health = MakeTracker(5);
  for (int sample = 0; sample < 20; ++sample) {
    for (std::size_t index = 0; index < 5; ++index) {
      health.OnFirstToken(ServerName(index),
                          milliseconds(index == 0 ? 900 : 20));
    }
  }
  CHECK(health.Evaluate(kStart, 0.5).empty());
}

TEST_CASE("A plain service, which reports no steps, is judged by its latency")
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
  CHECK(health.StandingOf(ServerName(0)) == Standing::Ejected);
}

TEST_CASE("Whatever is measured, the share that is out is bounded")
{
  // A bad measure, or a failure of all, must not empty a service: no caller
  // would be served at all.
  rc::prop("out <= max(1, 30%) and at least one is in service", [] {
    const auto size = *rc::gen::inRange<std::size_t>(1, 25);
    HealthTracker health = MakeTracker(size);
    TimePoint now = kStart;
    const auto steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 6),
                      rc::gen::inRange<std::size_t>(0, size)));
    std::map<InstanceName, Standing> told;
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
        told[change.name] = change.standing;
      }
      const auto most = std::max(1.0, 0.3 * static_cast<double>(size));
      RC_ASSERT(static_cast<double>(health.OutCount()) <= most);
      RC_ASSERT(health.OutCount() < size);
      for (const auto& [changed, standing] : told) {
        RC_ASSERT(health.StandingOf(changed) == standing);
      }
    }
  });
}

TEST_CASE("An ejected server is always tried again")
{
  HealthTracker health = MakeTracker(5);
  TimePoint now = kStart;
  TimePoint lastTrial = now;
  for (int second = 0; second < 3600; ++second) {
    now += seconds(1);
    Fail(health, ServerName(2), 6);
    for (const HealthChange& change : health.Evaluate(now, 0.3)) {
      if (change.standing == Standing::OnTrial) {
        CHECK(Between(lastTrial, now) <= seconds(125));
        lastTrial = now;
      }
    }
  }
  CHECK(Between(lastTrial, now) <= seconds(125));
}
