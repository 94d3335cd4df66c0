#ifndef DOGWOODVALE_DUTIES_USAGEPLAN_H
#define DOGWOODVALE_DUTIES_USAGEPLAN_H

#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>

#include "UsagePort.h"

namespace dogwoodvale {

/// How much of a window's usage is known to this process.
enum class UsageKnowledge : std::uint8_t
{
  /// Counts of some process may still be missing.
  Open,
  /// All counts have been received.
  Settled,
  /// Counts from before this process began to receive updates are missing.
  Unknown,
};

/// Usage as known to this process.
class UsageView
{
public:
  virtual ~UsageView() = default;
  virtual UsageKnowledge KnowledgeOf(WindowId aWindow) const = 0;
  virtual UsageCounts CountsOf(WindowId aWindow) const = 0;
};

/// The next step of the duty's holder.
struct UsageStep
{
  struct Wait
  {};
  /// Read the records from the store, see UsagePlan::OnRead().
  struct ReadRecords
  {};
  /// Write the floor to the store, if its key is still at that revision.
  struct WriteFloor
  {
    UsageFloor floor;
    Revision replaces = 0;
  };
  /// Write the report to the store, if its key is still at that revision.
  struct WriteRecord
  {
    UsageReport report;
    std::size_t slot = 0;
    Revision replaces = 0;
  };
  struct SendReport
  {
    UsageReport report;
  };
  /// Don't report the window.
  struct LeaveOut
  {
    WindowId window = 0;
    const char* reason = "";
  };
  using Any = std::
    variant<Wait, ReadRecords, WriteFloor, WriteRecord, SendReport, LeaveOut>;
};

/// Decides the next step of the holder of the usage duty.
///
/// A report's content is decided once: it is written to the store with a
/// compare-and-swap on the revision before it is first sent, and is only ever
/// sent as stored. So a successor, which can't know what its predecessor sent,
/// sends the same report. If the store was restored from an older copy, records
/// of reports that were sent may be lost. Windows that began before the first
/// holder of the new era are therefore left out: a missing report does less
/// harm than two different ones.
class UsagePlan
{
public:
  explicit UsagePlan(const UsageSchedule& aSchedule);

  /// This process acquired the duty, in that era of the store.
  void OnAcquired(StoreEra aEra);
  void OnLost();

  /// \param aAgreedTime agreed time since 1970, see TimeAgreement.
  UsageStep::Any Next(milliseconds aAgreedTime, const UsageView& aView);

  /// \param aResult all values under Prefix().
  void OnRead(const RangeResult& aResult);
  void OnFloorWritten(const UsageFloor& aFloor, const WriteResult& aResult);
  void OnRecordWritten(const UsageReport& aReport, const WriteResult& aResult);
  void OnSent(WindowId aWindow,
              ReportVerdict aVerdict,
              milliseconds aAgreedTime);

  /// Windows whose reports were accepted, and that were left out, while this
  /// process held the duty.
  std::uint64_t Accepted() const { return this->accepted; }
  std::uint64_t LeftOut() const { return this->leftOut; }
  std::optional<WindowId> LastAccepted() const { return this->lastAccepted; }
  /// Number of windows that have ended and are neither accepted nor left out.
  std::size_t Backlog(milliseconds aAgreedTime) const;

  /// Number of keys that records are stored under in rotation; a window's
  /// record is overwritten only long after its report was due.
  static constexpr std::size_t kSlots = 8;
  static std::string RecordKey(std::size_t aSlot);
  static std::string FloorKey();
  static std::string Prefix();

  /// Delay from a window's end until its report is decided, so that the last
  /// counts can arrive.
  static constexpr milliseconds kSettleTime = milliseconds(700);
  /// Delay after which it is decided even if counts are still missing.
  static constexpr milliseconds kDecisionTimeout = milliseconds(4000);
  /// A report is not sent within this time before it is due, as it might arrive
  /// too late.
  static constexpr milliseconds kSendMargin = milliseconds(300);
  /// Delay between a failed send and the next.
  static constexpr milliseconds kResendDelay = milliseconds(500);

private:
  struct Record
  {
    std::optional<UsageReport> report;
    Revision revision = 0;
  };

  static std::size_t SlotOf(WindowId aWindow);
  UsageStep::Any NextOf(WindowId aWindow,
                        milliseconds aAgreedTime,
                        const UsageView& aView);
  UsageStep::Any Decide(WindowId aWindow,
                        milliseconds aAgreedTime,
                        const UsageView& aView);
  UsageStep::Any LeaveOut(WindowId aWindow, const char* aReason);
  WindowId FirstWindow(milliseconds aAgreedTime) const;
  /// The stored state is uncertain: read it before the next step.
  void Reread() { this->isRead = false; }

  UsageSchedule schedule;
  std::optional<StoreEra> era;
  bool isRead = false;
  UsageFloor floor;
  Revision floorRevision = 0;
  std::map<std::size_t, Record> records;
  /// Windows that were accepted or left out.
  std::set<WindowId> done;
  milliseconds resendAt{ 0 };
  std::uint64_t accepted = 0;
  std::uint64_t leftOut = 0;
  std::optional<WindowId> lastAccepted;
};

} // namespace dogwoodvale

#endif
