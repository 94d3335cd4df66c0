#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

#include <msgpack.hpp>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;

namespace {

constexpr std::string_view kSecret = "a secret of the test's own";

WarmState
SomeState()
{
  WarmState state;
  DirectInstance instance;
  instance.server = InstanceName("e1");
  instance.started = 17;
  instance.name = IncarnationName("e1", 17);
  instance.service = ServiceName("s");
  instance.address = { "127.0.0.1", 80 };
  instance.dataCentre = DataCentreName("z");
  instance.slots = 4;
  state.instances = { instance };
  state.gateways = { { InstanceName("g1"), { "127.0.0.1", 81 } } };
  state.services = { { ServiceName("s"), { 100.0, 0.04, 2e6 }, 12.0, {} } };
  state.caches = { { instance.name, { { 5, 100 }, { 6, 200 } } } };
  return state;
}

/// Sums of streams whose time is 30 ms per interval.
DecodeUpdate
SomeSums()
{
  DecodeModel model;
  TimePoint now = Now();
  StreamSample sample;
  sample.intervals = 10;
  sample.span = milliseconds(300);
  sample.longestPause = milliseconds(60);
  sample.meanRequests = 20;
  sample.isInteractive = true;
  sample.ownPrefillTokens = 500;
  for (int i = 0; i < 100; ++i) {
    model.OnStream(IncarnationName("e1", 17), sample, now += milliseconds(10));
  }
  DecodeUpdate sums = model.Sums(now);
  sums.service = ServiceName("s");
  return sums;
}

/// The fields of a state that builds before the decode model write and read.
struct OldState
{
  std::uint32_t format = 0;
  std::vector<msgpack::object> instances;
  std::vector<msgpack::object> gateways;
  std::vector<msgpack::object> services;
  std::vector<msgpack::object> caches;

  MSGPACK_DEFINE_ARRAY(format, instances, gateways, services, caches);
};

/// The fields of a service in an OldState.
struct OldService
{
  std::string service;
  double meanTokens = 0;
  double tokensPerMicro = 0;
  double meanStayMicros = 0;
  double interactivePeak = 0;

  MSGPACK_DEFINE_ARRAY(service,
                       meanTokens,
                       tokensPerMicro,
                       meanStayMicros,
                       interactivePeak);
};

} // namespace

TEST_CASE("a warm state is read back as it was written", "[warm]")
{
  WarmState state = SomeState();
  state.streamLifetimes[ServiceName("s")] = seconds(45);
  const auto read = ReadWarmState(WriteWarmState(state, kSecret), kSecret);
  REQUIRE(read.ok());
  CHECK(read->instances == state.instances);
  CHECK(read->gateways == state.gateways);
  CHECK(read->caches == state.caches);
  CHECK(read->streamLifetimes == state.streamLifetimes);
  REQUIRE(read->services.size() == 1);
  CHECK(read->services[0].reading.tokensPerMicro == 0.04);
  CHECK(read->services[0].interactivePeak == 12.0);
}

TEST_CASE("the sums of the decode model are in the warm state", "[warm]")
{
  WarmState state = SomeState();
  state.services[0].decode = SomeSums();
  const auto read = ReadWarmState(WriteWarmState(state, kSecret), kSecret);
  REQUIRE(read.ok());
  REQUIRE(read->services.size() == 1);
  CHECK(read->services[0].decode == state.services[0].decode);
  DecodeModel model;
  model.Seed(read->services[0].decode, Now());
  REQUIRE(model.IsLearned());
  CHECK(model.MeanPause({ 1.0, 20, 0, 0 }) > milliseconds(28));
  CHECK(model.MeanPause({ 1.0, 20, 0, 0 }) < milliseconds(32));
}

// During an upgrade, gateways of both versions write and read the state.
TEST_CASE("warm states are read across versions", "[warm]")
{
  WarmState state = SomeState();
  state.services[0].decode = SomeSums();
  const std::string bytes = WriteWarmState(state, kSecret);
  const std::string packed = bytes.substr(kKeyedDigestBytes);
  const msgpack::object_handle handle =
    msgpack::unpack(packed.data(), packed.size());

  // An older build reads the leading fields, at each level as they were.
  OldState old;
  handle.get().convert(old);
  CHECK(old.instances.size() == 1);
  CHECK(old.caches.size() == 1);
  REQUIRE(old.services.size() == 1);
  OldService service;
  old.services[0].convert(service);
  CHECK(service.service == "s");
  CHECK(service.interactivePeak == 12.0);

  // What it writes has no sums.
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, old);
  const std::string_view written(buffer.data(), buffer.size());
  std::string oldBytes = KeyedDigest(written, kSecret);
  oldBytes += written;
  const auto read = ReadWarmState(oldBytes, kSecret);
  REQUIRE(read.ok());
  CHECK(read->instances == state.instances);
  CHECK(read->caches == state.caches);
  REQUIRE(read->services.size() == 1);
  CHECK(read->services[0].reading.meanTokens == 100.0);
  CHECK(read->services[0].interactivePeak == 12.0);
  CHECK(read->services[0].decode.weight == 0);
}

