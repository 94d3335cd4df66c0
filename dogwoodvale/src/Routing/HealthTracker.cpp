#include "HealthTracker.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

constexpr double kGain = 0.2;
/// What older results still count for, per new one.
constexpr double kDecay = 0.9;
constexpr std::uint32_t kMostDoublings = 16;

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
HealthTracker::Evaluate(TimePoint aNow)
{
  std::vector<HealthChange> changes;
  const Medians medians = this->MeasureMedians();
  for (auto& [name, server] : this->servers) {
    if (server.standing == Standing::Ejected) {
      if (aNow >= server.returnsAt) {
        StartTrial(server);
        changes.push_back({ name, server.standing, "trial" });
      }
      continue;
    }
    const char* reason = this->Judge(server, medians);
    if (reason != nullptr) {
      const bool isOut = server.standing == Standing::OnTrial;
      if (isOut || this->MayEject()) {
        this->Eject(server, aNow);
        changes.push_back({ name, server.standing, reason });
      }
      continue;
    }
    const double results = server.successes + server.failures;
    if (server.standing == Standing::OnTrial && results >= 2.0) {
      server.standing = Standing::InService;
      changes.push_back({ name, server.standing, "recovered" });
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

const char*
HealthTracker::Judge(const Server& aServer, const Medians& aMedians) const
{
  if (aServer.crashed) {
    return "crashed";
  }
  const double results = aServer.successes + aServer.failures;
  if (results >= std::min<double>(this->settings.leastSamples, 5.0) * 0.8 &&
      aServer.failures >= results * this->settings.failureShare) {
    return "failing";
  }
  const bool isSlowStep =
    aMedians.step > 0.0 &&
    aServer.stepMicros > aMedians.step * this->settings.slowFactor;
  const bool isSlowAnswer =
    aServer.latencySamples >= this->settings.leastSamples &&
    aMedians.firstToken > 0.0 &&
    aServer.firstTokenMicros > aMedians.firstToken * this->settings.slowFactor;
  return isSlowStep || isSlowAnswer ? "slow" : nullptr;
}

bool
HealthTracker::MayEject() const
{
  const auto total = static_cast<double>(this->servers.size());
  const double most = std::max(1.0, total * this->settings.largestShare);
  const auto out = static_cast<double>(this->OutCount());
  return out + 1.0 <= most && out + 1.0 < total;
}

void
HealthTracker::Eject(Server& aServer, TimePoint aNow) const
{
  const std::uint32_t doublings = std::min(aServer.ejections, kMostDoublings);
  const Duration stay =
    std::min(this->settings.firstEjection * (std::int64_t{ 1 } << doublings),
             this->settings.longestEjection);
  aServer.standing = Standing::Ejected;
  aServer.returnsAt = aNow + stay;
  ++aServer.ejections;
}

void
HealthTracker::StartTrial(Server& aServer)
{
  const std::uint32_t ejections = aServer.ejections;
  aServer = Server{};
  aServer.ejections = ejections;
  aServer.standing = Standing::OnTrial;
}

} // namespace dogwoodvale
