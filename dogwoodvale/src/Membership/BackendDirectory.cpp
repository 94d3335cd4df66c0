#include "dogwoodvale/Membership"

#include <algorithm>
#include <set>

namespace dogwoodvale {

BackendDirectory::BackendDirectory(const DirectoryBounds& aBounds)
  : bounds(aBounds)
{
}

void
BackendDirectory::AddStatic(const StaticInstance& aInstance)
{
  Entry entry{ .record = {},
               .backoff = { this->bounds.initialRetryDelay,
                            this->bounds.maxRetryDelay },
               .goAways = {},
               .absentSince = {} };
  entry.record.name = aInstance.name;
  entry.record.service = ServiceName(aInstance.service);
  entry.record.dataCentre = aInstance.dataCentre;
  entry.record.address = aInstance.address;
  entry.isStatic = true;
  this->entries.insert_or_assign(aInstance.name, std::move(entry));
}

void
BackendDirectory::OnList(std::span<const ListedInstance> aList, TimePoint aNow)
{
  std::set<InstanceName> named;
  for (const ListedInstance& listed : aList) {
    if (listed.role == Role::Sidecar) {
      this->AddListed(listed);
      named.insert(listed.name);
    }
  }
  for (auto& [name, entry] : this->entries) {
    if (named.contains(name)) {
      entry.absentSince.reset();
    } else if (!entry.absentSince) {
      entry.absentSince = aNow;
    }
  }
  this->EvictAbsent(aNow);
}

void
BackendDirectory::AddListed(const ListedInstance& aListed)
{
  auto found = this->entries.find(aListed.name);
  if (found == this->entries.end()) {
    Entry entry{ .record = {},
                 .backoff = { this->bounds.initialRetryDelay,
                              this->bounds.maxRetryDelay },
                 .goAways = {},
                 .absentSince = {} };
    entry.record.name = aListed.name;
    found = this->entries.emplace(aListed.name, std::move(entry)).first;
  }
  Entry& entry = found->second;
  BackendRecord& record = entry.record;
  record.service = aListed.service;
  record.dataCentre = aListed.dataCentre;
  record.region = aListed.region;
  if (record.address != aListed.address) {
    // A different machine: failures at the old address don't apply to it.
    record.address = aListed.address;
    record.failures = 0;
    record.retryAt = TimePoint{};
    entry.backoff.Reset();
  }
  this->MarkLeaving(entry, aListed.state);
}

void
BackendDirectory::MarkLeaving(Entry& aEntry, ListedState aState)
{
  const bool leaving = aState == ListedState::Leaving;
  if (leaving && !aEntry.listLeaving) {
    aEntry.listLeavingIncarnation = aEntry.record.incarnation;
  }
  aEntry.listLeaving = leaving;
  UpdateLeaving(aEntry);
}

void
BackendDirectory::UpdateLeaving(Entry& aEntry)
{
  BackendRecord& record = aEntry.record;
  const bool sentGoAway = std::find(aEntry.goAways.begin(),
                                    aEntry.goAways.end(),
                                    record.incarnation) != aEntry.goAways.end();
  // The list may be out of date: `leaving` refers to the incarnation known when
  // the list first reported it, not to one that has sent a hello since.
  const bool listed =
    aEntry.listLeaving && aEntry.listLeavingIncarnation == record.incarnation;
  record.leaving = sentGoAway || listed;
}

void
BackendDirectory::EvictAbsent(TimePoint aNow)
{
  std::erase_if(this->entries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return !entry.isStatic && !entry.record.connected && entry.absentSince &&
           aNow - *entry.absentSince >= this->bounds.evictAfter;
  });
}

