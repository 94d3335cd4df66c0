#include "UnresolvedAttempts.h"

#include <algorithm>

namespace dogwoodvale {

bool
UnresolvedAttempts::Add(const InstanceName& aInstance,
                        Fingerprint aRequest,
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
UnresolvedAttempts::OnServerExited(const InstanceName& aInstance)
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
UnresolvedAttempts::OnServerAlive(const InstanceName& aInstance)
{
  this->servers.erase(aInstance);
}

bool
UnresolvedAttempts::HasRecentBreak(Fingerprint aRequest, TimePoint aNow) const
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
UnresolvedAttempts::UnresolvedServers() const
{
  std::vector<InstanceName> names;
  for (const auto& [name, attempts] : this->servers) {
    names.push_back(name);
  }
  return names;
}

void
UnresolvedAttempts::Expire(TimePoint aNow)
{
  std::erase_if(this->servers, [aNow](const auto& aItem) {
    return Between(aItem.second.since, aNow) > kResolveTimeout;
  });
}

} // namespace dogwoodvale
