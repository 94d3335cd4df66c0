#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

#include "tools/load/HistoryChecker.h"

using namespace dogwoodvale;
using namespace dogwoodvale::load;

namespace {

Call
MakeCall(std::string aNonce, int aTier, double aSentMs)
{
  Call call;
  call.nonce = call.call = std::move(aNonce);
  call.className = fmt::format("tier{}", aTier);
  call.tier = aTier;
  call.sentMs = aSentMs;
  return call;
}

Call
Whole(std::string aNonce, int aTier, double aSentMs, double aStartedMs)
{
  Call call = MakeCall(std::move(aNonce), aTier, aSentMs);
  call.ending = Ending::Complete;
  call.tokens = call.expectedTokens = 5;
  call.firstTokenMs = aStartedMs + 10;
  call.endedMs = aStartedMs + 100;
  return call;
}

Call
Refused(std::string aNonce, int aTier, double aSentMs, double aEndedMs)
{
  Call call = MakeCall(std::move(aNonce), aTier, aSentMs);
  call.ending = Ending::Error;
  call.code = "queue_full";
  call.disposition = Disposition::NotRun;
  call.endedMs = aEndedMs;
  return call;
}

Execution
Ran(const Call& aCall, std::string aServer, double aStartedMs)
{
  return {
    std::move(aServer), "1", aCall.nonce,           aCall.key, aStartedMs,
    aStartedMs + 90,    5,   ExecutionEnd::Complete
  };
}

/// A small right history on two servers.
struct Sample
{
  std::vector<Call> calls;
  std::vector<Execution> executions;
  Rules rules;

  Sample()
  {
    this->calls = { Whole("a", 0, 0, 5),
                    Whole("b", 2, 0, 50),
                    Refused("c", 2, 100, 101) };
    this->calls[0].idempotent = false;
    this->calls[0].key = "k";
    this->executions = { Ran(this->calls[0], "s1", 5),
                         Ran(this->calls[1], "s2", 50) };
    this->rules.noCuts = true;
    this->rules.waitBoundMs = { { "tier0", 1000 }, { "tier2", 2000 } };
    this->rules.leftMs = { { "s1", 1000 } };
  }

  std::vector<Violation> Run() const
  {
    return Check(this->calls, this->executions, this->rules);
  }
};

/// Whether exactly the promise \p aPromise is found broken.
bool
BreaksOnly(const Sample& aSample, Promise aPromise)
{
  const std::vector<Violation> found = aSample.Run();
  return !found.empty() &&
         std::all_of(found.begin(), found.end(), [&](const Violation& aEach) {
           return aEach.promise == aPromise;
         });
}

/// Backend servers that each serve one queue strictly by tier, as the
/// sidecars promise to; what it writes is right by construction.
class StrictService
{
public:
  StrictService(int aServers, int aSlots, std::size_t aQueueBound)
    : servers(static_cast<std::size_t>(aServers))
    , slots(aSlots)
    , queueBound(aQueueBound)
  {
  }

  void Run(std::mt19937& aRandom, int aCount)
  {
    std::uniform_int_distribution<int> tier(0, 2);
    std::uniform_real_distribution<double> gap(0, 20);
    for (int index = 0; index < aCount; ++index) {
      this->nowMs += gap(aRandom);
      this->Advance();
      this->Arrive(
        MakeCall(fmt::format("n{}", index), tier(aRandom), this->nowMs),
        aRandom);
    }
    this->nowMs += 1e9;
    this->Advance();
  }

  std::vector<Call> calls;
  std::vector<Execution> executions;

private:
  struct Waiting
  {
    Call call;
    double serviceMs = 0;
  };
  struct Server
  {
    std::array<std::deque<Waiting>, 3> queues;
    std::vector<double> busyUntil;
  };

  void Arrive(Call aCall, std::mt19937& aRandom)
  {
    std::uniform_real_distribution<double> service(20, 400);
    const auto tier = static_cast<std::size_t>(*aCall.tier);
    const std::size_t first = aRandom() % this->servers.size();
    const double length = service(aRandom);
    for (std::size_t hop = 0; hop < 2; ++hop) {
      Server& server = this->servers[(first + hop) % this->servers.size()];
      if (server.queues.at(tier).size() < this->queueBound) {
        server.queues.at(tier).push_back({ std::move(aCall), length });
        this->Advance();
        return;
      }
    }
    this->calls.push_back(
      Refused(aCall.nonce, *aCall.tier, this->nowMs, this->nowMs + 1));
  }

  void Advance()
  {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      while (this->StartOne(index)) {
      }
    }
  }

