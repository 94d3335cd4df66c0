#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

#include "dogwoodvale/Quarantine"

using namespace dogwoodvale;
using Source = CrashLedger::Source;

namespace {

constexpr Duration kQuarantine = seconds(600);
constexpr Fingerprint kCrashing = 1;
constexpr Fingerprint kOther = 2;

const TimePoint kStart = TimePoint{} + seconds(1000);

CrashEvidence
Early(Fingerprint aRequest, ServerKey aServer)
{
  return { aRequest, aServer, CrashWeight::Early };
}

CrashEvidence
Late(Fingerprint aRequest, ServerKey aServer)
{
  return { aRequest, aServer, CrashWeight::Late };
}

/// Exits of servers 1 to \p aCount, each with all of these requests in flight.
void
ExitServers(CrashLedger& aLedger,
            ServerKey aCount,
            std::initializer_list<Fingerprint> aRequests)
{
  for (ServerKey server = 1; server <= aCount; ++server) {
    for (const Fingerprint request : aRequests) {
      aLedger.Take(Early(request, server), Source::Own, kStart);
    }
  }
}

/// \return requests quarantined once the evidence received until \p aSince has
/// settled.
std::vector<Fingerprint>
EvaluateLater(CrashLedger& aLedger, TimePoint aSince = kStart)
{
  return aLedger.Evaluate(aSince + CrashLedger::kSettleTime);
}

bool
IsQuarantined(const CrashLedger& aLedger,
              Fingerprint aRequest,
              TimePoint aNow = kStart)
{
  return aLedger.StatusOf(aRequest, aNow) == CrashStatus::Quarantined;
}

void
Apply(CrashLedger& aLedger, const CrashUpdate& aNews, TimePoint aNow)
{
  for (const QuarantineVerdict& verdict : aNews.verdicts) {
    aLedger.Take(verdict, aNow);
  }
  for (const CrashEvidence& evidence : aNews.evidence) {
    aLedger.Take(evidence, Source::Peer, aNow);
  }
}

} // namespace

TEST_CASE("three server exits quarantine the request in flight at each",
          "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  ExitServers(ledger, 2, { kCrashing });
  CHECK(ledger.StatusOf(kCrashing, kStart) == CrashStatus::Suspect);
  ledger.Take(Early(kOther, 3), Source::Own, kStart);
  ledger.Take(Early(kCrashing, 3), Source::Own, kStart);
  CHECK(ledger.Evaluate(kStart).empty());
  CHECK(EvaluateLater(ledger) == std::vector{ kCrashing });
  CHECK(ledger.QuarantineLeft(kCrashing, kStart + CrashLedger::kSettleTime) ==
        kQuarantine);
  // The three exits are attributed: they no longer count against the other.
  CHECK(ledger.StatusOf(kOther, kStart) == CrashStatus::Clear);
  ledger.Take(Early(kOther, 2), Source::Peer, kStart);
  CHECK(ledger.StatusOf(kOther, kStart) == CrashStatus::Clear);
}

TEST_CASE("the exit of one server counts once", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  for (int i = 0; i < 10; ++i) {
    ledger.Take(Early(kCrashing, 1), Source::Peer, kStart);
  }
  CHECK(ledger.ScoreOf(kCrashing) == 2);
}

TEST_CASE("exits in the middle of an answer have half the weight", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 5; ++server) {
    ledger.Take(Late(kCrashing, server), Source::Own, kStart);
  }
  CHECK(EvaluateLater(ledger).empty());
  ledger.Take(Late(kCrashing, 6), Source::Own, kStart);
  CHECK(EvaluateLater(ledger) == std::vector{ kCrashing });
}

