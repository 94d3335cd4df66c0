#include "PrefixIndex.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

PrefixIndex::PrefixIndex(PrefixIndexSettings aSettings)
  : settings(aSettings)
{
}

void
PrefixIndex::OnRouted(PrefixHash aPrefix,
                      const InstanceName& aServer,
                      TimePoint aNow)
{
  if (aPrefix != 0) {
    this->AddHolder(aPrefix, { aServer, aNow, 0 });
  }
}

void
PrefixIndex::OnStored(const InstanceName& aServer,
                      std::uint64_t aSequence,
                      std::span<const PrefixHash> aPrefixes,
                      TimePoint aNow)
{
  const std::uint64_t generation = this->RecordSequence(aServer, aSequence);
  for (const PrefixHash prefix : aPrefixes) {
    this->AddHolder(prefix, { aServer, aNow, generation });
  }
}

void
PrefixIndex::OnEvicted(const InstanceName& aServer,
                       std::uint64_t aSequence,
                       std::span<const PrefixHash> aPrefixes)
{
  this->RecordSequence(aServer, aSequence);
  for (const PrefixHash prefix : aPrefixes) {
    this->RemoveHolder(prefix, aServer);
  }
}

void
PrefixIndex::Forget(const InstanceName& aServer)
{
  this->eventStates.erase(aServer);
  for (auto& [prefix, known] : this->prefixes) {
    std::erase_if(known.holders, [&](const PrefixHolder& aHolder) {
      return aHolder.server == aServer;
    });
  }
}

std::span<const PrefixHolder>
PrefixIndex::Find(PrefixHash aPrefix) const
{
  const auto found = this->prefixes.find(aPrefix);
  if (found == this->prefixes.end()) {
    return {};
  }
  return found->second.holders;
}

PrefixConfidence
PrefixIndex::ConfidenceIn(const PrefixHolder& aHolder) const
{
  const auto known = this->eventStates.find(aHolder.server);
  const bool isReported = known != this->eventStates.end() &&
                          aHolder.generation == known->second.generation;
  return isReported ? PrefixConfidence::Reported : PrefixConfidence::Likely;
}

bool
PrefixIndex::IsCurrent(const PrefixHolder& aHolder, TimePoint aNow) const
{
  const Duration ttl = this->ConfidenceIn(aHolder) == PrefixConfidence::Reported
                         ? this->settings.reportedTtl
                         : this->settings.likelyTtl;
  return Between(aHolder.seen, aNow) <= ttl;
}

void
PrefixIndex::AddHolder(PrefixHash aPrefix, PrefixHolder aHolder)
{
  std::vector<PrefixHolder>& holders = this->FindOrAdd(aPrefix).holders;
  const auto same =
    std::find_if(holders.begin(), holders.end(), [&](const PrefixHolder& aOld) {
      return aOld.server == aHolder.server;
    });
  if (same != holders.end()) {
    aHolder.generation = std::max(aHolder.generation, same->generation);
    holders.erase(same);
  }
  holders.insert(holders.begin(), std::move(aHolder));
  std::stable_sort(
    holders.begin(),
    holders.end(),
    [this](const PrefixHolder& aLeft, const PrefixHolder& aRight) {
      return this->ConfidenceIn(aLeft) > this->ConfidenceIn(aRight);
    });
  if (holders.size() > this->settings.maxHoldersPerPrefix) {
    holders.pop_back();
  }
}

std::uint64_t
PrefixIndex::RecordSequence(const InstanceName& aServer,
                            std::uint64_t aSequence)
{
  EventState& known = this->eventStates[aServer];
  const bool hasGap = known.sequence != 0 && aSequence > known.sequence + 1;
  known.sequence = std::max(known.sequence, aSequence);
  if (hasGap) {
    // A lost event may have been an eviction: prefixes reported before it now
    // count as PrefixConfidence::Likely and have its shorter time to live.
    ++known.generation;
  }
  return known.generation;
}

void
PrefixIndex::RemoveHolder(PrefixHash aPrefix, const InstanceName& aServer)
{
  const auto found = this->prefixes.find(aPrefix);
  if (found == this->prefixes.end()) {
    return;
  }
  std::erase_if(found->second.holders, [&](const PrefixHolder& aHolder) {
    return aHolder.server == aServer;
  });
  if (found->second.holders.empty()) {
    this->lruOrder.erase(found->second.lruPosition);
    this->prefixes.erase(found);
  }
}

PrefixIndex::PrefixEntry&
PrefixIndex::FindOrAdd(PrefixHash aPrefix)
{
  const auto found = this->prefixes.find(aPrefix);
  if (found != this->prefixes.end()) {
    this->lruOrder.splice(
      this->lruOrder.end(), this->lruOrder, found->second.lruPosition);
    return found->second;
  }
  if (this->prefixes.size() >= this->settings.maxPrefixes) {
    this->prefixes.erase(this->lruOrder.front());
    this->lruOrder.pop_front();
  }
  this->lruOrder.push_back(aPrefix);
  PrefixEntry& added = this->prefixes[aPrefix];
  added.lruPosition = std::prev(this->lruOrder.end());
  return added;
}

} // namespace dogwoodvale
