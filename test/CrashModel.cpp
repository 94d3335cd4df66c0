#include <catch2/catch.hpp>

#include <deque>
#include <random>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr RequestFingerprint kCrashing = 1;
const TimePoint kStart = TimePoint{} + seconds(1000);

struct ModelOptions
{
  std::size_t gateways = 30;
  std::size_t servers = 50;
  /// Others' requests a second, each of one second.
  double othersPerSecond = 300;
  Duration crashingEach = milliseconds(700);
  /// Share of datagrams that are lost.
  double loss = 0.05;
  Duration length = seconds(20);
  /// How often a request is sent again, to another server by another gateway,
  /// when its server ends.
  int repeats = 0;
  unsigned seed = 1;
};

struct ModelResult
{
  std::size_t ends = 0;
  /// Sent to a server later than kContact after the third end.
  std::size_t lateRuns = 0;
  std::size_t othersQuarantined = 0;
  /// From the third end until each gateway keeps the request from servers.
  Duration knownAfter = Duration::max();
  /// Of crashes alone, in the worst second of any gateway.
  std::size_t mostBytesPerSecond = 0;
  std::size_t mostSuspects = 0;
};

/// A fleet of gateways' ledgers before servers that end under one request. What
/// a server ran is known to its gateways a twentieth of a second after its end;
/// they tell each other as PeerExchange does: to all of the cell, and to one
/// gateway anywhere.
class CrashModel
{
public:
  static constexpr Duration kContact = seconds(3);
  static constexpr Duration kCrashesAfter = milliseconds(100);
  static constexpr Duration kVerdictAfter = milliseconds(50);
  static constexpr Duration kComesBack = seconds(3);
  static constexpr Duration kStay = seconds(1);

  explicit CrashModel(ModelOptions aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , servers(aOptions.servers)
  {
    const std::size_t cells = CellCount(aOptions.gateways, 1);
    for (std::size_t i = 0; i < aOptions.gateways; ++i) {
      Gateway made{ .name = InstanceName(fmt::format("g{}", i)) };
      made.cell = CellOf(made.name, cells);
      this->gateways.push_back(std::move(made));
    }
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      this->servers[i].key = ++this->lastServer;
    }
  }

  ModelResult Play()
  {
    const auto steps = this->options.length / kStep;
    for (auto step = 0; step < steps; ++step) {
      this->now += kStep;
      this->Arrive(step);
      this->TendServers();
      this->HearVerdicts();
      this->Tell(step);
      this->Judge(step);
    }
    return this->result;
  }

private:
  struct Gateway
  {
    InstanceName name;
    std::size_t cell = 0;
    CrashLedger ledger{ seconds(600) };
    bool knows = false;
    Duration nextTell{ 0 };
    std::size_t bytesInSecond = 0;
  };
  struct Run
  {
    RequestFingerprint request = 0;
    std::size_t gateway = 0;
    TimePoint since{};
    int repeats = 0;
  };
  struct Server
  {
    ServerKey key = 0;
    std::vector<Run> runs;
    TimePoint backAt{};
  };
  struct Ended
  {
    ServerKey key = 0;
    std::vector<Run> runs;
    TimePoint at{};
  };

