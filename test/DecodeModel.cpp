#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include "dogwoodvale/Placement"

using namespace dogwoodvale;

namespace {

constexpr TimePoint kStart = TimePoint() + seconds(1000);

/// A server that generates streams by the formula that docs/design/demands.md
/// measured, slowed down 2.5 times for some hundreds of milliseconds at a time,
/// 0.15 of the time.
struct Server
{
  InstanceName name;
  /// Without slow periods.
  double factor = 1.0;
  /// What it states; nothing if it states none.
  std::optional<double> reported;
};

struct Load
{
  double requests = 0;
  double tokensPerSecond = 0;
  double promptsPerSecond = 0;
};

class Streams
{
public:
  explicit Streams(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      aCount - 1)(this->random);
  }

  Load DrawLoad()
  {
    const auto between = [this](double aLeast, double aMost) {
      return std::uniform_real_distribution<double>(aLeast,
                                                    aMost)(this->random);
    };
    return { between(5, 90), between(0, 25'000), between(0, 8) };
  }

  /// In milliseconds, without slow periods.
  static double MeanPause(double aFactor, const Load& aLoad)
  {
    const double busy = aFactor * (kPerThousand * aLoad.tokensPerSecond / 1e6 +
                                   kPerPrompt * aLoad.promptsPerSecond / 1e3);
    return aFactor * (kPerInterval + kPerRequest * aLoad.requests) /
           (1.0 - busy);
  }

  StreamSample Next(const Server& aServer, const Load& aLoad)
  {
    StreamSample sample;
    sample.isInteractive = aLoad.tokensPerSecond < 12'000;
    sample.intervals = sample.isInteractive ? 48 : 9;
    sample.ownPrefillTokens = sample.isInteractive ? 700 : 5000;
    const double usual = MeanPause(aServer.factor, aLoad);
    double span = 0;
    double longest = 0;
    double slowLeft = this->IsOneIn(0.15) ? this->DrawSlow() : 0;
    double usualLeft = this->DrawUsual();
    for (std::uint64_t i = 0; i < sample.intervals; ++i) {
      double pause = usual;
      if (slowLeft > 0) {
        pause *= 2.5;
        slowLeft -= pause;
        usualLeft = slowLeft > 0 ? usualLeft : this->DrawUsual();
      } else if ((usualLeft -= pause) <= 0) {
        slowLeft = this->DrawSlow();
      }
      span += pause;
      longest = std::max(longest, pause);
    }
    const auto micros = [](double aMillis) {
      return Duration(static_cast<Duration::rep>(aMillis * 1e3));
    };
    sample.span = micros(span);
    sample.longestPause = micros(longest);
    sample.meanRequests = aLoad.requests;
    sample.prefilledTokens = aLoad.tokensPerSecond * span / 1e3;
    sample.prompts = aLoad.promptsPerSecond * span / 1e3;
    sample.reportedFactor = aServer.reported.value_or(1.0);
    return sample;
  }

  static constexpr double kPerInterval = 17.0;
  static constexpr double kPerRequest = 0.56;
  static constexpr double kPerThousand = 7.6;
  static constexpr double kPerPrompt = 2.9;
  /// Mean factor of slow periods.
  static constexpr double kSlowness = 1.0 + 0.15 * 1.5;

private:
  bool IsOneIn(double aShare)
  {
    return std::bernoulli_distribution(aShare)(this->random);
  }
  double DrawSlow()
  {
    return std::uniform_real_distribution<double>(200, 400)(this->random);
  }
  double DrawUsual()
  {
    // 0.15 / 0.85 of this is 300 ms.
    return std::exponential_distribution<double>(1.0 / 1700.0)(this->random);
  }

  std::mt19937_64 random;
};

/// One server in four is fast.
std::vector<Server>
TwoSpeeds(std::size_t aCount, bool aStated)
{
  std::vector<Server> servers;
  for (std::size_t i = 0; i < aCount; ++i) {
    const double factor = i % 4 == 0 ? 0.55 : 1.2;
    servers.push_back({ InstanceName(fmt::format("e{}", i)),
                        factor,
                        aStated ? std::optional(factor) : std::nullopt });
  }
  return servers;
}

DecodeLoad
LoadAt(const DecodeModel& aModel, const Server& aServer, const Load& aLoad)
{
  return { aModel.TimeFactorOf(aServer.name, aServer.reported),
           aLoad.requests,
           aLoad.tokensPerSecond,
           aLoad.promptsPerSecond };
}

double
Millis(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e3;
}

/// Median of |predicted / actual - 1| over new streams at random servers.
double
MedianErrorOf(const DecodeModel& aModel,
              const std::vector<Server>& aServers,
              std::uint64_t aSeed)
{
  Streams streams(aSeed);
  std::vector<double> errors;
  for (int i = 0; i < 400; ++i) {
    const Server& server = aServers[streams.Draw(aServers.size())];
    const Load load = streams.DrawLoad();
    const StreamSample sample = streams.Next(server, load);
    const auto predicted = aModel.MeanPause(LoadAt(aModel, server, load));
    REQUIRE(predicted.has_value());
    const double actual =
      Millis(sample.span) / static_cast<double>(sample.intervals);
    errors.push_back(std::abs(Millis(*predicted) / actual - 1.0));
  }
  std::ranges::nth_element(errors, errors.begin() + 200);
  return errors[200];
}

} // namespace

namespace {

/// \param aCount streams, one every 10 ms.
void
Teach(DecodeModel& aModel,
      const std::vector<Server>& aServers,
      Streams& aStreams,
      int aCount,
      TimePoint& aNow)
{
  for (int i = 0; i < aCount; ++i) {
    aNow += milliseconds(10);
    const Server& server = aServers[aStreams.Draw(aServers.size())];
    aModel.OnStream(
      server.name, aStreams.Next(server, aStreams.DrawLoad()), aNow);
  }
}

/// Two speeds, stated, after 600 streams.
DecodeModel
LearnedModel(TimePoint& aNow)
{
  DecodeModel model;
  Streams streams(7);
  Teach(model, TwoSpeeds(12, true), streams, 600, aNow);
  REQUIRE(model.IsLearned());
  return model;
}

/// Gives updates the digest's part in their order.
class Sender
{
public:
  explicit Sender(std::string aName, Incarnation aIncarnation = 1)
    : name(std::move(aName))
    , incarnation(aIncarnation)
  {
  }
  void Send(const DecodeUpdate& aUpdate, DecodeModel& aTo, TimePoint aNow)
  {
    aTo.OnPeerUpdate(
      this->name, this->incarnation, ++this->sequence, aUpdate, aNow);
  }

private:
  InstanceName name;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("nothing is predicted before enough streams are known", "[decode]")
{
  DecodeModel model;
  Streams streams(1);
  TimePoint now = kStart;
  const auto servers = TwoSpeeds(4, true);
  const auto check = [&] {
    CHECK_FALSE(model.IsLearned());
    CHECK_FALSE(model.MeanPause({}).has_value());
    CHECK_FALSE(model.LongPause({}).has_value());
    CHECK_FALSE(model.RequestsWithin(milliseconds(200), 1.0).has_value());
    CHECK_FALSE(model.MedianError().has_value());
    CHECK(model.TimeFactorOf(servers[0].name, 0.5) == 0.5);
    CHECK(model.TimeFactorOf(servers[0].name, std::nullopt) == 1.0);
  };
  check();
  CHECK_FALSE(model.TakeUpdate(now).has_value());
  Teach(model, servers, streams, 10, now);
  model.RunMaintenance(now + seconds(1));
  check();
}

// Each stream states the time factor of its server, as in
// docs/design/demands.md. With rates in the place of counts, the mean pause
// must come out as well.
TEST_CASE("the time of streams is learned where servers state their factor",
          "[decode]")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    DecodeModel model;
    Streams streams(seed);
    TimePoint now = kStart;
    const auto servers = TwoSpeeds(42, true);
    Teach(model, servers, streams, 300, now);
    CHECK(MedianErrorOf(model, servers, seed + 100) < 0.2);
    CHECK(model.MedianError().value() < 0.2);
    const auto& learned = model.Coefficients();
    CHECK(learned[0] == Approx(Streams::kPerInterval).epsilon(0.3));
    CHECK(learned[1] == Approx(Streams::kPerRequest).epsilon(0.3));
    CHECK(learned[2] ==
          Approx(Streams::kPerThousand * Streams::kSlowness).epsilon(0.3));
    for (const Server& server : servers) {
      CHECK(model.TimeFactorOf(server.name, server.reported) ==
            Approx(server.factor).epsilon(0.25));
    }
  }
}

// The factors must come from the residuals alone, and the coefficients be those
// of the formula, not of a mixture of fast and slow servers.
TEST_CASE("the factors of servers that state none are learned", "[decode]")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    DecodeModel model;
    Streams streams(seed);
    TimePoint now = kStart;
    const auto servers = TwoSpeeds(16, false);
    Teach(model, servers, streams, 400, now);
    CHECK(MedianErrorOf(model, servers, seed + 100) < 0.2);
    Teach(model, servers, streams, 1600, now);
    CHECK(MedianErrorOf(model, servers, seed + 100) < 0.2);
    for (const Server& server : servers) {
      CAPTURE(server.name.Value());
      CHECK(model.TimeFactorOf(server.name, {}) ==
            Approx(server.factor).epsilon(0.3));
    }
  }
}

