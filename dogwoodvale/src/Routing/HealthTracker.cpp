#include "HealthTracker.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace dogwoodvale {

namespace {

constexpr double kGain = 0.2;
/// What older results still count for, per new one.
constexpr double kDecay = 0.9;
constexpr std::uint32_t kMostDoublings = 16;
/// Results decay, so their weight never quite reaches their number.
constexpr double kLeastWeight = 0.8;
/// A trial ends well after two successes, of which the first has decayed once.
constexpr double kTrialSuccesses = 1.9;
/// Above any slowness.
constexpr double kCrashSeverity = 1e12;
constexpr double kFailureSeverity = 1e9;

void
Smooth(double& aValue, Duration aSample)
{
  const auto sample = static_cast<double>(aSample.count());
  aValue = aValue == 0.0 ? sample : aValue + kGain * (sample - aValue);
}

double
MedianOf(std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0.0;
  }
  // The lower of two middle ones, so that of two servers the slow one can be
  // told apart.
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

HealthTracker::HealthTracker(HealthSettings aSettings)
  : settings(aSettings)
{
}

void
HealthTracker::Add(const InstanceName& aName)
{
  this->servers.try_emplace(aName);
}

void
HealthTracker::Remove(const InstanceName& aName)
{
  this->servers.erase(aName);
}

void
HealthTracker::OnStepTime(const InstanceName& aName, Duration aStep)
{
  Server* server = this->Find(aName);
  if (server != nullptr && aStep > Duration{ 0 }) {
    Smooth(server->stepMicros, aStep);
  }
}

void
HealthTracker::OnFirstToken(const InstanceName& aName, Duration aLatency)
{
  if (Server* server = this->Find(aName)) {
    Smooth(server->firstTokenMicros, aLatency);
    ++server->latencySamples;
  }
}

void
HealthTracker::OnSuccess(const InstanceName& aName)
{
  if (Server* server = this->Find(aName)) {
    server->successes = server->successes * kDecay + 1.0;
    server->failures *= kDecay;
  }
}

void
HealthTracker::OnFailure(const InstanceName& aName)
{
  if (Server* server = this->Find(aName)) {
    server->failures = server->failures * kDecay + 1.0;
    server->successes *= kDecay;
  }
}

void
HealthTracker::OnCrash(const InstanceName& aName)
{
  if (Server* server = this->Find(aName)) {
    server->crashed = true;
  }
}

std::vector<HealthChange>
HealthTracker::Evaluate(TimePoint aNow, double aLoad)
{
  Changes changes;
  this->ReturnWhereDue(aNow, aLoad, changes);

  const Medians medians = this->MeasureMedians();
  std::vector<Outlier> outliers;
  for (auto& [name, server] : this->servers) {
    if (server.standing == Standing::Ejected) {
      continue;
    }
    if (auto outlier = this->Judge(name, server, medians)) {
      outliers.push_back(*std::move(outlier));
    } else {
      this->Confirm(name, server, aNow, changes);
    }
  }
  std::stable_sort(outliers.begin(),
                   outliers.end(),
                   [](const Outlier& aLeft, const Outlier& aRight) {
                     return aLeft.severity > aRight.severity;
                   });
  for (const Outlier& outlier : outliers) {
    if (this->MayEject(outlier, aLoad)) {
      this->Eject(outlier, aNow, changes);
    }
  }
  return changes;
}

Standing
HealthTracker::StandingOf(const InstanceName& aName) const
{
  const auto found = this->servers.find(aName);
  return found == this->servers.end() ? Standing::InService
                                      : found->second.standing;
}

std::size_t
HealthTracker::OutCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->servers.begin(), this->servers.end(), [](const auto& aEntry) {
      return aEntry.second.standing != Standing::InService;
    }));
}

HealthTracker::Server*
HealthTracker::Find(const InstanceName& aName)
{
  const auto found = this->servers.find(aName);
  return found == this->servers.end() ? nullptr : &found->second;
}

HealthTracker::Medians
HealthTracker::MeasureMedians() const
{
  std::vector<double> steps;
  std::vector<double> firstTokens;
  for (const auto& [name, server] : this->servers) {
    if (server.stepMicros > 0.0) {
      steps.push_back(server.stepMicros);
    }
    if (server.firstTokenMicros > 0.0) {
      firstTokens.push_back(server.firstTokenMicros);
    }
  }
  return { MedianOf(steps), MedianOf(firstTokens) };
}

