#include <catch2/catch.hpp>

#include <deque>
#include <random>

#include "dogwoodvale/Gateway"

using namespace dogwoodvale;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Fingerprint kCrashing = 1;
/// Parts of prompts: the one that crashes servers, one of all requests, and one
/// of each customer.
constexpr Fingerprint kCrashingPart = 2;
constexpr Fingerprint kCommonPart = 3;
constexpr Fingerprint kFirstCustomerPart = 4;
constexpr Fingerprint kCustomers = 10;
constexpr Fingerprint kFirstOther = kFirstCustomerPart + kCustomers;
const TimePoint kStart = TimePoint{} + seconds(1000);

struct ModelOptions
{
  std::size_t gateways = 30;
  std::size_t servers = 50;
  /// Requests per second that crash nothing, each taking one second.
  double othersPerSecond = 300;
  /// Interval at which the crashing request is sent.
  Duration crashInterval = milliseconds(700);
  /// Fraction of datagrams that are lost.
  double loss = 0.05;
  Duration length = seconds(20);
  /// Retries of a request when its server exits, each at another server by
  /// another gateway.
  int repeats = 0;
  /// Crashing requests are not alike, but share a part of their prompts.
  bool crashesByPart = false;
  unsigned seed = 1;
};

struct ModelResult
{
  std::size_t exits = 0;
  /// Runs of crashing requests sent later than kContact after the third exit.
  std::size_t lateAttempts = 0;
  std::size_t othersQuarantined = 0;
  /// Time from the third exit until all gateways quarantine what crashes.
  Duration knownAfter = Duration::max();
  /// Bytes for crash updates alone, in the worst second of any gateway.
  std::size_t mostBytesPerSecond = 0;
  std::size_t mostSuspects = 0;
};

