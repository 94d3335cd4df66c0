#include <cmath>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "test/SchedulingSupport.h"

using namespace dogwoodvale;
using namespace dogwoodvale::testing;

namespace {

RunningRequest
MakeRunning(std::uint64_t aSequence, Tier aTier, std::uint32_t aTokens)
{
  RunningRequest running;
  running.id = { 2, aSequence };
  running.tier = aTier;
  running.idempotent = true;
  running.promptTokens = aTokens;
  running.started = kStart;
  return running;
}

PreemptionPolicy
MakePolicy()
{
  PreemptionPolicy::Options options;
  options.costs.prefillPerToken = Duration(20);
  options.costs.overhead = milliseconds(10);
  return *PreemptionPolicy::Create(options);
}

} // namespace

TEST_CASE("lengths are learned per customer, then class, then prior")
{
  auto lengths = *LengthEstimator::Create({});
  const ClassName review("review");
  const CustomerName large("large");
  const double prior = LengthEstimator::Options().prior;
  REQUIRE(lengths.Mean(review, large) == Approx(prior));
  for (int answer = 0; answer < 200; ++answer) {
    lengths.Observe(review, large, 1000);
    lengths.Observe(review, CustomerName("small"), 100);
  }
  REQUIRE(lengths.Mean(review, large) == Approx(1000).epsilon(0.05));
  REQUIRE(lengths.Mean(review, CustomerName("small")) ==
          Approx(100).epsilon(0.4));
  REQUIRE(lengths.Mean(review, CustomerName("new")) ==
          Approx(550).epsilon(0.1));
  REQUIRE(lengths.Mean(ClassName("note"), large) == Approx(prior));
}

TEST_CASE("the upper quantile covers nine answers in ten")
{
  auto lengths = *LengthEstimator::Create({});
  const ClassName review("review");
  std::uint32_t draw = 1;
  const int answers = 5000;
  int covered = 0;
  for (int answer = 0; answer < answers; ++answer) {
    draw = draw * 1664525U + 1013904223U;
    const std::uint32_t tokens = (draw >> 8U) % 1000;
    covered += tokens <= lengths.UpperQuantile(review) ? 1 : 0;
    lengths.Observe(review, CustomerName("a"), tokens);
  }
  REQUIRE(covered > 0.87 * answers);
  REQUIRE(covered < 0.93 * answers);
}

TEST_CASE("the length estimator's memory is bounded")
{
  LengthEstimator::Options options;
  options.capacity = 100;
  auto lengths = *LengthEstimator::Create(options);
  for (int customer = 0; customer < 10000; ++customer) {
    lengths.Observe(ClassName(std::to_string(customer)),
                    CustomerName(std::to_string(customer)),
                    10);
  }
  REQUIRE(lengths.Size() == 100);
  options.capacity = 0;
  REQUIRE_FALSE(LengthEstimator::Create(options).ok());
}

// A running request is thrown out for one of its own or a lower tier, one that
// must not run twice is run again, or the server spends more on prefilling the
// victim anew than the head is saved.
TEST_CASE("preemption is only of a lower tier, idempotent and worth it")
{
  const PreemptionPolicy policy = MakePolicy();
  rc::prop("whatever runs and waits", [&policy] {
    const int count = *rc::gen::inRange(0, 12);
    std::vector<RunningRequest> running;
    for (int index = 0; index < count; ++index) {
      RunningRequest request =
        MakeRunning(static_cast<std::uint64_t>(index),
                    static_cast<Tier>(*rc::gen::inRange(0, 4)),
                    *rc::gen::inRange<std::uint32_t>(0, 8000));
      request.idempotent = *rc::gen::inRange(0, 3) > 0;
      request.tokensDone = *rc::gen::inRange<std::uint32_t>(0, 2000);
      request.preemptions = *rc::gen::inRange<std::uint32_t>(0, 4);
      request.startedOverdue = *rc::gen::inRange(0, 4) == 0;
      running.push_back(request);
    }
    QueuedRequest head = MakeRequest(
      99, static_cast<Tier>(*rc::gen::inRange(0, 4)), "teller", "a");
    const Duration wait = milliseconds(*rc::gen::inRange(0, 400));
    head.target = kStart + milliseconds(*rc::gen::inRange(0, 200));
    const bool misses = kStart + wait > head.target;
    const auto victim = policy.PickVictim(running, head, wait, kStart);
    const auto allowed = [&](const RunningRequest& aRequest) {
      return misses && aRequest.tier > head.tier && aRequest.idempotent &&
             !aRequest.startedOverdue && aRequest.preemptions < 2 &&
             1.5 * static_cast<double>(policy.CostOf(aRequest).count()) <
               static_cast<double>(wait.count());
    };
    bool anyAllowed = false;
    for (const RunningRequest& request : running) {
      anyAllowed = anyAllowed || allowed(request);
      if (victim && request.id == *victim) {
        RC_ASSERT(allowed(request));
      }
    }
    RC_ASSERT(victim.has_value() == anyAllowed);
  });
}