std::optional<HealthTracker::Outlier>
HealthTracker::Judge(const InstanceName& aName,
                     Server& aServer,
                     const Medians& aMedians) const
{
  if (aServer.crashed) {
    return Outlier{ aName, &aServer, "crashed", false, kCrashSeverity };
  }
  const double results = aServer.successes + aServer.failures;
  if (results >= this->settings.leastSamples * kLeastWeight &&
      aServer.failures >= results * this->settings.failureShare) {
    return Outlier{ aName, &aServer, "failing", false, kFailureSeverity };
  }
  const double slowness = this->Slowness(aServer, aMedians);
  if (slowness > this->settings.slowFactor) {
    return Outlier{ aName, &aServer, "slow", true, slowness };
  }
  return std::nullopt;
}

double
HealthTracker::Slowness(const Server& aServer, const Medians& aMedians) const
{
  // The latency to the first token contains the wait for a slot, which is the
  // load's doing; it counts only where no step time is known.
  if (aServer.stepMicros > 0.0 && aMedians.step > 0.0) {
    return aServer.stepMicros / aMedians.step;
  }
  if (aServer.latencySamples >= this->settings.leastSamples &&
      aMedians.firstToken > 0.0) {
    return aServer.firstTokenMicros / aMedians.firstToken;
  }
  return 0.0;
}

bool
HealthTracker::MayEject(const Outlier& aOutlier, double aLoad) const
{
  if (aOutlier.server->standing == Standing::OnTrial) {
    return true;
  }
  const auto total = static_cast<double>(this->servers.size());
  const auto out = static_cast<double>(this->OutCount());
  // One may go even from a small service, but never the last.
  const double most = std::max(1.0, total * this->settings.largestShare);
  const double left = total - out - 1.0;
  if (out + 1.0 > most || left < 1.0) {
    return false;
  }
  const double loadAfter = aLoad * (left + 1.0) / left;
  return !aOutlier.isSlow || loadAfter <= this->settings.mostLoadAfter;
}

void
HealthTracker::Eject(const Outlier& aOutlier, TimePoint aNow, Changes& aChanges)
{
  Server& server = *aOutlier.server;
  const std::uint32_t doublings = std::min(server.ejections, kMostDoublings);
  const Duration stay =
    std::min(this->settings.firstEjection * (std::int64_t{ 1 } << doublings),
             this->settings.longestEjection);
  server.isSlow = aOutlier.isSlow;
  server.returnsAt = aNow + stay;
  ++server.ejections;
  Enter(
    aOutlier.name, server, Standing::Ejected, aOutlier.reason, aNow, aChanges);
}

void
HealthTracker::ReturnWhereDue(TimePoint aNow, double aLoad, Changes& aChanges)
{
  for (auto& [name, server] : this->servers) {
    if (server.standing == Standing::InService) {
      continue;
    }
    if (server.isSlow && aLoad >= this->settings.neededLoad) {
      Enter(name, server, Standing::InService, "needed", aNow, aChanges);
    } else if (server.standing == Standing::Ejected &&
               aNow >= server.returnsAt) {
      // Judged on what it does from now on.
      Server trial;
      trial.ejections = server.ejections;
      trial.isSlow = server.isSlow;
      server = trial;
      Enter(name, server, Standing::OnTrial, "trial", aNow, aChanges);
    }
  }
}

void
HealthTracker::Confirm(const InstanceName& aName,
                       Server& aServer,
                       TimePoint aNow,
                       Changes& aChanges) const
{
  if (aServer.standing == Standing::OnTrial) {
    if (aServer.successes >= kTrialSuccesses) {
      aServer.isSlow = false;
      Enter(aName, aServer, Standing::InService, "recovered", aNow, aChanges);
    }
    return;
  }
  if (Between(aServer.since, aNow) > this->settings.longestEjection) {
    aServer.ejections = 0;
  }
}

void
HealthTracker::Enter(const InstanceName& aName,
                     Server& aServer,
                     Standing aStanding,
                     const char* aReason,
                     TimePoint aNow,
                     Changes& aChanges)
{
  aServer.standing = aStanding;
  aServer.since = aNow;
  aChanges.push_back({ aName, aStanding, aReason });
}

} // namespace dogwoodvale
