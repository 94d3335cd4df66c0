#include <catch2/catch.hpp>

#include "support/LoadPlay.h"

using namespace dogwoodvale;
using test::Fleet;
using test::Kind;
using test::LoadPlay;
using test::Tally;

namespace {

constexpr Duration kShortTarget = milliseconds(250);
constexpr Duration kLongTarget = milliseconds(600);

Fleet
FewSlowEngines()
{
  Fleet fleet;
  fleet.engine.slots = 48;
  fleet.engine.base = Duration(6350);
  fleet.engine.perSequence = Duration(45);
  fleet.engine.perPrefillToken = Duration(23);
  return fleet;
}

/// Engines that read 110 tokens in a millisecond, in large pieces.
Fleet
FastReaders()
{
  Fleet fleet;
  fleet.engines = 18;
  fleet.engine.slots = 96;
  fleet.engine.base = Duration(3550);
  fleet.engine.perSequence = Duration(46);
  fleet.engine.perPrefillToken = Duration(9);
  fleet.engine.prefillChunk = 4096;
  fleet.tokensPerEvent = 5;
  fleet.gateways = 12;
  return fleet;
}

} // namespace

// Tellers' notes come nearly three times as often as a moment ago, beside
// scans. The notes keep to the few engines that read no scans and queue there
// for a slot, each turn some 50 ms, while engines that read scans have slots
// free: a third to a half of the notes begin late though the fleet is not full.
TEST_CASE("a burst of short requests does not queue beside free slots",
          "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  LoadPlay play(FewSlowEngines(),
                {},
                { Kind{ 18, 6300, 2890, 51, 300, kLongTarget },
                  Kind{ 40, 200, 630, 291, 300, kShortTarget } },
                seed);
  play.Run(seconds(15));
  play.SetRate(1, 110);
  const std::vector<Tally> got = play.Run(seconds(6));
  INFO("seed " << seed << ", on time: short " << got[1].Share() << ", long "
               << got[0].Share());
  CHECK(got[1].Share() > 0.7);
}

// Cues run beside digests of 17,000 tokens. An engine that reads one after the
// other puts a piece of reading into each step, so a cue's events come 150 ms
// and more apart and one cue in seven passes its bound of 200 ms somewhere,
// though a tenth of the engines could generate all of them: on time 0.85 mixed,
// 0.99 apart.
TEST_CASE("short answers have no pauses beside long reading", "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const auto playWith = [seed](bool aReserved) {
    GatewayDecisions decisions;
    decisions.reservedServers = aReserved;
    // Alone, so that what is measured is the reservation.
    decisions.rankedTurns = false;
    Kind digest{
      150, 13'300, 3720, 120, 400, seconds(1), milliseconds(800), 5
    };
    Kind cue{
      60, 350, 1110, 170, 280, milliseconds(250), milliseconds(200), 0
    };
    LoadPlay play(FastReaders(), decisions, { digest, cue }, seed);
    play.Run(seconds(6));
    return play.Run(seconds(10));
  };
  const std::vector<Tally> mixed = playWith(false);
  const std::vector<Tally> apart = playWith(true);
  INFO("seed " << seed << ", on time beside long reading: cues "
               << mixed[1].Share() << ", digests " << mixed[0].Share()
               << "; apart: " << apart[1].Share() << ", " << apart[0].Share());
  CHECK(mixed[1].Share() < 0.9);
  CHECK(apart[1].Share() > 0.97);
  CHECK(apart[0].Share() > mixed[0].Share() - 0.03);
}

namespace {

/// Scans of 200 subjects that come in a rush, of which each engine keeps a
/// dozen, beside notes that go first.
/// \return what the scans' callers got.
Tally
PlayRush(GatewayDecisions aDecisions, double aScans, std::uint64_t aSeed)
{
  Fleet fleet = FewSlowEngines();
  fleet.engines = 24;
  fleet.engine.slots = 16;
  fleet.gateways = 12;
  fleet.cacheTokens = 120'000;
  Kind scan{ 40, 6300, 2890, 51, 200, kLongTarget };
  scan.rank = test::kRankCount - 1;
  LoadPlay play(fleet,
                aDecisions,
                { scan, Kind{ 40, 200, 630, 291, 300, kShortTarget } },
                aSeed);
  play.Run(seconds(6));
  play.SetRate(0, aScans);
  return play.Run(seconds(8))[0];
}

} // namespace

// Scans come three times as often as a moment ago. Caches keep a dozen of 200
// shared parts, so a part is seldom where there is room; each engine that reads
// it again keeps others waiting, and half of the scans are late that could be
// in time: 0.49 on time with every part read again, 0.59 with copies.
TEST_CASE("in a rush shared parts are copied, not read again", "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const auto playWith = [seed](bool aCopies) {
    GatewayDecisions decisions;
    decisions.cacheFetch = aCopies;
    return PlayRush(decisions, 140, seed).Share();
  };
  const double readAgain = playWith(false);
  const double copied = playWith(true);
  INFO("seed " << seed << ", scans on time: read again " << readAgain
               << ", copied " << copied);
  CHECK(copied > readAgain + 0.05);
}

// More scans come than the engines can read. Served in order, each waits for
// those that are late already and is late by the same time: 0.28 on time. With
// the late ones behind the others 0.37 are, and the late ones are read with
// what is left.
TEST_CASE("in a rush those that are late let the others pass", "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const auto playWith = [seed](bool aLateLast) {
    GatewayDecisions decisions;
    decisions.lateLast = aLateLast;
    return PlayRush(decisions, 180, seed).Share();
  };
  const double inOrder = playWith(false);
  const double lateLast = playWith(true);
  INFO("seed " << seed << ", scans on time: in order " << inOrder
               << ", late ones last " << lateLast);
  CHECK(lateLast > inOrder + 0.08);
}
