#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "dogwoodvale/Placement"
#include "support/Choosing.h"

using namespace dogwoodvale;
using test::Chosen;

namespace {

constexpr double kFast = 0.67;
constexpr double kSlow = 1.47;
constexpr Duration kUpdatePeriod = milliseconds(200);

TimePoint
At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1)) + aTime;
}

InstanceName
ServerName(std::size_t aIndex)
{
  return InstanceName(fmt::format("s{:02}", aIndex));
}

/// Servers that hold 96 requests if fast and 42 if slow; every fourth is fast.
std::vector<PlannedServer>
UnevenServers(std::size_t aCount)
{
  std::vector<PlannedServer> servers;
  for (std::size_t i = 0; i < aCount; ++i) {
    const bool isFast = i % 4 == 0;
    servers.push_back(
      { ServerName(i), isFast ? kFast : kSlow, isFast ? 96.0 : 42.0 });
  }
  return servers;
}

std::vector<InstanceName>
ReservedOf(const InteractivePlan& aPlan,
           std::span<const PlannedServer> aServers)
{
  std::vector<InstanceName> names;
  for (const PlannedServer& server : aServers) {
    if (aPlan.IsReserved(server.name)) {
      names.push_back(server.name);
    }
  }
  return names;
}

/// Time-weighted mean of a time factor, as ReportedLoads computes it.
class FactorAverage
{
public:
  explicit FactorAverage(double aFactor)
    : mean(aFactor)
  {
  }
  double Add(double aFactor)
  {
    constexpr double kSeconds = 0.2;
    constexpr double kTimeConstant = 3.0;
    this->mean +=
      (1 - std::exp(-kSeconds / kTimeConstant)) * (aFactor - this->mean);
    return this->mean;
  }

private:
  double mean;
};

/// A model in which a pause is 17 ms + 0.56 ms for each request, times the time
/// factor; 1,000 prefilled tokens take 7.6 ms and a prompt 2.9 ms.
DecodeModel
LearnedModel()
{
  DecodeModel model;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> requests(5, 90);
  std::uniform_real_distribution<double> prompts(0, 20);
  for (int i = 0; i < 600; ++i) {
    StreamSample sample;
    sample.intervals = 48;
    sample.meanRequests = requests(random);
    sample.prompts = prompts(random);
    sample.prefilledTokens = 600 * prompts(random);
    const double millis = 48 * (17.0 + 0.56 * sample.meanRequests) +
                          7.6 * sample.prefilledTokens / 1000 +
                          2.9 * sample.prompts;
    sample.span = Duration(static_cast<Duration::rep>(1000 * millis));
    sample.longestPause = sample.span / 48 * 3;
    sample.isInteractive = true;
    sample.ownPrefillTokens = 600;
    model.OnStream(ServerName(0), sample, At(milliseconds(10 * i)));
  }
  model.RunMaintenance(At(seconds(10)));
  return model;
}

PredictionInput
InputOf(double aTimeFactor, double aRequests)
{
  PredictionInput input;
  input.load = { aTimeFactor, aRequests, 0, 0 };
  input.presentTimeFactor = aTimeFactor;
  input.prefillTokens = 800;
  input.tokensPerMicro = 0.1;
  return input;
}

DirectCandidate
Candidate(const std::string& aName, bool aIsReserved, Duration aLongPause)
{
  DirectCandidate candidate;
  candidate.name = InstanceName(aName);
  candidate.slots = 96;
  candidate.isReserved = aIsReserved;
  candidate.predicted = PredictedTimes{};
  candidate.predicted->longPause = aLongPause;
  candidate.predicted->longPauseBefore = aLongPause - milliseconds(2);
  return candidate;
}

DirectDemand
InteractiveDemand()
{
  DirectDemand demand;
  demand.promptTokens = 800;
  demand.isInteractive = true;
  demand.bounds = { milliseconds(200), milliseconds(300) };
  return demand;
}

} // namespace

