#include <catch2/catch.hpp>

#include "standins/UsageReceiver.h"
#include "support/PlatformSite.h"

using namespace dogwoodvale;
using standins::UsageReceiver;
using test::PlatformSite;

namespace {

/// Gateways that report usage of windows of a second.
struct DutySite : PlatformSite
{
  explicit DutySite(int aGateways)
  {
    this->duties.api = this->receiver->Address();
    this->duties.assigned = { "usage_report" };
    this->duties.lease = seconds(1);
    this->duties.usageWindow = seconds(1);
    this->duties.usageDue = seconds(8);
    for (int i = 1; i <= aGateways; ++i) {
      this->ReadyGateway(fmt::format("g{}", i));
    }
    this->Until([&] { return this->HolderIndex() < this->gateways.size(); });
  }

  /// \return the number of gateways where none says that it holds the duty.
  std::size_t HolderIndex() const
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

  /// One request at each gateway in turn.
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

  std::uint64_t Reported() const
  {
    std::uint64_t sum = 0;
    for (const auto& [window, counts] : this->receiver->Reports()) {
      sum += counts["t1"].asUInt64();
    }
    return sum;
  }

  bool IsSound() const
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

TEST_CASE("what all gateways served is reported once", "[usage]")
{
  DutySite site(3);
  REQUIRE(site.HolderIndex() < 3);
  // Windows before the first holder's are left alone.
  site.Until([] { return false; }, milliseconds(2200));
  site.Serve(24);
  CHECK(site.Until([&] { return site.Reported() == 24; }, seconds(8)));
  CHECK(site.IsSound());
  CHECK(site.receiver->Holders().size() == 1);
}

// The holder is killed and its successor decides a window anew that was sent
// already, or nobody reports from then on.
TEST_CASE("a killed holder's duty goes on with the same reports", "[usage]")
{
  DutySite site(3);
  site.Until([] { return false; }, milliseconds(2200));
  site.Serve(12);
  REQUIRE(
    site.Until([&] { return !site.receiver->Reports().empty(); }, seconds(8)));
  const std::size_t holder = site.HolderIndex();
  REQUIRE(holder < 3);
  SECTION("killed")
  {
    site.gateways[holder].reset();
  }
  SECTION("stopped as planned")
  {
    site.gateways[holder]->BeginStop();
  }
  const std::size_t before = site.receiver->Holders().size();
  REQUIRE(site.Until([&] { return site.receiver->Holders().size() > before; },
                     seconds(8)));
  CHECK(site.IsSound());
}

// The receiver answers nothing and carries calls out later, when another
// gateway has sent the same window.
TEST_CASE("calls that are carried out late change no report", "[usage]")
{
  DutySite site(2);
  site.Until([] { return false; }, milliseconds(2200));
  site.receiver->SetMode(GENERATE(UsageReceiver::Mode::Late,
                                  UsageReceiver::Mode::Busy,
                                  UsageReceiver::Mode::Silent));
  site.Serve(10);
  site.Until([] { return false; }, milliseconds(2500));
  site.receiver->SetMode(UsageReceiver::Mode::Up);
  CHECK(site.Until([&] { return site.Reported() == 10; }, seconds(8)));
  CHECK(site.IsSound());
}

// The store comes back from a copy without what the holder kept there.
TEST_CASE("a store that loses what was kept makes no second report", "[usage]")
{
  DutySite site(3);
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
  CHECK(site.IsSound());
}