  bool StartOne(std::size_t aIndex)
  {
    Server& server = this->servers[aIndex];
    for (auto& queue : server.queues) {
      if (queue.empty()) {
        continue;
      }
      double startMs = queue.front().call.sentMs;
      if (int(server.busyUntil.size()) == this->slots) {
        const auto free =
          std::min_element(server.busyUntil.begin(), server.busyUntil.end());
        if (*free > this->nowMs) {
          return false;
        }
        startMs = std::max(startMs, *free);
        server.busyUntil.erase(free);
      }
      const Waiting next = queue.front();
      queue.pop_front();
      server.busyUntil.push_back(startMs + next.serviceMs);
      this->calls.push_back(
        Whole(next.call.nonce, *next.call.tier, next.call.sentMs, startMs));
      this->executions.push_back(
        Ran(next.call, fmt::format("s{}", aIndex), startMs));
      return true;
    }
    return false;
  }

  std::vector<Server> servers;
  int slots;
  std::size_t queueBound;
  double nowMs = 0;
};

} // namespace

TEST_CASE("a right history passes")
{
  REQUIRE(Sample().Run().empty());
}

TEST_CASE("an answer that isn't the caller's own or not whole is named")
{
  for (const Ending ending : { Ending::Crossed,
                               Ending::Duplicated,
                               Ending::Truncated,
                               Ending::Unanswered }) {
    Sample sample;
    sample.calls[1].ending = ending;
    REQUIRE(BreaksOnly(sample, Promise::OwnWholeAnswer));
  }
  Sample shortOne;
  shortOne.calls[1].tokens = 4;
  REQUIRE(BreaksOnly(shortOne, Promise::OwnWholeAnswer));
  Sample twoEnds;
  twoEnds.calls.push_back(twoEnds.calls[1]);
  REQUIRE(BreaksOnly(twoEnds, Promise::OwnWholeAnswer));
}

TEST_CASE("a refused request that ran is named")
{
  // The caller is told not_run and repeats its request; a sidecar that lost
  // the reply race had started it all the same, so the work is done twice.
  Sample sample;
  sample.executions.push_back(Ran(sample.calls[2], "s2", 110));
  REQUIRE(BreaksOnly(sample, Promise::NotRunIsTrue));
  const std::vector<Violation> found = sample.Run();
  REQUIRE(found[0].calls == std::vector<std::size_t>{ 2 });
  REQUIRE(found[0].executions == std::vector<std::size_t>{ 2 });
  Sample tokens;
  tokens.calls[2].tokens = 1;
  REQUIRE(BreaksOnly(tokens, Promise::NotRunIsTrue));
}

TEST_CASE("non-idempotent work that ran twice is named")
{
  Sample twice;
  twice.executions.push_back(Ran(twice.calls[0], "s2", 30));
  REQUIRE(BreaksOnly(twice, Promise::AtMostOnce));
  // Two requests with one key: a caller repeats after a lost reply. Each runs
  // once under its own nonce, so only the key shows that the work ran twice.
  Sample repeated;
  repeated.calls.push_back(Whole("a2", 0, 200, 205));
  repeated.calls.back().idempotent = false;
  repeated.calls.back().key = "k";
  repeated.executions.push_back(Ran(repeated.calls.back(), "s2", 205));
  REQUIRE(BreaksOnly(repeated, Promise::AtMostOnce));
  Sample idempotent;
  idempotent.executions.push_back(Ran(idempotent.calls[1], "s1", 30));
  REQUIRE(idempotent.Run().empty());
}

TEST_CASE("a class that waits beyond its bound is named")
{
  Sample slow;
  slow.calls[1].firstTokenMs = 2001;
  REQUIRE(BreaksOnly(slow, Promise::NoStarvation));
  Sample never;
  never.calls[1].ending = Ending::Abandoned;
  never.calls[1].firstTokenMs.reset();
  never.calls[1].endedMs = 2500;
  REQUIRE(BreaksOnly(never, Promise::NoStarvation));
}

TEST_CASE("a request that a planned stop cut off is named")
{
  Sample cut;
  cut.calls[1].ending = Ending::Cut;
  REQUIRE(BreaksOnly(cut, Promise::PlannedStop));
  Sample unsure;
  unsure.calls[1].ending = Ending::Error;
  unsure.calls[1].disposition = Disposition::MayHaveRun;
  REQUIRE(BreaksOnly(unsure, Promise::PlannedStop));
  unsure.rules.noCuts = false;
  REQUIRE(unsure.Run().empty());
}

TEST_CASE("work started on a leaving server after the grace is named")
{
  Sample late;
  late.calls.push_back(Whole("d", 2, 4000, 4001));
  late.executions.push_back(Ran(late.calls.back(), "s1", 4001));
  REQUIRE(BreaksOnly(late, Promise::LeavingServer));
  late.executions.back().startedMs = 3999;
  REQUIRE(late.Run().empty());
}

