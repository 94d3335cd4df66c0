#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Requests"
#include "dogwoodvale/Routing"

using namespace dogwoodvale;

namespace {

const TimePoint kStart{ seconds(100) };
const CustomerName kCustomer{ "kilimo" };

double
SecondsSince(TimePoint aStart, TimePoint aNow)
{
  return std::chrono::duration<double>(aNow - aStart).count();
}

RetryVerdict
DecideWithBudget(RetryBudget& aBudget, TimePoint aNow, std::uint32_t aAttempts)
{
  RetryAllowance allowance;
  allowance.hasBudget = aBudget.Available(aNow) >= 1.0;
  allowance.deadlineLeft = seconds(10);
  allowance.attempts = aAttempts;
  const AttemptOutcome outcome{ .disposition = Disposition::MayHaveRun,
                                .idempotent = true };
  return DecideRetry(outcome, allowance);
}

/// Attempts per request while every attempt fails, after \p aGoodSeconds in
/// which all succeeded.
double
MeasureAmplification(double aRequestsPerSecond,
                     int aGoodSeconds,
                     int aBadSeconds)
{
  RetryBudget budget;
  TimePoint now = kStart;
  const Duration gap{ static_cast<Duration::rep>(1e6 / aRequestsPerSecond) };
  const auto good = static_cast<int>(aRequestsPerSecond * aGoodSeconds);
  const auto bad = static_cast<int>(aRequestsPerSecond * aBadSeconds);
  for (int request = 0; request < good; ++request) {
    now += gap;
    budget.OnSuccess();
  }
  int attempts = 0;
  for (int request = 0; request < bad; ++request) {
    now += gap;
    std::uint32_t tried = 1;
    while (DecideWithBudget(budget, now, tried) == RetryVerdict::Retry &&
           budget.TryTake(now)) {
      ++tried;
    }
    attempts += static_cast<int>(tried);
  }
  return static_cast<double>(attempts) / bad;
}

} // namespace

TEST_CASE(
  "A service that fails completely gets less than 1.1 attempts per request")
{
  // Without a budget, three attempts per request would treble the load of an
  // overloaded service, which could then not recover.
  const double rate = GENERATE(3.0, 13.0, 100.0);
  const int good = GENERATE(0, 60);
  const double amplification = MeasureAmplification(rate, good, 60);
  fmt::print("{:5.0f} requests/s, {:2} s good, then 60 s all failing: {:.3f}\n",
             rate,
             good,
             amplification);
  CHECK(amplification < 1.1);
}

TEST_CASE("Retries are bounded by the successes and the floor")
{
  rc::prop("taken <= initial + perSuccess * successes + floor * time", [] {
    const RetryBudgetSettings settings;
    RetryBudget budget(settings);
    TimePoint now = kStart;
    double successes = 0.0;
    double taken = 0.0;
    budget.Available(now);
    for (const int action :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      if (action == 0) {
        now += milliseconds(700);
      } else if (action == 1) {
        budget.OnSuccess();
        successes += 1.0;
      } else {
        taken += budget.TryTake(now) ? 1.0 : 0.0;
      }
      const double passed = SecondsSince(kStart, now);
      RC_ASSERT(taken <= settings.initial + settings.perSuccess * successes +
                           settings.floorPerSecond * passed + 1e-6);
    }
  });
}

TEST_CASE("Only requests that were not run or are idempotent are retried")
{
  const bool isNotRun = GENERATE(true, false);
  const bool idempotent = GENERATE(true, false);
  const std::uint64_t delivered = GENERATE(0, 3);
  const bool streaming = GENERATE(true, false);
  const bool canResume = GENERATE(true, false);
  const bool hasBudget = GENERATE(true, false);
  const Duration left = GENERATE(seconds(1), seconds(2));
  const std::uint32_t attempts = GENERATE(2U, 3U);
  const AttemptOutcome outcome{ isNotRun ? Disposition::NotRun
                                         : Disposition::MayHaveRun,
                                idempotent,
                                delivered,
                                streaming,
                                canResume };
  const RetryAllowance allowance{ hasBudget, left, seconds(1), attempts, 3 };
  const bool isAllowed = hasBudget && left > seconds(1) && attempts < 3;
  const bool isSafeToRepeat = idempotent || (isNotRun && delivered == 0);
  RetryVerdict expected = RetryVerdict::GiveUp;
  if (isAllowed && isSafeToRepeat && delivered > 0 && canResume) {
    expected = RetryVerdict::Resume;
  } else if (isAllowed && isSafeToRepeat && (delivered == 0 || !streaming)) {
    // Output that the caller already has is never sent a second time.
    expected = RetryVerdict::Retry;
  }
  CHECK(DecideRetry(outcome, allowance) == expected);
}