// On another site, steps have other costs; no constant of this one is built in.
TEST_CASE("a model of other coefficients is learned exactly without noise",
          "[decode]")
{
  CHECK(rc::check([] {
    const double perInterval = *rc::gen::inRange(1, 100);
    const double perRequest = *rc::gen::inRange(1, 200) / 100.0;
    const double perThousand = *rc::gen::inRange(0, 40);
    const double perPrompt = *rc::gen::inRange(0, 40);
    Streams streams(*rc::gen::arbitrary<std::uint64_t>());
    DecodeModel model;
    TimePoint now = kStart;
    const InstanceName server("e");
    for (int i = 0; i < 300; ++i) {
      const Load load = streams.DrawLoad();
      StreamSample sample;
      sample.intervals = 20;
      sample.meanRequests = load.requests;
      sample.prefilledTokens = load.tokensPerSecond;
      sample.prompts = load.promptsPerSecond;
      sample.span = Duration(static_cast<Duration::rep>(
        1e3 * (20.0 * (perInterval + perRequest * load.requests) +
               perThousand * load.tokensPerSecond / 1e3 +
               perPrompt * load.promptsPerSecond)));
      sample.longestPause = sample.span / 10;
      model.OnStream(server, sample, now += milliseconds(10));
    }
    RC_ASSERT(model.MedianError().value() < 0.03);
    const double expected = perInterval + perRequest * 50;
    const DecodeLoad load{ model.TimeFactorOf(server, {}), 50, 0, 0 };
    const double predicted = Millis(model.MeanPause(load).value());
    RC_ASSERT(std::abs(predicted / expected - 1.0) < 0.1);
    // The longest pause is always twice the mean one; the prior of 3 is weak.
    RC_ASSERT(model.LongestToMean() == Approx(2.0).epsilon(0.05));
    RC_ASSERT(std::ranges::all_of(model.Coefficients(),
                                  [](double aOne) { return aOne >= 0; }));
  }));
}

