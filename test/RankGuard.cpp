#include <catch2/catch.hpp>

#include "support/LoadSimulation.h"

using namespace dogwoodvale;
using test::Fleet;
using test::LoadSimulation;
using test::RequestKind;
using test::Tally;

namespace {

constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kLater = 2;
constexpr std::uint32_t kSmall = 800;
constexpr std::uint32_t kLarge = 9000;
const ServiceName kService("model");
const InstanceName kPeer("g01");

TimePoint
At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1)) + aTime;
}

/// A guard of one of thirty gateways that knows prompts of both ranks.
RankGuard
MakeGuard()
{
  RankGuard guard;
  guard.SetGateways(30);
  guard.OnRequest(kUrgent, kSmall);
  guard.OnRequest(kLater, kLarge);
  return guard;
}

RankUpdate
Overdue(std::uint32_t aOverdue, std::uint32_t aBegun)
{
  return { kService, kUrgent, aOverdue, 0, aBegun };
}

/// Requests of rank kLater that are admitted, of one each 10 ms.
int
CountAdmitted(RankGuard& aGuard,
              TimePoint aFrom,
              Duration aLength,
              std::mt19937_64& aRandom)
{
  int admitted = 0;
  for (Duration time{ 0 }; time < aLength; time += milliseconds(10)) {
    admitted += aGuard.Admits(kLater, kLarge, aRandom, aFrom + time) ? 1 : 0;
  }
  return admitted;
}

} // namespace

// Guards against refusals without need: nobody waits beyond twice the target.
TEST_CASE("without overdue requests every request is admitted", "[rankguard]")
{
  std::mt19937_64 random(1);
  RankGuard guard = MakeGuard();
  guard.OnBegun(kUrgent, false, At(Duration(0)));
  // Requests lost in the last second alone do not count.
  guard.OnLost(kUrgent, false, At(Duration(0)));
  CHECK_FALSE(guard.IsOverdue(kLater, At(milliseconds(1))));
  CHECK(CountAdmitted(guard, At(milliseconds(1)), seconds(1), random) == 100);
  CHECK(guard.Refused() == 0);
}

// Guards against refusing others for one request at a server that hangs, or in
// an overload in which urgent requests are late but get their answers.
TEST_CASE("a rank is overdue if one in twelve is lost or likely to be",
          "[rankguard]")
{
  RankGuard guard = MakeGuard();
  const TimePoint now = At(Duration(0));
  for (int i = 0; i < 11; ++i) {
    guard.OnBegun(kUrgent, false, now);
  }
  guard.OnOverdue(kUrgent);
  guard.OnOverdue(kUrgent);
  CHECK_FALSE(guard.IsOverdue(kUrgent, now));
  guard.OnOverdue(kUrgent);
  CHECK(guard.IsOverdue(kUrgent, now));
  CHECK(guard.IsOverdue(kLater, now));
  // A lost request counts in full.
  RankGuard other = MakeGuard();
  for (int i = 0; i < 11; ++i) {
    other.OnBegun(kUrgent, false, now);
  }
  other.OnOverdue(kUrgent);
  other.OnLost(kUrgent, false, now);
  CHECK(other.IsOverdue(kUrgent, now));
}

// Guards against refusing what the promise does not name: requests of the same
// or an earlier rank, and those of up to twice the size.
TEST_CASE("only larger requests of later ranks are refused", "[rankguard]")
{
  std::mt19937_64 random(1);
  RankGuard guard = MakeGuard();
  guard.OnOverdue(kUrgent);
  const TimePoint now = At(Duration(0));
  CHECK(guard.Admits(kUrgent, kLarge, random, now));
  CHECK(guard.Admits(kLater, 2 * kSmall, random, now));
  CHECK_FALSE(guard.Admits(kLater, 2 * kSmall + 1, random, now));
  CHECK(guard.Refused() == 1);
  // A later rank that is overdue does not hold up an earlier one.
  RankGuard other = MakeGuard();
  other.OnOverdue(kLater);
  CHECK_FALSE(other.IsOverdue(kUrgent, now));
  CHECK(other.Admits(kUrgent, kLarge, random, now));
}

