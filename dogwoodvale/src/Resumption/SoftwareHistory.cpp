#include "SoftwareHistory.h"

#include <algorithm>
#include <set>

namespace dogwoodvale {

void
SoftwareHistory::OnList(std::span<const StreamOrigin> aServers, TimePoint aNow)
{
  if (!this->knownSince) {
    this->knownSince = aNow;
  }
  std::map<ServiceName, std::set<std::string>> listed;
  for (const StreamOrigin& server : aServers) {
    listed[server.service].insert(server.softwareVersion);
  }
  for (auto& [service, state] : this->services) {
    if (!listed.contains(service)) {
      state.version.reset();
      state.since = aNow;
    }
  }
  for (const auto& [service, versions] : listed) {
    const bool isUniform = versions.size() == 1 && !versions.begin()->empty();
    const std::optional<std::string> version =
      isUniform ? std::optional(*versions.begin()) : std::nullopt;
    // A service that had no server before had no streams either.
    const auto [found, isNew] = this->services.try_emplace(
      service, Service{ version, *this->knownSince, {}, {} });
    Service& state = found->second;
    const bool wasMixed = state.mixedAt && !state.version;
    if (!isNew && (state.version != version || !version)) {
      state.version = version;
      state.since = aNow;
    }
    const std::string& newest = *versions.rbegin();
    if (versions.size() > 1 || wasMixed ||
        (!state.last.empty() && state.last != newest)) {
      state.mixedAt = aNow;
    }
    state.last = newest;
  }
}

void
SoftwareHistory::OnGap(TimePoint aNow)
{
  if (!this->knownSince) {
    return;
  }
  this->knownSince = aNow;
  for (auto& [service, state] : this->services) {
    state.since = aNow;
  }
}

void
SoftwareHistory::Adopt(const ServiceName& aService,
                       const UniformSoftware& aUniform,
                       TimePoint aNow)
{
  const auto found = this->services.find(aService);
  if (found == this->services.end() || !found->second.version ||
      !IsSameSoftware(*found->second.version, aUniform.version)) {
    return;
  }
  found->second.since = std::min(found->second.since,
                                 aNow - std::max(aUniform.length, Duration(0)));
}

void
SoftwareHistory::OnOrigin(const StreamOrigin& aOrigin, TimePoint aNow)
{
  const auto found = this->services.find(aOrigin.service);
  if (found != this->services.end() &&
      found->second.last != aOrigin.softwareVersion) {
    found->second.mixedAt = aNow;
  }
}

bool
SoftwareHistory::WasMixed(const ServiceName& aService,
                          Duration aWithin,
                          TimePoint aNow) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && found->second.mixedAt &&
         (!found->second.version ||
          Between(*found->second.mixedAt, aNow) <= aWithin);
}

std::optional<UniformSoftware>
SoftwareHistory::UniformOf(const ServiceName& aService, TimePoint aNow) const
{
  const auto found = this->services.find(aService);
  if (found == this->services.end() || !found->second.version) {
    return std::nullopt;
  }
  return UniformSoftware{ *found->second.version,
                          Between(found->second.since, aNow) };
}

} // namespace dogwoodvale