TEST_CASE("the victim is the cheapest of the lowest tier")
{
  const PreemptionPolicy policy = MakePolicy();
  const std::vector<RunningRequest> running{ MakeRunning(1, 1, 10),
                                             MakeRunning(2, 3, 900),
                                             MakeRunning(3, 3, 100) };
  const auto victim = policy.PickVictim(
    running, MakeRequest(9, 0, "teller", "a"), seconds(2), kStart);
  REQUIRE(victim == RequestId{ 2, 3 });
}

// A lower-tier caller is held until its deadline and then told that there was
// no room; it could have been told at once. Ten starts a second: six of the top
// tier, three of reviews, one of notes in the same tier as those.
TEST_CASE("the expected wait counts who is before and what they leave")
{
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kRoomy);
  const QueuedRequest teller = MakeRequest(1000, 0, "teller", "a");
  const QueuedRequest review = MakeRequest(1001, 2, "review", "a");
  const QueuedRequest note = MakeRequest(1002, 2, "note", "a");
  TimePoint now = kStart;
  for (int start = 0; start < 500; ++start) {
    now += milliseconds(100);
    const int kind = start % 10;
    starts.OnStart(kind < 6 ? teller : kind < 9 ? review : note, now);
  }
  REQUIRE(starts.StartRate(now) == Approx(10).epsilon(0.1));
  REQUIRE(EstimatedWait(queue, starts, review, now) == 0);
  for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
    queue.Enqueue(MakeRequest(sequence, 2, "review", "a", now), now);
  }
  // By tier 20 over 4 a second; once the backlog has lasted, by class 20
  // over 3.
  REQUIRE(EstimatedWait(queue, starts, review, now) == Approx(5).epsilon(0.15));
  REQUIRE(EstimatedWait(queue, starts, review, now + milliseconds(1300)) > 6);
  // The burst of reviews is not before the first note.
  REQUIRE(EstimatedWait(queue, starts, note, now) == 0);
  queue.Enqueue(MakeRequest(30, 2, "note", "a", now), now);
  REQUIRE(EstimatedWait(queue, starts, note, now) < 3);
  // A burst below does not count for a higher tier.
  REQUIRE(EstimatedWait(queue, starts, teller, now) == 0);
  REQUIRE(EstimatedWait(queue, starts, Tier{ 0 }, now) == 0);
  queue.Enqueue(MakeRequest(31, 0, "teller", "a", now), now);
  REQUIRE(EstimatedWait(queue, starts, teller, now) < 0.3);
  REQUIRE(std::isinf(
    EstimatedWait(queue, starts, review, now + std::chrono::hours(24))));
}

