#ifndef DOGWOODVALE_DUTIES_USAGELEDGER_H
#define DOGWOODVALE_DUTIES_USAGELEDGER_H

#include <map>
#include <span>
#include <vector>

#include "UsageReport.h"

namespace dogwoodvale {

/// One incarnation of one process that counts usage.
struct UsageSource
{
  InstanceName process;
  Incarnation incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const UsageSource&) const = default;
};

/// A source's cumulative counts for one window: the total over all customers,
/// and the counts of some customers.
struct UsageUpdate
{
  WindowId window = 0;
  std::uint64_t total = 0;
  UsageCounts counts;

  bool operator==(const UsageUpdate&) const = default;
};

/// Aggregates the usage counts of all processes.
///
/// Each source's counts only increase, so the maximum is the latest, regardless
/// of order, duplicates and the sender of an update. A source's total shows
/// whether all of its counts have been received.
class UsageLedger
{
public:
  explicit UsageLedger(UsageSource aSelf);

  /// Counts a request that began to run.
  void Count(WindowId aWindow, const CustomerName& aCustomer);
  /// This process's counts to send to the others: for each window held, the
  /// total and the recently changed counts.
  std::vector<UsageUpdate> OutgoingUpdates();
  /// Merges the updates of another source; this process's own are ignored.
  void OnUpdate(const UsageSource& aSource,
                std::span<const UsageUpdate> aUpdates);

  /// Whether, for each source, the received counts add up to its total.
  bool IsComplete(WindowId aWindow) const;
  /// The received counts, summed over all sources.
  UsageCounts CountsOf(WindowId aWindow) const;
  /// All counts, to synchronise a process that missed updates.
  std::map<UsageSource, std::vector<UsageUpdate>> All() const;
  /// Drops all windows before \p aWindow.
  void DropBefore(WindowId aWindow);

  /// Number of updates that carry each change, as datagrams may be lost.
  static constexpr int kTransmissions = 3;
  /// Maximum number of customers' counts per OutgoingUpdates() call.
  static constexpr std::size_t kMaxCountsPerUpdate = 512;
  /// Maximum number of customers per source and window; counts of further ones
  /// are ignored.
  static constexpr std::size_t kMaxCustomers = 65'536;
  /// Maximum number of windows per source; beyond it the earliest is dropped.
  static constexpr std::size_t kMaxWindows = 8;

private:
  struct Counted
  {
    std::uint64_t total = 0;
    std::uint64_t sum = 0;
    UsageCounts counts;
  };
  using Windows = std::map<WindowId, Counted>;

  static void Merge(Windows& aWindows, const UsageUpdate& aUpdate);

  UsageSource self;
  std::map<UsageSource, Windows> sources;
  /// Own counts that changed, with the number of transmissions left.
  std::map<std::pair<WindowId, CustomerName>, int> pendingUpdates;
};

} // namespace dogwoodvale

#endif
