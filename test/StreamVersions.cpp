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

// Guards against streams whose origin is lost with the gateway that sent them.
TEST_CASE("a stream of a killed gateway resumes at its version", "[versions]")
{
  VersionedSite site(kTwoVersions, 4);
  std::vector<VersionedSite::Stream> streams;
  constexpr std::size_t kOfOneGateway = 12;
  for (std::size_t gateway = 0; gateway < 3; ++gateway) {
    std::vector<VersionedSite::Stream> own;
    for (std::size_t i = 0; i < kOfOneGateway; ++i) {
      own.push_back(site.Begin(gateway));
    }
    for (const VersionedSite::Stream& stream : own) {
      REQUIRE(site.HasBegun(stream));
    }
    // A digest goes out every 50 ms.
    site.Run(milliseconds(50));
    site.KillGateway(gateway);
    for (VersionedSite::Stream& stream : own) {
      site.Resume(stream, 3);
      streams.push_back(stream);
    }
    site.Settle();
  }
  const Verdict verdict = Judge(streams);
  CHECK(verdict.mixed == 0);
  CHECK(verdict.whole == streams.size());
}

// Guards against streams that continue at another version for want of a server.
TEST_CASE("a stream is refused when no server of its version is left",
          "[versions]")
{
  VersionedSite site({ "v1", "v2", "v2" }, 2);
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    streams.push_back(site.Begin(i % 2));
    REQUIRE(site.HasBegun(streams.back()));
    site.Run(milliseconds(20));
  }
  site.RemoveEngines("v1");
  // The list is read every 100 ms.
  site.Run(milliseconds(300));
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kStreams; ++i) {
    site.Resume(streams[i], (i + 1) % 2);
  }
  site.Settle();
  for (const VersionedSite::Stream& stream : streams) {
    const bool beganAtV1 = stream.Versions().contains("v1");
    refused += stream.last->IsRefused() ? 1 : 0;
    CHECK(stream.last->IsRefused() == beganAtV1);
    CHECK(stream.last->IsRefused() == (stream.last->RetryAfter() > 0));
  }
  CHECK(Judge(streams).mixed == 0);
  CHECK(refused > 0);
  CHECK(refused < kStreams);
}

// Guards against guessing the version of a stream that no gateway knows, and
// against finding the stream of another customer.
TEST_CASE("a stream of unknown origin is refused as not run", "[versions]")
{
  VersionedSite site(kTwoVersions, 2);
  const std::string header = GENERATE(
    as<std::string>(), "", "Resumes: unheard-of\r\n", "Resumes: try-of-t2\r\n");
  site.PutConfiguration(2, 2000, 0, VersionedSite::SecondCustomer());
  test::RawSocket other =
    test::RawSocket::Connect(site.gateways[0]->CallerAddress());
  std::string text = VersionedSite::RequestText("/stream/x", "try-of-t2");
  text.replace(text.find("key1"), 4, "key2");
  other.Send(text);
  site.Run(milliseconds(100));
  VersionedSite::Stream stream = site.Begin(0);
  REQUIRE(site.HasBegun(stream));
  std::size_t runs = 0;
  for (const auto& engine : site.engines) {
    runs += engine->Runs().size();
  }
  const TimePoint asked = Now();
  site.Resume(stream, 1, header);
  site.Settle();
  CHECK(stream.last->IsRefused());
  CHECK(stream.last->RetryAfter() > 0);
  CHECK(Between(asked, Now()) < milliseconds(500));
  for (const auto& engine : site.engines) {
    runs -= engine->Runs().size();
  }
  CHECK(runs == 0);
}

