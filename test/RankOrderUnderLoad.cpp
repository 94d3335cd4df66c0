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
  Kind scan{
    230, 6300,      2890, 52, 581, milliseconds(600), milliseconds(250),
    2,   seconds(2)
  };
  Kind note{
    380, 200, 628, 292, 636, milliseconds(250), milliseconds(150), 0, seconds(2)
  };
  LoadPlay play(fleet, {}, { scan, note }, seed);
  play.Run(seconds(4));
  play.SetRate(0, 450);
  play.SetRate(1, 1200);
  play.Run(seconds(3));
  play.SetRate(0, 230);
  play.SetRate(1, 380);
  const std::vector<Tally> got = play.Continue(seconds(2));
  INFO("seed " << seed << ": of " << got[1].asked << " notes " << got[1].lost
               << " lost, of " << got[0].asked << " scans " << got[0].begun
               << " begun");
  constexpr int kMostLost = 12;
  constexpr int kFewBegun = 10;
  CHECK((got[1].lost * kMostLost <= got[1].asked || got[0].begun < kFewBegun));
}
