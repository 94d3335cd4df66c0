#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Quarantine"

using namespace dogwoodvale;
using Source = CrashLedger::Source;

namespace {

constexpr Duration kQuarantine = seconds(600);
constexpr RequestFingerprint kCrashing = 1;
constexpr RequestFingerprint kOther = 2;

const TimePoint kStart = TimePoint{} + seconds(1000);

CrashEvidence
Early(RequestFingerprint aRequest, ServerKey aServer)
{
  return { aRequest, aServer, CrashWeight::Early };
}

CrashEvidence
Late(RequestFingerprint aRequest, ServerKey aServer)
{
  return { aRequest, aServer, CrashWeight::Late };
}

/// Ends of servers 1 to \p aCount, each under all of these requests.
void
EndServers(CrashLedger& aLedger,
           ServerKey aCount,
           std::initializer_list<RequestFingerprint> aRequests)
{
  for (ServerKey server = 1; server <= aCount; ++server) {
    for (const RequestFingerprint request : aRequests) {
      aLedger.Take(Early(request, server), Source::Own, kStart);
    }
  }
}

/// What is quarantined once all that was told until then has settled.
std::vector<RequestFingerprint>
JudgeLater(CrashLedger& aLedger, TimePoint aSince = kStart)
{
  return aLedger.Judge(aSince + CrashLedger::kSettle);
}

bool
IsQuarantined(const CrashLedger& aLedger,
              RequestFingerprint aRequest,
              TimePoint aNow = kStart)
{
  return aLedger.StandingOf(aRequest, aNow) == CrashStanding::Quarantined;
}

void
Hear(CrashLedger& aLedger, const CrashNews& aNews, TimePoint aNow)
{
  for (const QuarantineVerdict& verdict : aNews.verdicts) {
    aLedger.Take(verdict, aNow);
  }
  for (const CrashEvidence& evidence : aNews.evidence) {
    aLedger.Take(evidence, Source::Told, aNow);
  }
}

} // namespace

TEST_CASE("three ends quarantine the request that was at each", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  EndServers(ledger, 2, { kCrashing });
  CHECK(ledger.StandingOf(kCrashing, kStart) == CrashStanding::Suspect);
  ledger.Take(Early(kOther, 3), Source::Own, kStart);
  ledger.Take(Early(kCrashing, 3), Source::Own, kStart);
  CHECK(ledger.Judge(kStart).empty());
  CHECK(JudgeLater(ledger) == std::vector{ kCrashing });
  CHECK(ledger.QuarantineLeft(kCrashing, kStart + CrashLedger::kSettle) ==
        kQuarantine);
  // The three ends are explained: they no longer speak against the other.
  CHECK(ledger.StandingOf(kOther, kStart) == CrashStanding::Clear);
  ledger.Take(Early(kOther, 2), Source::Told, kStart);
  CHECK(ledger.StandingOf(kOther, kStart) == CrashStanding::Clear);
}

TEST_CASE("the end of one server counts once", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  for (int i = 0; i < 10; ++i) {
    ledger.Take(Early(kCrashing, 1), Source::Told, kStart);
  }
  CHECK(ledger.ScoreOf(kCrashing) == 2);
}

TEST_CASE("ends in the middle of an answer count for half", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 5; ++server) {
    ledger.Take(Late(kCrashing, server), Source::Own, kStart);
  }
  CHECK(JudgeLater(ledger).empty());
  ledger.Take(Late(kCrashing, 6), Source::Own, kStart);
  CHECK(JudgeLater(ledger) == std::vector{ kCrashing });
}

// Two requests are at the same three servers as these end; one of them was sent
// on from server to server and is not to blame. Neither leads, so neither is
// refused. The next end tells them apart, and an answer clears for good.
TEST_CASE("two requests at the same ends are told apart", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  EndServers(ledger, 3, { kOther, kCrashing });
  CHECK(JudgeLater(ledger).empty());
  SECTION("by the next end")
  {
    ledger.Take(Early(kCrashing, 4), Source::Own, kStart);
    CHECK(JudgeLater(ledger) == std::vector{ kCrashing });
    CHECK(ledger.StandingOf(kOther, kStart) == CrashStanding::Clear);
  }
  SECTION("by an answer")
  {
    ledger.OnAnswered(kOther, kStart);
    CHECK(ledger.StandingOf(kOther, kStart) == CrashStanding::Clear);
    ledger.Take(Early(kCrashing, 4), Source::Own, kStart);
    CHECK(JudgeLater(ledger) == std::vector{ kCrashing });
  }
  SECTION("one that is never alone is quarantined at twice as many")
  {
    EndServers(ledger, 6, { kOther, kCrashing });
    CHECK(JudgeLater(ledger).size() == 2);
  }
}