// Guards against a reservation of slow servers while fast ones have capacity.
TEST_CASE("fast servers are reserved first, as many as the peak needs",
          "[placement]")
{
  const std::vector<PlannedServer> servers = UnevenServers(42);
  InteractivePlan plan;
  plan.Update(servers, { 300, 100 }, std::nullopt, At({}));
  // 300 requests at half of 96 per server.
  CHECK(plan.Count() == 7);
  CHECK(plan.Capacity() == Approx(7 * 96));
  for (const PlannedServer& server : servers) {
    if (plan.IsReserved(server.name)) {
      CHECK(server.timeFactor == kFast);
    }
  }
  plan.Update(servers, { 570, 100 }, std::nullopt, At(kUpdatePeriod));
  // All 11 fast ones, and slow ones for the other 42 requests.
  CHECK(plan.Count() == 11 + 2);
}

// Guards against an interactive peak that leaves other requests no servers.
TEST_CASE("half of the speed stays for other requests while there are any",
          "[placement]")
{
  const std::vector<PlannedServer> servers = UnevenServers(42);
  double total = 0;
  for (const PlannedServer& server : servers) {
    total += 1 / server.timeFactor;
  }
  const auto reservedSpeed = [&](const InteractivePlan& aPlan) {
    double sum = 0;
    for (const PlannedServer& server : servers) {
      sum += aPlan.IsReserved(server.name) ? 1 / server.timeFactor : 0;
    }
    return sum;
  };
  InteractivePlan plan;
  plan.Update(servers, { 5000, 1 }, std::nullopt, At({}));
  CHECK(reservedSpeed(plan) <= 0.5 * total);
  CHECK(reservedSpeed(plan) > 0.4 * total);
  // A lull in which no other request runs gives nothing away.
  plan.Update(servers, { 5000, 0 }, std::nullopt, At(seconds(5)));
  CHECK(reservedSpeed(plan) <= 0.5 * total);
  plan.Update(servers, { 5000, 0 }, std::nullopt, At(seconds(16)));
  CHECK(plan.Count() == servers.size());
}

TEST_CASE("the reserved speed never exceeds its share", "[placement]")
{
  REQUIRE(rc::check([] {
    std::vector<PlannedServer> servers;
    const auto count = *rc::gen::inRange<std::size_t>(0, 60);
    for (std::size_t i = 0; i < count; ++i) {
      servers.push_back({ ServerName(i),
                          *rc::gen::inRange(1, 500) / 100.0,
                          *rc::gen::inRange(0, 200) / 1.0 });
    }
    InteractivePlan plan;
    for (int step = 0; step < 5; ++step) {
      double total = 0;
      for (PlannedServer& server : servers) {
        server.timeFactor = *rc::gen::inRange(1, 500) / 100.0;
        total += 1 / server.timeFactor;
      }
      const double peak = *rc::gen::inRange(0, 5000);
      plan.Update(servers, { peak, 1 }, std::nullopt, At(seconds(step)));
      double reserved = 0;
      for (const PlannedServer& server : servers) {
        reserved += plan.IsReserved(server.name) ? 1 / server.timeFactor : 0;
      }
      RC_ASSERT(reserved <= 0.5 * total + 1e-6);
      RC_ASSERT(plan.Count() == ReservedOf(plan, servers).size());
    }
  }));
}

// Before the decode model is learned, the number of servers is limited.
TEST_CASE("a limit of servers holds", "[placement]")
{
  const std::vector<PlannedServer> servers = UnevenServers(42);
  InteractivePlan plan;
  plan.Update(servers, { 600, 100 }, 5, At({}));
  CHECK(plan.Count() == 5);
}

