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
