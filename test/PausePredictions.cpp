#include <catch2/catch.hpp>

#include <vector>

#include "support/PlatformSite.h"

using namespace dogwoodvale;
using test::PlatformSite;

namespace {

constexpr std::string_view kSecret = "a secret of the test's own";
const ServiceName kService("model");
constexpr TimePoint kStart = TimePoint() + seconds(1000);

std::unique_ptr<BackendPool>
MakePool(EventLoop& aLoop, bool aPredicts = true)
{
  BackendPool::Options options;
  options.decisions.predictedTimes = aPredicts;
  auto pool = std::make_unique<BackendPool>(aLoop, options);
  std::vector<DirectInstance> instances;
  for (int i = 0; i < 4; ++i) {
    DirectInstance instance;
    instance.name = InstanceName(fmt::format("e{}", i));
    instance.service = kService;
    instance.address = { "127.0.0.1", 80 };
    instance.slots = 40;
    instances.push_back(instance);
  }
  pool->SetInstances(instances);
  return pool;
}

/// Of 30 ms per interval at 20 requests.
StreamSample
SomeSample()
{
  StreamSample sample;
  sample.intervals = 10;
  sample.span = milliseconds(300);
  sample.longestPause = milliseconds(60);
  sample.meanRequests = 20;
  return sample;
}

/// \param aCount streams, one every 10 ms.
void
Teach(BackendPool& aPool, int aCount, TimePoint aNow)
{
  for (int i = 0; i < aCount; ++i) {
    aPool.OnStream(InstanceName(fmt::format("e{}", i % 4)),
                   SomeSample(),
                   aNow + i * milliseconds(10));
  }
}

PeerDigest
DigestOf(BackendPool& aPool, TimePoint aNow, std::uint64_t aSequence = 1)
{
  PeerDigest digest;
  digest.gateway = InstanceName("g1");
  digest.incarnation = 7;
  digest.sequence = aSequence;
  aPool.AddDecodeUpdates(digest, aNow);
  return digest;
}

ServerActivity::Snapshot
ActivityAt(Duration aTime, double aRequestSeconds = 0, double aTokens = 0)
{
  return { .prefilledTokens = aTokens,
           .prompts = aTokens > 0 ? 1.0 : 0.0,
           .requestSeconds = aRequestSeconds,
           .at = kStart + aTime };
}

} // namespace

TEST_CASE("a stream is measured from its first to its last event", "[pauses]")
{
  StreamObserver observer;
  CHECK(observer.MeanPause(5, kStart) == Duration::zero());
  // Two events arrived at once.
  observer.OnFirstEvents(2, ActivityAt(Duration(0), 50, 1000));
  CHECK(observer.MeanPause(12, kStart + milliseconds(500)) == milliseconds(50));
  // The request ends 100 ms after its last event.
  const auto sample = observer.Sample(12,
                                      kStart + milliseconds(500),
                                      milliseconds(90),
                                      ActivityAt(milliseconds(600), 62, 4000));
  REQUIRE(sample.has_value());
  CHECK(sample->intervals == 10);
  CHECK(sample->span == milliseconds(500));
  CHECK(sample->longestPause == milliseconds(90));
  CHECK(sample->meanRequests == Approx(20));
  CHECK(sample->prefilledTokens == 3000);
}

TEST_CASE("a short stream or one of a slow caller gives no sample", "[pauses]")
{
  StreamObserver observer;
  CHECK_FALSE(
    observer.Sample(20, kStart, milliseconds(1), ActivityAt(Duration(0)))
      .has_value());
  observer.OnFirstEvents(1, ActivityAt(Duration(0)));
  const auto sampleOf = [&](std::uint64_t aEvents) {
    return observer.Sample(aEvents,
                           kStart + milliseconds(500),
                           milliseconds(90),
                           ActivityAt(milliseconds(500)));
  };
  CHECK_FALSE(sampleOf(8).has_value());
  CHECK(sampleOf(9).has_value());
  observer.OnReadingPaused();
  CHECK_FALSE(sampleOf(9).has_value());
}

TEST_CASE("digests carry what one gateway has learned to another", "[pauses]")
{
  auto loop = *EventLoop::Create();
  const auto sender = MakePool(*loop);
  const auto receiver = MakePool(*loop);
  Teach(*sender, 100, kStart);
  const TimePoint now = kStart + seconds(1);
  const PeerDigest digest = DigestOf(*sender, now);
  REQUIRE(digest.decode.size() == 1);
  CHECK(digest.decode[0].service == kService);
  CHECK(digest.decode[0].residuals.size() == 4);
  const auto read = ReadDigest(WriteDigest(digest, kSecret), kSecret);
  REQUIRE(read.ok());
  CHECK(read->decode == digest.decode);
  CHECK(receiver->DecodeOf(kService) == nullptr);
  receiver->ApplyDigest(*read, now);
  const DecodeModel* model = receiver->DecodeOf(kService);
  REQUIRE(model != nullptr);
  REQUIRE(model->IsLearned());
  CHECK(model->MeanPause({ 1.0, 20, 0, 0 }) > milliseconds(28));
  CHECK(receiver->ExpectedPause(InstanceName("e0"), now).has_value());
  CHECK_FALSE(receiver->ExpectedPause(InstanceName("e9"), now).has_value());
  // The next one is due after a second.
  CHECK(DigestOf(*sender, now + milliseconds(500), 2).decode.empty());
  CHECK(DigestOf(*sender, now + seconds(1), 3).decode.size() == 1);
}

