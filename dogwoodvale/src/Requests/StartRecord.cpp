#include "StartRecord.h"

#include <algorithm>

namespace dogwoodvale {

StartRecord::StartRecord(StartRecordSettings aSettings)
  : settings(aSettings)
{
}

bool
StartRecord::Begin(const RequestId& aId, Duration aRemaining, TimePoint aNow)
{
  this->EvictExpired(aNow);
  if (aRemaining > this->settings.window) {
    return false;
  }
  Entry* entry = this->FindOrAddEntry(aId.entry, aNow);
  if (entry == nullptr || aId.sequence <= entry->evictedUpTo ||
      entry->states.contains(aId.sequence)) {
    return false;
  }
  this->Insert(*entry, aId, StartState::Started, aNow);
  return true;
}

Disposition
StartRecord::Bar(const RequestId& aId, TimePoint aNow)
{
  this->EvictExpired(aNow);
  Entry* entry = this->FindOrAddEntry(aId.entry, aNow);
  if (entry == nullptr) {
    return Disposition::MayHaveRun;
  }
  const auto known = entry->states.find(aId.sequence);
  if (known != entry->states.end()) {
    return known->second == StartState::Barred ? Disposition::NotRun
                                               : Disposition::MayHaveRun;
  }
  if (aId.sequence <= entry->evictedUpTo) {
    return Disposition::MayHaveRun;
  }
  this->Insert(*entry, aId, StartState::Barred, aNow);
  return Disposition::NotRun;
}

void
StartRecord::Insert(Entry& aEntry,
                    const RequestId& aId,
                    StartState aState,
                    TimePoint aNow)
{
  aEntry.states.emplace(aId.sequence, aState);
  this->order.push_back({ aId, aNow });
  if (this->order.size() > this->settings.maxIds) {
    this->EvictOldest();
  }
}

void
StartRecord::EvictExpired(TimePoint aNow)
{
  while (!this->order.empty() &&
         Between(this->order.front().at, aNow) > this->settings.window) {
    this->EvictOldest();
  }
}

void
StartRecord::EvictOldest()
{
  const RequestId id = this->order.front().id;
  this->order.pop_front();
  Entry& entry = this->entries[id.entry];
  entry.states.erase(id.sequence);
  // The state of this id is no longer known, so it must neither start nor be
  // reported as NotRun from here on.
  entry.evictedUpTo = std::max(entry.evictedUpTo, id.sequence);
}

StartRecord::Entry*
StartRecord::FindOrAddEntry(Incarnation aEntry, TimePoint aNow)
{
  const auto known = this->entries.find(aEntry);
  if (known != this->entries.end()) {
    known->second.lastSeen = aNow;
    return &known->second;
  }
  if (this->entries.size() >= this->settings.maxEntries) {
    this->EvictExpiredEntries(aNow);
  }
  if (this->entries.size() >= this->settings.maxEntries) {
    return nullptr;
  }
  Entry& added = this->entries[aEntry];
  added.lastSeen = aNow;
  return &added;
}

void
StartRecord::EvictExpiredEntries(TimePoint aNow)
{
  absl::erase_if(this->entries, [&](const auto& aKnown) {
    const Entry& entry = aKnown.second;
    return entry.states.empty() &&
           Between(entry.lastSeen, aNow) > this->settings.entryTimeToLive;
  });
}

} // namespace dogwoodvale
