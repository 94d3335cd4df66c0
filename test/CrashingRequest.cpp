#include <catch2/catch.hpp>

#include "support/CrashSite.h"

using namespace dogwoodvale;
using test::CrashSite;

namespace {

/// By then every gateway has heard what the others saw.
constexpr Duration kContact = milliseconds(600);
constexpr std::size_t kGateways = 4;

/// Runs of the crashing body that began later than kContact after it had
/// crashed its third engine.
std::size_t
LateRuns(const CrashSite& aSite)
{
  if (aSite.crashes.size() < 3) {
    return 0;
  }
  const TimePoint from = aSite.crashes[2] + kContact;
  std::size_t count = 0;
  for (const standins::SealedRun& run : aSite.Runs()) {
    count += run.body == CrashSite::kCrashBody && run.at > from ? 1 : 0;
  }
  return count;
}

/// Notes take a tenth of a second, so that a crash breaks some off.
standins::SealedEngineSettings
LongNotes()
{
  standins::SealedEngineSettings settings;
  settings.events = 10;
  settings.gap = milliseconds(10);
  return settings;
}

struct Served
{
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
};

/// Sends others' notes at every gateway, each with a body of its own, and with
/// \p aWithCrashing one that crashes engines every 80 ms, at each gateway in
/// turn. \return how the others fared in this time.
Served
PlayNotes(CrashSite& aSite, Duration aTime, bool aWithCrashing)
{
  constexpr Duration kStep = milliseconds(10);
  constexpr int kCrashingEvery = 8;
  std::vector<CrashSite::Try*> others;
  const auto steps = aTime / kStep;
  for (int step = 0; step < steps; ++step) {
    const std::size_t gateway = static_cast<std::size_t>(step) % kGateways;
    others.push_back(&aSite.Send(
      gateway, "/note/stream/x", fmt::format("{} of its own", step)));
    if (aWithCrashing && step % kCrashingEvery == 0) {
      aSite.Send(static_cast<std::size_t>(step / kCrashingEvery) % kGateways,
                 "/note/stream/x",
                 CrashSite::kCrashBody);
    }
    aSite.Run(kStep);
  }
  aSite.Settle();
  Served result;
  for (CrashSite::Try* one : others) {
    ++result.sent;
    result.served += one->IsServed() ? 1 : 0;
    result.refused += one->IsRefused() ? 1 : 0;
  }
  return result;
}

} // namespace

// Notes fail for all callers of a service: one of them sends a request that
// crashes each engine that begins it, gets 502 and sends it again, under a new
// id, at any gateway. Each gateway took each try for a new request, so engine
// after engine crashed and broke off all that it ran. Evidence: one fingerprint
// was among the attempts that broke off at every engine that ended.
TEST_CASE("a request that crashes engines is kept from them", "[crashing]")
{
  CrashSite site(12, kGateways, LongNotes());
  const Served before = PlayNotes(site, milliseconds(300), false);
  CHECK(before.served == before.sent);
  PlayNotes(site, seconds(2), true);
  INFO("engines ended: " << site.crashes.size());
  REQUIRE(site.crashes.size() >= 3);
  CHECK(LateRuns(site) <= 3);
  // What the others get once it is known: nearly all.
  const Served after = PlayNotes(site, seconds(1), true);
  CHECK(after.refused == 0);
  CHECK(static_cast<double>(after.served) >=
        0.98 * static_cast<double>(after.sent));
}
