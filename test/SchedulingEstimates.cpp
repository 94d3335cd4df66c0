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

TEST_CASE("answer lengths are estimated per customer, then class, then prior")
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

TEST_CASE("the upper quantile covers about 90 % of the answers")
{
  auto lengths = *LengthEstimator::Create({});
  const ClassName review("review");
  std::uint32_t randomState = 1;
  const int answers = 5000;
  int covered = 0;
  for (int answer = 0; answer < answers; ++answer) {
    randomState = randomState * 1664525U + 1013904223U;
    const std::uint32_t tokens = (randomState >> 8U) % 1000;
    covered += tokens <= lengths.UpperQuantile(review) ? 1 : 0;
    lengths.Observe(review, CustomerName("a"), tokens);
  }
  REQUIRE(covered > 0.87 * answers);
  REQUIRE(covered < 0.93 * answers);
}

TEST_CASE("the length estimator evicts pairs beyond its capacity")
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

// Guards against preempting a request of the same or a higher tier, running a
// non-idempotent request twice, and spending more time on the victim's second
// prefill than the head's wait is shortened by.
TEST_CASE("preemption takes only lower-tier idempotent requests that cost less "
          "than the wait saved")
{
  const PreemptionPolicy policy = MakePolicy();
  rc::prop("any running requests and head", [&policy] {
    const int count = *rc::gen::inRange(0, 12);
    std::vector<RunningRequest> running;
    for (int index = 0; index < count; ++index) {
      RunningRequest request =
        MakeRunning(static_cast<std::uint64_t>(index),
                    static_cast<Tier>(*rc::gen::inRange(0, 4)),
                    *rc::gen::inRange<std::uint32_t>(0, 8000));
      request.idempotent = *rc::gen::inRange(0, 3) > 0;
      request.tokensGenerated = *rc::gen::inRange<std::uint32_t>(0, 2000);
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

TEST_CASE("the preempted request is the cheapest of the lowest tier")
{
  const PreemptionPolicy policy = MakePolicy();
  const std::vector<RunningRequest> running{ MakeRunning(1, 1, 10),
                                             MakeRunning(2, 3, 900),
                                             MakeRunning(3, 3, 100) };
  const auto victim = policy.PickVictim(
    running, MakeRequest(9, 0, "teller", "a"), seconds(2), kStart);
  REQUIRE(victim == RequestId{ 2, 3 });
}

// Without a correct estimate, a lower-tier request waits until its deadline
// although it could have been refused on arrival. Ten starts per second: six of
// the top tier, three of class review and one of class note, which share a
// tier.
TEST_CASE("the expected wait is the queue ahead over the remaining start rate")
{
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kAmpleBounds);
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
  // By tier, 20 requests over 4 starts per second; once the class counts as
  // backlogged, 20 over 3.
  REQUIRE(EstimatedWait(queue, starts, review, now) == Approx(5).epsilon(0.15));
  REQUIRE(EstimatedWait(queue, starts, review, now + milliseconds(1300)) > 6);
  // The burst of class review is not ahead of the first request of class note.
  REQUIRE(EstimatedWait(queue, starts, note, now) == 0);
  queue.Enqueue(MakeRequest(30, 2, "note", "a", now), now);
  REQUIRE(EstimatedWait(queue, starts, note, now) < 3);
  // A burst in a lower tier does not count for a higher one.
  REQUIRE(EstimatedWait(queue, starts, teller, now) == 0);
  REQUIRE(EstimatedWait(queue, starts, Tier{ 0 }, now) == 0);
  queue.Enqueue(MakeRequest(31, 0, "teller", "a", now), now);
  REQUIRE(EstimatedWait(queue, starts, teller, now) < 0.3);
  REQUIRE(std::isinf(
    EstimatedWait(queue, starts, review, now + std::chrono::hours(24))));
}

// While the oldest request of a class is beyond its bound, admitted requests of
// the class would start before the late ones, which would wait without end.
TEST_CASE("a class beyond its bound refuses arrivals, other classes do not")
{
  EarlyRefusal refusal = *EarlyRefusal::Create({});
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kAmpleBounds);
  const QueuedRequest review = MakeRequest(1000, 2, "review", "a");
  const QueuedRequest note = MakeRequest(1001, 2, "note", "a");
  TimePoint now = kStart;
  for (int start = 0; start < 100; ++start) {
    now += milliseconds(50);
    starts.OnStart(review, now);
  }
  queue.Enqueue(MakeRequest(1, 2, "review", "a", now), now);
  const auto refuses = [&](const QueuedRequest& aArrival, TimePoint aAt) {
    starts.OnStart(review, aAt);
    return refusal.Refuses(queue, starts, aArrival, seconds(600), aAt);
  };
  REQUIRE_FALSE(refuses(review, now));
  // The bound is 60 s. At 20 starts per second, 100 requests take 5 s and 500
  // take 25 s.
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
  // At 20 starts per second, a request behind another does not start in 1 ms.
  REQUIRE(refusal.Refuses(queue, starts, review, milliseconds(1), now));
  REQUIRE_FALSE(EarlyRefusal::Create({ 0 }).ok());
}

// Guards against refusals after a short burst (e.g. when another server stops)
// by a server that starts requests at least as fast as they arrive and would
// start these well within the class's bound. At a higher arrival rate it must
// refuse.
TEST_CASE("a server that keeps up with arrivals admits a burst", "[refusal]")
{
  EarlyRefusal refusal = *EarlyRefusal::Create({});
  auto starts = *WaitEstimator::Create(seconds(5));
  RequestQueue queue = MakeQueue(kAmpleBounds);
  const QueuedRequest review = MakeRequest(1000, 2, "review", "a");
  TimePoint now = kStart;
  std::uint64_t sequence = 0;
  int refused = 0;
  // At 20 starts per second, a quarter of the 60 s bound is 300 queued
  // requests.
  const auto simulate = [&](Duration aLength, int aArrivals) {
    refused = 0;
    for (const TimePoint end = now + aLength; now < end;
         now += milliseconds(50)) {
      starts.OnStart(review, now);
      queue.Dequeue(now);
      for (int i = 0; i < aArrivals; ++i) {
        if (refusal.Refuses(queue, starts, review, seconds(600), now)) {
          ++refused;
        } else {
          queue.Enqueue(MakeRequest(++sequence, 2, "review", "a", now), now);
        }
      }
    }
  };
  simulate(seconds(20), 1);
  for (int i = 0; i < 310; ++i) {
    queue.Enqueue(MakeRequest(++sequence, 2, "review", "a", now), now);
  }
  simulate(seconds(20), 1);
  const int afterBurst = refused;
  simulate(seconds(20), 1);
  CHECK(refused == 0);
  INFO("refused in the 20 s after the burst: " << afterBurst);
  simulate(seconds(30), 2);
  CHECK(refused > 300);
  CHECK(queue.Size() < 340);
  CHECK_FALSE(EarlyRefusal::Create({ .shareInBurst = 0.2 }).ok());
  CHECK_FALSE(EarlyRefusal::Create({ .maxArrivalsPerStart = 0.9 }).ok());
}

// A sidecar that has just started has measured few starts. Too low a start rate
// would make it refuse requests that its server could serve.
TEST_CASE("the start rate is not underestimated after few starts")
{
  auto starts = *WaitEstimator::Create(seconds(10));
  RequestQueue queue = MakeQueue(kAmpleBounds);
  const QueuedRequest note = MakeRequest(1000, 2, "note", "a");
  TimePoint now = kStart;
  for (int start = 0; start < 10; ++start) {
    now += milliseconds(100);
    starts.OnStart(note, now);
  }
  REQUIRE(starts.StartRate(now) > 8);
}

TEST_CASE("the retry delay of refused requests is clamped and jittered")
{
  REQUIRE(RetryAfter(4, 0) == milliseconds(2000));
  REQUIRE(RetryAfter(4, 0.5) == milliseconds(4000));
  REQUIRE(RetryAfter(0, 0) == milliseconds(50));
  REQUIRE(RetryAfter(HUGE_VAL, 0.5) == milliseconds(30000));
}
