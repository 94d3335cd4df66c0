#include <catch2/catch.hpp>

#include "bench/EngineModel.h"
#include "dogwoodvale/Scheduling"

using namespace dogwoodvale;
using model::EngineModel;

namespace {

constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

/// A server that always has work: as much in flight as the limit allows.
class SaturatedServer
{
public:
  SaturatedServer(const EngineModel::Options& aEngine,
                  const AdaptiveConcurrencyLimit::Options& aLimit)
    : engine(aEngine)
    , limit(*AdaptiveConcurrencyLimit::Create(aLimit))
  {
  }

  void SetSlowdown(double aFactor) { this->engine.SetSlowdown(aFactor); }

  void SetPrefill(Duration aPerToken) { this->engine.SetPrefill(aPerToken); }

  void AnswerShortly() { this->shortness = 5; }

  /// From now on every second request is of a lower tier, which the engine
  /// admits and prefills last.
  void HoldBackOdd() { this->holdsBack = true; }

  /// Runs for \p aSpan of the model's time. \return mean limit of its last
  /// third.
  double Run(Duration aSpan)
  {
    const TimePoint end = this->now + aSpan;
    double sum = 0;
    int samples = 0;
    while (this->now < end) {
      this->StepOnce();
      if (end - this->now < aSpan / 3) {
        sum += this->limit.Limit();
        ++samples;
      }
    }
    return sum / samples;
  }

  const AdaptiveConcurrencyLimit& Limit() const { return this->limit; }

private:
  void StepOnce()
  {
    while (this->limit.HasRoom()) {
      this->draw = this->draw * 1664525U + 1013904223U;
      const std::uint32_t prompt = 128 + (this->draw >> 8U) % 128;
      const std::uint32_t answer =
        (50 + (this->draw >> 16U) % 100) / this->shortness;
      this->engine.Start({ prompt, ++this->started },
                         prompt,
                         answer,
                         this->now,
                         this->holdsBack && this->started % 2 == 1 ? 1 : 0);
      this->limit.OnStart(this->now);
    }
    this->now = this->engine.Step(this->now);
    for (EngineModel::Sequence& sequence : this->engine.Batch()) {
      if (sequence.advanced) {
        this->Report(sequence);
      }
    }
  }

  void Report(EngineModel::Sequence& aSequence)
  {
    if (aSequence.hasFirst) {
      this->limit.OnToken(Between(aSequence.lastToken, this->now));
    } else {
      this->limit.OnFirstToken(Between(aSequence.started, this->now),
                               static_cast<std::uint32_t>(aSequence.id.entry));
    }
    aSequence.hasFirst = true;
    aSequence.lastToken = this->now;
    if (aSequence.tokensLeft == 0) {
      this->limit.OnFinish(this->now);
    }
  }

  EngineModel engine;
  AdaptiveConcurrencyLimit limit;
  TimePoint now = kStart;
  std::uint64_t started = 0;
  std::uint32_t draw = 1;
  std::uint32_t shortness = 1;
  bool holdsBack = false;
};

} // namespace

// More requests than the server has slots wait inside it, in its own order: a
// teller behind notes. The limit must settle about the 32 slots.
TEST_CASE("the limit settles about the server's slots")
{
  SaturatedServer server({}, {});
  const double settled = server.Run(seconds(20));
  REQUIRE(settled > 24);
  REQUIRE(settled < 40);
}

// The step time binds before the slots do: 6 ms + 0.1 ms a sequence meets a
// target of 8 ms with 20 sequences.
TEST_CASE("the limit keeps the time between tokens at its target")
{
  AdaptiveConcurrencyLimit::Options options;
  options.tokenTarget = milliseconds(8);
  SaturatedServer server({}, options);
  const double settled = server.Run(seconds(20));
  REQUIRE(settled > 8);
  REQUIRE(settled <= 20);
  REQUIRE(server.Limit().StepTime() <= milliseconds(8));
}

// A server becomes five times slower while saturated, then recovers. Its
// callers see 46 ms between tokens for as long as the limit stays where it was,
// and a fifth of its worth for as long as the limit stays down after.
TEST_CASE("the limit follows a straggler down and back up")
{
  SaturatedServer server({}, {});
  const double before = server.Run(seconds(20));
  server.SetSlowdown(5);
  const double during = server.Run(seconds(20));
  REQUIRE(during < before / 2);
  REQUIRE(server.Limit().StepTime() < milliseconds(40));
  server.SetSlowdown(1);
  const double after = server.Run(seconds(15));
  REQUIRE(after > 0.8 * before);
}

// At 20 times slower no limit meets the target. Held at the minimum, the server
// would give a sixteenth of what it can, for no gain.
TEST_CASE("a server that misses its target unloaded keeps some work")
{
  SaturatedServer server({}, {});
  server.Run(seconds(20));
  server.SetSlowdown(20);
  REQUIRE(server.Run(seconds(120)) > 4);
  server.SetSlowdown(1);
  REQUIRE(server.Run(seconds(15)) > 24);
}

