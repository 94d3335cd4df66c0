#include "HealthTracker.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace dogwoodvale {

namespace {

/// Weight of a new sample in a moving average.
constexpr double kSmoothing = 0.2;
/// Factor applied to the weight of older results with each new one.
constexpr double kResultDecay = 0.9;
constexpr std::uint32_t kMaxDoublings = 16;
/// The weight that each required sample must at least have. Decayed results
/// weigh less than their number.
constexpr double kMinWeightPerSample = 0.8;
/// Weight of two successes, the first decayed once: ends probing.
constexpr double kProbeSuccessWeight = 1.9;
/// Crashes and failures are ejected before any slow server.
constexpr double kCrashSeverity = 1e12;
constexpr double kFailureSeverity = 1e9;

void
Smooth(double& aValue, Duration aSample)
{
  const auto sample = static_cast<double>(aSample.count());
  aValue = aValue == 0.0 ? sample : aValue + kSmoothing * (sample - aValue);
}

double
MedianOf(std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0.0;
  }
  // The lower of the two middle values, so that with two servers the slow one
  // can be detected.
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
    server->successes = server->successes * kResultDecay + 1.0;
    server->failures *= kResultDecay;
  }
}

void
HealthTracker::OnFailure(const InstanceName& aName)
{
  if (Server* server = this->Find(aName)) {
    server->failures = server->failures * kResultDecay + 1.0;
    server->successes *= kResultDecay;
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
  this->ReinstateServers(aNow, aLoad, changes);

  const Medians medians = this->MeasureMedians();
  std::vector<Outlier> outliers;
  for (auto& [name, server] : this->servers) {
    if (server.state == HealthState::Ejected) {
      continue;
    }
    if (auto outlier = this->DetectOutlier(name, server, medians)) {
      outliers.push_back(*std::move(outlier));
    } else {
      this->UpdateHealthy(name, server, aNow, changes);
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

HealthState
HealthTracker::HealthStateOf(const InstanceName& aName) const
{
  const auto found = this->servers.find(aName);
  return found == this->servers.end() ? HealthState::InService
                                      : found->second.state;
}

std::size_t
HealthTracker::UnhealthyCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->servers.begin(), this->servers.end(), [](const auto& aEntry) {
      return aEntry.second.state != HealthState::InService;
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
HealthTracker::DetectOutlier(const InstanceName& aName,
                             Server& aServer,
                             const Medians& aMedians) const
{
  if (aServer.crashed) {
    return Outlier{ aName, &aServer, "crashed", false, kCrashSeverity };
  }
  const double results = aServer.successes + aServer.failures;
  if (results >= this->settings.minSamples * kMinWeightPerSample &&
      aServer.failures >= results * this->settings.failureThreshold) {
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
  // The time to the first token includes the wait for a slot, which depends on
  // the load rather than on the server; it is used only without step times.
  if (aServer.stepMicros > 0.0 && aMedians.step > 0.0) {
    return aServer.stepMicros / aMedians.step;
  }
  if (aServer.latencySamples >= this->settings.minSamples &&
      aMedians.firstToken > 0.0) {
    return aServer.firstTokenMicros / aMedians.firstToken;
  }
  return 0.0;
}

bool
HealthTracker::MayEject(const Outlier& aOutlier, double aLoad) const
{
  if (aOutlier.server->state == HealthState::Probing) {
    return true;
  }
  const auto total = static_cast<double>(this->servers.size());
  const auto unhealthy = static_cast<double>(this->UnhealthyCount());
  // One server may be ejected even from a small service, but never the last.
  const double maxUnhealthy =
    std::max(1.0, total * this->settings.maxEjectedShare);
  const double remaining = total - unhealthy - 1.0;
  if (unhealthy + 1.0 > maxUnhealthy || remaining < 1.0) {
    return false;
  }
  const double loadAfter = aLoad * (remaining + 1.0) / remaining;
  return !aOutlier.isSlow || loadAfter <= this->settings.maxLoadAfterEjection;
}

void
HealthTracker::Eject(const Outlier& aOutlier, TimePoint aNow, Changes& aChanges)
{
  Server& server = *aOutlier.server;
  const std::uint32_t doublings = std::min(server.ejections, kMaxDoublings);
  const Duration duration =
    std::min(this->settings.baseEjectionTime * (std::int64_t{ 1 } << doublings),
             this->settings.maxEjectionTime);
  server.isSlow = aOutlier.isSlow;
  server.ejectedUntil = aNow + duration;
  ++server.ejections;
  SetState(aOutlier.name,
           server,
           HealthState::Ejected,
           aOutlier.reason,
           aNow,
           aChanges);
}

void
HealthTracker::ReinstateServers(TimePoint aNow, double aLoad, Changes& aChanges)
{
  for (auto& [name, server] : this->servers) {
    if (server.state == HealthState::InService) {
      continue;
    }
    if (server.isSlow && aLoad >= this->settings.returnLoad) {
      SetState(name, server, HealthState::InService, "needed", aNow, aChanges);
    } else if (server.state == HealthState::Ejected &&
               aNow >= server.ejectedUntil) {
      // Drops the samples, so that only results from now on count.
      Server probed;
      probed.ejections = server.ejections;
      probed.isSlow = server.isSlow;
      server = probed;
      SetState(name, server, HealthState::Probing, "trial", aNow, aChanges);
    }
  }
}

void
HealthTracker::UpdateHealthy(const InstanceName& aName,
                             Server& aServer,
                             TimePoint aNow,
                             Changes& aChanges) const
{
  if (aServer.state == HealthState::Probing) {
    if (aServer.successes >= kProbeSuccessWeight) {
      aServer.isSlow = false;
      SetState(
        aName, aServer, HealthState::InService, "recovered", aNow, aChanges);
    }
    return;
  }
  if (Between(aServer.since, aNow) > this->settings.maxEjectionTime) {
    aServer.ejections = 0;
  }
}

void
HealthTracker::SetState(const InstanceName& aName,
                        Server& aServer,
                        HealthState aState,
                        const char* aReason,
                        TimePoint aNow,
                        Changes& aChanges)
{
  aServer.state = aState;
  aServer.since = aNow;
  aChanges.push_back({ aName, aState, aReason });
}

} // namespace dogwoodvale