// With all servers equally busy, the terms are proportional to each other and
// the equations have no single solution.
TEST_CASE("streams of equal load don't make the model fail", "[decode]")
{
  DecodeModel model;
  TimePoint now = kStart;
  StreamSample sample;
  sample.intervals = 10;
  sample.span = milliseconds(500);
  sample.longestPause = milliseconds(100);
  sample.meanRequests = 40;
  for (int i = 0; i < 500; ++i) {
    model.OnStream(InstanceName("e"), sample, now += milliseconds(10));
  }
  const auto at = [&](double aRequests) {
    return Millis(model.MeanPause({ 1.0, aRequests, 0, 0 }).value());
  };
  CHECK(at(40) == Approx(50).epsilon(0.05));
  CHECK(at(20) < at(40));
  CHECK(at(60) > at(40));
  CHECK(at(80) < 2.2 * at(40));
}

TEST_CASE("samples with invalid numbers are ignored", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  const auto before = model.Coefficients();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinity = std::numeric_limits<double>::infinity();
  Streams streams(3);
  const Server server{ InstanceName("e0"), 1.0, 1.0 };
  const StreamSample good = streams.Next(server, streams.DrawLoad());
  std::vector<StreamSample> bad(9, good);
  bad[0].intervals = DecodeModel::kMinIntervals - 1;
  bad[1].span = Duration::zero();
  bad[2].span = -good.span;
  bad[3].meanRequests = nan;
  bad[4].prefilledTokens = infinity;
  bad[5].prompts = -1;
  bad[6].reportedFactor = 0;
  bad[7].reportedFactor = nan;
  bad[8].ownPrefillTokens = nan;
  const double weight = model.Sums(now).weight;
  for (const StreamSample& one : bad) {
    model.OnStream(server.name, one, now);
  }
  model.RunMaintenance(now + seconds(1));
  CHECK(model.Sums(now).weight == Approx(weight));
  for (std::size_t i = 0; i < before.size(); ++i) {
    CHECK(model.Coefficients()[i] == Approx(before[i]).epsilon(0.05));
  }
}