/// Simulates the ledgers of a fleet of gateways, with servers that one request,
/// or one part of prompts, crashes. Gateways know of a server's exit after
/// kDetectionTime and send updates as PeerExchange does: to all gateways of
/// their cell and to one at random.
class CrashModel
{
public:
  /// Time within which connected gateways must have quarantined a request.
  static constexpr Duration kContact = seconds(3);
  static constexpr Duration kCrashesAfter = milliseconds(100);
  /// Time from a server's exit until its gateways know of it.
  static constexpr Duration kDetectionTime = milliseconds(50);
  static constexpr Duration kRestartTime = seconds(3);
  /// Time in which a server answers a request.
  static constexpr Duration kRequestTime = seconds(1);

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
      this->StepServers();
      this->ReportExits();
      this->SendUpdates(step);
      this->EvaluateLedgers(step);
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
    Duration nextUpdate{ 0 };
    std::size_t bytesInSecond = 0;
  };
  struct Attempt
  {
    Fingerprint request = 0;
    std::vector<Fingerprint> parts;
    std::size_t gateway = 0;
    TimePoint since{};
    int repeats = 0;
  };
  struct Server
  {
    ServerKey key = 0;
    std::vector<Attempt> attempts;
    TimePoint backAt{};
  };
  struct Exited
  {
    ServerKey key = 0;
    std::vector<Attempt> attempts;
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

  Fingerprint Culprit() const
  {
    return this->options.crashesByPart ? kCrashingPart : kCrashing;
  }
  bool IsCrashing(const Attempt& aAttempt) const
  {
    return this->options.crashesByPart
             ? std::ranges::find(aAttempt.parts, kCrashingPart) !=
                 aAttempt.parts.end()
             : aAttempt.request == kCrashing;
  }

  bool IsQuarantined(std::size_t aGateway, Fingerprint aSubject) const
  {
    return this->gateways[aGateway].ledger.StatusOf(aSubject, this->now) ==
           CrashStatus::Quarantined;
  }

  void Send(Attempt aAttempt)
  {
    aAttempt.gateway = this->Draw(this->gateways.size());
    aAttempt.since = this->now;
    Server& server = this->servers[this->Draw(this->servers.size())];
    if (server.backAt > this->now ||
        this->IsQuarantined(aAttempt.gateway, aAttempt.request) ||
        std::ranges::any_of(aAttempt.parts, [&](Fingerprint aPart) {
          return this->IsQuarantined(aAttempt.gateway, aPart);
        })) {
      return;
    }
    const bool isLate = this->thirdExit && this->IsCrashing(aAttempt) &&
                        Between(*this->thirdExit, this->now) > kContact;
    this->result.lateAttempts += isLate ? 1 : 0;
    server.attempts.push_back(std::move(aAttempt));
  }

  /// Sends a crashing request, which shares all parts but one with others.
  void SendCrashing()
  {
    if (this->options.crashesByPart) {
      this->Send({ ++this->lastOther,
                   { kCommonPart, kFirstCustomerPart, kCrashingPart } });
    } else {
      this->Send({ kCrashing, { kCommonPart, kFirstCustomerPart } });
    }
  }

  void Arrive(long aStep)
  {
    if ((aStep * kStep) % this->options.crashInterval < kStep) {
      this->SendCrashing();
    }
    const double expected =
      this->options.othersPerSecond * static_cast<double>(kStep.count()) / 1e6;
    for (double left = expected; left > 0; left -= 1) {
      if (this->Chance(left)) {
        Attempt other{ ++this->lastOther,
                       { kCommonPart,
                         kFirstCustomerPart + this->Draw(kCustomers) } };
        other.repeats = this->options.repeats;
        this->Send(std::move(other));
      }
    }
  }

  void StepServers()
  {
    for (Server& server : this->servers) {
      const bool crashes =
        std::ranges::any_of(server.attempts, [&](const Attempt& aAttempt) {
          return this->IsCrashing(aAttempt) &&
                 Between(aAttempt.since, this->now) >= kCrashesAfter;
        });
      if (crashes) {
        this->Exit(server);
      }
      std::erase_if(server.attempts, [&](const Attempt& aAttempt) {
        const bool isAnswered =
          Between(aAttempt.since, this->now) >= kRequestTime;
        if (isAnswered) {
          CrashLedger& ledger = this->gateways[aAttempt.gateway].ledger;
          ledger.OnAnswered(aAttempt.request, this->now);
          for (const Fingerprint part : aAttempt.parts) {
            ledger.OnPassed(part, aAttempt.since + kCrashesAfter, this->now);
          }
        }
        return isAnswered;
      });
    }
  }

  void Exit(Server& aServer)
  {
    this->exited.push_back(
      { aServer.key, std::move(aServer.attempts), this->now + kDetectionTime });
    aServer = { ++this->lastServer, {}, this->now + kRestartTime };
    if (++this->result.exits == 3) {
      this->thirdExit = this->now;
    }
  }

  void ReportExits()
  {
    while (!this->exited.empty() && this->exited.front().at <= this->now) {
      const Exited& exit = this->exited.front();
      for (const Attempt& attempt : exit.attempts) {
        const bool hadBody =
          Between(attempt.since, exit.at) > kCrashesAfter + kDetectionTime;
        CrashLedger& ledger = this->gateways[attempt.gateway].ledger;
        ledger.Take({ attempt.request,
                      exit.key,
                      hadBody ? CrashWeight::Late : CrashWeight::Early },
                    CrashLedger::Source::Own,
                    this->now);
        for (std::size_t i = 0; i < attempt.parts.size(); ++i) {
          ledger.Take({ attempt.parts[i],
                        exit.key,
                        CrashWeight::Early,
                        static_cast<Specificity>(i) },
                      CrashLedger::Source::Own,
                      this->now);
        }
        if (attempt.repeats > 0) {
          Attempt repeated = attempt;
          --repeated.repeats;
          this->Send(std::move(repeated));
        }
      }
      this->exited.pop_front();
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

  void SendUpdates(long aStep)
  {
    const std::size_t empty = WriteDigest({}, "secret").size();
    for (Gateway& from : this->gateways) {
      if (aStep % 100 == 0) {
        from.bytesInSecond = 0;
      }
      from.nextUpdate -= kStep;
      if (from.nextUpdate > Duration::zero()) {
        continue;
      }
      const std::vector<std::size_t> targets = this->Targets(from);
      from.nextUpdate = std::max(PeerExchange::kMinDigestPeriod,
                                 Duration(seconds(targets.size())) /
                                   PeerExchange::kDigestsPerSecond);
      PeerDigest digest;
      digest.crashes = from.ledger.OutgoingUpdate(this->now);
      from.bytesInSecond +=
        (WriteDigest(digest, "secret").size() - empty) * targets.size();
      this->result.mostBytesPerSecond =
        std::max(this->result.mostBytesPerSecond, from.bytesInSecond);
      for (const std::size_t target : targets) {
        if (!this->Chance(this->options.loss)) {
          this->Apply(this->gateways[target], digest.crashes);
        }
      }
    }
  }

  void Apply(Gateway& aGateway, const CrashUpdate& aNews) const
  {
    for (const QuarantineVerdict& verdict : aNews.verdicts) {
      aGateway.ledger.Take(verdict, this->now);
    }
    for (const CrashEvidence& evidence : aNews.evidence) {
      aGateway.ledger.Take(evidence, CrashLedger::Source::Peer, this->now);
    }
  }

  void EvaluateLedgers(long aStep)
  {
    if (aStep % (CrashLedger::kEvaluationPeriod / kStep) != 0) {
      return;
    }
    bool allKnow = true;
    for (Gateway& gateway : this->gateways) {
      for (const Fingerprint request : gateway.ledger.Evaluate(this->now)) {
        this->result.othersQuarantined += request == this->Culprit() ? 0 : 1;
      }
      allKnow =
        allKnow && gateway.ledger.StatusOf(this->Culprit(), this->now) ==
                     CrashStatus::Quarantined;
      this->result.mostSuspects =
        std::max(this->result.mostSuspects, gateway.ledger.SuspectCount());
    }
    if (allKnow && this->result.knownAfter == Duration::max()) {
      this->result.knownAfter = Between(*this->thirdExit, this->now);
    }
  }

  ModelOptions options;
  std::mt19937 random;
  std::vector<Gateway> gateways;
  std::vector<Server> servers;
  std::deque<Exited> exited;
  TimePoint now = kStart;
  ServerKey lastServer = 0;
  Fingerprint lastOther = kFirstOther;
  std::optional<TimePoint> thirdExit;
  ModelResult result;
};

/// A hundredth of the slowest link of a gateway, 10 Mbit/s, in bytes per
/// second.
constexpr std::size_t kMostBytes = 12'500;

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