// Steps are five times slower, yet 46 ms meet a target of 60 ms: there is no
// reason to give the server less. Its first tokens take five times as long, as
// its steps do; taken for waiting, they would cost most of its worth.
TEST_CASE("slow steps are not taken for waiting inside")
{
  AdaptiveConcurrencyLimit::Options options;
  options.tokenTarget = milliseconds(60);
  SaturatedServer server({}, options);
  server.AnswerShortly();
  server.SetPrefill(Duration(1));
  server.Run(seconds(20));
  server.SetSlowdown(5);
  REQUIRE(server.Run(seconds(9)) > 24);
}

// After a first lowering the signs still tell of the load before it. Lowered on
// each of them, the limit falls to its minimum, and until the long answers that
// run have ended nothing starts, not even of the highest tier.
TEST_CASE("the limit waits for its last lowering to take effect")
{
  AdaptiveConcurrencyLimit::Options options;
  options.initial = 32;
  options.maximum = 32;
  auto limit = *AdaptiveConcurrencyLimit::Create(options);
  const auto runSlowly = [&limit] {
    for (int token = 0; token < 5000; ++token) {
      limit.OnToken(milliseconds(60));
    }
  };
  for (int request = 0; request < 32; ++request) {
    limit.OnStart(kStart);
    limit.OnFirstToken(milliseconds(20), 100);
  }
  runSlowly();
  REQUIRE(limit.Limit() == 25);
  for (int request = 0; request < 7; ++request) {
    limit.OnFinish(kStart);
  }
  runSlowly();
  REQUIRE(limit.Limit() == 20);
}

// Prefilling becomes far slower for good, as with another model. The lowest
// times from before make every first token look late; kept, they would hold the
// limit at 15 of the 32 slots.
TEST_CASE("a server that is slower for good is learned anew")
{
  SaturatedServer server({}, {});
  server.Run(seconds(20));
  server.SetPrefill(Duration(400));
  server.Run(seconds(15));
  REQUIRE(server.Run(seconds(120)) > 20);
}

// An engine that honours priorities holds the lowest tier back inside. As those
// have no first token, no time tells of them; the limit would rise without end
// and the tellers' requests compete with hundreds inside.
TEST_CASE("requests that are held back inside bound the limit")
{
  SaturatedServer server({}, {});
  server.HoldBackOdd();
  server.Run(seconds(30));
  REQUIRE(server.Run(seconds(30)) < 45);
}

// Callers leave before their first token and nobody tells the limit so.
TEST_CASE("starts without an end are forgotten")
{
  auto limit = *AdaptiveConcurrencyLimit::Create({});
  TimePoint now = kStart;
  const auto answerSome = [&](int aRequests) {
    for (int request = 0; request < aRequests; ++request) {
      for (int slot = 0; slot < 8; ++slot) {
        limit.OnStart(now);
      }
      for (int slot = 0; slot < 8; ++slot) {
        limit.OnFirstToken(milliseconds(20), 100);
        for (int token = 0; token < 20; ++token) {
          limit.OnToken(milliseconds(6));
        }
      }
      now += milliseconds(140);
      for (int slot = 0; slot < 8; ++slot) {
        limit.OnFinish(now);
      }
    }
  };
  for (int lost = 0; lost < 20; ++lost) {
    limit.OnStart(now);
    limit.OnFinish(now);
  }
  answerSome(20);
  const std::uint32_t during = limit.Limit();
  answerSome(200);
  REQUIRE(during < 8);
  REQUIRE(limit.Limit() >= 8);
}

TEST_CASE("an idle server's limit stays where it is")
{
  auto limit = *AdaptiveConcurrencyLimit::Create({});
  const std::uint32_t before = limit.Limit();
  for (int request = 0; request < 1000; ++request) {
    limit.OnStart(kStart);
    limit.OnFirstToken(milliseconds(20), 100);
    for (int token = 0; token < 10; ++token) {
      limit.OnToken(milliseconds(6));
    }
    limit.OnFinish(kStart);
  }
  REQUIRE(limit.Limit() == before);
}

TEST_CASE("limits stay within their bounds")
{
  AdaptiveConcurrencyLimit::Options options;
  options.minimum = 2;
  options.maximum = 12;
  options.tokenTarget = milliseconds(1);
  SaturatedServer slow({}, options);
  // Misses its target always: from the minimum to a quarter slower.
  REQUIRE(slow.Run(seconds(5)) >= 2);
  options.tokenTarget = seconds(1);
  SaturatedServer fast({}, options);
  REQUIRE(fast.Run(seconds(5)) == 12);
  options.minimum = 0;
  REQUIRE_FALSE(AdaptiveConcurrencyLimit::Create(options).ok());
  options.minimum = 13;
  REQUIRE_FALSE(AdaptiveConcurrencyLimit::Create(options).ok());
  REQUIRE_FALSE(FixedConcurrencyLimit::Create(0).ok());
  auto fixed = *FixedConcurrencyLimit::Create(1);
  REQUIRE(fixed.HasRoom());
  fixed.OnStart(kStart);
  REQUIRE_FALSE(fixed.HasRoom());
  fixed.OnFinish(kStart);
  REQUIRE(fixed.HasRoom());
}
