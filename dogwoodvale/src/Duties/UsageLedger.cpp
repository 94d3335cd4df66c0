#include "dogwoodvale/Duties"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

UsageLedger::UsageLedger(UsageSource aSelf)
  : self(std::move(aSelf))
{
}

void
UsageLedger::Count(WindowId aWindow, const CustomerName& aCustomer)
{
  Counted& counted = this->sources[this->self][aWindow];
  ++counted.total;
  ++counted.sum;
  ++counted.counts[aCustomer];
  this->pendingUpdates[{ aWindow, aCustomer }] = kTransmissions;
}

std::vector<UsageUpdate>
UsageLedger::OutgoingUpdates()
{
  std::vector<UsageUpdate> updates;
  const auto own = this->sources.find(this->self);
  if (own == this->sources.end()) {
    return updates;
  }
  std::map<WindowId, UsageCounts> changed;
  std::size_t added = 0;
  for (auto it = this->pendingUpdates.begin();
       it != this->pendingUpdates.end() && added < kMaxCountsPerUpdate;
       ++added) {
    const auto& [window, customer] = it->first;
    changed[window][customer] = own->second[window].counts[customer];
    it = --it->second == 0 ? this->pendingUpdates.erase(it) : std::next(it);
  }
  for (const auto& [window, counted] : own->second) {
    updates.push_back({ window, counted.total, std::move(changed[window]) });
  }
  return updates;
}

void
UsageLedger::Merge(Windows& aWindows, const UsageUpdate& aUpdate)
{
  Counted& counted = aWindows[aUpdate.window];
  counted.total = std::max(counted.total, aUpdate.total);
  for (const auto& [customer, count] : aUpdate.counts) {
    if (counted.counts.size() >= kMaxCustomers &&
        !counted.counts.contains(customer)) {
      continue;
    }
    std::uint64_t& known = counted.counts[customer];
    const std::uint64_t newest = std::max(known, count);
    counted.sum += newest - known;
    known = newest;
  }
  while (aWindows.size() > kMaxWindows) {
    aWindows.erase(aWindows.begin());
  }
}

void
UsageLedger::OnUpdate(const UsageSource& aSource,
                      std::span<const UsageUpdate> aUpdates)
{
  // Other processes' copies of this process's counts are never newer than its
  // own.
  if (aSource == this->self || aUpdates.empty()) {
    return;
  }
  Windows& windows = this->sources[aSource];
  for (const UsageUpdate& update : aUpdates) {
    Merge(windows, update);
  }
}

bool
UsageLedger::IsComplete(WindowId aWindow) const
{
  return std::ranges::all_of(this->sources, [aWindow](const auto& aItem) {
    const auto found = aItem.second.find(aWindow);
    return found == aItem.second.end() ||
           found->second.sum >= found->second.total;
  });
}

UsageCounts
UsageLedger::CountsOf(WindowId aWindow) const
{
  UsageCounts sum;
  for (const auto& [source, windows] : this->sources) {
    const auto found = windows.find(aWindow);
    if (found == windows.end()) {
      continue;
    }
    for (const auto& [customer, count] : found->second.counts) {
      sum[customer] += count;
    }
  }
  return sum;
}

std::map<UsageSource, std::vector<UsageUpdate>>
UsageLedger::All() const
{
  std::map<UsageSource, std::vector<UsageUpdate>> all;
  for (const auto& [source, windows] : this->sources) {
    for (const auto& [window, counted] : windows) {
      all[source].push_back({ window, counted.total, counted.counts });
    }
  }
  return all;
}

void
UsageLedger::DropBefore(WindowId aWindow)
{
  for (auto& [source, windows] : this->sources) {
    windows.erase(windows.begin(), windows.lower_bound(aWindow));
  }
  std::erase_if(this->sources,
                [](const auto& aItem) { return aItem.second.empty(); });
  std::erase_if(this->pendingUpdates, [aWindow](const auto& aItem) {
    return aItem.first.first < aWindow;
  });
}

} // namespace dogwoodvale