// A class whose oldest request is beyond its bound is still given newcomers,
// which are timely and go before the late ones; these wait without end.
TEST_CASE("a class beyond its bound takes no newcomers, others do")
{
  EarlyRefusal refusal = *EarlyRefusal::Create({});
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kRoomy);
  const QueuedRequest review = MakeRequest(1000, 2, "review", "a");
  const QueuedRequest note = MakeRequest(1001, 2, "note", "a");
  TimePoint now = kStart;
  for (int start = 0; start < 100; ++start) {
    now += milliseconds(50);
    starts.OnStart(review, now);
  }
  queue.Enqueue(MakeRequest(1, 2, "review", "a", now), now);
  const auto refuses = [&](const QueuedRequest& aNewcomer, TimePoint aAt) {
    starts.OnStart(review, aAt);
    return refusal.Refuses(queue, starts, aNewcomer, seconds(600), aAt);
  };
  REQUIRE_FALSE(refuses(review, now));
  // The bound is 60 s. 20 start a second: 100 are 5 s, 500 are 25 s.
  for (std::uint64_t sequence = 2; sequence <= 100; ++sequence) {
    queue.Enqueue(MakeRequest(sequence, 2, "review", "a", now), now);
  }
  REQUIRE_FALSE(refuses(review, now));
  for (std::uint64_t sequence = 101; sequence <= 500; ++sequence) {
    queue.Enqueue(MakeRequest(sequence, 2, "review", "a", now), now);
  }
  REQUIRE(refuses(review, now));
  REQUIRE(refuses(review, now + seconds(61)));
  REQUIRE_FALSE(refuses(note, now + seconds(61)));
  // One waits and 20 start in a second: not within a millisecond.
  REQUIRE(refusal.Refuses(queue, starts, review, milliseconds(1), now));
  REQUIRE_FALSE(EarlyRefusal::Create({ 0 }).ok());
}

// One of two servers stops. The other starts a little more than comes, yet
// after a burst of a second newcomers are refused that it would have started
// well within the class's bound. Where more comes than it starts they still
// are.
TEST_CASE("a server that keeps up refuses no burst", "[refusal]")
{
  EarlyRefusal refusal = *EarlyRefusal::Create({});
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kRoomy);
  const QueuedRequest review = MakeRequest(1000, 2, "review", "a");
  TimePoint now = kStart;
  std::uint64_t sequence = 0;
  int refused = 0;
  // 20 start a second; the bound is 60 s, a quarter of it is 300 waiting.
  const auto play = [&](Duration aLength, int aComing) {
    refused = 0;
    for (const TimePoint end = now + aLength; now < end;
         now += milliseconds(50)) {
      starts.OnStart(review, now);
      queue.Dequeue(now);
      for (int i = 0; i < aComing; ++i) {
        if (refusal.Refuses(queue, starts, review, seconds(600), now)) {
          ++refused;
        } else {
          queue.Enqueue(MakeRequest(++sequence, 2, "review", "a", now), now);
        }
      }
    }
  };
  play(seconds(20), 1);
  for (int i = 0; i < 310; ++i) {
    queue.Enqueue(MakeRequest(++sequence, 2, "review", "a", now), now);
  }
  play(seconds(20), 1);
  const int afterBurst = refused;
  play(seconds(20), 1);
  CHECK(refused == 0);
  INFO("refused while the burst counted: " << afterBurst);
  play(seconds(30), 2);
  CHECK(refused > 300);
  CHECK(queue.Size() < 340);
  CHECK_FALSE(EarlyRefusal::Create({ .shareInBurst = 0.2 }).ok());
  CHECK_FALSE(EarlyRefusal::Create({ .keepsUpWith = 0.9 }).ok());
}

// A sidecar that has just started has few starts to tell a rate by, and must
// not refuse what the server could serve.
TEST_CASE("a young estimate is not too low")
{
  auto starts = *WaitEstimator::Create(seconds(10));
  RequestQueue queue = MakeQueue(kRoomy);
  const QueuedRequest note = MakeRequest(1000, 2, "note", "a");
  TimePoint now = kStart;
  for (int start = 0; start < 10; ++start) {
    now += milliseconds(100);
    starts.OnStart(note, now);
  }
  REQUIRE(starts.StartRate(now) > 8);
}

TEST_CASE("the refused are told to come back spread out")
{
  REQUIRE(RetryAfter(4, 0) == milliseconds(2000));
  REQUIRE(RetryAfter(4, 0.5) == milliseconds(4000));
  REQUIRE(RetryAfter(0, 0) == milliseconds(50));
  REQUIRE(RetryAfter(HUGE_VAL, 0.5) == milliseconds(30000));
}