// MeanPause must be the pause for which the formula of a stream holds, in which
// tokens and prompts are counted during the stream.
TEST_CASE("the mean pause follows from the rates", "[decode]")
{
  TimePoint now = kStart;
  const DecodeModel model = LearnedModel(now);
  const auto& c = model.Coefficients();
  const DecodeLoad load{ 1.2, 40, 20'000, 5 };
  const double pause = Millis(model.MeanPause(load).value());
  const double seconds = pause / 1e3;
  CHECK(pause == Approx(1.2 * (c[0] + c[1] * 40 + c[2] * 20 * seconds +
                               c[3] * 5 * seconds))
                   .epsilon(1e-3));
  CHECK(Millis(model.LongPause(load).value()) ==
        Approx(pause * model.LongestToMean()).epsilon(1e-3));
  // Beyond what the server can prefill, the pause is long but finite.
  const double flooded = Millis(model.MeanPause({ 1.2, 40, 1e9, 1e6 }).value());
  CHECK(flooded == Approx(10 * 1.2 * (c[0] + c[1] * 40)).epsilon(1e-3));
}

TEST_CASE("the requests within a bound hold it and no more do", "[decode]")
{
  TimePoint now = kStart;
  const DecodeModel model = LearnedModel(now);
  const DecodeUpdate sums = model.Sums(now);
  const double intervals = sums.interactiveIntervals / sums.interactiveStreams;
  const double tokens = sums.interactiveTokens / sums.interactiveStreams;
  CHECK(intervals == Approx(48));
  CHECK(tokens == Approx(700));
  CHECK(rc::check([&] {
    const Duration bound = milliseconds(*rc::gen::inRange(1, 2000));
    const double factor = *rc::gen::inRange(10, 500) / 100.0;
    const auto& c = model.Coefficients();
    const double requests = model.RequestsWithin(bound, factor).value();
    const double exact =
      (Millis(bound) / (model.LongestToMean() * factor) - c[0]) /
      (c[1] + (c[2] * tokens / 1e3 + c[3]) / intervals);
    RC_ASSERT(requests == Approx(std::max(exact, 0.0)).margin(1e-6));
    // Each request brings a prompt whenever one of them has ended.
    const auto longPauseOf = [&](double aRequests) {
      double pause = 1;
      for (int i = 0; i < 200; ++i) {
        const double prompts = aRequests / (intervals * pause / 1e3);
        pause = Millis(
          model.MeanPause({ factor, aRequests, prompts * tokens, prompts })
            .value());
      }
      return pause * model.LongestToMean();
    };
    if (requests > 1) {
      RC_ASSERT(longPauseOf(requests * 0.98) <= Millis(bound));
    }
  }));
  CHECK(model.RequestsWithin(Duration::zero(), 1.0) == 0.0);
  CHECK_FALSE(model.RequestsWithin(milliseconds(200), 0).has_value());
}

// 23 gateways see some 30 streams each, of which none could learn alone with
// certainty.
TEST_CASE("gateways with few streams each learn as one", "[decode]")
{
  constexpr std::size_t kGateways = 23;
  const auto servers = TwoSpeeds(42, true);
  std::vector<DecodeModel> models(kGateways);
  std::vector<Sender> senders;
  for (std::size_t i = 0; i < kGateways; ++i) {
    senders.emplace_back(fmt::format("g{}", i));
  }
  Streams streams(5);
  TimePoint now = kStart;
  const auto exchange = [&] {
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (const auto update = models[i].TakeUpdate(now)) {
        for (std::size_t j = 0; j < kGateways; ++j) {
          if (j != i) {
            senders[i].Send(*update, models[j], now);
          }
        }
      }
    }
  };
  for (int i = 0; i < 700; ++i) {
    now += milliseconds(5);
    Teach(models[streams.Draw(kGateways)], servers, streams, 1, now);
    if (i % 30 == 0) {
      exchange();
    }
  }
  now += seconds(1);
  exchange();
  for (DecodeModel& model : models) {
    model.RunMaintenance(now += milliseconds(1));
    REQUIRE(model.IsLearned());
    CHECK(MedianErrorOf(model, servers, 9) < 0.2);
    for (std::size_t i = 0; i < 4; ++i) {
      CHECK(model.Coefficients()[i] ==
            Approx(models[0].Coefficients()[i]).epsilon(0.15).margin(1));
    }
  }

  // A gateway that has just started.
  DecodeModel fresh;
  for (std::size_t i = 0; i < kGateways; ++i) {
    senders[i].Send(models[i].TakeUpdate(now + seconds(1)).value(), fresh, now);
  }
  REQUIRE(fresh.IsLearned());
  CHECK(MedianErrorOf(fresh, servers, 9) < 0.2);
}