// Two requests are in flight at the same three servers when these exit; one of
// them was only retried from server to server. Neither leads, so neither is
// quarantined. The next exit distinguishes them, and an answer clears one.
TEST_CASE("two requests at the same exits are distinguished", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  ExitServers(ledger, 3, { kOther, kCrashing });
  CHECK(EvaluateLater(ledger).empty());
  SECTION("by the next exit")
  {
    ledger.Take(Early(kCrashing, 4), Source::Own, kStart);
    CHECK(EvaluateLater(ledger) == std::vector{ kCrashing });
    CHECK(ledger.StatusOf(kOther, kStart) == CrashStatus::Clear);
  }
  SECTION("by an answer")
  {
    ledger.OnAnswered(kOther, kStart);
    CHECK(ledger.StatusOf(kOther, kStart) == CrashStatus::Clear);
    ledger.Take(Early(kCrashing, 4), Source::Own, kStart);
    CHECK(EvaluateLater(ledger) == std::vector{ kCrashing });
  }
  SECTION("both are quarantined at twice as many exits")
  {
    ExitServers(ledger, 6, { kOther, kCrashing });
    CHECK(EvaluateLater(ledger).size() == 2);
  }
}

TEST_CASE("an answer clears a request at every gateway", "[crashes]")
{
  CrashLedger here(kQuarantine);
  CrashLedger there(kQuarantine);
  ExitServers(here, 2, { kOther });
  const CrashUpdate before = here.OutgoingUpdate(kStart);
  Apply(there, before, kStart);
  CHECK(there.ScoreOf(kOther) == 4);
  there.OnAnswered(kOther, kStart);
  Apply(here, there.OutgoingUpdate(kStart), kStart);
  CHECK(here.StatusOf(kOther, kStart) == CrashStatus::Clear);
  // A digest that arrives out of order does not restore the evidence.
  Apply(here, before, kStart);
  Apply(there, before, kStart);
  CHECK(here.StatusOf(kOther, kStart) == CrashStatus::Clear);
  CHECK(there.StatusOf(kOther, kStart) == CrashStatus::Clear);
}

// A server of a new version answers the request that crashed the old one. Other
// gateways still send the quarantine that is lifted: it must not be restored,
// nor prevent the next one.
TEST_CASE("a lifted quarantine is not restored by an older verdict",
          "[crashes]")
{
  CrashLedger here(kQuarantine);
  CrashLedger there(kQuarantine);
  ExitServers(here, 3, { kCrashing });
  EvaluateLater(here);
  const TimePoint evaluatedAt = kStart + CrashLedger::kSettleTime;
  Apply(there, here.OutgoingUpdate(evaluatedAt), evaluatedAt);
  CHECK(IsQuarantined(there, kCrashing, evaluatedAt));
  CHECK(here.OnAnswered(kCrashing, evaluatedAt));
  Apply(here, there.OutgoingUpdate(evaluatedAt), evaluatedAt);
  CHECK_FALSE(IsQuarantined(here, kCrashing, evaluatedAt));
  // Later: the lifting is no longer repeated, but an older verdict restarts it.
  const TimePoint later = kStart + seconds(20);
  Apply(here, there.OutgoingUpdate(later), later);
  Apply(there, here.OutgoingUpdate(later), later);
  CHECK_FALSE(IsQuarantined(there, kCrashing, later));
  for (ServerKey server = 11; server <= 13; ++server) {
    here.Take(Early(kCrashing, server), Source::Own, later);
  }
  EvaluateLater(here, later);
  const TimePoint again = later + CrashLedger::kSettleTime;
  Apply(there, here.OutgoingUpdate(again), again);
  CHECK(IsQuarantined(there, kCrashing, again));
}

TEST_CASE("one crash after its quarantine quarantines a request again",
          "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  ExitServers(ledger, 3, { kCrashing });
  EvaluateLater(ledger);
  const TimePoint over = kStart + kQuarantine + seconds(1);
  ledger.Expire(over);
  CHECK(ledger.StatusOf(kCrashing, over) == CrashStatus::Suspect);
  ledger.Take(Early(kCrashing, 9), Source::Own, over);
  CHECK(EvaluateLater(ledger, over) == std::vector{ kCrashing });
  // After the retention time everything is dropped.
  const TimePoint past =
    over + kQuarantine + CrashLedger::kRetention + seconds(1);
  ledger.Expire(past);
  CHECK(ledger.StatusOf(kCrashing, past) == CrashStatus::Clear);
  CHECK(ledger.SuspectCount() == 0);
}

