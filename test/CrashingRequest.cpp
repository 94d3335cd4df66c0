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

namespace {

/// Sends the same request of an innocent caller at all gateways each 10 ms.
std::size_t
SendPolls(CrashSite& aSite, const std::string& aPath, Duration aTime)
{
  constexpr Duration kStep = milliseconds(10);
  std::size_t sent = 0;
  for (Duration at{ 0 }; at < aTime; at += kStep) {
    aSite.Send(sent % aSite.gateways.size(), aPath, "always the same");
    aSite.Run(kStep);
    ++sent;
  }
  return sent;
}

std::size_t
QuarantinedCount(CrashSite& aSite)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSite.sent, &CrashSite::Try::IsQuarantined));
}

bool
HasNoSuspects(const CrashSite& aSite)
{
  return std::ranges::all_of(aSite.gateways, [](const auto& aOne) {
    return aOne->Metrics().find("{reason=\"crash_suspects\"} 0\n") !=
           std::string::npos;
  });
}

} // namespace

// All engines of a service are killed at once, four times, with the same poll
// of one caller under way each time. It is at each end, and so are its copies;
// the answers that it gets in between say that it is not to blame.
TEST_CASE("polls outlive the end of all engines", "[crashing]")
{
  CrashSite site(6, kGateways, LongNotes());
  for (int i = 0; i < 4; ++i) {
    SendPolls(site, "/again/x", milliseconds(700));
    site.CrashEngines(6);
  }
  SendPolls(site, "/again/x", milliseconds(700));
  site.Settle();
  CHECK(site.crashes.size() == 24);
  CHECK(QuarantinedCount(site) == 0);
  CHECK(site.sent.back().socket.Has("HTTP/1.1 200"));
}

// Engines are replaced by a release: each says that it leaves, and ends after
// the time within which no more work may come, which cuts the same caller's
// long notes each time. A planned end is no crash.
TEST_CASE("notes that a release cuts are not suspected", "[crashing]")
{
  standins::SealedEngineSettings notes = LongNotes();
  notes.events = 100;
  CrashSite site(3, kGateways, notes);
  for (int i = 0; i < 4; ++i) {
    SendPolls(site, "/note/stream/x", milliseconds(60));
    site.DrainEngines();
    site.Run(milliseconds(300));
    site.CrashEngines(3);
    site.Run(milliseconds(700));
  }
  site.Settle();
  CHECK(site.crashes.size() == 12);
  CHECK(QuarantinedCount(site) == 0);
  CHECK(HasNoSuspects(site));
}

// Engines break off each answer and go on: callers get nothing whole, though no
// engine ends. The request is not to blame and must not be refused for it.
TEST_CASE("engines that reset answers blame no request", "[crashing]")
{
  CrashSite site(4, kGateways);
  site.SetFault(CrashSite::Fault("crash_after", 1));
  SendPolls(site, "/note/stream/x", milliseconds(800));
  site.Settle();
  CHECK(site.crashes.empty());
  CHECK(QuarantinedCount(site) == 0);
  CHECK(site.gateways[0]->Metrics().find("{reason=\"crash_suspects\"} 0\n") !=
        std::string::npos);
  site.SetFault(CrashSite::Fault("clear", true));
  site.Run(milliseconds(100));
  CHECK(
    site.Send(0, "/note/stream/x", "always the same").socket.Read().empty());
  site.Settle();
  CHECK(site.sent.back().IsServed());
}

// Ten callers bring the crashing body to ten gateways at once, again and again.
// The first ten may run, since nothing is known; from then on copies go one
// after the other, until three ends are known.
TEST_CASE("copies at ten gateways end a bounded number of engines",
          "[crashing]")
{
  constexpr std::size_t kMany = 10;
  CrashSite site(20, kMany, LongNotes());
  for (int round = 0; round < 20; ++round) {
    for (std::size_t gateway = 0; gateway < kMany; ++gateway) {
      site.Send(gateway, "/note/stream/x", CrashSite::kCrashBody);
    }
    site.Run(milliseconds(100));
  }
  site.Settle();
  INFO("runs: " << site.CrashingRuns());
  CHECK(site.CrashingRuns() <= kMany + 3);
  CHECK(site.sent.back().IsQuarantined());
}