TEST_CASE("an answer clears a request at every gateway", "[crashes]")
{
  CrashLedger here(kQuarantine);
  CrashLedger there(kQuarantine);
  EndServers(here, 2, { kOther });
  const CrashNews before = here.News(kStart);
  Hear(there, before, kStart);
  CHECK(there.ScoreOf(kOther) == 4);
  there.OnAnswered(kOther, kStart);
  Hear(here, there.News(kStart), kStart);
  CHECK(here.StandingOf(kOther, kStart) == CrashStanding::Clear);
  // A digest that was overtaken brings nothing back.
  Hear(here, before, kStart);
  Hear(there, before, kStart);
  CHECK(here.StandingOf(kOther, kStart) == CrashStanding::Clear);
  CHECK(there.StandingOf(kOther, kStart) == CrashStanding::Clear);
}

// A server of a new version answers the request that crashed the old one. Other
// gateways still tell of the quarantine that is lifted: it must not come back,
// nor stop the next one.
TEST_CASE("a lifted quarantine is not brought back by an older word",
          "[crashes]")
{
  CrashLedger here(kQuarantine);
  CrashLedger there(kQuarantine);
  EndServers(here, 3, { kCrashing });
  JudgeLater(here);
  const TimePoint judged = kStart + CrashLedger::kSettle;
  Hear(there, here.News(judged), judged);
  CHECK(IsQuarantined(there, kCrashing, judged));
  CHECK(here.OnAnswered(kCrashing, judged));
  Hear(here, there.News(judged), judged);
  CHECK_FALSE(IsQuarantined(here, kCrashing, judged));
  // Hours later: its word is no longer new, but an older one calls it up.
  const TimePoint later = kStart + seconds(20);
  Hear(here, there.News(later), later);
  Hear(there, here.News(later), later);
  CHECK_FALSE(IsQuarantined(there, kCrashing, later));
  for (ServerKey server = 11; server <= 13; ++server) {
    here.Take(Early(kCrashing, server), Source::Own, later);
  }
  JudgeLater(here, later);
  const TimePoint again = later + CrashLedger::kSettle;
  Hear(there, here.News(again), again);
  CHECK(IsQuarantined(there, kCrashing, again));
}

TEST_CASE("after its quarantine one crash puts a request back", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  EndServers(ledger, 3, { kCrashing });
  JudgeLater(ledger);
  const TimePoint over = kStart + kQuarantine + seconds(1);
  ledger.Expire(over);
  CHECK(ledger.StandingOf(kCrashing, over) == CrashStanding::Suspect);
  ledger.Take(Early(kCrashing, 9), Source::Own, over);
  CHECK(JudgeLater(ledger, over) == std::vector{ kCrashing });
  // In the end all is forgotten.
  const TimePoint past = over + kQuarantine + CrashLedger::kMemory + seconds(1);
  ledger.Expire(past);
  CHECK(ledger.StandingOf(kCrashing, past) == CrashStanding::Clear);
  CHECK(ledger.SuspectCount() == 0);
}

// Gateways tell each other how much of a quarantine is left. If each took what
// the other says again and again, the ways between them would add up and it
// would never end.
TEST_CASE("gateways that tell each other of a quarantine let it end",
          "[crashes]")
{
  CrashLedger here(seconds(10));
  CrashLedger there(seconds(10));
  EndServers(here, 3, { kCrashing });
  JudgeLater(here);
  TimePoint now = kStart + CrashLedger::kSettle;
  for (; now < kStart + seconds(11); now += milliseconds(50)) {
    Hear(there, here.News(now), now + milliseconds(30));
    Hear(here, there.News(now), now + milliseconds(30));
  }
  CHECK_FALSE(IsQuarantined(here, kCrashing, now));
  CHECK_FALSE(IsQuarantined(there, kCrashing, now));
}