// Gateways send each other the remaining time of a quarantine. If each applied
// the value of the other repeatedly, the network delays would add up and the
// quarantine would never expire.
TEST_CASE("a quarantine expires while gateways repeat it to each other",
          "[crashes]")
{
  CrashLedger here(seconds(10));
  CrashLedger there(seconds(10));
  ExitServers(here, 3, { kCrashing });
  EvaluateLater(here);
  TimePoint now = kStart + CrashLedger::kSettleTime;
  for (; now < kStart + seconds(11); now += milliseconds(50)) {
    Apply(there, here.OutgoingUpdate(now), now + milliseconds(30));
    Apply(here, there.OutgoingUpdate(now), now + milliseconds(30));
  }
  CHECK_FALSE(IsQuarantined(here, kCrashing, now));
  CHECK_FALSE(IsQuarantined(there, kCrashing, now));
}

// A caller sends ten thousand requests, each with one exit, to evict from the
// ledger the request with two.
TEST_CASE("a flood of suspects does not evict a stronger one", "[crashes]")
{
  CrashLedger ledger(kQuarantine);
  ExitServers(ledger, 2, { kCrashing });
  for (Fingerprint request = 100; request < 10'100; ++request) {
    ledger.Take(Early(request, 50), Source::Own, kStart + milliseconds(1));
  }
  CHECK(ledger.SuspectCount() == CrashLedger::kMaxSuspects);
  const CrashUpdate news = ledger.OutgoingUpdate(kStart + milliseconds(2));
  CHECK(news.evidence.size() == CrashLedger::kMaxUpdateEntries);
  CHECK(news.evidence.front().subject == kCrashing);
  ledger.Take(Early(kCrashing, 3), Source::Own, kStart);
  CHECK(EvaluateLater(ledger) == std::vector{ kCrashing });
}

TEST_CASE("which broken attempts are evidence of a crash", "[crashes]")
{
  BrokenAttempt broken;
  broken.after = milliseconds(200);
  CHECK(WeighBreak(broken) == CrashWeight::Early);
  SECTION("a server without power may not have received the request")
  {
    broken.timedOut = true;
    CHECK_FALSE(WeighBreak(broken).has_value());
    broken.hasHead = true;
    CHECK(WeighBreak(broken) == CrashWeight::Early);
  }
  SECTION("a server that had exited before the request reached it")
  {
    broken.after = kMinRunTime - Duration(1);
    CHECK_FALSE(WeighBreak(broken).has_value());
  }
  SECTION("a part of the answer had been received")
  {
    broken.hasPart = true;
    CHECK(WeighBreak(broken) == CrashWeight::Late);
  }
}

TEST_CASE("broken attempts are kept until their server's state is known",
          "[crashes]")
{
  UnresolvedAttempts broken;
  const InstanceName server("s1");
  CHECK(broken.Add(server, { kOther, {} }, CrashWeight::Late, false, kStart));
  CHECK_FALSE(
    broken.Add(server, { kCrashing, {} }, CrashWeight::Early, false, kStart));
  SECTION("it exited")
  {
    CHECK(broken.OnServerExited(server) ==
          std::vector{ Late(kOther, ServerKeyOf(server)),
                       Early(kCrashing, ServerKeyOf(server)) });
    CHECK(broken.OnServerExited(server).empty());
  }
  SECTION("it is alive")
  {
    broken.OnServerAlive(server);
    CHECK(broken.OnServerExited(server).empty());
  }
  SECTION("its state stays unknown")
  {
    broken.Expire(kStart + UnresolvedAttempts::kResolveTimeout + Duration(1));
    CHECK(broken.UnresolvedServers().empty());
  }
}

