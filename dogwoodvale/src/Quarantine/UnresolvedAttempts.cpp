#include "UnresolvedAttempts.h"

#include <algorithm>

namespace dogwoodvale {

void
UnresolvedAttempts::ServerAttempts::Add(const CrashEvidence& aEvidence)
{
  const auto known = std::ranges::find(
    this->attempts, aEvidence.subject, &CrashEvidence::subject);
  if (known != this->attempts.end()) {
    known->weight = std::max(known->weight, aEvidence.weight);
    known->specificity = std::max(known->specificity, aEvidence.specificity);
  } else if (this->attempts.size() < kMaxEntries) {
    this->attempts.push_back(aEvidence);
  }
}

bool
UnresolvedAttempts::Add(const InstanceName& aInstance,
                        const CrashSubjects& aSubjects,
                        CrashWeight aWeight,
                        bool aHasPassed,
                        TimePoint aNow)
{
  const auto [at, isFirst] =
    this->servers.try_emplace(aInstance, ServerAttempts{ {}, aNow });
  const ServerKey server = ServerKeyOf(aInstance);
  at->second.Add({ aSubjects.request, server, aWeight });
  if (aHasPassed) {
    return isFirst;
  }
  for (std::size_t i = 0; i < aSubjects.parts.size(); ++i) {
    // A part has either got through or not, whatever was received meanwhile.
    at->second.Add({ aSubjects.parts[i],
                     server,
                     CrashWeight::Early,
                     static_cast<Specificity>(i) });
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
UnresolvedAttempts::HasRecentBreak(Fingerprint aSubject, TimePoint aNow) const
{
  return std::ranges::any_of(this->servers, [&](const auto& aItem) {
    const ServerAttempts& server = aItem.second;
    return Between(server.since, aNow) < kProbeWait &&
           std::ranges::find(server.attempts,
                             aSubject,
                             &CrashEvidence::subject) != server.attempts.end();
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
