#include <catch2/catch.hpp>

#include "support/UnevenFleet.h"

using namespace dogwoodvale;
using test::kRush;
using test::kShort;
using test::kShortPerSecond;
using test::LoadSimulation;
using test::LongAndShortPrompts;
using test::Tally;
using test::UnevenEngines;

// A fast engine turns five times slower for 6 s, as when another program takes
// its machine. Streams must go elsewhere within some 2 s, and the engine must
// be used again once it has recovered.
TEST_CASE("a slow server loses its streams and gets them back", "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  constexpr std::size_t kSlowed = 2;
  LoadSimulation simulation(UnevenEngines(), {}, LongAndShortPrompts(), seed);
  simulation.Run(seconds(10));
  // All fast engines are needed in the rush.
  simulation.SetRate(kShort, kRush * kShortPerSecond);
  simulation.Run(seconds(5));
  // Streams that begin at the engine, per second.
  const auto run = [&](Duration aTime, std::vector<Tally>& aTallies) {
    const int before = simulation.SentTo(kSlowed, kShort);
    aTallies = simulation.Run(aTime);
    return (simulation.SentTo(kSlowed, kShort) - before) * 1e6 /
           static_cast<double>(aTime.count());
  };
  std::vector<Tally> usual;
  std::vector<Tally> slowed;
  std::vector<Tally> recovering;
  const double before = run(seconds(4), usual);
  simulation.SetTimeFactor(kSlowed, 5 * 0.55);
  simulation.Run(seconds(2));
  const double during = run(seconds(4), slowed);
  simulation.SetTimeFactor(kSlowed, 0.55);
  // What is learned of a server's speed fades with time constants of up to 10 s
  // (the residual in DecodeModel), so three of them.
  run(seconds(30), recovering);
  const double after = run(seconds(4), usual);
  INFO("seed " << seed << ", streams begun at the engine per second: before "
               << before << ", slowed for 2 to 6 s " << during
               << ", 30 s after its recovery " << after
               << "; late pauses of all streams begun when slowed for 2 to 6 s "
               << slowed[kShort].PausedShare() << ", in the 30 s "
               << recovering[kShort].PausedShare());
  CHECK(during < before / 4);
  CHECK(after > before / 2);
  CHECK(slowed[kShort].PausedShare() < 0.20);
  CHECK(recovering[kShort].PausedShare() < 0.20);
}