TEST_CASE("duplicates of a suspect reported by other gateways time out",
          "[crashes]")
{
  InFlightDuplicates copies;
  const std::vector reported{ kCrashing };
  copies.SetPeerDuplicates(InstanceName("g2"), reported, kStart);
  CHECK(copies.HasAny(kCrashing, kStart));
  CHECK_FALSE(copies.HasOwn(kCrashing));
  CHECK_FALSE(copies.HasAny(kOther, kStart));
  SECTION("until it is done there")
  {
    copies.SetPeerDuplicates(InstanceName("g2"), {}, kStart);
    CHECK_FALSE(copies.HasAny(kCrashing, kStart));
  }
  SECTION("until that gateway stops reporting")
  {
    CHECK_FALSE(copies.HasAny(
      kCrashing, kStart + InFlightDuplicates::kReportTtl + Duration(1)));
  }
  copies.OnSent(kOther);
  copies.OnSent(kOther);
  copies.OnDone(kOther);
  CHECK(copies.HasOwn(kOther));
  copies.OnDone(kOther);
  CHECK_FALSE(copies.HasOwn(kOther));
}

// Digests are lost, duplicated, delayed and reordered. In any order the request
// with three exits is quarantined at every gateway, and those with one or two
// of them are not.
TEST_CASE("updates merge in any order", "[crashes]")
{
  rc::prop("any order, any number of times", [] {
    CrashLedger source(kQuarantine);
    std::vector<CrashUpdate> sent;
    for (ServerKey server = 1; server <= 3; ++server) {
      source.Take(Early(kCrashing, server), Source::Own, kStart);
      source.Take(Late(kOther + server, server), Source::Own, kStart);
      if (server < 3) {
        source.Take(Early(kOther, server), Source::Own, kStart);
      }
      sent.push_back(source.OutgoingUpdate(kStart));
    }
    const auto count = sent.size();
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, count));
    CrashLedger ledger(kQuarantine);
    for (const std::size_t index : order) {
      Apply(ledger, sent[index], kStart);
    }
    Apply(ledger, sent.back(), kStart);
    RC_ASSERT(EvaluateLater(ledger) == std::vector{ kCrashing });
  });
}

namespace {

constexpr Fingerprint kPart = 11;
constexpr Fingerprint kSoundPart = 12;
constexpr Fingerprint kDeepPart = 13;
constexpr Specificity kMiddle = 1;

CrashEvidence
OfPart(Fingerprint aPart, ServerKey aServer, Specificity aSpecificity = kMiddle)
{
  return { aPart, aServer, CrashWeight::Early, aSpecificity };
}

/// When the server exits, in the order of the keys.
TimePoint
ExitTime(ServerKey aServer)
{
  return kStart + aServer * milliseconds(400);
}

} // namespace

// No two of the requests that hold a crashing part are alike.
TEST_CASE("a part in flight at three exits is quarantined", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 3; ++server) {
    const TimePoint now = ExitTime(server);
    ledger.Take(Early(100 + server, server), Source::Own, now);
    ledger.Take(OfPart(kPart, server), Source::Peer, now);
    CHECK((ledger.StatusOf(kPart, now) == CrashStatus::Suspect) ==
          (server >= 2));
  }
  CHECK(EvaluateLater(ledger, ExitTime(3)) == std::vector{ kPart });
  CHECK(ledger.IsPart(kPart));
}

// In an outage of the store no gateway learns that a server has restarted. Its
// next exit must count, though it is known by the same name.
TEST_CASE("a server that restarts under its name can exit again", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 3; ++server) {
    ledger.Take(OfPart(kPart, server), Source::Own, kStart);
  }
  const TimePoint repeated = kStart + CrashLedger::kRepeatTime;
  ledger.Take(OfPart(kPart, 1), Source::Peer, repeated);
  CHECK(EvaluateLater(ledger, repeated).empty());
  const TimePoint again = kStart + CrashLedger::kSameExitTime + Duration(1);
  ledger.Take(OfPart(kPart, 1), Source::Own, again);
  CHECK(ledger.ScoreOf(kPart) == 6);
  CHECK(EvaluateLater(ledger, again) == std::vector{ kPart });
}