// Guards against a guard that stays closed after the backlog has drained.
TEST_CASE("the guard opens 250 ms after the last overdue request",
          "[rankguard]")
{
  std::mt19937_64 random(1);
  RankGuard guard = MakeGuard();
  guard.OnOverdue(kUrgent);
  const TimePoint end = At(seconds(1));
  CHECK_FALSE(guard.Admits(kLater, kLarge, random, end));
  guard.OnBegun(kUrgent, true, end);
  CHECK_FALSE(guard.Admits(kLater, kLarge, random, end + milliseconds(249)));
  CHECK(guard.Admits(kLater, kLarge, random, end + milliseconds(250)));
}

TEST_CASE("a gateway's newest report replaces its older one", "[rankguard]")
{
  RankGuard guard = MakeGuard();
  const TimePoint now = At(Duration(0));
  const std::vector<RankUpdate> bad = { Overdue(5, 10) };
  const std::vector<RankUpdate> good = { Overdue(0, 15) };
  guard.OnPeer(kPeer, bad, now);
  CHECK(guard.IsOverdue(kLater, now));
  guard.OnPeer(kPeer, good, now + milliseconds(145));
  CHECK_FALSE(
    guard.IsOverdue(kLater, now + milliseconds(145) + RankGuard::kHold));
  guard.OnPeer(kPeer, bad, now + seconds(1));
  CHECK(guard.IsOverdue(kLater, now + seconds(1)));
  // Nothing to report is a report as well.
  guard.OnPeer(kPeer, {}, now + seconds(2));
  CHECK_FALSE(guard.IsOverdue(kLater, now + seconds(2) + RankGuard::kHold));
}

// Guards against a guard that acts on a gateway which is gone, or of which all
// digests are lost, and against one that opens with a single lost digest.
TEST_CASE("a report counts for a second", "[rankguard]")
{
  RankGuard guard = MakeGuard();
  const std::vector<RankUpdate> bad = { Overdue(5, 10) };
  guard.OnPeer(kPeer, bad, At(Duration(0)));
  CHECK(guard.IsOverdue(kLater, At(milliseconds(435))));
  CHECK(guard.IsOverdue(kLater, At(seconds(1))));
  CHECK_FALSE(guard.IsOverdue(kLater, At(seconds(1) + RankGuard::kHold)));
}

// A gateway that is cut off decides by its own requests and reports them.
TEST_CASE("a gateway without digests knows its own requests", "[rankguard]")
{
  RankGuard guard = MakeGuard();
  const TimePoint now = At(Duration(0));
  guard.OnOverdue(kUrgent);
  guard.OnOverdue(kUrgent);
  guard.OnBegun(kLater, false, now);
  CHECK(guard.IsOverdue(kUrgent, now));
  const std::vector<RankUpdate> expected = {
    { kService, kUrgent, 2, 0, 0 },
    { kService, kLater, 0, 0, 1 },
  };
  CHECK(guard.Updates(kService, now) == expected);
  guard.OnLost(kUrgent, true, now);
  guard.OnBegun(kUrgent, true, now);
  CHECK(guard.Updates(kService, now).front() ==
        RankUpdate{ kService, kUrgent, 0, 1, 1 });
  CHECK(guard.Updates(kService, now + milliseconds(1001)).empty());
}

