#include <catch2/catch.hpp>

#include "support/LoadSimulation.h"

using namespace dogwoodvale;
using test::Fleet;
using test::LoadSimulation;
using test::RequestKind;
using test::Tally;

// One customer's rate rises to many times its usual. Short urgent requests
// (notes) queue at the engines to which all gateways send them until their
// callers disconnect, while prompts of over twice their size (scans) begin
// elsewhere.
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
  RequestKind scan{ .perSecond = 230,
                    .sharedTokens = 6300,
                    .ownTokens = 2890,
                    .answerTokens = 52,
                    .sharedParts = 581,
                    .target = milliseconds(600),
                    .maxPause = milliseconds(250),
                    .rank = 2,
                    .callerTimeout = seconds(2) };
  RequestKind note{ .perSecond = 380,
                    .sharedTokens = 200,
                    .ownTokens = 628,
                    .answerTokens = 292,
                    .sharedParts = 636,
                    .target = milliseconds(250),
                    .maxPause = milliseconds(150),
                    .rank = 0,
                    .callerTimeout = seconds(2) };
  constexpr std::size_t kScans = 0;
  constexpr std::size_t kNotes = 1;
  LoadSimulation simulation(fleet, {}, { scan, note }, seed);
  simulation.Run(seconds(4));
  simulation.SetRate(kScans, 450);
  simulation.SetRate(kNotes, 1200);
  simulation.Run(seconds(3));
  simulation.SetRate(kScans, scan.perSecond);
  simulation.SetRate(kNotes, note.perSecond);
  const std::vector<Tally> tallies = simulation.Continue(seconds(2));
  const Tally& scans = tallies[kScans];
  const Tally& notes = tallies[kNotes];
  INFO("seed " << seed << ": of " << notes.asked << " notes " << notes.lost
               << " lost, of " << scans.asked << " scans " << scans.begun
               << " begun");
  // At most one in kMostLost notes may be lost.
  constexpr int kMostLost = 12;
  constexpr int kFewBegun = 10;
  CHECK((notes.lost * kMostLost <= notes.asked || scans.begun < kFewBegun));
}