// Servers exit in quick succession under requests with three shared parts, of
// which the one in the middle crashes them. No answer completes, so that
// nothing tells the parts apart until a sound request has run by itself.
TEST_CASE("parts at the same fast exits are disputed until one gets through",
          "[parts]")
{
  CrashLedger ledger(kQuarantine);
  TimePoint now = kStart;
  for (ServerKey server = 1; server <= 10; ++server) {
    now += milliseconds(100);
    ledger.Take(OfPart(kSoundPart, server, 0), Source::Own, now);
    ledger.Take(OfPart(kPart, server, 1), Source::Own, now);
    ledger.Take(OfPart(kDeepPart, server, 2), Source::Own, now);
    CHECK(ledger.Evaluate(now).empty());
  }
  CHECK(EvaluateLater(ledger, now).empty());
  for (const Fingerprint part : { kSoundPart, kPart, kDeepPart }) {
    CHECK(ledger.IsDisputed(part, now));
  }
  const TimePoint passed = now + seconds(1);
  ledger.OnPassed(kSoundPart, now, passed);
  ledger.OnPassed(kDeepPart, now, passed);
  CHECK_FALSE(ledger.IsDisputed(kDeepPart, passed));
  CHECK(ledger.IsDisputed(kPart, passed));
  CHECK(ledger.Evaluate(passed) == std::vector{ kPart });
}

// The report of a crashing part may arrive after that of one that others share.
TEST_CASE("an exit settles once for all parts in flight there", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  constexpr Duration kLater = milliseconds(60);
  for (ServerKey server = 1; server <= 3; ++server) {
    ledger.Take(OfPart(kSoundPart, server, 0), Source::Own, ExitTime(server));
    ledger.Take(OfPart(kPart, server), Source::Peer, ExitTime(server) + kLater);
  }
  ledger.Take(OfPart(kPart, 4), Source::Own, ExitTime(4));
  CHECK(EvaluateLater(ledger, ExitTime(3)).empty());
  CHECK(EvaluateLater(ledger, ExitTime(4)) == std::vector{ kPart });
}

// A part that nearly all requests share is in flight at every exit. If it were
// blamed, all these requests would be refused.
TEST_CASE("a part with which others get through is not blamed", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  const auto exitServers = [&](ServerKey aFirst, TimePoint aAt) {
    for (ServerKey server = aFirst; server < aFirst + 6; ++server) {
      ledger.Take(OfPart(kSoundPart, server, 0),
                  Source::Own,
                  aAt + server * milliseconds(100));
    }
  };
  SECTION("before the exits")
  {
    ledger.OnPassed(kSoundPart, kStart - seconds(1), kStart);
    exitServers(1, kStart);
    CHECK(ledger.ScoreOf(kSoundPart) == 0);
  }
  SECTION("after the exits")
  {
    exitServers(1, kStart);
    CHECK(ledger.ScoreOf(kSoundPart) == 12);
    ledger.OnPassed(kSoundPart, kStart + seconds(1), kStart + seconds(2));
    CHECK(ledger.ScoreOf(kSoundPart) == 0);
  }
  SECTION("it is blamed again for later exits")
  {
    ledger.OnPassed(kSoundPart, kStart, kStart + seconds(1));
    exitServers(1, kStart + CrashLedger::kPassValidity + Duration(1));
    CHECK(ledger.ScoreOf(kSoundPart) == 12);
    return;
  }
  CHECK(EvaluateLater(ledger, kStart + seconds(2)).empty());
}

// A long stream that began before a part began to crash servers ends while it
// does. It says nothing of the exits since.
TEST_CASE("an old stream does not clear a part of later exits", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  const TimePoint exit = kStart + seconds(5);
  for (ServerKey server = 1; server <= 3; ++server) {
    ledger.Take(OfPart(kPart, server),
                Source::Own,
                exit - (3 - server) * CrashLedger::kPartMinSpan);
  }
  ledger.OnPassed(kPart, kStart, exit);
  CHECK(ledger.ScoreOf(kPart) == 6);
  REQUIRE(EvaluateLater(ledger, exit) == std::vector{ kPart });
  CHECK_FALSE(ledger.OnPassed(kPart, kStart, exit + seconds(1)));
  CHECK(ledger.StatusOf(kPart, exit + seconds(1)) == CrashStatus::Quarantined);
  CHECK(ledger.OnPassed(kPart, exit + seconds(1), exit + seconds(2)));
  CHECK(ledger.StatusOf(kPart, exit + seconds(2)) == CrashStatus::Clear);
}