// A server states half or twice its time, e.g. as its machine measures
// something else. Placement must not follow it for longer than some tens of its
// streams.
TEST_CASE("a false factor is corrected within some tens of streams", "[decode]")
{
  for (const double falsehood : { 0.4, 2.5 }) {
    CAPTURE(falsehood);
    TimePoint now = kStart;
    DecodeModel model = LearnedModel(now);
    Streams streams(11);
    Server liar{ InstanceName("liar"), 1.2, 1.2 * falsehood };
    for (int i = 0; i < 30; ++i) {
      now += milliseconds(100);
      model.OnStream(liar.name, streams.Next(liar, streams.DrawLoad()), now);
    }
    CHECK(model.TimeFactorOf(liar.name, liar.reported) ==
          Approx(liar.factor).epsilon(0.3));
    // The others are judged as before.
    CHECK(model.TimeFactorOf(InstanceName("e0"), 0.55) ==
          Approx(0.55).epsilon(0.3));
  }
}

TEST_CASE("a residual is never outside its bounds", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  StreamSample sample;
  sample.intervals = 10;
  sample.meanRequests = 10;
  for (const Duration span : { Duration(seconds(1000)), Duration(10) }) {
    sample.span = span;
    for (int i = 0; i < 100; ++i) {
      model.OnStream(InstanceName("odd"), sample, now += milliseconds(10));
    }
    const double factor = model.TimeFactorOf(InstanceName("odd"), 1.0);
    CHECK(factor >= DecodeModel::kMinResidual);
    CHECK(factor <= DecodeModel::kMaxResidual);
  }
}

// Other work slows a machine down 2.5 times for 8 s, and the server doesn't
// state it. It must be known as slow meanwhile, and soon no longer afterwards.
TEST_CASE("a server that turns slow recovers its factor", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  Streams streams(13);
  auto servers = TwoSpeeds(12, true);
  const auto factorOfFirst = [&] {
    return model.TimeFactorOf(servers[0].name, servers[0].reported);
  };
  const double before = factorOfFirst();
  servers[0].factor *= 2.5;
  Teach(model, servers, streams, 800, now);
  CHECK(factorOfFirst() > 1.4 * before);
  servers[0].factor /= 2.5;
  Teach(model, servers, streams, 2500, now);
  CHECK(factorOfFirst() == Approx(before).epsilon(0.25));
  CHECK(MedianErrorOf(model, servers, 17) < 0.2);
}

TEST_CASE("an update is due once a second and carries changed residuals",
          "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  const auto first = model.TakeUpdate(now);
  REQUIRE(first.has_value());
  CHECK(first->residuals.size() == 12);
  CHECK(first->weight > 400);
  CHECK_FALSE(model.TakeUpdate(now + milliseconds(999)).has_value());
  Streams streams(3);
  const Server server = TwoSpeeds(1, true)[0];
  now += milliseconds(500);
  model.OnStream(server.name, streams.Next(server, streams.DrawLoad()), now);
  const auto second = model.TakeUpdate(now + milliseconds(500));
  REQUIRE(second.has_value());
  REQUIRE(second->residuals.size() == 1);
  CHECK(second->residuals[0].instance == server.name);
  const auto third = model.TakeUpdate(now + milliseconds(1500));
  REQUIRE(third.has_value());
  CHECK(third->residuals.empty());
}