// Guards against refusals, and against reports, where there is one version
// only.
TEST_CASE(
  "a stream resumes without a report where all servers are of one version",
  "[versions]")
{
  VersionedSite site({ "v1", "v1", "v1" }, 3);
  // Longer than a stream of the route may last.
  site.Run(seconds(4) + milliseconds(300));
  VersionedSite::Stream stream = site.Begin(0);
  REQUIRE(site.HasBegun(stream));
  site.Run(milliseconds(100));
  site.KillGateway(0);
  const std::size_t other = GENERATE(1, 2);
  SECTION("at a gateway that has seen it")
  {
    CHECK(site.gateways[other]->Metrics().find(
            "{reason=\"stream_origins\"} 0\n") != std::string::npos);
    site.Resume(stream, other);
  }
  SECTION("at a gateway that has just started, which asks another one")
  {
    site.AddGateway("late");
    site.Until([&] { return site.gateways.back()->Ready().ok(); });
    site.Run(milliseconds(300));
    site.Resume(stream, site.gateways.size() - 1);
  }
  site.Settle();
  CHECK(stream.IsWhole());
}

// Guards against a retry that brings another version after the first event.
TEST_CASE("a stream begins at the server that brings its first event",
          "[versions]")
{
  VersionedSite site({ "v1", "v2" }, 2);
  // Answers of one server fail before their first event.
  site.engines[0]->SetFault(VersionedSite::Fault("no_proof"));
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    streams.push_back(site.Begin(0));
    site.HasBegun(streams.back());
    site.Run(milliseconds(20));
    site.Resume(streams.back(), 1);
  }
  site.Settle();
  CHECK(Judge(streams).mixed == 0);
}

// Guards against a retry at another version than other gateways were told of:
// the caller leaves after the first event, before they are told of the retry.
TEST_CASE("a retry keeps to the version that was reported", "[versions]")
{
  VersionedSite site({ "v1", "v2" }, 2);
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < 12; ++i) {
    site.engines[0]->SetFault(VersionedSite::Fault("no_proof"));
    // The first event comes after a digest, which goes out every 50 ms.
    site.engines[0]->SetFault(VersionedSite::Fault("work_ms", 120));
    streams.push_back(site.Begin(0));
    VersionedSite::Stream& stream = streams.back();
    site.Until(
      [&] { return stream.last->socket.IsClosed() || stream.LastEvent() > 0; });
    site.engines[0]->SetFault(VersionedSite::Fault("clear"));
    if (stream.LastEvent() > 0) {
      site.Resume(stream, 1);
    }
  }
  site.Settle();
  CHECK(Judge(streams).mixed == 0);
}

// Guards against guessing, after all gateways were killed at once, that the
// only version that is left has begun every stream.
TEST_CASE("no stream is joined from two versions after all gateways restart",
          "[versions]")
{
  VersionedSite site(kTwoVersions, 3);
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    streams.push_back(site.Begin(i % 3));
    REQUIRE(site.HasBegun(streams.back()));
  }
  site.gateways.clear();
  for (const VersionedSite::Stream& stream : streams) {
    site.Until([&] { return stream.last->socket.IsClosed(); });
  }
  bool leavesLater = false;
  SECTION("while both versions serve") {}
  SECTION("and the older version has left before")
  {
    site.RemoveEngines("v1");
  }
  SECTION("and the older version leaves right after")
  {
    leavesLater = true;
  }
  site.StartGateways(3);
  if (leavesLater) {
    site.RemoveEngines("v1");
  }
  // Callers come back several times, as a refusal tells them to.
  for (int attempt = 0; attempt < 4; ++attempt) {
    for (std::size_t i = 0; i < kStreams; ++i) {
      if (!streams[i].IsWhole()) {
        site.Resume(streams[i], (i + 1) % 3);
      }
    }
    site.Settle();
    site.Run(milliseconds(300));
  }
  const Verdict verdict = Judge(streams);
  CHECK(verdict.mixed == 0);
}