void
BackendDirectory::OnConnected(const InstanceName& aName,
                              Incarnation aIncarnation)
{
  Entry* entry = this->FindEntry(aName);
  if (entry == nullptr) {
    return;
  }
  BackendRecord& record = entry->record;
  if (record.incarnation == 0 && entry->listLeaving) {
    // First hello from this instance: assume that the list refers to it.
    entry->listLeavingIncarnation = aIncarnation;
  }
  record.incarnation = aIncarnation;
  record.connected = true;
  record.failures = 0;
  entry->backoff.Reset();
  UpdateLeaving(*entry);
}

void
BackendDirectory::OnRefused(const InstanceName& aName,
                            TimePoint aNow,
                            double aUniform)
{
  this->OnFailure(aName, aNow, aUniform);
}

void
BackendDirectory::OnTimedOut(const InstanceName& aName,
                             TimePoint aNow,
                             double aUniform)
{
  this->OnFailure(aName, aNow, aUniform);
}

void
BackendDirectory::OnFailure(const InstanceName& aName,
                            TimePoint aNow,
                            double aUniform)
{
  Entry* entry = this->FindEntry(aName);
  if (entry == nullptr) {
    return;
  }
  entry->record.connected = false;
  ++entry->record.failures;
  entry->record.retryAt = aNow + entry->backoff.Next(aUniform);
}

void
BackendDirectory::OnGoAway(const InstanceName& aName, Incarnation aIncarnation)
{
  Entry* entry = this->FindEntry(aName);
  if (entry == nullptr) {
    return;
  }
  std::vector<Incarnation>& goAways = entry->goAways;
  if (std::find(goAways.begin(), goAways.end(), aIncarnation) ==
      goAways.end()) {
    if (goAways.size() == kMaxGoAways) {
      goAways.erase(goAways.begin());
    }
    goAways.push_back(aIncarnation);
  }
  UpdateLeaving(*entry);
}

void
BackendDirectory::OnDisconnected(const InstanceName& aName)
{
  if (Entry* entry = this->FindEntry(aName)) {
    entry->record.connected = false;
  }
}

bool
BackendDirectory::IsCandidate(const Entry& aEntry, TimePoint aNow) const
{
  const BackendRecord& record = aEntry.record;
  if (record.leaving) {
    return false;
  }
  return record.failures < this->bounds.failuresToDrop ||
         aNow >= record.retryAt;
}

std::vector<InstanceName>
BackendDirectory::Candidates(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<InstanceName> names;
  for (const auto& [name, entry] : this->entries) {
    if (entry.record.service == aService && this->IsCandidate(entry, aNow)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<InstanceName>
BackendDirectory::Usable(const ServiceName& aService) const
{
  std::vector<InstanceName> names;
  for (const auto& [name, entry] : this->entries) {
    const BackendRecord& record = entry.record;
    if (record.service == aService && record.connected && !record.leaving) {
      names.push_back(name);
    }
  }
  return names;
}

bool
BackendDirectory::MayConnect(const InstanceName& aName, TimePoint aNow) const
{
  const BackendRecord* record = this->Find(aName);
  return record != nullptr && !record->connected && aNow >= record->retryAt;
}

std::vector<InstanceName>
BackendDirectory::DueForProbe(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<InstanceName> names;
  for (const auto& [name, entry] : this->entries) {
    const BackendRecord& record = entry.record;
    if (record.service == aService && record.leaving && !record.connected &&
        aNow >= record.retryAt) {
      names.push_back(name);
    }
  }
  return names;
}

const BackendRecord*
BackendDirectory::Find(const InstanceName& aName) const
{
  const auto found = this->entries.find(aName);
  return found == this->entries.end() ? nullptr : &found->second.record;
}

std::vector<ServiceName>
BackendDirectory::Services() const
{
  std::set<ServiceName> names;
  for (const auto& [name, entry] : this->entries) {
    names.insert(entry.record.service);
  }
  return { names.begin(), names.end() };
}

BackendDirectory::Entry*
BackendDirectory::FindEntry(const InstanceName& aName)
{
  const auto found = this->entries.find(aName);
  return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace dogwoodvale
