#include <catch2/catch.hpp>

#include "support/CrashSite.h"

using namespace dogwoodvale;
using test::CrashSite;
using test::LongNotes;

namespace {

/// Time within which every gateway has received the others' evidence.
constexpr Duration kExchangeTime = milliseconds(600);
constexpr std::size_t kGateways = 4;

/// Number of runs of the crashing body that began later than kExchangeTime
/// after it had crashed its third engine.
std::size_t
LateRuns(const CrashSite& aSite)
{
  if (aSite.crashes.size() < 3) {
    return 0;
  }
  const TimePoint from = aSite.crashes[2] + kExchangeTime;
  std::size_t count = 0;
  for (const standins::SealedRun& run : aSite.Runs()) {
    count += run.body == CrashSite::kCrashBody && run.at > from ? 1 : 0;
  }
  return count;
}

struct Served
{
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
};

/// Sends a harmless request with a unique body every 10 ms, and with
/// \p aWithCrashing also the crashing one every 80 ms, to the gateways in turn.
/// \return the results of the harmless ones.
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

// A caller's request crashes each engine that starts it; the caller gets 502
// and retries it, under a new id, at any gateway. If each retry counted as a
// new request, engine after engine would crash and abort the requests of all
// other callers. The evidence: the same fingerprint is among the requests
// aborted at every engine that crashed.
TEST_CASE("a request that crashes engines is quarantined", "[crashing]")
{
  CrashSite site(12, kGateways, LongNotes());
  const Served before = PlayNotes(site, milliseconds(300), false);
  CHECK(before.served == before.sent);
  PlayNotes(site, seconds(2), true);
  INFO("engines crashed: " << site.crashes.size());
  REQUIRE(site.crashes.size() >= 3);
  CHECK(LateRuns(site) <= 3);
  // Once it is quarantined, nearly all other requests are served.
  const Served after = PlayNotes(site, seconds(1), true);
  CHECK(after.refused == 0);
  CHECK(static_cast<double>(after.served) >=
        0.98 * static_cast<double>(after.sent));
}

namespace {

/// Sends the same harmless request every 10 ms, to the gateways in turn.
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

// All engines of a service are killed at once, four times, each time with the
// same poll of one caller in flight. Its fingerprint is among the aborted
// requests of every engine, but the answers in between clear it.
TEST_CASE("a repeated request is not quarantined when all engines are killed",
          "[crashing]")
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

// Engines are replaced in a release: each announces its departure and exits
// after the drain time, which aborts the same caller's long requests each time.
// A planned exit is no crash.
TEST_CASE("requests aborted by a planned exit are not suspected", "[crashing]")
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

// Engines reset each answer but keep running. As no engine crashes, the request
// must not be quarantined.
TEST_CASE("reset answers of live engines make no request suspect", "[crashing]")
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

// Ten callers repeatedly send the crashing body to ten gateways at once. The
// first ten may run, as nothing is known yet; from then on duplicates run one
// at a time until three crashes are known.
TEST_CASE("duplicates at ten gateways crash a bounded number of engines",
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

// A gateway that starts while a request is quarantined, and gateways that were
// all killed and restarted, must not forward the request.
TEST_CASE("a quarantine survives the restart of all gateways", "[crashing]")
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

// A new version of the engines completes the request that crashed the old one.
// After the quarantine one duplicate is tried, and its answer releases the
// others.
TEST_CASE("a request that no longer crashes engines is served again",
          "[crashing]")
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
  site.FixEngines();
  site.CrashEngines(6);
  site.Run(seconds(3));
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    site.Send(gateway, "/note/stream/x", CrashSite::kCrashBody);
  }
  site.Settle();
  CHECK(site.sent.back().IsServed());
  CHECK(std::prev(site.sent.end(), kGateways)->IsServed());
}

// A request has crashed two servers. A third one answers it with an internal
// error (500) before it has run it to the end. If that counted as an answer, it
// would clear the request, which would then crash three more servers.
TEST_CASE("a server's 500 does not clear a suspect request", "[crashing]")
{
  standins::SealedEngineSettings slow;
  slow.work = milliseconds(200);
  CrashSite site(3, 2, slow);
  const auto send = [&] { site.Send(0, "/once/x", "ends servers"); };
  const auto crashDuringIt = [&] {
    send();
    site.Run(milliseconds(80));
    site.CrashEngines(3);
    site.Run(milliseconds(1000));
  };
  crashDuringIt();
  crashDuringIt();
  site.SetFault(CrashSite::Fault("error", true));
  send();
  site.Settle();
  CHECK(site.sent.back().socket.Has("HTTP/1.1 500"));
  site.SetFault(CrashSite::Fault("clear", true));
  crashDuringIt();
  send();
  site.Settle();
  CHECK(site.sent.back().IsQuarantined());
}

// After a quarantine four gateways receive the request shortly after one
// another. One duplicate is tried while the others wait for its result, so that
// one more server crashes and not four.
TEST_CASE("after a quarantine one duplicate is tried at a time", "[crashing]")
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