// Each gateway sees few requests: one that does not know that a part gets
// through would blame it if those that do kept this to themselves.
TEST_CASE("a gateway that knows better clears a part for the others", "[parts]")
{
  CrashLedger here(kQuarantine);
  CrashLedger there(kQuarantine);
  there.OnPassed(kSoundPart, kStart - seconds(1), kStart);
  const TimePoint last = kStart + milliseconds(600);
  for (ServerKey server = 1; server <= 3; ++server) {
    here.Take(OfPart(kSoundPart, server, 0),
              Source::Own,
              last - (3 - server) * milliseconds(300));
  }
  Apply(there, here.OutgoingUpdate(last), last);
  const CrashUpdate cleared = there.OutgoingUpdate(last);
  CHECK(cleared.evidence.size() == 3);
  Apply(here, cleared, last);
  CHECK(here.ScoreOf(kSoundPart) == 0);
  CHECK(EvaluateLater(here, last).empty());
}

// All requests with a crashing part share the parts before it, too. If no other
// requests come, the parts can't be told apart; the one that fewer share goes.
TEST_CASE("of parts at the same exits the one further back is blamed",
          "[parts]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 4; ++server) {
    CHECK(EvaluateLater(ledger, ExitTime(server - 1)).empty());
    ledger.Take(OfPart(kPart, server, 0), Source::Own, ExitTime(server));
    ledger.Take(OfPart(kDeepPart, server, 2), Source::Own, ExitTime(server));
  }
  CHECK(EvaluateLater(ledger, ExitTime(4)) == std::vector{ kDeepPart });
  // More exits that both explain are not enough to blame the other one, too.
  for (ServerKey server = 5; server <= 7; ++server) {
    ledger.Take(OfPart(kPart, server, 0), Source::Own, ExitTime(server));
    ledger.Take(OfPart(kDeepPart, server, 2), Source::Own, ExitTime(server));
    CHECK(EvaluateLater(ledger, ExitTime(server)).empty());
  }
  // If it was the other one after all, an exit of its own shows that.
  ledger.Take(OfPart(kPart, 8, 0), Source::Own, ExitTime(8));
  CHECK(EvaluateLater(ledger, ExitTime(8)) == std::vector{ kPart });
}

// A request that crashes servers by its own content is retried by its caller;
// its parts are in flight at the same exits, and other requests need them.
TEST_CASE("a retried request is blamed rather than its parts", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 3; ++server) {
    ledger.Take(Early(kCrashing, server), Source::Own, ExitTime(server));
    ledger.Take(OfPart(kPart, server), Source::Own, ExitTime(server));
  }
  CHECK(EvaluateLater(ledger, ExitTime(3)) == std::vector{ kCrashing });
  CHECK(EvaluateLater(ledger, ExitTime(4)).empty());
  // The request crashed them by a part of it: others with it go on to.
  ledger.Take(OfPart(kPart, 4), Source::Own, ExitTime(4));
  CHECK(EvaluateLater(ledger, ExitTime(4)) == std::vector{ kPart });
}

// Requests of which no two are alike fill a bounded ledger.
TEST_CASE("a flood of requests does not push out a suspect part", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  ledger.Take(OfPart(kPart, 1), Source::Own, ExitTime(1));
  ledger.Take(OfPart(kPart, 2), Source::Own, ExitTime(2));
  for (Fingerprint other = 1000; other < 1000 + 4 * CrashLedger::kMaxSuspects;
       ++other) {
    ledger.Take(Early(other, 2), Source::Own, ExitTime(2));
  }
  CHECK(ledger.SuspectCount() == CrashLedger::kMaxSuspects);
  ledger.Take(OfPart(kPart, 3), Source::Own, ExitTime(3));
  CHECK(EvaluateLater(ledger, ExitTime(3)) == std::vector{ kPart });
}

