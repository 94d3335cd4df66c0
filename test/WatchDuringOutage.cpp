#include <algorithm>

#include <catch2/catch.hpp>

#include "support/FleetSite.h"

using namespace dogwoodvale;
using test::FleetSite;

namespace {

/// From the store's return, or from a later change, until all gateways serve by
/// the newest configuration.
constexpr Duration kApplyLimit = seconds(2);
/// Long enough for every gateway to miss an answer of the store.
constexpr Duration kOutage = milliseconds(2500);

struct OutageSite : FleetSite
{
  explicit OutageSite(int aGateways = 2)
  {
    this->AddEngine("e1");
    this->StartGateways(aGateways);
  }

  bool IsInForce(int aVersion)
  {
    const std::string line = fmt::format("\"routes_version\" : {}", aVersion);
    return std::ranges::all_of(this->gateways, [&](const auto& aOne) {
      return aOne->Statusz().find(line) != std::string::npos;
    });
  }
};

} // namespace

// After a change all gateways poll the store at the same moment. Polls that a
// store receives while it is silent are never answered, so none of the gateways
// learned of a change until their polls had timed out.
TEST_CASE("a change after the store was silent is in force in time", "[outage]")
{
  OutageSite site;
  site.PutConfiguration(2);
  // Before the gateways poll for what follows that version.
  site.store->SetFault(FleetSite::Fault("silent"));
  REQUIRE(site.Until([&] { return site.IsInForce(2); }));
  site.Run(kOutage);
  site.store->SetFault(FleetSite::Fault("clear"));
  site.PutConfiguration(3);
  CHECK(site.Until([&] { return site.IsInForce(3); }, kApplyLimit));
}

// The store had the poll before it fell silent, and its answer was lost.
TEST_CASE("a change while the store was silent is in force in time", "[outage]")
{
  OutageSite site;
  site.Run(milliseconds(100));
  site.store->SetFault(FleetSite::Fault("silent"));
  site.store->SetFault(FleetSite::Fault("lose_polls"));
  site.PutConfiguration(2);
  site.Run(kOutage);
  site.store->SetFault(FleetSite::Fault("clear"));
  CHECK(site.Until([&] { return site.IsInForce(2); }, kApplyLimit));
}

// Guards against outages of the store too short for any other call to notice:
// the answers of all polls are lost, and nothing else is.
TEST_CASE("a change whose news is lost to all is in force in time", "[outage]")
{
  const int gateways = GENERATE(1, 2, 5);
  OutageSite site(gateways);
  site.Run(milliseconds(GENERATE(100, 700, 1300)));
  site.store->SetFault(FleetSite::Fault("lose_polls"));
  site.PutConfiguration(2);
  CHECK(site.Until([&] { return site.IsInForce(2); }, kApplyLimit));
  // The watch itself goes on.
  site.PutConfiguration(3);
  CHECK(site.Until([&] { return site.IsInForce(3); }, kApplyLimit));
}
