#include <catch2/catch.hpp>

#include "support/CrashModel.h"

using namespace dogwoodvale;
using test::CrashModel;
using test::FastStart;
using test::ModelOptions;
using test::ModelResult;

// Many requests with a crashing part come at once, before any gateway knows of
// a crash, and end all or most servers within a second. From then on so few
// servers are up, and each for so short a time, that no answer completes: the
// parts that the crashing requests share with sound ones are in flight at every
// exit as well.

namespace {

/// Shares of what the users' rules allow at least.
constexpr double kServedShare = 0.9;
constexpr std::size_t kMaxLateRuns = 3;

void
CheckContained(ModelOptions aOptions, unsigned aSeeds)
{
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    aOptions.seed = seed;
    const ModelResult result = CrashModel(aOptions).Play();
    INFO(fmt::format(
      "seed {}: {} exits, {} late, {} others quarantined, common: {} of {} "
      "before, {} of {} after, {} bytes a second",
      seed,
      result.exits,
      result.lateAfterFive,
      result.othersQuarantined,
      result.commonBegunBefore,
      result.commonSentBefore,
      result.commonBegun,
      result.commonSent,
      result.mostBytesPerSecond));
    CHECK(result.exits >= 5);
    CHECK(result.lateAfterFive <= kMaxLateRuns);
    CHECK(result.othersQuarantined == 0);
    CHECK(static_cast<double>(result.commonBegun) >=
          kServedShare * static_cast<double>(result.commonSent));
  }
}

} // namespace

TEST_CASE("a part that ends all servers at once is quarantined", "[model]")
{
  SECTION("by four gateways")
  {
    CheckContained(FastStart(4, 10), 10);
  }
  SECTION("by thirty gateways")
  {
    CheckContained(FastStart(30, 50), 3);
  }
  SECTION("by three hundred gateways in cells")
  {
    CheckContained(FastStart(300, 500), 1);
  }
  SECTION("with a third of datagrams lost")
  {
    ModelOptions options = FastStart(30, 50);
    options.loss = 0.33;
    CheckContained(options, 3);
  }
  SECTION("while answers take five seconds")
  {
    ModelOptions options = FastStart(4, 10);
    options.requestTime = seconds(5);
    options.length = seconds(40);
    CheckContained(options, 10);
  }
}