  template<class Number>
  Number Draw(Number aBelow)
  {
    return std::uniform_int_distribution<Number>(0, aBelow - 1)(this->random);
  }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aShare;
  }

  void Send(RequestFingerprint aRequest, int aRepeats)
  {
    const std::size_t gateway = this->Draw(this->gateways.size());
    Server& server = this->servers[this->Draw(this->servers.size())];
    if (server.backAt > this->now ||
        this->gateways[gateway].ledger.StandingOf(aRequest, this->now) ==
          CrashStanding::Quarantined) {
      return;
    }
    server.runs.push_back({ aRequest, gateway, this->now, aRepeats });
    const bool isLate = this->thirdEnd && aRequest == kCrashing &&
                        Between(*this->thirdEnd, this->now) > kContact;
    this->result.lateRuns += isLate ? 1 : 0;
  }

  void Arrive(long aStep)
  {
    if ((aStep * kStep) % this->options.crashingEach < kStep) {
      this->Send(kCrashing, 0);
    }
    const double each =
      this->options.othersPerSecond * static_cast<double>(kStep.count()) / 1e6;
    for (double left = each; left > 0; left -= 1) {
      if (this->Chance(left)) {
        this->Send(++this->lastOther, this->options.repeats);
      }
    }
  }

  void TendServers()
  {
    for (Server& server : this->servers) {
      const bool crashes =
        std::ranges::any_of(server.runs, [&](const Run& aRun) {
          return aRun.request == kCrashing &&
                 Between(aRun.since, this->now) >= kCrashesAfter;
        });
      if (crashes) {
        this->End(server);
      }
      std::erase_if(server.runs, [&](const Run& aRun) {
        const bool isAnswered = Between(aRun.since, this->now) >= kStay;
        if (isAnswered) {
          this->gateways[aRun.gateway].ledger.OnAnswered(aRun.request,
                                                         this->now);
        }
        return isAnswered;
      });
    }
  }

  void End(Server& aServer)
  {
    this->ended.push_back(
      { aServer.key, std::move(aServer.runs), this->now + kVerdictAfter });
    aServer = { ++this->lastServer, {}, this->now + kComesBack };
    if (++this->result.ends == 3) {
      this->thirdEnd = this->now;
    }
  }

  void HearVerdicts()
  {
    while (!this->ended.empty() && this->ended.front().at <= this->now) {
      const Ended& end = this->ended.front();
      for (const Run& run : end.runs) {
        const bool hadPart =
          Between(run.since, end.at) > kCrashesAfter + kVerdictAfter;
        this->gateways[run.gateway].ledger.Take(
          { run.request,
            end.key,
            hadPart ? CrashWeight::Late : CrashWeight::Early },
          CrashLedger::Source::Own,
          this->now);
        if (run.repeats > 0) {
          this->Send(run.request, run.repeats - 1);
        }
      }
      this->ended.pop_front();
    }
  }

  std::vector<std::size_t> Targets(const Gateway& aFrom)
  {
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      if (this->gateways[i].cell == aFrom.cell &&
          this->gateways[i].name != aFrom.name) {
        targets.push_back(i);
      }
    }
    targets.push_back(this->Draw(this->gateways.size()));
    return targets;
  }

  void Tell(long aStep)
  {
    const std::size_t empty = WriteDigest({}, "secret").size();
    for (Gateway& from : this->gateways) {
      if (aStep % 100 == 0) {
        from.bytesInSecond = 0;
      }
      from.nextTell -= kStep;
      if (from.nextTell > Duration::zero()) {
        continue;
      }
      const std::vector<std::size_t> targets = this->Targets(from);
      from.nextTell = std::max(PeerExchange::kLeastDigestPeriod,
                               Duration(seconds(targets.size())) /
                                 PeerExchange::kDigestsPerSecond);
      PeerDigest digest;
      digest.crashes = from.ledger.News(this->now);
      from.bytesInSecond +=
        (WriteDigest(digest, "secret").size() - empty) * targets.size();
      this->result.mostBytesPerSecond =
        std::max(this->result.mostBytesPerSecond, from.bytesInSecond);
      for (const std::size_t target : targets) {
        if (!this->Chance(this->options.loss)) {
          this->Hear(this->gateways[target], digest.crashes);
        }
      }
    }
  }

  void Hear(Gateway& aGateway, const CrashNews& aNews) const
  {
    for (const QuarantineVerdict& verdict : aNews.verdicts) {
      aGateway.ledger.Take(verdict, this->now);
    }
    for (const CrashEvidence& evidence : aNews.evidence) {
      aGateway.ledger.Take(evidence, CrashLedger::Source::Told, this->now);
    }
  }

  void Judge(long aStep)
  {
    if (aStep % (CrashLedger::kJudgePeriod / kStep) != 0) {
      return;
    }
    bool allKnow = true;
    for (Gateway& gateway : this->gateways) {
      for (const RequestFingerprint request : gateway.ledger.Judge(this->now)) {
        this->result.othersQuarantined += request == kCrashing ? 0 : 1;
      }
      allKnow = allKnow && gateway.ledger.StandingOf(kCrashing, this->now) ==
                             CrashStanding::Quarantined;
      this->result.mostSuspects =
        std::max(this->result.mostSuspects, gateway.ledger.SuspectCount());
    }
    if (allKnow && this->result.knownAfter == Duration::max()) {
      this->result.knownAfter = Between(*this->thirdEnd, this->now);
    }
  }

  ModelOptions options;
  std::mt19937 random;
  std::vector<Gateway> gateways;
  std::vector<Server> servers;
  std::deque<Ended> ended;
  TimePoint now = kStart;
  ServerKey lastServer = 0;
  RequestFingerprint lastOther = kCrashing;
  std::optional<TimePoint> thirdEnd;
  ModelResult result;
};

/// A hundredth of the slowest link that a gateway has, 10 Mbit/s.
constexpr std::size_t kMostBytes = 12'500;

void
CheckFleet(ModelOptions aOptions)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    aOptions.seed = seed;
    const ModelResult result = CrashModel(aOptions).Play();
    UNSCOPED_INFO(fmt::format(
      "seed {}: {} ends, {} late, known after {} ms, {} bytes a second, {} "
      "suspects",
      seed,
      result.ends,
      result.lateRuns,
      result.knownAfter.count() / 1000,
      result.mostBytesPerSecond,
      result.mostSuspects));
    CHECK(result.ends >= 3);
    CHECK(result.lateRuns <= 3);
    CHECK(result.othersQuarantined == 0);
    CHECK(result.knownAfter <= CrashModel::kContact);
    CHECK(result.mostBytesPerSecond <= kMostBytes);
    CHECK(result.mostSuspects <= CrashLedger::kMostSuspects);
  }
}

} // namespace

// One request ends a server of fifty each 0.7 s, at gateways drawn at random,
// while each server runs others. Each gateway sees a few of the ends; together
// they have to blame the one request, and no other, within the time that a
// gateway in touch has.
TEST_CASE("thirty gateways blame the request that ends servers", "[model]")
{
  CheckFleet({});
}

TEST_CASE("three hundred gateways in cells blame it as well", "[model]")
{
  ModelOptions options;
  options.gateways = 300;
  options.servers = 500;
  options.othersPerSecond = 3000;
  CheckFleet(options);
}

TEST_CASE("a third of the datagrams may be lost", "[model]")
{
  ModelOptions options;
  options.loss = 0.33;
  CheckFleet(options);
}

// Few servers end one after the other under one request, each with many others,
// which are sent again and again and so are at several of the ends. None of
// them is to blame, and none may be refused.
TEST_CASE("requests that are sent on from end to end are not blamed", "[model]")
{
  ModelOptions options;
  options.gateways = 4;
  options.servers = 8;
  options.othersPerSecond = 100;
  options.crashingEach = milliseconds(400);
  options.repeats = 5;
  CheckFleet(options);
}