// Gateways average different reports: their time factors differ by some
// percent, and their counts of requests by some.
TEST_CASE("gateways reserve the same servers without a message", "[placement]")
{
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> error(0.95, 1.05);
  std::vector<InteractivePlan> gateways(30);
  const std::vector<PlannedServer> servers = UnevenServers(42);
  std::size_t fewest = servers.size();
  std::size_t most = 0;
  std::vector<std::vector<InstanceName>> reserved(gateways.size());
  for (int step = 0; step < 50; ++step) {
    for (std::size_t i = 0; i < gateways.size(); ++i) {
      std::vector<PlannedServer> seen = servers;
      for (PlannedServer& server : seen) {
        server.timeFactor *= error(random);
      }
      gateways[i].Update(
        seen, { 290, 100 }, std::nullopt, At(step * kUpdatePeriod));
      reserved[i] = ReservedOf(gateways[i], servers);
      fewest = std::min(fewest, reserved[i].size());
      most = std::max(most, reserved[i].size());
    }
    CHECK(std::ranges::all_of(
      reserved, [&](const auto& aOne) { return aOne == reserved.front(); }));
  }
  INFO("seed " << seed << ", reserved " << fewest << " to " << most);
  CHECK(fewest == 7);
  CHECK(most == 7);
}

// A slow period of 600 ms, which every server has every few seconds, must not
// move servers in and out of the reserved set: others would fill their caches
// and empty them again.
TEST_CASE("a short slow period changes no reserved server", "[placement]")
{
  // Between slow periods; with them the means are 0.61 to 0.76.
  const double usual = GENERATE(0.50, 0.55, 0.62);
  // The mean after a long time without slow periods, and with the usual ones.
  const double before = usual * GENERATE(1.0, 1.225);
  std::vector<PlannedServer> servers = UnevenServers(42);
  for (PlannedServer& server : servers) {
    server.timeFactor = server.timeFactor == kFast ? before : kSlow;
  }
  InteractivePlan plan;
  plan.Update(servers, { 300, 100 }, std::nullopt, At({}));
  const std::vector<InstanceName> reserved = ReservedOf(plan, servers);
  PlannedServer& slowed =
    *std::ranges::find(servers, reserved.front(), &PlannedServer::name);
  FactorAverage average(before);
  for (int step = 1; step <= 60; ++step) {
    slowed.timeFactor = average.Add(step <= 3 ? 2.5 * usual : usual);
    plan.Update(servers, { 300, 100 }, std::nullopt, At(step * kUpdatePeriod));
    INFO("time factor " << slowed.timeFactor);
    CHECK(ReservedOf(plan, servers) == reserved);
  }
}

// A server that turns five times slower for 6 s leaves the reserved set within
// some 2 s, and returns once it has recovered.
TEST_CASE("a server that slows down leaves the reserved set and returns",
          "[placement]")
{
  std::vector<PlannedServer> servers = UnevenServers(42);
  InteractivePlan plan;
  plan.Update(servers, { 300, 100 }, std::nullopt, At({}));
  const std::vector<InstanceName> before = ReservedOf(plan, servers);
  PlannedServer& slowed =
    *std::ranges::find(servers, before.front(), &PlannedServer::name);
  FactorAverage average(kFast);
  std::optional<Duration> left;
  std::optional<Duration> returned;
  int changes = 0;
  bool wasReserved = true;
  for (int step = 1; step <= 200; ++step) {
    const Duration time = step * kUpdatePeriod;
    slowed.timeFactor = average.Add(time <= seconds(6) ? 5 * kFast : kFast);
    slowed.capacity = 96 * kFast / slowed.timeFactor;
    plan.Update(servers, { 300, 100 }, std::nullopt, At(time));
    const bool isReserved = plan.IsReserved(slowed.name);
    changes += isReserved != wasReserved ? 1 : 0;
    if (wasReserved && !isReserved) {
      left = time;
    }
    if (!wasReserved && isReserved) {
      returned = time;
    }
    wasReserved = isReserved;
  }
  REQUIRE(left);
  REQUIRE(returned);
  INFO("left after " << left->count() << " us, returned after "
                     << returned->count() << " us");
  CHECK(*left <= milliseconds(3000));
  // The average over 3 s must first fall from five times the usual; after five
  // time constants it is within 1 % of that.
  CHECK(*returned <= seconds(6 + 5 * 3));
  CHECK(changes == 2);
}

