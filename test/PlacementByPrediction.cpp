#include <catch2/catch.hpp>

#include "support/LoadSimulation.h"

using namespace dogwoodvale;
using test::Fleet;
using test::LoadSimulation;
using test::RequestKind;
using test::Tally;

namespace {

constexpr std::size_t kLong = 0;
constexpr std::size_t kShort = 1;
constexpr double kShortPerSecond = 155;
/// Rate of the short prompts in the rush, relative to the usual one.
constexpr double kRush = 1.7;

/// Engines of two speeds that share their machines with other work.
Fleet
UnevenEngines()
{
  Fleet fleet;
  fleet.engines = 42;
  fleet.engine.slots = 96;
  fleet.engine.base = Duration(3400);
  fleet.engine.perSequence = Duration(100);
  fleet.engine.perPrefillToken = Duration(9);
  fleet.engine.prefillChunk = 2048;
  fleet.tokensPerEvent = 6;
  fleet.gateways = 23;
  fleet.cacheTokens = 295'000;
  fleet.timeFactors = { 1.2, 1.2, 0.55, 1.2 };
  fleet.slowPeriods = { 0.15, 2.5, milliseconds(600) };
  fleet.reportsLoad = true;
  return fleet;
}

std::vector<RequestKind>
LongAndShortPrompts()
{
  RequestKind longPrompt{ .perSecond = 208,
                          .sharedTokens = 6300,
                          .ownTokens = 2890,
                          .answerTokens = 54,
                          .sharedParts = 300,
                          .target = milliseconds(400),
                          .maxPause = milliseconds(300),
                          .rank = 2 };
  RequestKind shortPrompt{ .perSecond = kShortPerSecond,
                           .sharedTokens = 198,
                           .ownTokens = 628,
                           .answerTokens = 294,
                           .sharedParts = 300,
                           .target = milliseconds(300),
                           .maxPause = milliseconds(200),
                           .rank = 0 };
  return { longPrompt, shortPrompt };
}

struct Results
{
  std::vector<Tally> usual;
  std::vector<Tally> rush;
};

Results
RunWith(bool aPredictedTimes, std::uint64_t aSeed)
{
  GatewayDecisions decisions;
  decisions.predictedTimes = aPredictedTimes;
  LoadSimulation simulation(
    UnevenEngines(), decisions, LongAndShortPrompts(), aSeed);
  simulation.Run(seconds(12));
  Results results;
  results.usual = simulation.Run(seconds(10));
  simulation.SetRate(kShort, kRush * kShortPerSecond);
  results.rush = simulation.Run(seconds(10));
  return results;
}

} // namespace

// Engines of two speeds, slowed down now and then by other work. Reserved by
// their names alone, most servers of the interactive streams are slow ones and
// hold too many of them, while fast servers have none.
TEST_CASE("interactive streams meet their bound on uneven servers",
          "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  const Results without = RunWith(false, seed);
  const Results with = RunWith(true, seed);
  INFO("seed " << seed << ", late pauses of short prompts without and with: "
               << without.usual[kShort].PausedShare() << " and "
               << with.usual[kShort].PausedShare() << ", in the rush "
               << without.rush[kShort].PausedShare() << " and "
               << with.rush[kShort].PausedShare() << "; on time: short "
               << without.usual[kShort].OnTimeShare() << " and "
               << with.usual[kShort].OnTimeShare() << ", in the rush "
               << without.rush[kShort].OnTimeShare() << " and "
               << with.rush[kShort].OnTimeShare() << "; long "
               << without.usual[kLong].OnTimeShare() << " and "
               << with.usual[kLong].OnTimeShare() << ", in the rush "
               << without.rush[kLong].OnTimeShare() << " and "
               << with.rush[kLong].OnTimeShare());
  INFO("late pauses of long prompts without and with: "
       << without.usual[kLong].PausedShare() << " and "
       << with.usual[kLong].PausedShare() << ", in the rush "
       << without.rush[kLong].PausedShare() << " and "
       << with.rush[kLong].PausedShare());
  CHECK(with.usual[kShort].PausedShare() < 0.05);
  CHECK(with.rush[kShort].PausedShare() < 0.20);
  CHECK(with.usual[kLong].OnTimeShare() >
        without.usual[kLong].OnTimeShare() - 0.03);
  CHECK(with.rush[kLong].OnTimeShare() >
        without.rush[kLong].OnTimeShare() - 0.03);
}
