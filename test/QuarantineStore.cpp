#include <catch2/catch.hpp>

#include "dogwoodvale/Gateway"
#include "support/FakeStore.h"

using namespace dogwoodvale;
using test::FakeStore;

namespace {

constexpr const char* kKey = "dogwoodvale/quarantine/00000000000000ab";

struct Setup
{
  void Pass(Duration aTime) const
  {
    this->loop->RunUntil([] { return false; }, aTime);
  }
  bool Until(const std::function<bool()>& aDone) const
  {
    return this->loop->RunUntil(aDone, seconds(5));
  }

  std::unique_ptr<EventLoop> loop = *EventLoop::Create();
  FakeStore store{ *loop };
  std::vector<QuarantineVerdict> read;
  QuarantineStore quarantines{ *loop,
                               store,
                               [this](const QuarantineVerdict& aOne) {
                                 this->read.push_back(aOne);
                               } };
};

} // namespace

TEST_CASE("a quarantine is stored under a lease and read back", "[quarantine]")
{
  Setup setup;
  setup.quarantines.Persist({ 0xab, 3, false, seconds(60) });
  REQUIRE(setup.Until([&] { return setup.store.ValueOf(kKey) == "3"; }));
  CHECK(setup.store.GrantedLeases() == 1);
  setup.quarantines.Start();
  REQUIRE(setup.Until([&] { return !setup.read.empty(); }));
  CHECK(setup.read[0].subject == 0xab);
  CHECK(setup.read[0].round == 3);
  CHECK_FALSE(setup.read[0].isLifted);
  CHECK(setup.read[0].left > seconds(3600));
}

TEST_CASE("a lifted quarantine replaces the stored one", "[quarantine]")
{
  Setup setup;
  setup.quarantines.Persist({ 0xab, 3, false, seconds(60) });
  setup.quarantines.Persist({ 0xab, 3, true, seconds(0) });
  REQUIRE(setup.Until([&] { return setup.store.ValueOf(kKey) == "3 lifted"; }));
  setup.Pass(milliseconds(50));
  setup.quarantines.Start();
  REQUIRE(setup.Until([&] { return !setup.read.empty(); }));
  CHECK(setup.read[0].isLifted);
  CHECK(setup.read[0].left == Duration::zero());
}

// The store is unavailable when a request is quarantined, and again when the
// gateways restart. Without retries they would let the request through even
// after the store has recovered.
TEST_CASE("reads and writes are retried until the store is available",
          "[quarantine]")
{
  Setup setup;
  setup.store.mode = FakeStore::Mode::Down;
  setup.quarantines.Persist({ 0xab, 1, false, seconds(60) });
  setup.quarantines.Start();
  setup.Pass(milliseconds(2200));
  CHECK(setup.read.empty());
  setup.store.mode = FakeStore::Mode::Up;
  CHECK(setup.Until([&] { return setup.store.ValueOf(kKey) == "1"; }));
  CHECK(setup.Until([&] { return !setup.read.empty(); }));
}

TEST_CASE("malformed stored quarantines are ignored", "[quarantine]")
{
  Setup setup;
  setup.store.Write("dogwoodvale/quarantine/xyz", "1");
  setup.store.Write("dogwoodvale/quarantine/00000000000000ac", "many");
  setup.store.Write(kKey, "2");
  setup.quarantines.Start();
  REQUIRE(setup.Until([&] { return !setup.read.empty(); }));
  CHECK(setup.read.size() == 1);
  CHECK(setup.read[0].subject == 0xab);
}