// A caller sends ten thousand requests, each of which was at one end, to push
// out of memory the one that was at two.
TEST_CASE("a flood of suspects does not push out a stronger one", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  EndServers(ledger, 2, { kCrashing });
  for (RequestFingerprint request = 100; request < 10'100; ++request) {
    ledger.Take(Early(request, 50), Source::Own, kStart + milliseconds(1));
  }
  CHECK(ledger.SuspectCount() == CrashLedger::kMostSuspects);
  const CrashNews news = ledger.News(kStart + milliseconds(2));
  CHECK(news.evidence.size() == CrashLedger::kMostNews);
  CHECK(news.evidence.front().request == kCrashing);
  ledger.Take(Early(kCrashing, 3), Source::Own, kStart);
  CHECK(JudgeLater(ledger) == std::vector{ kCrashing });
}

TEST_CASE("what says nothing of a crash", "[crashes]")
{
  BrokenAttempt broken;
  broken.after = milliseconds(200);
  CHECK(WeighBreak(broken) == CrashWeight::Early);
  SECTION("a server without power: it may have got nothing")
  {
    broken.timedOut = true;
    CHECK_FALSE(WeighBreak(broken).has_value());
    broken.hasHead = true;
    CHECK(WeighBreak(broken) == CrashWeight::Early);
  }
  SECTION("a server that was gone before the request reached it")
  {
    broken.after = kLeastRun - Duration(1);
    CHECK_FALSE(WeighBreak(broken).has_value());
  }
  SECTION("a part of the answer had come")
  {
    broken.hasPart = true;
    CHECK(WeighBreak(broken) == CrashWeight::Late);
  }
}

TEST_CASE("attempts that broke off wait for their server's verdict",
          "[crashes]")
{
  BrokenRuns broken;
  const InstanceName server("s1");
  CHECK(broken.Add(server, kOther, CrashWeight::Late, kStart));
  CHECK_FALSE(broken.Add(server, kCrashing, CrashWeight::Early, kStart));
  SECTION("it ended")
  {
    CHECK(broken.OnEnded(server) ==
          std::vector{ Late(kOther, ServerKeyOf(server)),
                       Early(kCrashing, ServerKeyOf(server)) });
    CHECK(broken.OnEnded(server).empty());
  }
  SECTION("it lives")
  {
    broken.OnAlive(server);
    CHECK(broken.OnEnded(server).empty());
  }
  SECTION("nobody says")
  {
    broken.Expire(kStart + BrokenRuns::kOpenFor + Duration(1));
    CHECK(broken.Open().empty());
  }
}

TEST_CASE("copies of a suspect at other gateways are known for a while",
          "[crashes]")
{
  CopiesUnderWay copies;
  const std::vector told{ kCrashing };
  copies.SetOthers(InstanceName("g2"), told, kStart);
  CHECK(copies.HasAny(kCrashing, kStart));
  CHECK_FALSE(copies.HasOwn(kCrashing));
  CHECK_FALSE(copies.HasAny(kOther, kStart));
  SECTION("until it is done there")
  {
    copies.SetOthers(InstanceName("g2"), {}, kStart);
    CHECK_FALSE(copies.HasAny(kCrashing, kStart));
  }
  SECTION("until that gateway is silent")
  {
    CHECK_FALSE(copies.HasAny(
      kCrashing, kStart + CopiesUnderWay::kWordLife + Duration(1)));
  }
  copies.OnSent(kOther);
  copies.OnSent(kOther);
  copies.OnDone(kOther);
  CHECK(copies.HasOwn(kOther));
  copies.OnDone(kOther);
  CHECK_FALSE(copies.HasOwn(kOther));
}

// Digests are lost, doubled, delayed and overtake each other. Whatever the
// order, the request that was at three ends is quarantined at every gateway,
// and those that were at one or two of them are not.
TEST_CASE("news merges in any order", "[crashes]")
{
  rc::prop("any order, any number of times", [] {
    CrashLedger source(kQuarantine);
    std::vector<CrashNews> told;
    for (ServerKey server = 1; server <= 3; ++server) {
      source.Take(Early(kCrashing, server), Source::Own, kStart);
      source.Take(Late(kOther + server, server), Source::Own, kStart);
      if (server < 3) {
        source.Take(Early(kOther, server), Source::Own, kStart);
      }
      told.push_back(source.News(kStart));
    }
    const auto count = told.size();
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, count));
    CrashLedger ledger(kQuarantine);
    for (const std::size_t index : order) {
      Hear(ledger, told[index], kStart);
    }
    Hear(ledger, told.back(), kStart);
    RC_ASSERT(JudgeLater(ledger) == std::vector{ kCrashing });
  });
}
