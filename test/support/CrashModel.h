#ifndef DOGWOODVALE_TEST_SUPPORT_CRASHMODEL_H
#define DOGWOODVALE_TEST_SUPPORT_CRASHMODEL_H

#include <deque>
#include <list>
#include <random>

#include "dogwoodvale/Gateway"

namespace dogwoodvale::test {

/// A hundredth of the slowest link of a gateway, 10 Mbit/s, in bytes per
/// second.
inline constexpr std::size_t kMostBytes = 12'500;
inline constexpr Duration kStep = milliseconds(10);
inline constexpr Fingerprint kCrashing = 1;
/// Parts of prompts: the one that crashes servers, one of all requests, and one
/// of each customer.
inline constexpr Fingerprint kCrashingPart = 2;
inline constexpr Fingerprint kCommonPart = 3;
inline constexpr Fingerprint kDeepPart = 4;
inline constexpr Fingerprint kFirstCustomerPart = 5;
inline constexpr Fingerprint kCustomers = 10;
inline constexpr Fingerprint kFirstOther = kFirstCustomerPart + kCustomers;
inline const TimePoint kModelStart = TimePoint{} + seconds(1000);

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
  /// When the first crashing request is sent.
  Duration crashesFrom{ 0 };
  /// Crashing requests sent at once then.
  int crashingAtOnce = 0;
  /// Share of the other requests that have all parts but one in common with the
  /// crashing ones, one of them behind the crashing part. The rest have none.
  double commonShare = 1.0;
  bool hasDeepPart = false;
  /// Time in which a server answers a request.
  Duration requestTime = seconds(1);
  /// Time from a server's exit until it is back.
  Duration restartTime = seconds(3);
  unsigned seed = 1;
};

/// Many requests with a crashing part come at once, before any gateway knows of
/// a crash, and end all or most servers within a second.
inline ModelOptions
FastStart(std::size_t aGateways, std::size_t aServers)
{
  ModelOptions options;
  options.gateways = aGateways;
  options.servers = aServers;
  options.othersPerSecond = 4.5 * static_cast<double>(aServers);
  options.commonShare = 0.6;
  options.crashesByPart = true;
  options.hasDeepPart = true;
  options.crashesFrom = seconds(4);
  options.crashingAtOnce = static_cast<int>(2 * aServers);
  options.crashInterval = milliseconds(1000) / static_cast<int>(aServers);
  options.restartTime = seconds(2);
  options.length = seconds(25);
  return options;
}

