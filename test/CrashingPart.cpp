#include <catch2/catch.hpp>

#include "support/CrashSite.h"

using namespace dogwoodvale;
using test::CrashSite;
using test::LongNotes;

namespace {

constexpr std::size_t kGateways = 4;
/// Time within which every gateway has received the others' evidence.
constexpr Duration kExchangeTime = milliseconds(600);
/// Exits after which runs of the part are counted as late.
constexpr std::size_t kKnownExits = 5;
/// Late runs that may still begin.
constexpr std::size_t kMaxLateRuns = 3;
/// Share of the sound requests that begin once the part is quarantined.
constexpr double kServedShare = 0.9;

/// Which parts the requests have between the first part, which all share, and
/// the last one, which is each request's own.
struct Prompts
{
  std::string crashing = CrashSite::kCrashPart;
  std::string sound = "50a1";
  /// The first part of all requests.
  std::string first = "f125:100,";
};

struct Served
{
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
};

class PartPlay
{
public:
  PartPlay(CrashSite& aSite, Prompts aPrompts = {})
    : site(aSite)
    , prompts(std::move(aPrompts))
  {
  }

  /// Sends a sound request every 10 ms and, with \p aWithCrashing, also one
  /// that crashes its engine every 80 ms, to the gateways in turn. No two
  /// requests are alike.
  /// \return the results of the sound ones.
  Served Play(Duration aTime, bool aWithCrashing)
  {
    constexpr Duration kStep = milliseconds(10);
    constexpr int kCrashingEvery = 8;
    std::vector<CrashSite::Try*> others;
    const auto steps = aTime / kStep;
    for (int step = 0; step < steps; ++step) {
      others.push_back(&this->Send(this->prompts.sound));
      if (aWithCrashing && step % kCrashingEvery == 0) {
        this->Send(this->prompts.crashing);
      }
      this->site.Run(kStep);
    }
    this->site.Settle();
    Served result;
    for (CrashSite::Try* one : others) {
      ++result.sent;
      result.served += one->IsServed() ? 1 : 0;
      result.refused += one->IsRefused() ? 1 : 0;
    }
    return result;
  }

  CrashSite::Try& Send(const std::string& aPart)
  {
    const std::size_t number = this->site.sent.size();
    return this->site.Send(
      number % this->site.gateways.size(),
      "/read/stream/x",
      fmt::format("note {}", number),
      CrashSite::PromptHeaders(fmt::format(
        "{}{}:80,{:x}:20", this->prompts.first, aPart, kOwnParts + number)));
  }

  /// Number of runs of the crashing part that began later than kExchangeTime
  /// after the exit that makes it known.
  std::size_t LateRuns() const
  {
    if (this->site.crashes.size() < kKnownExits) {
      return 0;
    }
    const TimePoint from = this->site.crashes[kKnownExits - 1] + kExchangeTime;
    const std::string part = this->prompts.crashing + ":";
    return static_cast<std::size_t>(std::ranges::count_if(
      this->site.Runs(), [&](const standins::SealedRun& aRun) {
        return aRun.at > from && aRun.prompt.find(part) != std::string::npos;
      }));
  }

private:
  static constexpr std::size_t kOwnParts = 0x100000;

  CrashSite& site;
  Prompts prompts;
};

} // namespace

namespace {

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
