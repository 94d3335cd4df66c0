#include <catch2/catch.hpp>

#include "support/PartPlay.h"

using namespace dogwoodvale;
using test::CrashSite;
using test::kMaxLateRuns;
using test::kServedShare;
using test::PartPlay;
using test::Prompts;
using test::Served;

// Many crashing requests come before any gateway knows of a crash, and end all
// engines within a second; each comes back after two. So few engines are up
// then, and each for so short a time, that hardly an answer completes, and the
// parts that all share are in flight at every exit as well.
TEST_CASE("a part that ends all engines at once is quarantined", "[part]")
{
  Prompts prompts;
  prompts.last = "1a57:30,";
  int gateways = 4;
  bool isStoreSilent = false;
  SECTION("in the middle of the prompt") {}
  SECTION("deep in the prompt, at eight gateways")
  {
    prompts.first = "f125:100,f126:10,f127:10,f128:10,f129:10,f12a:10,";
    gateways = 8;
  }
  SECTION("while the store is silent")
  {
    isStoreSilent = true;
  }
  standins::SealedEngineSettings notes;
  notes.events = 40;
  notes.gap = milliseconds(10);
  CrashSite site(10, gateways, notes);
  site.comesBack = seconds(2);
  site.keepsAddress = isStoreSilent;
  PartPlay play(site, prompts);
  const Served before = play.Play(milliseconds(500), false);
  CHECK(before.served == before.sent);
  if (isStoreSilent) {
    site.store->SetFault(CrashSite::Fault("silent"));
  }
  play.SendCrashingToAll(60);
  play.Play(seconds(7), true);
  INFO("engines crashed: " << site.crashes.size());
  REQUIRE(site.crashes.size() >= test::kKnownExits);
  const Served after = play.Play(seconds(2), true);
  INFO(after.served << " of " << after.sent << " served, " << after.refused
                    << " refused");
  CHECK(play.LateRuns() <= kMaxLateRuns);
  CHECK(static_cast<double>(after.served) >=
        kServedShare * static_cast<double>(after.sent));
}