TEST_CASE("a server that is gone is not reserved and returns to its place",
          "[placement]")
{
  const std::vector<PlannedServer> servers = UnevenServers(42);
  InteractivePlan plan;
  plan.Update(servers, { 300, 100 }, std::nullopt, At({}));
  const std::vector<InstanceName> before = ReservedOf(plan, servers);
  std::vector<PlannedServer> fewer = servers;
  std::erase_if(fewer, [&](const PlannedServer& aServer) {
    return aServer.name == before.front();
  });
  plan.Update(fewer, { 300, 100 }, std::nullopt, At(seconds(1)));
  CHECK_FALSE(plan.IsReserved(before.front()));
  CHECK(plan.Count() == before.size());
  plan.Update(servers, { 300, 100 }, std::nullopt, At(seconds(2)));
  CHECK(plan.IsReserved(before.front()));
  // The replacement is released after 2 s.
  plan.Update(servers, { 300, 100 }, std::nullopt, At(milliseconds(3100)));
  CHECK(ReservedOf(plan, servers) == before);
}

TEST_CASE("no interactive requests reserve nothing", "[placement]")
{
  InteractivePlan plan;
  plan.Update({}, { 300, 100 }, std::nullopt, At({}));
  CHECK(plan.Count() == 0);
  plan.Update(UnevenServers(42), { 0, 100 }, std::nullopt, At({}));
  CHECK(plan.Count() == 0);
}

TEST_CASE("nothing is predicted before the model is learned", "[placement]")
{
  CHECK_FALSE(PredictTimes(DecodeModel(), InputOf(1.0, 10)));
}

TEST_CASE("predicted times follow speed, load and queue", "[placement]")
{
  const DecodeModel model = LearnedModel();
  const auto usual = PredictTimes(model, InputOf(1.0, 20));
  REQUIRE(usual);
  CHECK(usual->longPause > usual->longPauseBefore);
  CHECK(usual->firstToken == milliseconds(8));
  const auto slow = PredictTimes(model, InputOf(2.0, 20));
  REQUIRE(slow);
  CHECK(slow->longPause >= 2 * usual->longPause);
  CHECK(slow->firstToken == milliseconds(16));
  CHECK(slow->presentSlowness == 2.0);
  const auto full = PredictTimes(model, InputOf(1.0, 80));
  REQUIRE(full);
  CHECK(full->longPause > usual->longPause);
  // The present factor applies to the prefill, the mean one to the rest.
  PredictionInput input = InputOf(1.0, 20);
  input.presentTimeFactor = 3.0;
  input.prefillAhead = 1200;
  input.queueTokens = 1000;
  const auto queued = PredictTimes(model, input);
  REQUIRE(queued);
  CHECK(queued->longPause == usual->longPause);
  CHECK(queued->firstToken == milliseconds(3 * 20 + 10));
  // Not measured yet.
  input.tokensPerMicro = 0;
  CHECK(PredictTimes(model, input)->firstToken == Duration::zero());
}

TEST_CASE("the larger ratio decides and running streams count", "[placement]")
{
  const PauseBounds bounds{ milliseconds(200), milliseconds(300) };
  PredictedTimes times;
  times.longPause = times.longPauseBefore = milliseconds(100);
  times.firstToken = milliseconds(150);
  CHECK(PredictedCost(times, bounds, 0) == Approx(2.0 / 16));
  CHECK(PredictedCost(times, bounds, 50) == Approx(2.0 / 16));
  times.firstToken = milliseconds(300);
  CHECK(PredictedCost(times, bounds, 0) == Approx(1.0 + 1.0 / 16));
  // No target for the first token.
  CHECK(PredictedCost(times, { milliseconds(200), {} }, 0) == Approx(1.0 / 16));
  times.longPauseBefore = milliseconds(90);
  CHECK(PredictedCost(times, bounds, 50) > PredictedCost(times, bounds, 10));
}