TEST_CASE("Retry back-off has full jitter and an upper bound")
{
  std::mt19937_64 random(1);
  Duration longest{ 0 };
  Duration sum{ 0 };
  for (int draw = 0; draw < 1000; ++draw) {
    const Duration wait = RetryBackoff(1, random);
    longest = std::max(longest, wait);
    sum += wait;
    CHECK(RetryBackoff(1000, random) <= milliseconds(640));
  }
  CHECK(longest <= milliseconds(10));
  CHECK(sum / 1000 > milliseconds(4));
  CHECK(sum / 1000 < milliseconds(6));
}

TEST_CASE("AdmissionControl enforces a customer's rate and concurrency")
{
  rc::prop("never above the limit, never refused below it", [] {
    std::mt19937_64 random(1);
    AdmissionControl admission;
    const CustomerLimit limit{ .requestsPerSecond = 5.0,
                               .burst = 3.0,
                               .concurrency = 4 };
    admission.SetLimit(kCustomer, limit);
    TimePoint now = kStart;
    std::uint32_t inProgress = 0;
    double admitted = 0.0;
    for (const int action :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      if (action == 0) {
        now += milliseconds(100);
      } else if (action == 1 && inProgress > 0) {
        admission.Release(kCustomer);
        --inProgress;
      } else {
        const auto error = admission.Admit(kCustomer, now, random);
        if (!error) {
          ++inProgress;
          admitted += 1.0;
        } else {
          RC_ASSERT(error->disposition == Disposition::NotRun);
          RC_ASSERT(error->retryAfter > milliseconds(0));
          RC_ASSERT(error->code == ErrorCode::RateLimited ||
                    inProgress == limit.concurrency);
        }
      }
      const double passed = SecondsSince(kStart, now);
      RC_ASSERT(inProgress <= limit.concurrency);
      RC_ASSERT(admission.InProgress(kCustomer) == inProgress);
      RC_ASSERT(admitted <= limit.burst + 5.0 * passed + 1e-6);
    }
  });
}

TEST_CASE(
  "Retry-After times of refused requests are spaced at the allowed rate")
{
  // A customer limited to 10 requests/s sends 200 at once. With a common
  // Retry-After, 189 of them would be refused again at the same time.
  std::mt19937_64 random(1);
  AdmissionControl admission;
  admission.SetLimit(kCustomer, { .requestsPerSecond = 10.0, .burst = 10.0 });
  std::vector<std::int64_t> retryTimes;
  for (int request = 0; request < 200; ++request) {
    if (const auto error = admission.Admit(kCustomer, kStart, random)) {
      retryTimes.push_back(error->retryAfter.count());
    }
  }
  REQUIRE(retryTimes.size() == 190);
  std::sort(retryTimes.begin(), retryTimes.end());
  std::size_t maxPerSecond = 0;
  for (std::size_t first = 0; first < retryTimes.size(); ++first) {
    const auto last = std::upper_bound(
      retryTimes.begin(), retryTimes.end(), retryTimes[first] + 1000);
    maxPerSecond =
      std::max(maxPerSecond,
               static_cast<std::size_t>(last - retryTimes.begin()) - first);
  }
  CHECK(maxPerSecond <= 13);
  CHECK(retryTimes.back() <= 30100);
}

TEST_CASE("An idle customer without a limit uses no memory")
{
  std::mt19937_64 random(1);
  AdmissionControl admission;
  for (int customer = 0; customer < 100; ++customer) {
    const CustomerName name(fmt::format("c{}", customer));
    CHECK_FALSE(admission.Admit(name, kStart, random));
    admission.Release(name);
    admission.Release(name);
  }
  CHECK(admission.CustomerCount() == 0);
}

// Guards against giving a pausing server up though nothing follows it.
TEST_CASE("a silent attempt is handed over only to one that may follow",
          "[routing][retries]")
{
  CHECK(rc::check("hand over if and only if all conditions hold", [] {
    AttemptOutcome outcome;
    outcome.idempotent = *rc::gen::arbitrary<bool>();
    outcome.streaming = *rc::gen::arbitrary<bool>();
    outcome.canResume = *rc::gen::arbitrary<bool>();
    outcome.deliveredTokens = *rc::gen::inRange(0, 3);
    RetryAllowance allowance;
    allowance.hasBudget = *rc::gen::arbitrary<bool>();
    allowance.deadlineLeft = milliseconds(*rc::gen::inRange(0, 100));
    allowance.minUsefulTime = milliseconds(20);
    allowance.attempts = *rc::gen::inRange<std::uint32_t>(0, 5);
    const bool hasUnread = *rc::gen::arbitrary<bool>();
    const bool hasServer = *rc::gen::arbitrary<bool>();
    const bool mayFollow =
      !hasUnread && hasServer && outcome.idempotent && allowance.hasBudget &&
      allowance.deadlineLeft > allowance.minUsefulTime &&
      allowance.attempts < allowance.maxAttempts &&
      (outcome.deliveredTokens == 0 || outcome.canResume || !outcome.streaming);
    const SilenceVerdict verdict =
      DecideOnSilence(outcome, allowance, hasUnread, hasServer);
    RC_ASSERT((verdict == SilenceVerdict::HandOver) == mayFollow);
  }));
}