// A digest is one datagram of at most 60 kB.
TEST_CASE("the residuals of many servers are spread over updates", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  Streams streams(3);
  const Server server{ {}, 1.0, 1.0 };
  for (int i = 0; i < 2000; ++i) {
    model.OnStream(InstanceName(fmt::format("s{}", i)),
                   streams.Next(server, { 20, 0, 0 }),
                   now);
  }
  std::vector<InstanceName> sent;
  for (int i = 0; i < 10; ++i) {
    const auto update = model.TakeUpdate(now += seconds(1));
    REQUIRE(update.has_value());
    CHECK(update->residuals.size() <= DecodeModel::kMaxResidualsPerUpdate);
    for (const ServerResidual& residual : update->residuals) {
      sent.push_back(residual.instance);
    }
  }
  CHECK(sent.size() == DecodeModel::kMaxServers);
  std::ranges::sort(sent);
  CHECK(std::ranges::adjacent_find(sent) == sent.end());
}

// Digests travel by UDP. Whatever of them arrives, in whatever order and how
// often, the newest one that arrived counts, once.
TEST_CASE("lost, repeated and reordered updates leave the newest", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel source = LearnedModel(now);
  const auto servers = TwoSpeeds(12, true);
  Streams streams(19);
  std::vector<DecodeUpdate> updates;
  for (int i = 0; i < 6; ++i) {
    Teach(source, servers, streams, 100, now);
    updates.push_back(source.TakeUpdate(now).value());
  }
  CHECK(rc::check([&] {
    const auto arrivals =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, updates.size())));
    DecodeModel model;
    for (const std::size_t one : arrivals) {
      model.OnPeerUpdate(InstanceName("g"), 1, one + 1, updates[one], now);
    }
    const DecodeUpdate& newest = updates[*std::ranges::max_element(arrivals)];
    const DecodeUpdate sums = model.Sums(now);
    RC_ASSERT(sums.weight == newest.weight);
    RC_ASSERT(sums.matrix == newest.matrix);
    RC_ASSERT(sums.vector == newest.vector);
  }));
}

TEST_CASE("a restarted gateway's sums replace those of its old run", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel source = LearnedModel(now);
  DecodeUpdate update = source.TakeUpdate(now).value();
  DecodeModel model;
  model.OnPeerUpdate(InstanceName("g"), 1, 1000, update, now);
  const ServerResidual residual = update.residuals[0];
  update.residuals.resize(1);
  update.weight /= 2;
  for (double& entry : update.matrix) {
    entry /= 2;
  }
  for (double& entry : update.vector) {
    entry /= 2;
  }
  model.OnPeerUpdate(InstanceName("g"), 2, 1, update, now);
  const DecodeUpdate sums = model.Sums(now);
  CHECK(sums.weight == update.weight);
  REQUIRE(sums.residuals.size() == 1);
  CHECK(sums.residuals[0].instance == residual.instance);
}

// The sums of a gateway that is gone fade, and are dropped at last. What was
// learned stays in use.
TEST_CASE("a gateway that is gone is dropped and the model stays", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel source = LearnedModel(now);
  const DecodeUpdate update = source.TakeUpdate(now).value();
  DecodeModel model;
  model.OnPeerUpdate(InstanceName("g"), 1, 1, update, now);
  const auto pause = model.MeanPause({ 1.0, 40, 0, 0 });
  REQUIRE(pause.has_value());
  model.RunMaintenance(now + seconds(20));
  CHECK(model.Sums(now + seconds(20)).weight ==
        Approx(update.weight / std::exp(1.0)).epsilon(0.01));
  model.RunMaintenance(now + DecodeModel::kPeerTtl + milliseconds(1));
  CHECK(model.Sums(now).weight == 0);
  CHECK(Millis(model.MeanPause({ 1.0, 40, 0, 0 }).value()) ==
        Approx(Millis(*pause)).epsilon(0.01));
}