struct ModelResult
{
  std::size_t exits = 0;
  /// Runs of crashing requests sent later than kContact after the third exit.
  std::size_t lateAttempts = 0;
  std::size_t othersQuarantined = 0;
  /// Requests with the common parts that were sent kContact after the fifth
  /// exit or later, and how many of them a server began.
  std::size_t commonSent = 0;
  std::size_t commonBegun = 0;
  /// The same before the first crashing request.
  std::size_t commonSentBefore = 0;
  std::size_t commonBegunBefore = 0;
  /// Runs of crashing requests sent later than kContact after the fifth exit.
  std::size_t lateAfterFive = 0;
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
  explicit CrashModel(ModelOptions aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , servers(aOptions.servers)
  {
    const std::size_t cells = CellCount(aOptions.gateways, 1);
    for (std::size_t i = 0; i < aOptions.gateways; ++i) {
      Gateway& made =
        this->gateways.emplace_back(InstanceName(fmt::format("g{}", i)));
      made.cell = CellOf(made.name, cells);
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
      this->SendWaiting();
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
    explicit Gateway(InstanceName aName)
      : name(std::move(aName))
    {
    }

    InstanceName name;
    std::size_t cell = 0;
    CrashLedger ledger{ seconds(600) };
    InFlightDuplicates inFlight;
    UnresolvedAttempts broken;
    TrialTurns turns{ this->name, this->inFlight };
    SuspectGate gate{ this->ledger, this->inFlight, this->broken, this->turns };
    Duration nextUpdate{ 0 };
    std::size_t bytesInSecond = 0;
  };
  struct Attempt
  {
    Fingerprint request = 0;
    std::vector<Fingerprint> parts;
    std::size_t gateway = 0;
    /// When it was sent to its server.
    TimePoint since{};
    int repeats = 0;
    bool isRepeated = false;
    /// The server has been answering for CrashLedger::kPassTime.
    bool hasPassed = false;
    /// When its caller sent it.
    TimePoint arrived{};

    CrashSubjects Subjects() const { return { this->request, this->parts }; }
  };
  /// A request at a gateway that may not be sent yet.
  struct Waiting
  {
    Attempt attempt;
    SuspectWait wait;
    TimePoint nextAt{};
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

  /// A request reaches a gateway drawn at random.
  void Send(Attempt aAttempt)
  {
    aAttempt.gateway = this->Draw(this->gateways.size());
    this->waiting.emplace_back(std::move(aAttempt));
  }

  void SendWaiting()
  {
    std::erase_if(this->waiting, [this](Waiting& aOne) {
      return aOne.nextAt <= this->now && this->TryToSend(aOne);
    });
  }

  /// \return whether the request was sent or refused.
  bool TryToSend(Waiting& aWaiting)
  {
    Attempt& attempt = aWaiting.attempt;
    if (this->IsQuarantined(attempt.gateway, attempt.request) ||
        std::ranges::any_of(attempt.parts, [&](Fingerprint aPart) {
          return this->IsQuarantined(attempt.gateway, aPart);
        })) {
      return true;
    }
    Gateway& gateway = this->gateways[attempt.gateway];
    const SuspectWait::Step step = aWaiting.wait.Next(gateway.gate,
                                                      attempt.Subjects(),
                                                      !attempt.isRepeated,
                                                      this->now,
                                                      this->gatewayRandom);
    aWaiting.nextAt = this->now + step.wait;
    if (step.action == SuspectWait::Action::Send) {
      this->Begin(std::move(attempt));
    }
    return step.action != SuspectWait::Action::Wait;
  }

  /// Sends it to a server that is up, if any is.
  void Begin(Attempt aAttempt)
  {
    std::vector<Server*> up;
    for (Server& server : this->servers) {
      if (server.backAt <= this->now) {
        up.push_back(&server);
      }
    }
    if (up.empty()) {
      return;
    }
    aAttempt.since = this->now;
    this->CountBegin(aAttempt);
    Gateway& gateway = this->gateways[aAttempt.gateway];
    for (const Fingerprint part : aAttempt.parts) {
      gateway.inFlight.OnSent(part);
    }
    gateway.inFlight.OnSent(aAttempt.request);
    up[this->Draw(up.size())]->attempts.push_back(std::move(aAttempt));
  }

  bool IsAfter(const std::optional<TimePoint>& aExit, TimePoint aAt) const
  {
    return aExit && Between(*aExit, aAt) > kContact;
  }

  bool IsCommon(const Attempt& aAttempt) const
  {
    return this->options.hasDeepPart && !this->IsCrashing(aAttempt) &&
           aAttempt.parts.back() == kDeepPart;
  }

  void CountBegin(const Attempt& aAttempt)
  {
    const bool isCrashing = this->IsCrashing(aAttempt);
    this->result.lateAttempts +=
      isCrashing && this->IsAfter(this->thirdExit, this->now) ? 1 : 0;
    this->result.lateAfterFive +=
      isCrashing && this->IsAfter(this->fifthExit, this->now) ? 1 : 0;
    if (this->IsCommon(aAttempt) && !aAttempt.isRepeated) {
      this->result.commonBegun +=
        this->IsAfter(this->fifthExit, aAttempt.arrived) ? 1 : 0;
      this->result.commonBegunBefore +=
        aAttempt.arrived < kModelStart + this->options.crashesFrom ? 1 : 0;
    }
  }

  void EndAtGateway(const Attempt& aAttempt)
  {
    Gateway& gateway = this->gateways[aAttempt.gateway];
    gateway.inFlight.OnDone(aAttempt.request);
    if (aAttempt.hasPassed) {
      return;
    }
    for (const Fingerprint part : aAttempt.parts) {
      gateway.inFlight.OnDone(part);
    }
  }

  /// The request has got through.
  void Pass(Attempt& aAttempt)
  {
    if (std::exchange(aAttempt.hasPassed, true)) {
      return;
    }
    Gateway& gateway = this->gateways[aAttempt.gateway];
    for (const Fingerprint part : aAttempt.parts) {
      gateway.inFlight.OnDone(part);
      gateway.ledger.OnPassed(part, aAttempt.since + kCrashesAfter, this->now);
    }
  }

  /// Sends a crashing request, which shares all parts but one with others.
  void SendCrashing()
  {
    if (this->options.hasDeepPart) {
      this->Send(this->Made({ kCommonPart, kCrashingPart, kDeepPart }));
    } else if (this->options.crashesByPart) {
      this->Send(
        this->Made({ kCommonPart, kFirstCustomerPart, kCrashingPart }));
    } else {
      Attempt made = this->Made({ kCommonPart, kFirstCustomerPart });
      made.request = kCrashing;
      this->Send(std::move(made));
    }
  }

  Attempt Made(std::vector<Fingerprint> aParts)
  {
    Attempt made;
    made.request = ++this->lastOther;
    made.parts = std::move(aParts);
    made.arrived = this->now;
    return made;
  }

  Attempt MadeOther()
  {
    const Fingerprint customer = kFirstCustomerPart + this->Draw(kCustomers);
    if (!this->Chance(this->options.commonShare)) {
      return this->Made({ customer });
    }
    Attempt other = this->options.hasDeepPart
                      ? this->Made({ kCommonPart, customer, kDeepPart })
                      : this->Made({ kCommonPart, customer });
    other.repeats = this->options.repeats;
    if (this->options.hasDeepPart) {
      this->result.commonSent +=
        this->IsAfter(this->fifthExit, this->now) ? 1 : 0;
      this->result.commonSentBefore +=
        this->now < kModelStart + this->options.crashesFrom ? 1 : 0;
    }
    return other;
  }

  void Arrive(long aStep)
  {
    const Duration time = aStep * kStep;
    const bool crashes = time >= this->options.crashesFrom;
    if (crashes && time % this->options.crashInterval < kStep) {
      this->SendCrashing();
    }
    if (crashes && time < this->options.crashesFrom + kStep) {
      for (int i = 0; i < this->options.crashingAtOnce; ++i) {
        this->SendCrashing();
      }
    }
    const double expected =
      this->options.othersPerSecond * static_cast<double>(kStep.count()) / 1e6;
    for (double left = expected; left > 0; left -= 1) {
      if (this->Chance(left)) {
        this->Send(this->MadeOther());
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
      std::erase_if(server.attempts, [&](Attempt& aAttempt) {
        const Duration ran = Between(aAttempt.since, this->now);
        if (ran >= kCrashesAfter + CrashLedger::kPassTime) {
          this->Pass(aAttempt);
        }
        const bool isAnswered = ran >= this->options.requestTime;
        if (isAnswered) {
          this->Pass(aAttempt);
          this->EndAtGateway(aAttempt);
          this->gateways[aAttempt.gateway].ledger.OnAnswered(aAttempt.request,
                                                             this->now);
        }
        return isAnswered;
      });
    }
  }

  void Exit(Server& aServer)
  {
    this->exited.push_back(
      { aServer.key, std::move(aServer.attempts), this->now + kDetectionTime });
    aServer = { ++this->lastServer, {}, this->now + this->options.restartTime };
    ++this->result.exits;
    if (this->result.exits == 3) {
      this->thirdExit = this->now;
    }
    if (this->result.exits == 5) {
      this->fifthExit = this->now;
    }
  }

  void ReportExits()
  {
    while (!this->exited.empty() && this->exited.front().at <= this->now) {
      const Exited& exit = this->exited.front();
      for (const Attempt& attempt : exit.attempts) {
        const bool hadBody =
          Between(attempt.since, exit.at) > kCrashesAfter + kDetectionTime;
        this->EndAtGateway(attempt);
        CrashLedger& ledger = this->gateways[attempt.gateway].ledger;
        ledger.Take({ attempt.request,
                      exit.key,
                      hadBody ? CrashWeight::Late : CrashWeight::Early },
                    CrashLedger::Source::Own,
                    this->now);
        const std::size_t parts = attempt.hasPassed ? 0 : attempt.parts.size();
        for (std::size_t i = 0; i < parts; ++i) {
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
          repeated.isRepeated = true;
          repeated.hasPassed = false;
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
      from.nextUpdate = PeerExchange::DigestPeriod(targets.size());
      from.turns.SetReportPeriod(from.nextUpdate);
      PeerDigest digest;
      digest.gateway = from.name;
      digest.crashes = from.ledger.OutgoingUpdate(this->now);
      digest.suspectsInFlight =
        from.gate.SuspectsInFlight(CrashLedger::kMaxUpdateEntries, this->now);
      from.bytesInSecond +=
        (WriteDigest(digest, "secret").size() - empty) * targets.size();
      this->result.mostBytesPerSecond =
        std::max(this->result.mostBytesPerSecond, from.bytesInSecond);
      for (const std::size_t target : targets) {
        if (!this->Chance(this->options.loss)) {
          this->Apply(this->gateways[target], digest);
        }
      }
    }
  }

  void Apply(Gateway& aGateway, const PeerDigest& aDigest) const
  {
    aGateway.inFlight.SetPeerDuplicates(
      aDigest.gateway, aDigest.suspectsInFlight, this->now);
    for (const QuarantineVerdict& verdict : aDigest.crashes.verdicts) {
      aGateway.ledger.Take(verdict, this->now);
    }
    for (const CrashEvidence& evidence : aDigest.crashes.evidence) {
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
  /// For the gateways' own delays, so that load and losses stay the same.
  std::mt19937_64 gatewayRandom{ 1 };
  /// Their members refer to each other.
  std::deque<Gateway> gateways;
  std::list<Waiting> waiting;
  std::vector<Server> servers;
  std::deque<Exited> exited;
  TimePoint now = kModelStart;
  ServerKey lastServer = 0;
  Fingerprint lastOther = kFirstOther;
  std::optional<TimePoint> thirdExit;
  std::optional<TimePoint> fifthExit;
  ModelResult result;
};

} // namespace dogwoodvale::test

#endif
