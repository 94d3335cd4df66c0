#include "StreamOrigins.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

void
StreamOrigins::Insert(StreamKey aKey, Record aRecord)
{
  this->byExpiry.emplace(aRecord.expiresAt, aKey);
  this->sharedRevision += aRecord.IsShared() ? 1 : 0;
  this->records[aKey] = std::move(aRecord);
  while (this->records.size() > kMaxRecords) {
    this->Expire(this->byExpiry.begin()->first);
  }
}

void
StreamOrigins::Report(StreamKey aKey, Record& aRecord)
{
  if (aRecord.reportsLeft == 0) {
    this->pending.push_back(aKey);
  }
  aRecord.reportsLeft = kReports;
  aRecord.wasReported = true;
}

void
StreamOrigins::OnSent(StreamKey aKey,
                      const StreamOrigin& aOrigin,
                      Duration aLifetime,
                      bool aIsReported,
                      TimePoint aNow)
{
  if (aKey == 0) {
    return;
  }
  Record record;
  record.origin = aOrigin;
  record.expiresAt = aNow + std::clamp(aLifetime, Duration(0), kMaxLifetime);
  record.isOwn = true;
  if (const auto found = this->records.find(aKey);
      found != this->records.end()) {
    // Other gateways may hold the former record, so they need the new one.
    aIsReported = aIsReported || found->second.wasReported;
    record.reportsLeft = found->second.reportsLeft;
    record.wasTaken = found->second.wasTaken;
  }
  this->Insert(aKey, std::move(record));
  const auto inserted = this->records.find(aKey);
  if (aIsReported && inserted != this->records.end()) {
    this->Report(aKey, inserted->second);
  }
}

void
StreamOrigins::ReportAll(const ServiceName& aService)
{
  for (auto& [key, record] : this->records) {
    if (record.isOwn && !record.wasReported &&
        record.origin.service == aService) {
      this->Report(key, record);
    }
  }
}

void
StreamOrigins::Apply(std::span<const OriginUpdate> aUpdates, TimePoint aNow)
{
  for (const OriginUpdate& update : aUpdates) {
    if (update.key == 0) {
      continue;
    }
    const auto found = this->records.find(update.key);
    // What this gateway has sent itself is not replaced by a report.
    if (found != this->records.end() && found->second.isOwn) {
      continue;
    }
    const Duration left =
      std::clamp(std::chrono::duration_cast<Duration>(update.left),
                 Duration(0),
                 kMaxLifetime);
    if (found != this->records.end() && found->second.origin == update.origin &&
        found->second.expiresAt >= aNow + left) {
      continue;
    }
    Record record;
    record.origin = update.origin;
    record.expiresAt = aNow + left;
    this->Insert(update.key, std::move(record));
  }
}

std::optional<StreamOrigins::Found>
StreamOrigins::Find(StreamKey aKey, TimePoint aNow) const
{
  const auto found = this->records.find(aKey);
  if (aKey == 0 || found == this->records.end() ||
      found->second.expiresAt <= aNow) {
    return std::nullopt;
  }
  return Found{ found->second.origin, found->second.isOwn };
}

bool
StreamOrigins::IsKnownElsewhere(StreamKey aKey) const
{
  const auto found = this->records.find(aKey);
  return found != this->records.end() && found->second.isOwn &&
         (found->second.wasTaken || !found->second.wasReported);
}

std::vector<OriginUpdate>
StreamOrigins::TakeUpdates(TimePoint aNow)
{
  std::vector<OriginUpdate> updates;
  std::vector<StreamKey> next;
  std::size_t taken = 0;
  for (; taken < this->pending.size() && updates.size() < kMaxUpdates;
       ++taken) {
    const StreamKey key = this->pending[taken];
    const auto found = this->records.find(key);
    if (found == this->records.end() || found->second.reportsLeft == 0) {
      continue;
    }
    Record& record = found->second;
    updates.push_back({ key,
                        record.origin,
                        std::chrono::duration_cast<milliseconds>(
                          Between(aNow, record.expiresAt)) });
    this->sharedRevision += record.IsShared() ? 0 : 1;
    record.wasTaken = true;
    if (--record.reportsLeft > 0) {
      next.push_back(key);
    }
  }
  this->pending.erase(this->pending.begin(),
                      this->pending.begin() +
                        static_cast<std::ptrdiff_t>(taken));
  this->pending.insert(this->pending.end(), next.begin(), next.end());
  return updates;
}

std::vector<OriginUpdate>
StreamOrigins::Shared(std::size_t aMost, TimePoint aNow) const
{
  std::vector<OriginUpdate> shared;
  for (auto latest = this->byExpiry.rbegin();
       latest != this->byExpiry.rend() && shared.size() < aMost;
       ++latest) {
    const auto& [expiresAt, key] = *latest;
    const auto found = this->records.find(key);
    // A renewed record has a later entry in byExpiry.
    if (expiresAt > aNow && found != this->records.end() &&
        found->second.expiresAt == expiresAt && found->second.IsShared()) {
      shared.push_back(
        { key,
          found->second.origin,
          std::chrono::duration_cast<milliseconds>(Between(aNow, expiresAt)) });
    }
  }
  return shared;
}

void
StreamOrigins::Expire(TimePoint aNow)
{
  while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= aNow) {
    const auto [expiresAt, key] = *this->byExpiry.begin();
    this->byExpiry.erase(this->byExpiry.begin());
    const auto found = this->records.find(key);
    // A renewed record has a later entry in byExpiry.
    if (found != this->records.end() && found->second.expiresAt <= expiresAt) {
      this->records.erase(found);
    }
  }
}

} // namespace dogwoodvale
