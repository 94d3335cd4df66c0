#include <catch2/catch.hpp>

#include "support/LoadPlay.h"

using namespace dogwoodvale;
using test::Fleet;
using test::Kind;
using test::LoadPlay;
using test::Tally;

// One customer joins a rush with many times its usual. Notes queue at engines
// to which all gateways send them until their callers leave, while scans of
// over twice their size begin elsewhere.
TEST_CASE("urgent requests don't go without while larger ones begin",
          "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
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
  Kind scan{ .perSecond = 230,
             .sharedTokens = 6300,
             .ownTokens = 2890,
             .answerTokens = 52,
             .subjects = 581,
             .target = milliseconds(600),
             .pause = milliseconds(250),
             .rank = 2,
             .patience = seconds(2) };
  Kind note{ .perSecond = 380,
             .sharedTokens = 200,
             .ownTokens = 628,
             .answerTokens = 292,
             .subjects = 636,
             .target = milliseconds(250),
             .pause = milliseconds(150),
             .rank = 0,
             .patience = seconds(2) };
  constexpr std::size_t kScans = 0;
  constexpr std::size_t kNotes = 1;
  LoadPlay play(fleet, {}, { scan, note }, seed);
  play.Run(seconds(4));
  play.SetRate(kScans, 450);
  play.SetRate(kNotes, 1200);
  play.Run(seconds(3));
  play.SetRate(kScans, scan.perSecond);
  play.SetRate(kNotes, note.perSecond);
  const std::vector<Tally> tallies = play.Continue(seconds(2));
  const Tally& scans = tallies[kScans];
  const Tally& notes = tallies[kNotes];
  INFO("seed " << seed << ": of " << notes.asked << " notes " << notes.lost
               << " lost, of " << scans.asked << " scans " << scans.begun
               << " begun");
  // At most one in so many.
  constexpr int kMostLost = 12;
  constexpr int kFewBegun = 10;
  CHECK((notes.lost * kMostLost <= notes.asked || scans.begun < kFewBegun));
}