TEST_CASE("without the switch nothing is measured, sent or taken in",
          "[pauses]")
{
  auto loop = *EventLoop::Create();
  const auto on = MakePool(*loop);
  const auto off = MakePool(*loop, false);
  Teach(*on, 100, kStart);
  Teach(*off, 100, kStart);
  const TimePoint now = kStart + seconds(1);
  CHECK(DigestOf(*off, now).decode.empty());
  off->ApplyDigest(DigestOf(*on, now), now);
  off->PrefillOf(kService);
  on->PrefillOf(kService);
  off->Seed(on->Estimates(now), now);
  CHECK(off->DecodeOf(kService) == nullptr);
  CHECK_FALSE(off->PauseError().has_value());
  CHECK(off->Estimates(now)[0].decode.weight == 0);
  const InstanceName server("e0");
  BackendWork work;
  work.requests = 5;
  const std::vector<PromptStep> steps{ { 1, 100 } };
  off->OnSent(server, work, steps, now);
  const auto activity = off->ActivityOf(server, now + seconds(1));
  CHECK(activity.requestSeconds == 0);
  CHECK(activity.prompts == 0);
}

// A digest may name any service; models of services that this gateway doesn't
// have would never be removed.
TEST_CASE("sums of unknown services are not kept", "[pauses]")
{
  auto loop = *EventLoop::Create();
  const auto sender = MakePool(*loop);
  const auto receiver = MakePool(*loop);
  Teach(*sender, 100, kStart);
  PeerDigest digest = DigestOf(*sender, kStart + seconds(1));
  digest.decode[0].service = ServiceName("other");
  receiver->ApplyDigest(digest, kStart + seconds(1));
  CHECK(receiver->DecodeOf(ServiceName("other")) == nullptr);
}

TEST_CASE("estimates of a service carry its sums to a new gateway", "[pauses]")
{
  auto loop = *EventLoop::Create();
  const auto before = MakePool(*loop);
  const auto after = MakePool(*loop);
  before->PrefillOf(kService);
  Teach(*before, 100, kStart);
  after->Seed(before->Estimates(kStart + seconds(1)), kStart + seconds(9));
  REQUIRE(after->DecodeOf(kService) != nullptr);
  CHECK(after->DecodeOf(kService)->IsLearned());
}

// Prompts of all gateways count with the tokens that the server's cache lacks,
// and the requests of all gateways count.
TEST_CASE("the activity counts prompts and requests of all gateways",
          "[pauses]")
{
  auto loop = *EventLoop::Create();
  const auto pool = MakePool(*loop);
  const InstanceName server("e0");
  const std::vector<PromptStep> first{ { 1, 1000 }, { 2, 300 } };
  const std::vector<PromptStep> second{ { 1, 1000 }, { 3, 200 } };
  DirectService service;
  service.name = kService;
  service.cacheTokens = 100'000;
  pool->SetServices(std::vector<DirectService>{ service });
  const auto from = pool->ActivityOf(server, kStart);
  BackendWork work;
  work.requests = 2;
  pool->OnSent(server, work, first, kStart);
  const std::vector<WorkLine> others{ { server, work } };
  pool->Work().SetPeer(InstanceName("g2"), others, kStart + seconds(1));
  pool->OnPrefill(server, second, kStart + seconds(1));
  pool->OnPrefill(InstanceName("e9"), second, kStart + seconds(1));
  const auto between = ServerActivity::Subtract(
    from, pool->ActivityOf(server, kStart + seconds(2)));
  CHECK(between.prefilledTokens == 1500);
  CHECK(between.prompts == 2);
  CHECK(between.meanRequests == Approx(3));
}

// The whole way: streams of a gateway teach its model, and pages show how well
// the pauses are predicted.
TEST_CASE("streams of callers teach the model of their service", "[pauses]")
{
  constexpr std::string_view kGauge = "pause_error_median_pct";
  for (const bool predicts : { true, false }) {
    CAPTURE(predicts);
    PlatformSite site(0);
    site.decisions.predictedTimes = predicts;
    standins::SealedEngineSettings settings;
    settings.events = 12;
    site.AddEngine("e1", settings);
    Gateway& gateway = site.ReadyGateway();
    CHECK(gateway.Metrics().find(kGauge) == std::string::npos);
    for (int i = 0; i < 40; ++i) {
      const std::string answer =
        site.Ask(gateway, "/stream/x", fmt::format("id-{}", i));
      REQUIRE(answer.find("HTTP/1.1 200") != std::string::npos);
    }
    CHECK((gateway.Metrics().find(kGauge) != std::string::npos) == predicts);
  }
}