TEST_CASE("a server that exceeds the bound is used only if all do",
          "[placement]")
{
  std::vector<DirectCandidate> servers = {
    Candidate("late", true, milliseconds(210)),
    Candidate("good", true, milliseconds(190)),
    Candidate("other", false, milliseconds(50)),
  };
  // First tokens don't outweigh the bound.
  servers[1].predicted->firstToken = milliseconds(900);
  CHECK(Chosen(servers, InteractiveDemand()) == "good");
  // Reserved servers are preferred while one keeps the bound.
  servers[1].predicted->longPause = milliseconds(220);
  CHECK(Chosen(servers, InteractiveDemand()) == "other");
  // If no server keeps it, the lowest pause counts.
  servers[2].predicted->longPause = milliseconds(230);
  CHECK(Chosen(servers, InteractiveDemand()) == "late");
  // An ejected server is no better.
  servers[0].healthState = HealthState::Ejected;
  CHECK(Chosen(servers, InteractiveDemand()) == "good");
}

TEST_CASE("prefill of other requests counts by the speed of the server",
          "[placement]")
{
  std::vector<DirectCandidate> servers = {
    Candidate("slow", false, milliseconds(100)),
    Candidate("fast", false, milliseconds(100)),
    Candidate("reserved", true, milliseconds(10)),
  };
  DirectDemand demand;
  demand.promptTokens = 9000;
  demand.isLong = true;
  servers[0].predicted->presentSlowness = 2.0;
  servers[0].predicted->meanSlowness = 2.0;
  servers[1].work.PrefillAt(0) = 8000;
  CHECK(Chosen(servers, demand) == "fast");
  servers[1].work.PrefillAt(0) = 10'000;
  CHECK(Chosen(servers, demand) == "slow");
}

// A candidate without a prediction costs exactly what it did, and so does one
// of average speed that is not compared by pauses.
TEST_CASE("without predicted times costs are as before", "[placement]")
{
  REQUIRE(rc::check([] {
    DirectCandidate candidate;
    candidate.slots = *rc::gen::inRange(0U, 100U);
    candidate.work.requests = *rc::gen::inRange(0U, 200U);
    candidate.work.PrefillAt(0) = *rc::gen::inRange(0U, 100'000U);
    candidate.cachedTokens = *rc::gen::inRange(0U, 9000U);
    candidate.recentLongTokens = *rc::gen::inRange(0, 50'000);
    candidate.timeFactor = *rc::gen::inRange(1, 500) / 100.0;
    candidate.presentTimeFactor = *rc::gen::inRange(1, 500) / 100.0;
    DirectDemand demand;
    demand.promptTokens = *rc::gen::inRange(1U, 9000U);
    demand.sharedTokens = *rc::gen::inRange(0U, demand.promptTokens);
    demand.isLong = *rc::gen::arbitrary<bool>();
    demand.tokensPerTarget = *rc::gen::inRange(0, 50'000);
    demand.bounds = { milliseconds(*rc::gen::inRange(0, 500)),
                      milliseconds(*rc::gen::inRange(0, 500)) };
    DirectCandidate plain = candidate;
    plain.timeFactor = 1.0;
    plain.presentTimeFactor.reset();
    RC_ASSERT(DirectCost(candidate, demand, 9000) ==
              DirectCost(plain, demand, 9000));
    plain.predicted = PredictedTimes{};
    RC_ASSERT(DirectCost(candidate, demand, 9000) ==
              DirectCost(plain, demand, 9000));
  }));
}
