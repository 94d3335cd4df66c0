#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

constexpr std::size_t kGateways = 4;
/// Within which a leaving server must get no more, see PlatformSite.
constexpr Duration kDrain = milliseconds(300);

std::size_t
ArrivedFrom(const standins::SealedEngine& aEngine, TimePoint aFrom)
{
  return FleetSite::ArrivedBetween(aEngine, aFrom, TimePoint::max());
}

} // namespace

// Guards against work for a server that says in its answers that it leaves,
// while the store can tell nobody.
TEST_CASE("a server that says it leaves gets no more with the store away",
          "[backpressure]")
{
  FleetSite site;
  standins::SealedEngine& leaving = site.AddEngine("leaving");
  site.AddEngine("stays");
  site.StartGateways(kGateways);
  site.Play(milliseconds(300));
  site.store->SetFault(FleetSite::Fault("silent"));
  leaving.SetFault(FleetSite::Fault("leaving"));
  const TimePoint said = Now();
  site.Play(seconds(2));
  CHECK(ArrivedFrom(leaving, said) > 0);
  CHECK(ArrivedFrom(leaving, said + kDrain) == 0);
  CHECK(site.ServedCount() == site.sent.size());
}

// Guards against an older list, or a gateway that starts late, bringing a
// leaving server back.
TEST_CASE("no list takes back that a server leaves", "[backpressure]")
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

TEST_CASE("a server that starts again under its name gets work",
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

TEST_CASE("the word that a server leaves is told for a while and kept longer",
          "[backpressure]")
{
  const InstanceName server("e1");
  const TimePoint start = TimePoint{} + seconds(100);
  LeavingServers own;
  CHECK(own.OnAnswer(server, start));
  CHECK_FALSE(own.OnAnswer(server, start + seconds(1)));
  REQUIRE(own.Tell(start + seconds(5)).size() == 1);
  CHECK(own.Tell(start + seconds(5))[0].age == seconds(5));
  CHECK(own.Tell(start + LeavingServers::kTell).empty());
  CHECK(own.Contains(server));

  LeavingServers other;
  CHECK(other.Hear({ server, seconds(50) }, start));
  CHECK_FALSE(other.Hear({ server, seconds(1) }, start));
  // Passing the word on does not make it younger.
  CHECK(other.Tell(start + seconds(10)).empty());
  CHECK(other.Contains(server));
  CHECK_FALSE(other.Hear({ InstanceName("e2"), std::chrono::hours(1) }, start));
}

TEST_CASE("of too many leaving servers the earliest are forgotten",
          "[backpressure]")
{
  LeavingServers servers;
  const TimePoint start = TimePoint{} + seconds(100);
  for (std::size_t i = 0; i < LeavingServers::kMost + 10; ++i) {
    servers.OnAnswer(InstanceName(fmt::format("e{}", i)),
                     start + i * milliseconds(1));
  }
  CHECK_FALSE(servers.Contains(InstanceName("e0")));
  CHECK(servers.Contains(InstanceName("e10")));
  CHECK(servers.Tell(start + seconds(10)).size() == LeavingServers::kMostNews);
}

TEST_CASE(
  "a server that is listed for longer than its word is remembered stays "
  "out",
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
  pool.Tend(now);
  const TimePoint late = now + LeavingServers::kMemory;
  pool.OnNotice(listed[1].name, leaving, late);
  pool.SetInstances(listed);
  CHECK(pool.Acquire(listed[0].name, {}, late) == nullptr);
  CHECK(pool.IsLeaving(listed[0].name));
}

// Guards against a list that a gateway reads late, older than the word that it
// has heard.
TEST_CASE("a server that is listed after its word was heard gets no work",
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
  pool.Hear(digest, now);
  pool.SetInstances({ &instance, 1 });
  CHECK(pool.Acquire(instance.name, {}, now) == nullptr);
}
