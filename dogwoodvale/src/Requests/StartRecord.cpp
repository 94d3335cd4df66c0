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
  this->Forget(aNow);
  if (aRemaining > this->settings.window) {
    return false;
  }
  Entry* entry = this->FindOrAddEntry(aId.entry, aNow);
  if (entry == nullptr || aId.sequence <= entry->floor ||
      entry->fates.contains(aId.sequence)) {
    return false;
  }
  this->Note(*entry, aId, Fate::Started, aNow);
  return true;
}

Disposition
StartRecord::Bar(const RequestId& aId, TimePoint aNow)
{
  this->Forget(aNow);
  Entry* entry = this->FindOrAddEntry(aId.entry, aNow);
  if (entry == nullptr) {
    return Disposition::MayHaveRun;
  }
  const auto known = entry->fates.find(aId.sequence);
  if (known != entry->fates.end()) {
    return known->second == Fate::Barred ? Disposition::NotRun
                                         : Disposition::MayHaveRun;
  }
  if (aId.sequence <= entry->floor) {
    return Disposition::MayHaveRun;
  }
  this->Note(*entry, aId, Fate::Barred, aNow);
  return Disposition::NotRun;
}

void
StartRecord::Note(Entry& aEntry,
                  const RequestId& aId,
                  Fate aFate,
                  TimePoint aNow)
{
  aEntry.fates.emplace(aId.sequence, aFate);
  this->order.push_back({ aId, aNow });
  if (this->order.size() > this->settings.maxIds) {
    this->ForgetOldest();
  }
}

void
StartRecord::Forget(TimePoint aNow)
{
  while (!this->order.empty() &&
         Between(this->order.front().at, aNow) > this->settings.window) {
    this->ForgetOldest();
  }
}

void
StartRecord::ForgetOldest()
{
  const RequestId id = this->order.front().id;
  this->order.pop_front();
  Entry& entry = this->entries[id.entry];
  entry.fates.erase(id.sequence);
  // What was known of the id is gone, so from here on it must neither begin
  // nor be called NotRun.
  entry.floor = std::max(entry.floor, id.sequence);
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
    this->ForgetGoneEntries(aNow);
  }
  if (this->entries.size() >= this->settings.maxEntries) {
    return nullptr;
  }
  Entry& added = this->entries[aEntry];
  added.lastSeen = aNow;
  return &added;
}

void
StartRecord::ForgetGoneEntries(TimePoint aNow)
{
  absl::erase_if(this->entries, [&](const auto& aKnown) {
    const Entry& entry = aKnown.second;
    return entry.fates.empty() &&
           Between(entry.lastSeen, aNow) > this->settings.entryLife;
  });
}

} // namespace dogwoodvale