// Digests are authenticated, but a gateway with a fault may send any numbers.
TEST_CASE("garbage in updates is dropped", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel source = LearnedModel(now);
  const DecodeUpdate good = source.TakeUpdate(now).value();
  const auto isFinite = [&](const DecodeModel& aModel) {
    const auto pause = aModel.MeanPause({ 1.0, 40, 5000, 3 });
    return pause && *pause > Duration::zero() && *pause < seconds(10) &&
           aModel.LongestToMean() >= 1.0 && aModel.LongestToMean() <= 100.0 &&
           std::ranges::all_of(aModel.Coefficients(), [](double aOne) {
             return std::isfinite(aOne) && aOne >= 0;
           });
  };
  CHECK(rc::check([&] {
    const double garbage =
      *rc::gen::element(std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity(),
                        -std::numeric_limits<double>::infinity(),
                        std::numeric_limits<double>::max(),
                        -1.0,
                        -1e-300,
                        1e300);
    DecodeUpdate bad = good;
    const auto at = *rc::gen::inRange<std::size_t>(0, 21);
    if (at < bad.matrix.size()) {
      bad.matrix[at] = garbage;
    } else if (at < 14) {
      bad.vector[at - 10] = garbage;
    } else {
      const std::array<double*, 7> others = { &bad.weight,
                                              &bad.interactiveStreams,
                                              &bad.interactiveTokens,
                                              &bad.interactiveIntervals,
                                              &bad.longestToMean,
                                              &bad.residuals[0].logRatioSum,
                                              &bad.residuals[0].weight };
      *others[at - 14] = garbage;
    }
    DecodeModel model;
    model.OnPeerUpdate(InstanceName("g1"), 1, 1, good, now);
    model.OnPeerUpdate(InstanceName("g2"), 1, 1, bad, now);
    RC_ASSERT(isFinite(model));
    const double factor = model.TimeFactorOf(good.residuals[0].instance, 1.0);
    RC_ASSERT(factor >= DecodeModel::kMinResidual);
    RC_ASSERT(factor <= DecodeModel::kMaxResidual);
    DecodeModel seeded;
    seeded.Seed(good, now);
    seeded.Seed(bad, now);
    RC_ASSERT(isFinite(seeded));
  }));
  DecodeModel model;
  for (std::size_t i = 0; i < 10 * DecodeModel::kMaxPeers; ++i) {
    model.OnPeerUpdate(InstanceName(fmt::format("g{}", i)), 1, 1, good, now);
  }
  CHECK(model.Sums(now).weight == Approx(good.weight * DecodeModel::kMaxPeers));
}

// All gateways were killed: the first one to start again knows the model.
TEST_CASE("the sums of before a restart are taken over", "[decode]")
{
  TimePoint now = kStart;
  DecodeModel source;
  Streams streams(23);
  const auto servers = TwoSpeeds(12, false);
  Teach(source, servers, streams, 2000, now);
  DecodeModel model;
  model.Seed(source.Sums(now), kStart + seconds(5000));
  REQUIRE(model.IsLearned());
  CHECK(MedianErrorOf(model, servers, 29) < 0.2);
  for (const Server& server : servers) {
    CHECK(model.TimeFactorOf(server.name, {}) ==
          Approx(source.TimeFactorOf(server.name, {})).epsilon(0.05));
  }
  // What a gateway has learned by itself is not replaced.
  const auto learned = model.Coefficients();
  DecodeUpdate other = source.Sums(now);
  for (double& entry : other.vector) {
    entry /= 2;
  }
  model.Seed(other, kStart + seconds(5001));
  CHECK(model.Coefficients() == learned);
}

TEST_CASE("a server that has left is forgotten, its streams still count",
          "[decode]")
{
  TimePoint now = kStart;
  DecodeModel model = LearnedModel(now);
  const double weight = model.Sums(now).weight;
  for (const Server& server : TwoSpeeds(12, true)) {
    model.Forget(server.name);
  }
  const DecodeUpdate sums = model.Sums(now);
  CHECK(sums.residuals.empty());
  CHECK(sums.weight == Approx(weight).epsilon(0.01));
}
