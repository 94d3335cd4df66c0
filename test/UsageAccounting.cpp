#include <catch2/catch.hpp>

#include "standins/UsageReceiver.h"
#include "support/PlatformSite.h"

using namespace dogwoodvale;
using standins::UsageReceiver;
using test::PlatformSite;

namespace {

/// Gateways that report usage in windows of one second.
struct UsageSite : PlatformSite
{
  explicit UsageSite(int aGateways)
  {
    this->duties.api = this->receiver->Address();
    this->duties.assigned = { "usage_report" };
    this->duties.lease = seconds(1);
    this->duties.usageWindow = seconds(1);
    this->duties.usageDue = seconds(8);
    for (int i = 1; i <= aGateways; ++i) {
      this->ReadyGateway(fmt::format("g{}", i));
    }
    this->Until([&] { return this->ReporterIndex() < this->gateways.size(); });
  }

  /// \return index of the reporting gateway; the number of gateways if none
  /// reports.
  std::size_t ReporterIndex() const
  {
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      if (this->gateways[i] != nullptr &&
          this->gateways[i]->Statusz().find("\"holds\" : true") !=
            std::string::npos) {
        return i;
      }
    }
    return this->gateways.size();
  }

  /// Sends \p aCount requests, to the gateways in turn.
  void Serve(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const auto& gateway =
        this->gateways[static_cast<std::size_t>(i) % this->gateways.size()];
      if (gateway != nullptr) {
        this->Ask(*gateway, "/again/x", fmt::format("id{}", ++this->asked));
      }
    }
  }

  /// Total of all reports so far.
  std::uint64_t Reported() const
  {
    std::uint64_t sum = 0;
    for (const auto& [window, counts] : this->receiver->Reports()) {
      sum += counts["t1"].asUInt64();
    }
    return sum;
  }

  bool HasNoViolations() const
  {
    for (const std::string& violation : this->receiver->Violations()) {
      UNSCOPED_INFO(violation);
    }
    return this->receiver->Violations().empty();
  }

  std::unique_ptr<UsageReceiver> receiver =
    *UsageReceiver::Create(*this->loop, { "127.0.0.1", 0 });
  std::uint64_t asked = 0;
};

} // namespace

TEST_CASE("requests served by all gateways are reported exactly once",
          "[usage]")
{
  UsageSite site(3);
  REQUIRE(site.ReporterIndex() < 3);
  // Windows before the first reporting gateway took over are not reported.
  site.Until([] { return false; }, milliseconds(2200));
  site.Serve(24);
  CHECK(site.Until([&] { return site.Reported() == 24; }, seconds(8)));
  CHECK(site.HasNoViolations());
  CHECK(site.receiver->Holders().size() == 1);
}

// The reporting gateway stops. Its successor must neither send a different
// report of a window that was sent already nor leave the reporting undone.
TEST_CASE("reporting continues consistently when the reporting gateway stops",
          "[usage]")
{
  UsageSite site(3);
  site.Until([] { return false; }, milliseconds(2200));
  site.Serve(12);
  REQUIRE(
    site.Until([&] { return !site.receiver->Reports().empty(); }, seconds(8)));
  const std::size_t reporter = site.ReporterIndex();
  REQUIRE(reporter < 3);
  SECTION("killed")
  {
    site.gateways[reporter].reset();
  }
  SECTION("stopped as planned")
  {
    site.gateways[reporter]->BeginStop();
  }
  const std::size_t before = site.receiver->Holders().size();
  REQUIRE(site.Until([&] { return site.receiver->Holders().size() > before; },
                     seconds(8)));
  CHECK(site.HasNoViolations());
}

// The receiver doesn't answer and executes calls late, when another gateway has
// sent the same window.
TEST_CASE("calls that are executed late change no report", "[usage]")
{
  UsageSite site(2);
  site.Until([] { return false; }, milliseconds(2200));
  site.receiver->SetMode(GENERATE(UsageReceiver::Mode::Late,
                                  UsageReceiver::Mode::Busy,
                                  UsageReceiver::Mode::Silent));
  site.Serve(10);
  site.Until([] { return false; }, milliseconds(2500));
  site.receiver->SetMode(UsageReceiver::Mode::Up);
  CHECK(site.Until([&] { return site.Reported() == 10; }, seconds(8)));
  CHECK(site.HasNoViolations());
}

// The store is restored from a copy without the state of the reporting gateway.
TEST_CASE("a store that lost the reporting state causes no second report",
          "[usage]")
{
  UsageSite site(3);
  site.Until([] { return false; }, milliseconds(2200));
  site.Serve(12);
  REQUIRE(site.Until([&] { return site.Reported() == 12; }, seconds(8)));
  const std::int64_t tokenBefore = site.receiver->Holders().rbegin()->first;
  site.store->GoBackTo(site.store->Revision() - 4);
  REQUIRE(site.Until(
    [&] { return site.receiver->Holders().rbegin()->first > tokenBefore; },
    seconds(10)));
  site.Serve(6);
  CHECK(site.Until([&] { return site.Reported() >= 18; }, seconds(8)));
  CHECK(site.HasNoViolations());
}
