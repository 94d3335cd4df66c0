#include <catch2/catch.hpp>

#include "support/CrashModel.h"

using namespace dogwoodvale;
using test::CrashModel;
using test::FastStart;
using test::kMostBytes;
using test::ModelOptions;

// Guards against evidence that fills the links of narrow gateways in the
// seconds in which all servers end.
TEST_CASE("evidence of a fast start keeps to its share of a link", "[model]")
{
  ModelOptions options = FastStart(4, 10);
  SECTION("of four gateways") {}
  SECTION("of thirty gateways")
  {
    options = FastStart(30, 50);
  }
  for (unsigned seed = 1; seed <= 3; ++seed) {
    options.seed = seed;
    INFO("seed " << seed);
    CHECK(CrashModel(options).Play().mostBytesPerSecond <= kMostBytes);
  }
}