// All servers are killed at once, before any of the requests that share a part
// and are in flight at several of them has got through.
TEST_CASE("a part in flight at many exits at once is not blamed", "[parts]")
{
  CrashLedger ledger(kQuarantine);
  for (ServerKey server = 1; server <= 12; ++server) {
    ledger.Take(OfPart(kSoundPart, server),
                Source::Own,
                kStart + server * milliseconds(20));
  }
  CHECK(EvaluateLater(ledger, kStart + seconds(1)).empty());
  // One that goes on to crash servers is.
  ledger.Take(OfPart(kSoundPart, 13), Source::Own, kStart + seconds(1));
  CHECK(EvaluateLater(ledger, kStart + seconds(1)) ==
        std::vector{ kSoundPart });
}

TEST_CASE("a request that got through is no evidence against its parts",
          "[parts]")
{
  UnresolvedAttempts broken;
  const InstanceName server("e1");
  broken.Add(
    server, { kOther, { kPart, kDeepPart } }, CrashWeight::Late, true, kStart);
  broken.Add(
    server, { kCrashing, { kPart, kPart } }, CrashWeight::Early, false, kStart);
  const std::vector<CrashEvidence> evidence = broken.OnServerExited(server);
  const ServerKey key = ServerKeyOf(server);
  const std::vector<CrashEvidence> expected{ Late(kOther, key),
                                             Early(kCrashing, key),
                                             OfPart(kPart, key, 1) };
  CHECK(evidence == expected);
}

// Updates come late, twice, out of order or not at all; the gateways have to
// agree on the part to blame, and on no other one.
TEST_CASE("gateways blame the same part whatever becomes of updates", "[parts]")
{
  CHECK(rc::check([] {
    constexpr std::size_t kLedgers = 4;
    constexpr int kSteps = 60;
    constexpr Duration kTick = milliseconds(100);
    std::vector<CrashLedger> ledgers(kLedgers, CrashLedger(kQuarantine));
    std::vector<std::pair<std::size_t, CrashUpdate>> pending;
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const auto any = [&random](std::size_t aBelow) {
      return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(random);
    };
    TimePoint now = kStart;
    ServerKey server = 0;
    for (int step = 0; step < kSteps; ++step, now += kTick) {
      if (step % 8 == 0 && step < kSteps / 2) {
        ++server;
        ledgers[any(kLedgers)].Take(OfPart(kPart, server), Source::Own, now);
        ledgers[any(kLedgers)].Take(
          OfPart(kSoundPart, server, 0), Source::Own, now);
      }
      if (step % 5 == 0) {
        ledgers[any(kLedgers)].OnPassed(
          kSoundPart, now - CrashLedger::kPassTime, now);
      }
      for (std::size_t from = 0; from < kLedgers; ++from) {
        const CrashUpdate update = ledgers[from].OutgoingUpdate(now);
        for (std::size_t to = 0; to < kLedgers; ++to) {
          if (to != from && any(4) > 0) {
            pending.emplace_back(to, update);
          }
        }
      }
      // Delivers about two thirds of what is under way, some of it twice.
      std::erase_if(pending, [&](const auto& aOne) {
        const bool isDelivered = any(3) > 0;
        if (isDelivered) {
          Apply(ledgers[aOne.first], aOne.second, now);
        }
        return isDelivered && any(10) > 0;
      });
      for (CrashLedger& ledger : ledgers) {
        ledger.Evaluate(now);
        RC_ASSERT(!IsQuarantined(ledger, kSoundPart, now));
      }
    }
    for (const CrashLedger& ledger : ledgers) {
      RC_ASSERT(IsQuarantined(ledger, kPart, now));
    }
  }));
}
