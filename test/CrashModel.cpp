#include <catch2/catch.hpp>

#include "support/CrashModel.h"

using namespace dogwoodvale;
using test::CrashModel;
using test::kMostBytes;
using test::ModelOptions;
using test::ModelResult;

namespace {

void
CheckFleet(ModelOptions aOptions)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    aOptions.seed = seed;
    const ModelResult result = CrashModel(aOptions).Play();
    UNSCOPED_INFO(fmt::format(
      "seed {}: {} exits, {} late, known after {} ms, {} bytes a second, {} "
      "suspects",
      seed,
      result.exits,
      result.lateAttempts,
      result.knownAfter.count() / 1000,
      result.mostBytesPerSecond,
      result.mostSuspects));
    CHECK(result.exits >= 3);
    CHECK(result.lateAttempts <= 3);
    CHECK(result.othersQuarantined == 0);
    CHECK(result.knownAfter <= CrashModel::kContact);
    CHECK(result.mostBytesPerSecond <= kMostBytes);
    CHECK(result.mostSuspects <= CrashLedger::kMaxSuspects);
  }
}

} // namespace

// One request crashes one of fifty servers every 0.7 s, sent by random
// gateways, while each server runs other requests. Each gateway sees a few
// of the exits; together they have to quarantine this request, and no other,
// within kContact, the time allowed for gateways that are connected.
TEST_CASE("thirty gateways quarantine the request that crashes servers",
          "[model]")
{
  CheckFleet({});
}

TEST_CASE("three hundred gateways in cells quarantine it as well", "[model]")
{
  ModelOptions options;
  options.gateways = 300;
  options.servers = 500;
  options.othersPerSecond = 3000;
  CheckFleet(options);
}

TEST_CASE("a crashing request is quarantined with a third of datagrams lost",
          "[model]")
{
  ModelOptions options;
  options.loss = 0.33;
  CheckFleet(options);
}

// No two of the requests are alike that crash the servers, and the other parts
// of their prompts are in flight at each exit.
TEST_CASE("fleets quarantine the part of prompts that crashes servers",
          "[model]")
{
  ModelOptions options;
  options.crashesByPart = true;
  SECTION("of thirty gateways") {}
  SECTION("of three hundred gateways in cells")
  {
    options.gateways = 300;
    options.servers = 500;
    options.othersPerSecond = 3000;
  }
  SECTION("with a third of datagrams lost")
  {
    options.loss = 0.33;
  }
  CheckFleet(options);
}

// One request crashes a few servers in succession. The many other requests in
// flight there are retried and so are present at several exits, but none of
// these may be quarantined.
TEST_CASE("requests that are retried after each exit are not quarantined",
          "[model]")
{
  ModelOptions options;
  options.gateways = 4;
  options.servers = 8;
  options.othersPerSecond = 100;
  options.crashInterval = milliseconds(400);
  options.repeats = 5;
  CheckFleet(options);
}
