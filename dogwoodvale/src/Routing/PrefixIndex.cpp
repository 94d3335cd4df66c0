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
    this->Note(aPrefix, { aServer, aNow, 0 });
  }
}

void
PrefixIndex::OnStored(const InstanceName& aServer,
                      std::uint64_t aSequence,
                      std::span<const PrefixHash> aPrefixes,
                      TimePoint aNow)
{
  const std::uint64_t generation = this->NoteSequence(aServer, aSequence);
  for (const PrefixHash prefix : aPrefixes) {
    this->Note(prefix, { aServer, aNow, generation });
  }
}

void
PrefixIndex::OnEvicted(const InstanceName& aServer,
                       std::uint64_t aSequence,
                       std::span<const PrefixHash> aPrefixes)
{
  this->NoteSequence(aServer, aSequence);
  for (const PrefixHash prefix : aPrefixes) {
    this->Drop(prefix, aServer);
  }
}

void
PrefixIndex::Forget(const InstanceName& aServer)
{
  this->events.erase(aServer);
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
  const auto known = this->events.find(aHolder.server);
  const bool isReported = known != this->events.end() &&
                          aHolder.generation == known->second.generation;
  return isReported ? PrefixConfidence::Reported : PrefixConfidence::Likely;
}

bool
PrefixIndex::IsCurrent(const PrefixHolder& aHolder, TimePoint aNow) const
{
  const Duration life =
    this->ConfidenceIn(aHolder) == PrefixConfidence::Reported
      ? this->settings.reportedLife
      : this->settings.likelyLife;
  return Between(aHolder.seen, aNow) <= life;
}

void
PrefixIndex::Note(PrefixHash aPrefix, PrefixHolder aHolder)
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
PrefixIndex::NoteSequence(const InstanceName& aServer, std::uint64_t aSequence)
{
  Events& known = this->events[aServer];
  const bool hasGap = known.sequence != 0 && aSequence > known.sequence + 1;
  known.sequence = std::max(known.sequence, aSequence);
  if (hasGap) {
    // A lost event may have been an eviction: what the server reported before
    // is a guess from now on, and lapses as soon as one.
    ++known.generation;
  }
  return known.generation;
}

void
PrefixIndex::Drop(PrefixHash aPrefix, const InstanceName& aServer)
{
  const auto found = this->prefixes.find(aPrefix);
  if (found == this->prefixes.end()) {
    return;
  }
  std::erase_if(found->second.holders, [&](const PrefixHolder& aHolder) {
    return aHolder.server == aServer;
  });
  if (found->second.holders.empty()) {
    this->ages.erase(found->second.age);
    this->prefixes.erase(found);
  }
}

PrefixIndex::Known&
PrefixIndex::FindOrAdd(PrefixHash aPrefix)
{
  const auto found = this->prefixes.find(aPrefix);
  if (found != this->prefixes.end()) {
    this->ages.splice(this->ages.end(), this->ages, found->second.age);
    return found->second;
  }
  if (this->prefixes.size() >= this->settings.maxPrefixes) {
    this->prefixes.erase(this->ages.front());
    this->ages.pop_front();
  }
  this->ages.push_back(aPrefix);
  Known& added = this->prefixes[aPrefix];
  added.age = std::prev(this->ages.end());
  return added;
}

} // namespace dogwoodvale
