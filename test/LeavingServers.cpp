#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
/// Time after which a leaving server must receive no more requests, see
/// PlatformSite.
constexpr Duration kDrain = milliseconds(300);

std::size_t
ArrivedFrom(const standins::SealedEngine& aEngine, TimePoint aFrom)
{
  return FleetSite::ArrivedBetween(aEngine, aFrom, TimePoint::max());
}

} // namespace

// A server announces its departure in its answers while the store is
// unavailable: the gateways must inform each other.
TEST_CASE("a leaving server gets no requests while the store is unavailable",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& leaving = site.AddEngine("leaving");
  site.AddEngine("stays");
  site.StartGateways(kGateways);
  site.Play(milliseconds(300));
  site.store->SetFault(FleetSite::Fault("silent"));
  leaving.SetFault(FleetSite::Fault("leaving"));
  const TimePoint announcedAt = Now();
  site.Play(seconds(2));
  CHECK(ArrivedFrom(leaving, announcedAt) > 0);
  CHECK(ArrivedFrom(leaving, announcedAt + kDrain) == 0);
  CHECK(site.ServedCount() == site.sent.size());
}

// Neither an outdated list nor a gateway that starts later may bring a leaving
// server back.
TEST_CASE("an outdated list does not bring back a leaving server",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& leaving = site.AddEngine("leaving");
  site.AddEngine("stays");
  site.StartGateways(2);
  site.Play(milliseconds(200));
  leaving.SetFault(FleetSite::Fault("leaving"));
  site.Play(milliseconds(200));
  site.Run(kDrain);
  const TimePoint from = Now();
  site.Register("leaving", leaving, "ready");
  site.StartGateways(1);
  site.Play(seconds(1));
  CHECK(ArrivedFrom(leaving, from) == 0);
  CHECK(site.ServedCount() == site.sent.size());
}

TEST_CASE("a server that restarts under its name gets requests again",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& engine = site.AddEngine("e1");
  site.StartGateways(2);
  engine.SetFault(FleetSite::Fault("leaving"));
  site.Play(milliseconds(200));
  site.sent.clear();
  site.Play(milliseconds(100));
  CHECK(site.ServedCount() == 0);
  CHECK(std::ranges::all_of(site.sent, &FleetSite::Try::IsRefused));
  engine.SetFault(FleetSite::Fault("clear"));
  site.Register("e1", engine, "ready", 1'790'000'009'000);
  site.Run(milliseconds(500));
  site.sent.clear();
  site.Play(milliseconds(200));
  CHECK(site.ServedCount() == site.sent.size());
}

TEST_CASE("a departure is reported for a while and remembered for longer",
          "[backpressure]")
{
  const InstanceName server("e1");
  const TimePoint start = TimePoint{} + seconds(100);
  LeavingServers own;
  CHECK(own.OnAnswer(server, start));
  CHECK_FALSE(own.OnAnswer(server, start + seconds(1)));
  REQUIRE(own.OutgoingUpdates(start + seconds(5)).size() == 1);
  CHECK(own.OutgoingUpdates(start + seconds(5))[0].age == seconds(5));
  CHECK(own.OutgoingUpdates(start + LeavingServers::kAnnouncePeriod).empty());
  CHECK(own.Contains(server));

  LeavingServers other;
  CHECK(other.OnUpdate({ server, seconds(50) }, start));
  CHECK_FALSE(other.OnUpdate({ server, seconds(1) }, start));
  // Forwarding a report does not make it younger.
  CHECK(other.OutgoingUpdates(start + seconds(10)).empty());
  CHECK(other.Contains(server));
  CHECK_FALSE(
    other.OnUpdate({ InstanceName("e2"), std::chrono::hours(1) }, start));
}

TEST_CASE("the earliest departures are evicted when there are too many",
          "[backpressure]")
{
  LeavingServers servers;
  const TimePoint start = TimePoint{} + seconds(100);
  for (std::size_t i = 0; i < LeavingServers::kMaxServers + 10; ++i) {
    servers.OnAnswer(InstanceName(fmt::format("e{}", i)),
                     start + i * milliseconds(1));
  }
  CHECK_FALSE(servers.Contains(InstanceName("e0")));
  CHECK(servers.Contains(InstanceName("e10")));
  CHECK(servers.OutgoingUpdates(start + seconds(10)).size() ==
        LeavingServers::kMaxUpdates);
}

TEST_CASE("a listed server stays unused after its departure is forgotten",
          "[backpressure]")
{
  auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  std::vector<DirectInstance> listed;
  for (const char* name : { "e1", "e2" }) {
    DirectInstance instance;
    instance.name = InstanceName(name);
    instance.server = instance.name;
    instance.service = ServiceName("s");
    instance.address = { "127.0.0.1", 9 };
    listed.push_back(instance);
  }
  pool.SetInstances(listed);
  BackpressureNotice leaving;
  leaving.isLeaving = true;
  const TimePoint now = Now();
  pool.OnNotice(listed[0].name, leaving, now);
  pool.RunMaintenance(now);
  const TimePoint late = now + LeavingServers::kRetention;
  pool.OnNotice(listed[1].name, leaving, late);
  pool.SetInstances(listed);
  CHECK(pool.Acquire(listed[0].name, {}, late) == nullptr);
  CHECK(pool.IsLeaving(listed[0].name));
}

// A gateway reads a list that is older than the report of the departure.
TEST_CASE(
  "a server that is listed after its reported departure gets no requests",
  "[backpressure]")
{
  auto loop = *EventLoop::Create();
  BackendPool pool(*loop, {});
  DirectInstance instance;
  instance.name = InstanceName("e1");
  instance.server = instance.name;
  instance.service = ServiceName("s");
  instance.address = { "127.0.0.1", 9 };
  const TimePoint now = Now();
  PeerDigest digest;
  digest.gateway = InstanceName("g2");
  digest.leaving = { { instance.name, milliseconds(10) } };
  pool.ApplyDigest(digest, now);
  pool.SetInstances({ &instance, 1 });
  CHECK(pool.Acquire(instance.name, {}, now) == nullptr);
}