// The sums are of gateways that may have had a fault.
TEST_CASE("invalid sums in the warm state teach nothing", "[warm]")
{
  WarmState state = SomeState();
  for (const double garbage : { std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity(),
                                -1.0 }) {
    state.services[0].decode = SomeSums();
    state.services[0].decode.matrix[0] = garbage;
    const auto read = ReadWarmState(WriteWarmState(state, kSecret), kSecret);
    REQUIRE(read.ok());
    REQUIRE(read->services.size() == 1);
    DecodeModel model;
    model.Seed(read->services[0].decode, Now());
    CHECK_FALSE(model.IsLearned());
  }
}

// The stored state was overwritten by something else, or only partly written.
TEST_CASE("a corrupted or forged warm state is rejected", "[warm]")
{
  const std::string bytes = WriteWarmState(SomeState(), kSecret);
  CHECK_FALSE(ReadWarmState(bytes, "another secret, also long").ok());
  CHECK(rc::check([&] {
    std::string broken = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, broken.size());
    if (*rc::gen::arbitrary<bool>()) {
      broken.resize(at);
    } else {
      broken[at] = static_cast<char>(broken[at] ^ 0x10);
    }
    RC_ASSERT(!ReadWarmState(broken, kSecret).ok());
  }));
}

TEST_CASE("own observations take precedence over the warm state", "[warm]")
{
  PrefillStatistics flow;
  flow.Seed({ 9000, 0.04, 2e6 });
  CHECK(flow.ExpectedPrefillTime(4000) == Duration(100'000));
  CHECK(flow.IsLong(9001));
  for (int i = 0; i < 200; ++i) {
    flow.OnRequest(1000);
    flow.OnFirstToken(InstanceName("e"), 10'000, milliseconds(100));
  }
  flow.Seed({ 9000, 0.04, 2e6 });
  CHECK(flow.ExpectedPrefillTime(10'000) < milliseconds(110));

  CacheTracker caches;
  const InstanceName server("e");
  caches.OnUsed(server, std::vector<PromptStep>{ { 1, 100 } }, 250);
  caches.Seed(
    server, std::vector<PromptStep>{ { 1, 100 }, { 2, 100 }, { 3, 100 } }, 250);
  CHECK(caches.CachedPrefixTokens(
          server, std::vector<PromptStep>{ { 2, 100 } }) == 100);
  CHECK(caches.CachedPrefixTokens(server,
                                  std::vector<PromptStep>{ { 3, 100 } }) == 0);
  CHECK(caches.MostRecentlyUsed(1)[0].second ==
        std::vector<PromptStep>{ PromptStep{ 1, 100 } });

  ReservedServers servers;
  servers.Seed(100, Now());
  servers.Update(1, 32, 55, Now());
  CHECK(servers.Count() == 7);
}

// All gateways are killed at once, and the entries of live servers have expired
// in an outage of the store. Of 20 requests in the first seconds, 0 are served
// without the warm state and 20 with it.
TEST_CASE("restarted gateways find live servers whose entries have expired",
          "[warm]")
{
  const auto servedAfterLoss = [](bool aWarm) {
    PlatformSite site(4);
    site.decisions.warmStart = aWarm;
    site.ReadyGateway("g1");
    site.ReadyGateway("g2");
    site.Until([&] { return site.store->CountKeys("dogwoodvale/warm") > 0; },
               seconds(4));
    site.gateways.clear();
    for (int i = 2; i <= 4; ++i) {
      site.store->Remove(fmt::format("servers/e{}", i));
    }
    // The one remaining entry is of a server that has exited.
    site.engines[0].reset();
    Gateway& gateway = site.ReadyGateway("g3");
    site.Until([] { return false; }, milliseconds(50));
    int served = 0;
    for (int i = 0; i < 20; ++i) {
      const std::string answer =
        site.Ask(gateway, "/again/x", fmt::format("id{}", i));
      served += answer.find(" 200 ") != std::string::npos ? 1 : 0;
    }
    return served;
  };
  CHECK(servedAfterLoss(false) == 0);
  CHECK(servedAfterLoss(true) == 20);
}

// A server of the warm state whose entry is not written again within the grace
// period has left.
TEST_CASE("a server whose entry stays missing is dropped", "[warm]")
{
  PlatformSite site(2);
  site.ReadyGateway("g1");
  REQUIRE(site.Until(
    [&] { return site.store->CountKeys("dogwoodvale/warm") > 0; }, seconds(4)));
  site.gateways.clear();
  site.store->Remove("servers/e2");
  Gateway& gateway = site.ReadyGateway("g2");
  const auto knows = [&](int aCount) {
    return gateway.Statusz().find(fmt::format("\"instances\" : {}", aCount)) !=
           std::string::npos;
  };
  CHECK(site.Until([&] { return knows(2); }, seconds(1)));
  CHECK(site.Until([&] { return knows(1); }, seconds(5)));
}
