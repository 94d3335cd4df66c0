#include <catch2/catch.hpp>

#include "support/VersionedSite.h"

using namespace dogwoodvale;
using test::VersionedSite;

namespace {

const std::vector<std::string> kTwoVersions = { "v1", "v2", "v1",
                                                "v2", "v1", "v2" };
constexpr std::size_t kStreams = 40;

struct Verdict
{
  std::size_t mixed = 0;
  std::size_t whole = 0;
};

Verdict
Judge(const std::vector<VersionedSite::Stream>& aStreams)
{
  Verdict verdict;
  for (const VersionedSite::Stream& stream : aStreams) {
    verdict.mixed += stream.Versions().size() > 1 ? 1 : 0;
    verdict.whole += stream.IsWhole() ? 1 : 0;
  }
  return verdict;
}

} // namespace

// Guards against streams that a gateway resumes at another software version.
TEST_CASE("a broken stream resumes at the version that began it", "[versions]")
{
  VersionedSite site(kTwoVersions, 2);
  site.SetFaultOfAll(VersionedSite::Fault("crash_after", 7));
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    streams.push_back(site.Begin(i % 2));
    site.Run(milliseconds(20));
  }
  site.Settle();
  const Verdict verdict = Judge(streams);
  CHECK(verdict.mixed == 0);
  CHECK(verdict.whole == kStreams);
}

// Guards against streams that callers resume at another software version.
TEST_CASE("a caller resumes its stream at the version that began it",
          "[versions]")
{
  VersionedSite site(kTwoVersions, 4);
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    streams.push_back(site.Begin(i % 4));
    REQUIRE(site.HasBegun(streams.back()));
    site.Run(milliseconds(60));
    site.Resume(streams.back(), (i + 1) % 4);
  }
  site.Settle();
  const Verdict verdict = Judge(streams);
  CHECK(verdict.mixed == 0);
  CHECK(verdict.whole == kStreams);
}
