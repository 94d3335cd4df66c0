#ifndef DOGWOODVALE_TEST_SUPPORT_CRASHSITE_H
#define DOGWOODVALE_TEST_SUPPORT_CRASHSITE_H

#include <algorithm>

#include "FleetSite.h"

namespace dogwoodvale::test {

/// Requests take 100 ms, so that a crash aborts some.
inline standins::SealedEngineSettings
LongNotes()
{
  standins::SealedEngineSettings settings;
  settings.events = 10;
  settings.gap = milliseconds(10);
  return settings;
}

/// A site whose engines crash when they run a request with one certain body, or
/// one whose prompt has a certain part that other requests share. A crashed
/// engine's connections break at once, its entry expires after kEntryLapses,
/// and it restarts as another incarnation after comesBack.
class CrashSite : public FleetSite
{
public:
  static constexpr const char* kCrashBody = "crashes whoever runs it";
  static constexpr const char* kCrashPart = "bad0";
  static constexpr const char* kOtherCrashPart = "bad1";
  static constexpr Duration kEntryLapses = milliseconds(250);

  CrashSite(int aEngines,
            int aGateways,
            standins::SealedEngineSettings aSettings = {},
            Duration aQuarantine = seconds(600))
    : engineSettings(std::move(aSettings))
  {
    this->quarantine = aQuarantine;
    for (int i = 0; i < aEngines; ++i) {
      this->StartEngine();
    }
    this->StartGateways(aGateways);
    this->updateTimer.StartRepeating(milliseconds(1));
  }

  /// Crashes the first \p aCount engines, or all if there are fewer, with the
  /// requests that they run.
  void CrashEngines(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount && i < this->running.size(); ++i) {
      this->running[i].crashed = true;
    }
  }

  /// Engines that start from now on complete the crashing body like any other.
  void FixEngines() { this->isFixed = true; }

  /// All engines announce their departure; they run until they are crashed.
  void DrainEngines()
  {
    for (const Running& one : this->running) {
      this->Register(one.name, *one.engine, "draining");
    }
  }

  /// Injects a fault into each running engine, see SealedEngine::SetFault().
  void SetFault(const Json::Value& aFault)
  {
    for (const Running& one : this->running) {
      one.engine->SetFault(aFault);
    }
  }

  /// Number of times that an engine began to run the crashing body.
  std::size_t CrashingRuns() const
  {
    return static_cast<std::size_t>(
      std::ranges::count(this->Runs(), kCrashBody, &standins::SealedRun::body));
  }

  /// Runs of crashed and of running engines, by the time of their start.
  std::vector<standins::SealedRun> Runs() const
  {
    std::vector<standins::SealedRun> all = this->pastRuns;
    for (const Running& one : this->running) {
      all.insert(
        all.end(), one.engine->Runs().begin(), one.engine->Runs().end());
    }
    std::ranges::sort(all, {}, &standins::SealedRun::at);
    return all;
  }

  /// When each engine crashed.
  std::vector<TimePoint> crashes;
  /// Time until a crashed engine restarts.
  Duration comesBack = milliseconds(400);
  /// Engines restart at their address and stay listed, as in an outage of the
  /// store.
  bool keepsAddress = false;

private:
  struct Running
  {
    std::string name;
    std::unique_ptr<standins::SealedEngine> engine;
    bool crashed = false;
  };
  struct Crashed
  {
    std::string name;
    TimePoint at{};
    bool isListed = true;
    SocketAddress address;
  };

  void StartEngine()
  {
    this->StartEngine(fmt::format("e{}", ++this->started), { "127.0.0.1", 0 });
  }

  void StartEngine(const std::string& aName, const SocketAddress& aAddress)
  {
    Running made;
    made.name = aName;
    standins::SealedEngineSettings settings = this->engineSettings;
    settings.instance = made.name;
    settings.crashBody = this->isFixed ? "" : kCrashBody;
    if (!this->isFixed) {
      settings.crashParts = { kCrashPart, kOtherCrashPart };
    }
    made.engine =
      *standins::SealedEngine::Create(*this->loop, aAddress, settings);
    this->Register(made.name, *made.engine, "ready");
    this->running.push_back(std::move(made));
  }

  /// Detects crashes, removes expired entries and restarts engines.
  void Update()
  {
    const TimePoint now = Now();
    for (Running& one : this->running) {
      if (one.crashed || one.engine->HasCrashed()) {
        one.crashed = true;
        const auto& runs = one.engine->Runs();
        this->pastRuns.insert(this->pastRuns.end(), runs.begin(), runs.end());
        this->crashes.push_back(now);
        this->crashed.push_back(
          { one.name, now, !this->keepsAddress, one.engine->Address() });
      }
    }
    std::erase_if(this->running,
                  [](const Running& aOne) { return aOne.crashed; });
    for (Crashed& one : this->crashed) {
      if (one.isListed && Between(one.at, now) >= kEntryLapses) {
        one.isListed = false;
        this->store->Remove("servers/" + one.name);
      }
    }
    const auto isRestarting = [&](const Crashed& aOne) {
      return Between(aOne.at, now) >= this->comesBack;
    };
    std::vector<Crashed> restarting;
    std::ranges::copy_if(
      this->crashed, std::back_inserter(restarting), isRestarting);
    std::erase_if(this->crashed, isRestarting);
    for (const Crashed& one : restarting) {
      if (this->keepsAddress) {
        this->StartEngine(one.name, one.address);
      } else {
        this->StartEngine();
      }
    }
  }

  standins::SealedEngineSettings engineSettings;
  bool isFixed = false;
  std::vector<Running> running;
  std::vector<Crashed> crashed;
  std::vector<standins::SealedRun> pastRuns;
  int started = 0;
  Timer updateTimer{ *this->loop, [this] { this->Update(); } };
};

} // namespace dogwoodvale::test

#endif