// Guards against refusing all take-ups after all gateways were killed, which
// takes with it what each of them knows of the streams.
TEST_CASE("streams go on after all gateways were killed beside two versions",
          "[versions]")
{
  const int gateways = GENERATE(1, 3);
  constexpr std::size_t kLongStreams = 20;
  VersionedSite site(kTwoVersions, gateways, milliseconds(80));
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kLongStreams; ++i) {
    streams.push_back(site.Begin(i % gateways));
  }
  for (const VersionedSite::Stream& stream : streams) {
    REQUIRE(site.HasBegun(stream));
  }
  // Reports and their copy in the store take less than this.
  site.Run(milliseconds(550));
  site.gateways.clear();
  for (const VersionedSite::Stream& stream : streams) {
    site.Until([&] { return stream.last->socket.IsClosed(); });
  }
  site.StartGateways(gateways);
  for (std::size_t i = 0; i < kLongStreams; ++i) {
    REQUIRE_FALSE(streams[i].IsWhole());
    site.Resume(streams[i], (i + 1) % gateways);
  }
  site.Settle();
  const Verdict verdict = Judge(streams);
  CHECK(verdict.mixed == 0);
  CHECK(verdict.whole * 10 >= kLongStreams * 9);
}

// Guards against writes to the store where every stream is of one version.
TEST_CASE("a service of one version keeps no streams in the store",
          "[versions]")
{
  VersionedSite site({ "v1", "v1" }, 2);
  for (std::size_t i = 0; i < 8; ++i) {
    const VersionedSite::Stream stream = site.Begin(i % 2);
    REQUIRE(site.HasBegun(stream));
  }
  site.Run(milliseconds(700));
  CHECK(site.store->CountKeys("dogwoodvale/origins/") == 0);
}

// Guards against taking a service for uniform that had another version when a
// stream began whose caller may wait for longer than the route's timeouts.
TEST_CASE("a stream older than its route's timeouts keeps its version",
          "[versions]")
{
  constexpr std::size_t kLongWaits = 12;
  VersionedSite site(kTwoVersions, 2);
  site.PutConfiguration(2, 1000);
  site.Run(milliseconds(300));
  site.timeLimit = seconds(9);
  // The limit is known from before the kill or from other callers after it.
  const bool isSaved = GENERATE(true, false);
  if (isSaved) {
    const VersionedSite::Stream earlier = site.Begin(0);
    REQUIRE(site.HasBegun(earlier));
    site.Run(milliseconds(2500));
  }
  std::vector<VersionedSite::Stream> streams;
  for (std::size_t i = 0; i < kLongWaits; ++i) {
    streams.push_back(site.Begin(i % 2));
  }
  for (const VersionedSite::Stream& stream : streams) {
    REQUIRE(site.HasBegun(stream));
  }
  site.gateways.clear();
  for (const VersionedSite::Stream& stream : streams) {
    site.Until([&] { return stream.last->socket.IsClosed(); });
  }
  site.RemoveEngines("v1");
  site.StartGateways(2);
  for (std::size_t gateway = 0; gateway < 2 && !isSaved; ++gateway) {
    const VersionedSite::Stream other = site.Begin(gateway);
    REQUIRE(site.HasBegun(other));
  }
  // With a saved state, servers that are not listed are kept for a while.
  site.Run(milliseconds(isSaved ? 4800 : 2300));
  // What is left of the limit tells nothing of the whole one.
  site.timeLimit = milliseconds(500);
  for (std::size_t i = 0; i < kLongWaits; ++i) {
    REQUIRE_FALSE(streams[i].IsWhole());
    site.Resume(streams[i], (i + 1) % 2);
  }
  site.Settle();
  CHECK(Judge(streams).mixed == 0);
}

// Guards against refusals after an outage of the store, which changes no list.
TEST_CASE("a stream of a uniform service resumes after an outage of the store",
          "[versions]")
{
  VersionedSite site({ "v1", "v1" }, 3);
  site.Run(seconds(4) + milliseconds(300));
  site.store->SetFault(VersionedSite::Fault("silent"));
  VersionedSite::Stream during = site.Begin(0);
  site.Run(seconds(2));
  site.store->SetFault(VersionedSite::Fault("clear"));
  site.Run(milliseconds(500));
  VersionedSite::Stream after = site.Begin(0);
  REQUIRE(site.HasBegun(after));
  site.Resume(after, 1, "");
  site.Settle();
  CHECK(during.IsWhole());
  CHECK(after.IsWhole());
}
