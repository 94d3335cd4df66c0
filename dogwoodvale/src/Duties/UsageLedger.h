#ifndef DOGWOODVALE_DUTIES_USAGELEDGER_H
#define DOGWOODVALE_DUTIES_USAGELEDGER_H

#include <map>
#include <span>
#include <vector>

#include "UsageReport.h"

namespace dogwoodvale {

/// One lifetime of one process that counts usage.
struct UsageSource
{
  InstanceName process;
  Incarnation incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const UsageSource&) const = default;
};

/// What a source tells of one window: what it has counted so far, in all and of
/// some customers.
struct UsageNews
{
  WindowId window = 0;
  std::uint64_t total = 0;
  UsageCounts counts;

  bool operator==(const UsageNews&) const = default;
};

/// Brings together what all processes have counted.
///
/// Each source's counts only rise, so the highest word of each is the newest,
/// in whatever order, however often and by whomever it is told. A source's
/// total says whether all of its counts have been heard.
class UsageLedger
{
public:
  explicit UsageLedger(UsageSource aSelf);

  /// A request began to run.
  void Count(WindowId aWindow, const CustomerName& aCustomer);
  /// This process's own counts for the others: of each window that is kept the
  /// total, and the counts that changed lately.
  std::vector<UsageNews> Tell();
  void Hear(const UsageSource& aSource, std::span<const UsageNews> aNews);

  /// Whether all that each source told of the window's total was heard.
  bool IsWhole(WindowId aWindow) const;
  UsageCounts CountsOf(WindowId aWindow) const;
  /// All that is known, for a process that has missed some of it.
  std::map<UsageSource, std::vector<UsageNews>> All() const;
  /// Forgets earlier windows.
  void DropBefore(WindowId aWindow);

  /// Each change is told this often: a datagram may be lost.
  static constexpr int kTellings = 3;
  /// Counts told at once.
  static constexpr std::size_t kMostTold = 512;
  /// Customers that one source may name in one window.
  static constexpr std::size_t kMostCustomers = 65'536;
  /// Windows that a source may name; a later one replaces the earliest.
  static constexpr std::size_t kMostWindows = 8;

private:
  struct Counted
  {
    std::uint64_t total = 0;
    std::uint64_t sum = 0;
    UsageCounts counts;
  };
  using Windows = std::map<WindowId, Counted>;

  static void Merge(Windows& aWindows, const UsageNews& aNews);

  UsageSource self;
  std::map<UsageSource, Windows> sources;
  /// Own counts that changed, by how often they are still to be told.
  std::map<std::pair<WindowId, CustomerName>, int> toTell;
};

} // namespace dogwoodvale

#endif
