#include "PrefixIndex.h"

#include <algorithm>

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
    this->Note(aPrefix, { aServer, PrefixConfidence::Likely, aNow });
  }
}

void
PrefixIndex::OnStored(const InstanceName& aServer,
                      std::uint64_t aSequence,
                      std::span<const PrefixHash> aPrefixes,
                      TimePoint aNow)
{
  this->NoteSequence(aServer, aSequence);
  for (const PrefixHash prefix : aPrefixes) {
    this->Note(prefix, { aServer, PrefixConfidence::Reported, aNow });
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
  this->sequences.erase(aServer);
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

bool
PrefixIndex::IsCurrent(const PrefixHolder& aHolder, TimePoint aNow) const
{
  const Duration life = aHolder.confidence == PrefixConfidence::Reported
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
    aHolder.confidence = std::max(aHolder.confidence, same->confidence);
    holders.erase(same);
  }
  holders.insert(holders.begin(), std::move(aHolder));
  if (holders.size() > this->settings.maxHoldersPerPrefix) {
    holders.pop_back();
  }
  std::stable_sort(holders.begin(),
                   holders.end(),
                   [](const PrefixHolder& aLeft, const PrefixHolder& aRight) {
                     return aLeft.confidence > aRight.confidence;
                   });
}

void
PrefixIndex::NoteSequence(const InstanceName& aServer, std::uint64_t aSequence)
{
  std::uint64_t& last = this->sequences[aServer];
  const bool hasGap = last != 0 && aSequence > last + 1;
  last = std::max(last, aSequence);
  if (!hasGap) {
    return;
  }
  // A lost event may have been an eviction: what the server reported before is
  // a guess from now on, and lapses as soon as one.
  for (auto& [prefix, known] : this->prefixes) {
    for (PrefixHolder& holder : known.holders) {
      if (holder.server == aServer) {
        holder.confidence = PrefixConfidence::Likely;
      }
    }
  }
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