TEST_CASE("a higher tier shed while only lower tiers waited is named")
{
  // A shared queue is full of applicant requests; an inspector's comes and is
  // refused, since nothing is evicted for it; then an applicant's is started.
  Sample sample;
  sample.calls.push_back(Whole("low", 2, 1500, 3000));
  sample.calls.push_back(Refused("high", 0, 2000, 2001));
  sample.executions.push_back(Ran(sample.calls[3], "s2", 3000));
  // The classes share the service of s2 only once tier 0 ran there too.
  sample.executions[0].server = "s2";
  REQUIRE(BreaksOnly(sample, Promise::TierOrder));
  // A keyed request may have waited for its claim, outside of the queue.
  sample.calls[3].key = "k2";
  REQUIRE(sample.Run().empty());
  sample.calls[3].key.clear();
  // Another of the higher tier stood in the queue: its own kind filled it.
  sample.calls.push_back(Whole("peer", 0, 1900, 2500));
  sample.executions.push_back(Ran(sample.calls[5], "s2", 2500));
  REQUIRE(sample.Run().empty());
}

TEST_CASE("a higher tier held and then shed while lower ones start is named")
{
  // A teller's request waits 500 ms and is evicted; meanwhile its server
  // starts a note that came later. Another teller's waits too, so memory may
  // have been short, but the note must not have gone first.
  Sample sample;
  sample.executions[0].server = "s2";
  sample.calls.push_back(Refused("high", 0, 2000, 2500));
  sample.calls.back().code = "evicted";
  sample.calls.push_back(Whole("peer", 0, 2000, 2600));
  sample.executions.push_back(Ran(sample.calls.back(), "s2", 2600));
  sample.calls.push_back(Whole("low", 2, 2100, 2200));
  sample.executions.push_back(Ran(sample.calls.back(), "s2", 2200));
  REQUIRE(BreaksOnly(sample, Promise::TierOrder));
  // A keyed request may have been held by its claim, outside of the queue.
  sample.calls[3].key = "k2";
  REQUIRE(sample.Run().empty());
  // Had the note waited beyond its bound, it was its turn.
  sample.calls[3].key.clear();
  sample.rules.agedWaitMs = 90;
  REQUIRE(sample.Run().empty());
}

TEST_CASE("strict servers under overload give no false alarm")
{
  rc::prop("the checker accepts every history of strict servers", [] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    StrictService service(*rc::gen::inRange(1, 4),
                          *rc::gen::inRange(1, 4),
                          *rc::gen::inRange<std::size_t>(1, 6));
    service.Run(random, 300);
    const auto found = Check(service.calls, service.executions, Rules());
    RC_ASSERT(found.empty());
  });
}

TEST_CASE("one fault put into a right history is found")
{
  rc::prop("each mutation breaks its promise", [] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    StrictService service(2, 2, 3);
    service.Run(random, 60);
    std::vector<Call> calls = std::move(service.calls);
    std::vector<Execution> executions = std::move(service.executions);
    Rules rules;
    rules.noCuts = true;
    const std::size_t at = *rc::gen::suchThat(
      rc::gen::inRange<std::size_t>(0, calls.size()),
      [&](std::size_t aAt) { return calls[aAt].ending == Ending::Complete; });
    Call& call = calls[at];
    const auto promise = static_cast<Promise>(*rc::gen::inRange(0, 6));
    switch (promise) {
      case Promise::OwnWholeAnswer:
        call.ending = *rc::gen::element(
          Ending::Crossed, Ending::Duplicated, Ending::Truncated);
        break;
      case Promise::NotRunIsTrue:
        call.ending = Ending::Error;
        call.disposition = Disposition::NotRun;
        break;
      case Promise::AtMostOnce:
        call.idempotent = false;
        executions.push_back(Ran(call, "s0", call.endedMs + 1));
        break;
      case Promise::NoStarvation:
        rules.waitBoundMs[call.className] =
          *call.firstTokenMs - call.sentMs - 0.5;
        break;
      case Promise::PlannedStop:
        call.ending = Ending::Cut;
        break;
      case Promise::LeavingServer:
        rules.leftMs["s0"] = executions.back().startedMs - 3001;
        executions.back().server = "s0";
        break;
      case Promise::TierOrder:
        break;
    }
    const auto found = Check(calls, executions, rules);
    RC_ASSERT(std::any_of(found.begin(), found.end(), [&](const auto& aEach) {
      return aEach.promise == promise;
    }));
  });
}
