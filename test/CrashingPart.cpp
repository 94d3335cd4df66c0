#include <catch2/catch.hpp>

#include "support/PartPlay.h"

using namespace dogwoodvale;
using test::CrashSite;
using test::kMaxLateRuns;
using test::kServedShare;
using test::LongNotes;
using test::PartPlay;
using test::Prompts;
using test::Served;

namespace {

constexpr std::size_t kGateways = 4;

/// Plays requests with the crashing part among sound ones, and checks that it
/// is kept from engines while the sound ones go on.
void
CheckContained(CrashSite& aSite, PartPlay& aPlay)
{
  const Served before = aPlay.Play(milliseconds(500), false);
  CHECK(before.served == before.sent);
  aPlay.Play(seconds(3), true);
  INFO("engines crashed: " << aSite.crashes.size());
  REQUIRE(aSite.crashes.size() >= 3);
  const Served after = aPlay.Play(seconds(1), true);
  CHECK(aPlay.LateRuns() <= kMaxLateRuns);
  CHECK(after.refused == 0);
  CHECK(static_cast<double>(after.served) >=
        kServedShare * static_cast<double>(after.sent));
}

std::size_t
QuarantinedCount(CrashSite& aSite)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSite.sent, &CrashSite::Try::IsQuarantined));
}

} // namespace

// Requests of which no two are alike crash engine after engine, as they share
// one part of their prompts; sound ones share all other parts and the customer.
TEST_CASE("requests that share a crashing part are quarantined", "[part]")
{
  Prompts prompts;
  SECTION("in the middle of the prompt") {}
  SECTION("first in the prompt")
  {
    prompts.first = "";
  }
  SECTION("deep in the prompt")
  {
    prompts.first = "f125:100,f126:10,f127:10,f128:10,f129:10,f12a:10,";
  }
  CrashSite site(12, kGateways, LongNotes());
  PartPlay play(site, prompts);
  CheckContained(site, play);
}

// Streams outlast the time between two exits, so that hardly one is complete
// while engines crash: their parts must not be blamed for that.
TEST_CASE("a crashing part is told from others though no answer completes",
          "[part]")
{
  standins::SealedEngineSettings notes;
  notes.events = 110;
  notes.gap = milliseconds(10);
  CrashSite site(12, kGateways, notes);
  PartPlay play(site);
  CheckContained(site, play);
}

TEST_CASE("a crashing part is found at eight gateways, one of them restarted",
          "[part]")
{
  constexpr int kMany = 8;
  CrashSite site(12, kMany, LongNotes());
  PartPlay play(site);
  play.Play(milliseconds(500), true);
  site.gateways.pop_back();
  site.StartGateways(1);
  CheckContained(site, play);
}

// Verdicts that wait for the store must not keep gateways from acting on them.
TEST_CASE("a crashing part is quarantined while the store is silent", "[part]")
{
  CrashSite site(12, kGateways, LongNotes());
  site.store->SetFault(CrashSite::Fault("silent"));
  PartPlay play(site);
  CheckContained(site, play);
}

TEST_CASE("two crashing parts at once are both quarantined", "[part]")
{
  CrashSite site(12, kGateways, LongNotes());
  PartPlay play(site);
  PartPlay other(site, { .crashing = CrashSite::kOtherCrashPart });
  for (int i = 0; i < 30; ++i) {
    other.Send(CrashSite::kOtherCrashPart);
    play.Play(milliseconds(80), true);
  }
  CheckContained(site, play);
  CHECK(other.LateRuns() <= kMaxLateRuns);
}

// All requests share parts with those that ran at each engine that ended. If
// the parts were blamed, all would be refused.
TEST_CASE("no part is refused when engines end at random", "[part]")
{
  CrashSite site(10, kGateways, LongNotes());
  PartPlay play(site);
  std::size_t sent = 0;
  std::size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    site.CrashEngines(i % 7 == 6 ? 10 : 1);
    const Served result = play.Play(milliseconds(250), false);
    sent += result.sent;
    served += result.served;
  }
  INFO(served << " of " << sent << " served");
  CHECK(site.crashes.size() >= 29);
  CHECK(QuarantinedCount(site) == 0);
  const Served after = play.Play(milliseconds(500), false);
  CHECK(after.served == after.sent);
}

// Callers choose what parts they state.
TEST_CASE("requests with no shared part are known by their content alone",
          "[part]")
{
  CrashSite site(4, 1, LongNotes());
  const auto send = [&site](const std::string& aPrompt) {
    return &site.Send(
      0, "/read/stream/x", "note", CrashSite::PromptHeaders(aPrompt));
  };
  std::string endless;
  for (int i = 0; i < 300; ++i) {
    endless += "a1:1,";
  }
  for (const std::string& prompt : { std::string(CrashSite::kCrashPart) + ":10",
                                     std::string("zz:,,:"),
                                     endless,
                                     std::string() }) {
    CrashSite::Try* one = send(prompt);
    site.Settle();
    CHECK(one->IsServed());
  }
  CHECK(site.crashes.empty());
}
