#include "BrokenRuns.h"

#include <algorithm>

namespace dogwoodvale {

bool
BrokenRuns::Add(const InstanceName& aInstance,
                RequestFingerprint aRequest,
                CrashWeight aWeight,
                TimePoint aNow)
{
  const auto [at, isFirst] =
    this->servers.try_emplace(aInstance, ServerAttempts{ {}, aNow });
  if (at->second.attempts.size() < kMaxAttempts) {
    at->second.attempts.push_back(
      { aRequest, ServerKeyOf(aInstance), aWeight });
  }
  return isFirst;
}

std::vector<CrashEvidence>
BrokenRuns::OnServerExited(const InstanceName& aInstance)
{
  const auto found = this->servers.find(aInstance);
  if (found == this->servers.end()) {
    return {};
  }
  std::vector<CrashEvidence> attempts = std::move(found->second.attempts);
  this->servers.erase(found);
  return attempts;
}

void
BrokenRuns::OnAlive(const InstanceName& aInstance)
{
  this->servers.erase(aInstance);
}

bool
BrokenRuns::HasJustBroken(RequestFingerprint aRequest, TimePoint aNow) const
{
  return std::ranges::any_of(this->servers, [&](const auto& aItem) {
    const ServerAttempts& server = aItem.second;
    return Between(server.since, aNow) < kProbeWait &&
           std::ranges::find(server.attempts,
                             aRequest,
                             &CrashEvidence::request) != server.attempts.end();
  });
}

std::vector<InstanceName>
BrokenRuns::UnresolvedServers() const
{
  std::vector<InstanceName> names;
  for (const auto& [name, attempts] : this->servers) {
    names.push_back(name);
  }
  return names;
}

void
BrokenRuns::Expire(TimePoint aNow)
{
  std::erase_if(this->servers, [aNow](const auto& aItem) {
    return Between(aItem.second.since, aNow) > kResolveTimeout;
  });
}

} // namespace dogwoodvale
