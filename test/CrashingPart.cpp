#include <catch2/catch.hpp>

#include "support/CrashSite.h"

using namespace dogwoodvale;
using test::CrashSite;

namespace {

constexpr std::size_t kGateways = 4;
/// Time within which every gateway has received the others' evidence.
constexpr Duration kExchangeTime = milliseconds(600);
/// Exits after which runs of the part are counted as late.
constexpr std::size_t kKnownExits = 5;
/// Late runs that may still begin.
constexpr std::size_t kMaxLateRuns = 3;
/// Share of the sound requests that begin once the part is quarantined.
constexpr double kServedShare = 0.9;

/// Requests take 100 ms, so that a crash aborts some.
standins::SealedEngineSettings
LongNotes()
{
  standins::SealedEngineSettings settings;
  settings.events = 10;
  settings.gap = milliseconds(10);
  return settings;
}

/// Which parts the requests have between the first part, which all share, and
/// the last one, which is each request's own.
struct Prompts
{
  std::string crashing = CrashSite::kCrashPart;
  std::string sound = "50a1";
  /// The first part of all requests.
  std::string first = "f125:100,";
};

struct Served
{
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
};

class PartPlay
{
public:
  PartPlay(CrashSite& aSite, Prompts aPrompts = {})
    : site(aSite)
    , prompts(std::move(aPrompts))
  {
  }

  /// Sends a sound request every 10 ms and, with \p aWithCrashing, also one
  /// that crashes its engine every 80 ms, to the gateways in turn. No two
  /// requests are alike.
  /// \return the results of the sound ones.
  Served Play(Duration aTime, bool aWithCrashing)
  {
    constexpr Duration kStep = milliseconds(10);
    constexpr int kCrashingEvery = 8;
    std::vector<CrashSite::Try*> others;
    const auto steps = aTime / kStep;
    for (int step = 0; step < steps; ++step) {
      others.push_back(&this->Send(this->prompts.sound));
      if (aWithCrashing && step % kCrashingEvery == 0) {
        this->Send(this->prompts.crashing);
      }
      this->site.Run(kStep);
    }
    this->site.Settle();
    Served result;
    for (CrashSite::Try* one : others) {
      ++result.sent;
      result.served += one->IsServed() ? 1 : 0;
      result.refused += one->IsRefused() ? 1 : 0;
    }
    return result;
  }

  CrashSite::Try& Send(const std::string& aPart)
  {
    ++this->count;
    return this->site.Send(
      this->count % this->site.gateways.size(),
      "/read/stream/x",
      fmt::format("note {}", this->count),
      fmt::format("Dogwoodvale-Model: m\r\nDogwoodvale-Token-Count: 200,10\r\n"
                  "Dogwoodvale-Prompt-Prefix: {}{}:80,{:x}:20\r\n",
                  this->prompts.first,
                  aPart,
                  kOwnParts + this->count));
  }

  /// Number of runs of the crashing part that began later than kExchangeTime
  /// after the exit that makes it known.
  std::size_t LateRuns() const
  {
    if (this->site.crashes.size() < kKnownExits) {
      return 0;
    }
    const TimePoint from = this->site.crashes[kKnownExits - 1] + kExchangeTime;
    const std::string part = this->prompts.crashing + ":";
    return static_cast<std::size_t>(std::ranges::count_if(
      this->site.Runs(), [&](const standins::SealedRun& aRun) {
        return aRun.at > from && aRun.prompt.find(part) != std::string::npos;
      }));
  }

private:
  static constexpr std::size_t kOwnParts = 0x100000;

  CrashSite& site;
  Prompts prompts;
  std::size_t count = 0;
};

} // namespace

// Requests of which no two are alike crash engine after engine, as they share
// one part of their prompts; sound ones share all other parts and the customer.
TEST_CASE("requests that share a crashing part are quarantined", "[part]")
{
  CrashSite site(12, kGateways, LongNotes());
  PartPlay play(site);
  const Served before = play.Play(milliseconds(500), false);
  CHECK(before.served == before.sent);
  play.Play(seconds(3), true);
  INFO("engines crashed: " << site.crashes.size());
  REQUIRE(site.crashes.size() >= 3);
  CHECK(play.LateRuns() <= kMaxLateRuns);
  const Served after = play.Play(seconds(1), true);
  CHECK(after.refused == 0);
  CHECK(static_cast<double>(after.served) >=
        kServedShare * static_cast<double>(after.sent));
}