// Guards against a rank that gets nothing while an overload lasts, and against
// breaking the promise of fewer than ten in 5 s, while an earlier rank is
// overdue for two minutes at all gateways.
TEST_CASE("no rank starves while the guard refuses", "[rankguard]")
{
  const auto gateways =
    GENERATE(std::size_t(1), std::size_t(4), std::size_t(30));
  const auto seed = GENERATE(range(1U, 11U));
  std::mt19937_64 random(seed);
  std::vector<Duration> admitted;
  for (std::size_t i = 0; i < gateways; ++i) {
    RankGuard guard = MakeGuard();
    guard.SetGateways(gateways);
    guard.OnOverdue(kUrgent);
    for (Duration time{ 0 }; time < seconds(120); time += milliseconds(50)) {
      if (guard.Admits(kLater, kLarge, random, At(time))) {
        admitted.push_back(time);
      }
    }
  }
  const auto within = [&](Duration aFrom, Duration aLength) {
    return std::ranges::count_if(admitted, [&](Duration aTime) {
      return aTime >= aFrom && aTime < aFrom + aLength;
    });
  };
  bool isKept = true;
  for (Duration from{ 0 }; from < seconds(115); from += milliseconds(500)) {
    isKept = isKept && within(from, seconds(5)) < 10;
  }
  INFO("gateways " << gateways << ", seed " << seed);
  CHECK(isKept);
  for (Duration from{ 0 }; from < seconds(120); from += seconds(30)) {
    CHECK(within(from, seconds(30)) > 0);
  }
}

TEST_CASE("callers are taken to wait 2 s or some times their bounds",
          "[rankguard]")
{
  CHECK(CallerPatience(milliseconds(250), milliseconds(150)) == seconds(2));
  CHECK(CallerPatience(milliseconds(600), milliseconds(150)) ==
        milliseconds(2400));
  CHECK(CallerPatience(milliseconds(250), milliseconds(300)) ==
        milliseconds(2400));
}

// A Retry-After that does not follow the drain brings the refused back while
// the queues are as long as before.
TEST_CASE("the time of a drain follows its rate", "[rankguard]")
{
  CHECK(DrainTime(0, 700) == Duration(0));
  CHECK(DrainTime(1400, 700) == seconds(2));
  CHECK(DrainTime(1'000'000, 700) == seconds(10));
  CHECK(DrainTime(100, 0) == seconds(10));
}

// Guards against thirty gateways that fill the same slots within one digest.
TEST_CASE("own sends stand for those of the other gateways", "[rankguard]")
{
  UnreportedRequests unreported;
  unreported.SetPeers(milliseconds(145), 29);
  const InstanceName name("e00");
  unreported.OnSent(name, At(Duration(0)));
  const auto requestsAt = [&](const InstanceName& aName, Duration aTime) {
    DirectCandidate candidate;
    candidate.name = aName;
    candidate.slots = 32;
    candidate.work.requests = 10;
    unreported.AddTo(candidate, At(aTime));
    return candidate.work.requests;
  };
  CHECK(requestsAt(name, milliseconds(145)) == 24);
  CHECK(requestsAt(name, milliseconds(146)) == 10);
  CHECK(requestsAt(InstanceName("e01"), milliseconds(0)) == 10);
  // A gateway alone at the site adds nothing.
  unreported.SetPeers(milliseconds(50), 0);
  CHECK(requestsAt(name, milliseconds(0)) == 10);
}

// Guards against a random few that all are servers without service.
TEST_CASE("random candidates are servers in service", "[rankguard]")
{
  std::mt19937_64 random(1);
  for (int round = 0; round < 100; ++round) {
    std::vector<DirectCandidate> candidates(12);
    for (std::size_t i = 3; i < candidates.size(); ++i) {
      candidates[i].healthState = HealthState::Ejected;
    }
    SpreadCandidates(candidates, random);
    REQUIRE(candidates.size() == 3);
    CHECK(std::ranges::none_of(candidates, IsUnavailable));
  }
  std::vector<DirectCandidate> two(2);
  SpreadCandidates(two, random);
  CHECK(two.size() == 2);
}

