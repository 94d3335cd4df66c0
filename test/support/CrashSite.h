#ifndef DOGWOODVALE_TEST_SUPPORT_CRASHSITE_H
#define DOGWOODVALE_TEST_SUPPORT_CRASHSITE_H

#include <algorithm>

#include "FleetSite.h"

namespace dogwoodvale::test {

/// A site whose engines crash under one body. A crashed engine's connections
/// break off, its entry lapses later, and it is back, as another incarnation,
/// later still.
class CrashSite : public FleetSite
{
public:
  static constexpr const char* kCrashBody = "crashes whoever runs it";
  static constexpr Duration kEntryLapses = milliseconds(250);
  static constexpr Duration kComesBack = milliseconds(400);

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
    this->tend.StartRepeating(milliseconds(1));
  }

  /// Crashes all engines, or the first \p aCount, with what they run.
  void CrashEngines(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount && i < this->running.size(); ++i) {
      this->running[i].crashed = true;
    }
  }

  /// Engines that start from now on run the crashing body like any other.
  void Cure() { this->isCured = true; }

  /// All engines say that they leave; they go on until they are crashed.
  void DrainEngines()
  {
    for (const Running& one : this->running) {
      this->Register(one.name, *one.engine, "draining");
    }
  }

  /// Gives each engine that runs now a fault, see SealedEngine::SetFault().
  void SetFault(const Json::Value& aFault)
  {
    for (const Running& one : this->running) {
      one.engine->SetFault(aFault);
    }
  }

  /// Runs of the crashing body.
  std::size_t CrashingRuns() const
  {
    return static_cast<std::size_t>(
      std::ranges::count(this->Runs(), kCrashBody, &standins::SealedRun::body));
  }

  /// Runs of engines that are gone and of those that are there, by their begin.
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

  std::vector<TimePoint> crashes;

private:
  struct Running
  {
    std::string name;
    std::unique_ptr<standins::SealedEngine> engine;
    bool crashed = false;
  };
  struct Gone
  {
    std::string name;
    TimePoint at{};
    bool isListed = true;
  };

  void StartEngine()
  {
    Running made;
    made.name = fmt::format("e{}", ++this->started);
    standins::SealedEngineSettings settings = this->engineSettings;
    settings.instance = made.name;
    settings.crashBody = this->isCured ? "" : kCrashBody;
    made.engine = *standins::SealedEngine::Create(
      *this->loop, { "127.0.0.1", 0 }, settings);
    this->Register(made.name, *made.engine, "ready");
    this->running.push_back(std::move(made));
  }

  void Tend()
  {
    const TimePoint now = Now();
    for (Running& one : this->running) {
      if (one.crashed || one.engine->HasCrashed()) {
        one.crashed = true;
        const auto& runs = one.engine->Runs();
        this->pastRuns.insert(this->pastRuns.end(), runs.begin(), runs.end());
        this->crashes.push_back(now);
        this->gone.push_back({ one.name, now });
      }
    }
    std::erase_if(this->running,
                  [](const Running& aOne) { return aOne.crashed; });
    for (Gone& one : this->gone) {
      if (one.isListed && Between(one.at, now) >= kEntryLapses) {
        one.isListed = false;
        this->store->Remove("servers/" + one.name);
      }
    }
    const auto isBack = [&](const Gone& aOne) {
      return Between(aOne.at, now) >= kComesBack;
    };
    const auto back = std::ranges::count_if(this->gone, isBack);
    std::erase_if(this->gone, isBack);
    for (auto i = back; i > 0; --i) {
      this->StartEngine();
    }
  }

  standins::SealedEngineSettings engineSettings;
  bool isCured = false;
  std::vector<Running> running;
  std::vector<Gone> gone;
  std::vector<standins::SealedRun> pastRuns;
  int started = 0;
  Timer tend{ *this->loop, [this] { this->Tend(); } };
};

} // namespace dogwoodvale::test

#endif
