#ifndef DOGWOODVALE_TEST_SUPPORT_PARTPLAY_H
#define DOGWOODVALE_TEST_SUPPORT_PARTPLAY_H

#include "CrashSite.h"

namespace dogwoodvale::test {

/// Time within which every gateway has received the others' evidence.
inline constexpr Duration kExchangeTime = milliseconds(600);
/// Exits after which runs of the part are counted as late.
inline constexpr std::size_t kKnownExits = 5;
/// Late runs that may still begin.
inline constexpr std::size_t kMaxLateRuns = 3;
/// Share of the sound requests that begin once the part is quarantined.
inline constexpr double kServedShare = 0.9;

/// Which parts the requests have between the first part, which all share, and
/// the last one, which is each request's own.
struct Prompts
{
  std::string crashing = CrashSite::kCrashPart;
  std::string sound = "50a1";
  /// The first part of all requests.
  std::string first = "f125:100,";
  /// The shared parts of all requests behind that one.
  std::string last{};
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
    const std::size_t number = this->site.sent.size();
    return this->site.Send(
      number % this->site.gateways.size(),
      "/read/stream/x",
      fmt::format("note {}", number),
      CrashSite::PromptHeaders(fmt::format("{}{}:80,{}{:x}:20",
                                           this->prompts.first,
                                           aPart,
                                           this->prompts.last,
                                           kOwnParts + number)));
  }

  /// Sends crashing requests to all gateways at once, several for each engine.
  void SendCrashingToAll(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->Send(this->prompts.crashing);
    }
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
};

} // namespace dogwoodvale::test

#endif