namespace {

struct Load
{
  double scansPerSecond;
  double notesPerSecond;
  double rushScans;
  double rushNotes;
  Duration rush;
};

/// Thirty gateways before 55 engines of 32 slots, as in RankOrderUnderLoad.
/// \return the results of the scans and the notes from the rush on.
std::vector<Tally>
RunLoad(const Load& aLoad, bool aHasGuard, std::uint64_t aSeed)
{
  Fleet fleet;
  fleet.engines = 55;
  fleet.engine.slots = 32;
  fleet.engine.base = Duration(6350);
  fleet.engine.perSequence = Duration(1);
  fleet.engine.perPrefillToken = Duration(23);
  fleet.engine.prefillChunk = 1024;
  fleet.tokensPerEvent = 4;
  fleet.gateways = 30;
  fleet.cacheTokens = 295'000;
  fleet.digestPeriod = milliseconds(145);
  RequestKind scan{ .perSecond = aLoad.scansPerSecond,
                    .sharedTokens = 6300,
                    .ownTokens = 2890,
                    .answerTokens = 52,
                    .sharedParts = 581,
                    .target = milliseconds(600),
                    .maxPause = milliseconds(250),
                    .rank = 2,
                    .callerTimeout = seconds(2),
                    .returns = true };
  RequestKind note{ .perSecond = aLoad.notesPerSecond,
                    .sharedTokens = 200,
                    .ownTokens = 628,
                    .answerTokens = 292,
                    .sharedParts = 636,
                    .target = milliseconds(250),
                    .maxPause = milliseconds(150),
                    .rank = 0,
                    .callerTimeout = seconds(2),
                    .returns = true };
  GatewayDecisions decisions;
  decisions.rankGuard = aHasGuard;
  LoadSimulation simulation(fleet, decisions, { scan, note }, aSeed);
  simulation.Run(seconds(4));
  simulation.SetRate(0, aLoad.rushScans);
  simulation.SetRate(1, aLoad.rushNotes);
  simulation.Run(aLoad.rush);
  simulation.SetRate(0, aLoad.scansPerSecond);
  simulation.SetRate(1, aLoad.notesPerSecond);
  return simulation.Continue(seconds(7));
}

double
OnTimeOfAll(const std::vector<Tally>& aTallies)
{
  return static_cast<double>(aTallies[0].onTime + aTallies[1].onTime) /
         (aTallies[0].asked + aTallies[1].asked);
}

} // namespace

// Guards against a cost of the guard where it has nothing to do. Simulations
// with equal seeds are identical if it changes nothing.
TEST_CASE("nothing changes where nobody is overdue", "[rankguard]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const Load load{ 60, 100, 60, 100, seconds(3) };
  const std::vector<Tally> off = RunLoad(load, false, seed);
  const std::vector<Tally> on = RunLoad(load, true, seed);
  INFO("seed " << seed << ", on time: without " << OnTimeOfAll(off) << ", with "
               << OnTimeOfAll(on));
  CHECK(on[0].refused == off[0].refused);
  CHECK(OnTimeOfAll(on) >= OnTimeOfAll(off) - 0.01);
}

// A rush of one second. Guards against a guard that costs more than the rush.
TEST_CASE("in a shorter rush the guard costs no answers in time", "[rankguard]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const Load load{ 150, 250, 300, 900, seconds(1) };
  const std::vector<Tally> off = RunLoad(load, false, seed);
  const std::vector<Tally> on = RunLoad(load, true, seed);
  INFO("seed " << seed << ", notes lost: without " << off[1].lost << ", with "
               << on[1].lost << " of " << on[1].asked << "; scans begun "
               << off[0].begun << ", " << on[0].begun << " of " << on[0].asked
               << "; on time: without " << OnTimeOfAll(off) << ", with "
               << OnTimeOfAll(on));
  CHECK(on[1].OnTimeShare() >= off[1].OnTimeShare() - 0.01);
  CHECK(OnTimeOfAll(on) >= OnTimeOfAll(off) - 0.01);
}