// One gateway starts when the quarantine stands already, and then all of them
// are killed and start anew with empty memories. The caller goes on all the
// while; neither may send its request on.
TEST_CASE("a quarantine outlives the gateways", "[crashing]")
{
  CrashSite site(8, 2, LongNotes());
  while (site.crashes.size() < 3) {
    site.Send(0, "/note/stream/x", CrashSite::kCrashBody);
    site.Run(milliseconds(100));
  }
  site.Run(seconds(1));
  const std::size_t before = site.CrashingRuns();
  site.StartGateways(1);
  CHECK_FALSE(site.Send(2, "/note/stream/x", CrashSite::kCrashBody).IsServed());
  site.Settle();
  CHECK(site.sent.back().IsQuarantined());
  CHECK(site.sent.back().socket.Has("Retry-After: "));
  site.gateways.clear();
  site.StartGateways(2);
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    site.Send(gateway, "/note/stream/x", CrashSite::kCrashBody);
    site.Settle();
    CHECK(site.sent.back().IsQuarantined());
  }
  CHECK(site.CrashingRuns() == before);
}

// The engines' new version runs the request that crashed the old one. When its
// quarantine is over one copy tries it, and its answer lets the others go on.
TEST_CASE("a request that crashes no more is served again", "[crashing]")
{
  CrashSite site(6, kGateways, LongNotes(), seconds(3));
  while (site.crashes.size() < 3) {
    site.Send(0, "/note/stream/x", CrashSite::kCrashBody);
    site.Run(milliseconds(100));
  }
  site.Run(seconds(1));
  site.Send(1, "/note/stream/x", CrashSite::kCrashBody);
  site.Settle();
  CHECK(site.sent.back().IsQuarantined());
  site.Cure();
  site.CrashEngines(6);
  site.Run(seconds(3));
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    site.Send(gateway, "/note/stream/x", CrashSite::kCrashBody);
  }
  site.Settle();
  CHECK(site.sent.back().IsServed());
  CHECK(std::prev(site.sent.end(), kGateways)->IsServed());
}

// A request has ended two servers. A third one, which fails a part of what it
// gets, answers it with its own 500 before it has run it to its end. Taken for
// an answer, that would clear the request, and it would end three more.
TEST_CASE("a server's own failure clears no request", "[crashing]")
{
  standins::SealedEngineSettings slow;
  slow.work = milliseconds(200);
  CrashSite site(3, 2, slow);
  const auto send = [&] { site.Send(0, "/once/x", "ends servers"); };
  const auto endUnderIt = [&] {
    send();
    site.Run(milliseconds(80));
    site.CrashEngines(3);
    site.Run(milliseconds(1000));
  };
  endUnderIt();
  endUnderIt();
  site.SetFault(CrashSite::Fault("error", true));
  send();
  site.Settle();
  CHECK(site.sent.back().socket.Has("HTTP/1.1 500"));
  site.SetFault(CrashSite::Fault("clear", true));
  endUnderIt();
  send();
  site.Settle();
  CHECK(site.sent.back().IsQuarantined());
}

// A quarantine is over and four gateways get the request, a moment apart. One
// copy tries whether it still ends its server; the others wait for what comes
// of it, so that one more server ends and not four.
TEST_CASE("after a quarantine one copy is tried", "[crashing]")
{
  standins::SealedEngineSettings slow = LongNotes();
  slow.crashDelay = milliseconds(300);
  CrashSite site(8, kGateways, slow, seconds(2));
  while (site.crashes.size() < 3) {
    site.Send(0, "/note/stream/x", CrashSite::kCrashBody);
    site.Run(milliseconds(400));
  }
  site.Run(milliseconds(3500));
  const std::size_t before = site.CrashingRuns();
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    site.Send(gateway, "/note/stream/x", CrashSite::kCrashBody);
    site.Run(milliseconds(120));
  }
  site.Settle();
  CHECK(site.CrashingRuns() == before + 1);
  CHECK(site.sent.back().IsQuarantined());
}
