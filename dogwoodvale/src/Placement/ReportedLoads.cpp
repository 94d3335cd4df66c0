#include "ReportedLoads.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace dogwoodvale {

namespace {

/// Quotient of two times.
double
Ratio(Duration aTime, Duration aUnit)
{
  return static_cast<double>(aTime.count()) /
         static_cast<double>(aUnit.count());
}

/// Removes the times before \p aFrom.
void
DropBefore(std::deque<TimePoint>& aTimes, TimePoint aFrom)
{
  while (!aTimes.empty() && aTimes.front() < aFrom) {
    aTimes.pop_front();
  }
}

} // namespace

void
ReportedLoads::Add(const InstanceName& aInstance)
{
  this->entries.try_emplace(aInstance);
}

void
ReportedLoads::Forget(const InstanceName& aInstance)
{
  this->entries.erase(aInstance);
}

void
ReportedLoads::OnReport(const InstanceName& aInstance,
                        const ServerLoad& aLoad,
                        TimePoint aNow)
{
  const auto found = this->entries.find(aInstance);
  if (found == this->entries.end() || !aLoad.IsValid()) {
    ++this->ignored;
    return;
  }
  Take(found->second, aLoad, aNow, true);
}

void
ReportedLoads::OnPeerReports(std::span<const LoadUpdate> aUpdates,
                             TimePoint aNow)
{
  for (const LoadUpdate& update : aUpdates) {
    const auto found = this->entries.find(update.instance);
    if (found == this->entries.end() || !update.load.IsValid() ||
        update.age < milliseconds(0) || update.age > kMaxPeerAge) {
      ++this->ignored;
      continue;
    }
    Take(found->second, update.load, aNow - update.age, false);
  }
}

void
ReportedLoads::Take(Entry& aEntry,
                    const ServerLoad& aLoad,
                    TimePoint aAt,
                    bool aIsOwn)
{
  if (aEntry.load && aAt < aEntry.at) {
    return;
  }
  aEntry.load = aLoad;
  aEntry.at = aAt;
  aEntry.isUnsent = aIsOwn;
  DropBefore(aEntry.sends, aAt);
  if (aLoad.timeFactor) {
    AddTimeFactor(aEntry, *aLoad.timeFactor, aAt);
  }
}

void
ReportedLoads::AddTimeFactor(Entry& aEntry, double aFactor, TimePoint aAt)
{
  // The first report has the weight of a short time, so that it does not
  // outweigh the following ones if it falls into a slow period.
  constexpr Duration kFirstInterval = milliseconds(50);
  const bool isFirst = aEntry.factorWeight == 0;
  const Duration since =
    isFirst ? kFirstInterval : Between(aEntry.factorAt, aAt);
  // A report stands for the time since the one before it, but for no more than
  // kRecentFor: nothing is known of a longer interval's beginning.
  const double weight =
    -std::expm1(-Ratio(std::min(since, kRecentFor), kMeanTimeConstant));
  const double kept = std::exp(-Ratio(since, kMeanTimeConstant));
  aEntry.factorSum = aEntry.factorSum * kept + aFactor * weight;
  aEntry.factorWeight = aEntry.factorWeight * kept + weight;
  aEntry.factorAt = aAt;
}

void
ReportedLoads::OnSent(const InstanceName& aInstance, TimePoint aNow)
{
  const auto found = this->entries.find(aInstance);
  if (found == this->entries.end()) {
    return;
  }
  std::deque<TimePoint>& sends = found->second.sends;
  // Only sends since a recent report are ever counted.
  DropBefore(sends, aNow - kRecentFor);
  sends.push_back(aNow);
  if (sends.size() > kMaxSends) {
    sends.pop_front();
  }
}

const ReportedLoads::Entry*
ReportedLoads::Find(const InstanceName& aInstance) const
{
  const auto found = this->entries.find(aInstance);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::optional<ServerLoad>
ReportedLoads::Recent(const InstanceName& aInstance, TimePoint aNow) const
{
  const Entry* entry = this->Find(aInstance);
  return entry != nullptr && Between(entry->at, aNow) <= kRecentFor
           ? entry->load
           : std::nullopt;
}

std::optional<double>
ReportedLoads::PresentTimeFactor(const InstanceName& aInstance,
                                 TimePoint aNow) const
{
  const Entry* entry = this->Find(aInstance);
  return entry != nullptr && entry->load &&
             Between(entry->at, aNow) <= kPresentFor
           ? entry->load->timeFactor
           : std::nullopt;
}

std::optional<double>
ReportedLoads::MeanTimeFactor(const InstanceName& aInstance,
                              TimePoint aNow) const
{
  const Entry* entry = this->Find(aInstance);
  if (entry == nullptr || entry->factorWeight == 0) {
    return std::nullopt;
  }
  const Duration age = Between(entry->factorAt, aNow);
  if (age >= kMeanFor) {
    return std::nullopt;
  }
  const double mean = entry->factorSum / entry->factorWeight;
  const double left =
    std::min(Ratio(kMeanFor - age, kMeanFor - kMeanTimeConstant), 1.0);
  return 1.0 + (mean - 1.0) * left;
}

std::optional<std::uint32_t>
ReportedLoads::ReportedRequests(const InstanceName& aInstance,
                                TimePoint aNow) const
{
  const std::optional<ServerLoad> load = this->Recent(aInstance, aNow);
  if (!load) {
    return std::nullopt;
  }
  // Take() has dropped the sends before the report.
  const std::uint64_t sum = std::uint64_t{ load->running } + load->waiting +
                            this->Find(aInstance)->sends.size();
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(sum, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t
ReportedLoads::RequestsAt(const InstanceName& aInstance,
                          std::uint32_t aBelieved,
                          TimePoint aNow) const
{
  return std::max(aBelieved,
                  this->ReportedRequests(aInstance, aNow).value_or(0));
}

std::vector<LoadUpdate>
ReportedLoads::TakeUpdates(TimePoint aNow)
{
  std::vector<std::pair<TimePoint, InstanceName>> newest;
  for (const auto& [name, entry] : this->entries) {
    // The receivers would ignore an older report, and use one without a time
    // factor for nothing.
    if (entry.isUnsent && entry.load->timeFactor &&
        Between(entry.at, aNow) <= kMaxPeerAge) {
      newest.emplace_back(entry.at, name);
    }
  }
  std::ranges::sort(newest, std::ranges::greater());
  newest.resize(std::min(newest.size(), kMaxUpdates));
  std::vector<LoadUpdate> updates;
  updates.reserve(newest.size());
  for (const auto& [at, name] : newest) {
    Entry& entry = this->entries.at(name);
    entry.isUnsent = false;
    updates.push_back(
      { name,
        *entry.load,
        std::chrono::duration_cast<milliseconds>(aNow - entry.at) });
  }
  return updates;
}

std::size_t
ReportedLoads::RecentCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->entries, [aNow](const auto& aItem) {
      const Entry& entry = aItem.second;
      return entry.load && Between(entry.at, aNow) <= kRecentFor;
    }));
}

} // namespace dogwoodvale
