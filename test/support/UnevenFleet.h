#ifndef DOGWOODVALE_TEST_SUPPORT_UNEVENFLEET_H
#define DOGWOODVALE_TEST_SUPPORT_UNEVENFLEET_H

#include "LoadSimulation.h"

namespace dogwoodvale::test {

/// Indexes of the kinds of LongAndShortPrompts().
inline constexpr std::size_t kLong = 0;
inline constexpr std::size_t kShort = 1;
inline constexpr double kShortPerSecond = 155;
/// Rate of the short prompts in the rush, relative to the usual one.
inline constexpr double kRush = 1.7;

/// Engines of two speeds that share their machines with other work.
inline Fleet
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

/// Requests of the kinds kLong and kShort at their usual rates.
inline std::vector<RequestKind>
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

} // namespace dogwoodvale::test

#endif
