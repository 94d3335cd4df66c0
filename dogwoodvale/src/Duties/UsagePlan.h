#ifndef DOGWOODVALE_DUTIES_USAGEPLAN_H
#define DOGWOODVALE_DUTIES_USAGEPLAN_H

#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>

#include "UsagePort.h"

namespace dogwoodvale {

/// How much of a window's usage is known here.
enum class UsageKnowledge : std::uint8_t
{
  /// Some process may still have counts to tell.
  Open,
  Settled,
  /// What was counted before this process began to hear of it is lost.
  Unknown,
};

/// What a holder knows of usage.
class UsageView
{
public:
  virtual ~UsageView() = default;
  virtual UsageKnowledge KnowledgeOf(WindowId aWindow) const = 0;
  virtual UsageCounts CountsOf(WindowId aWindow) const = 0;
};

/// The holder's next step.
struct UsageStep
{
  struct Wait
  {};
  /// Read what the store keeps, see UsagePlan::OnRead().
  struct ReadRecords
  {};
  /// Keep the floor, in place of the one of that revision.
  struct WriteFloor
  {
    UsageFloor floor;
    Revision replaces = 0;
  };
  /// Keep the report, in place of the record of that revision.
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
  struct LeaveOut
  {
    WindowId window = 0;
    const char* reason = "";
  };
  using Any = std::
    variant<Wait, ReadRecords, WriteFloor, WriteRecord, SendReport, LeaveOut>;
};

/// Decides what the holder of the usage duty does next.
///
/// A report's content is decided once: it is kept in the store, against the
/// revision of what was there, before it is first sent, and every later sending
/// is what is kept. So a successor, which can't know what its predecessor sent,
/// sends the same. Where the store came back from an older copy, records may be
/// gone whose reports were sent; windows that had begun before the first holder
/// of that era are left out, as a report that is missing does less harm than
/// two that differ.
class UsagePlan
{
public:
  explicit UsagePlan(const UsageSchedule& aSchedule);

  /// This process holds the duty, in that era of the store.
  void OnAcquired(StoreEra aEra);
  void OnLost();

  UsageStep::Any Next(milliseconds aTrueTime, const UsageView& aView);

  /// The values under the duty's prefix, see RecordKey().
  void OnRead(const RangeResult& aResult);
  void OnFloorWritten(const UsageFloor& aFloor, const WriteResult& aResult);
  void OnRecordWritten(const UsageReport& aReport, const WriteResult& aResult);
  void OnSent(WindowId aWindow, ReportVerdict aVerdict, milliseconds aTrueTime);

  /// Windows of this holder's time that were accepted and left out.
  std::uint64_t Accepted() const { return this->accepted; }
  std::uint64_t LeftOut() const { return this->leftOut; }
  std::optional<WindowId> LastAccepted() const { return this->lastAccepted; }
  /// Windows that have ended and are neither accepted nor left out.
  std::size_t Backlog(milliseconds aTrueTime) const;

  /// Records are kept in turn in so many keys; a window's is replaced long
  /// after its report was due.
  static constexpr std::size_t kSlots = 8;
  static std::string RecordKey(std::size_t aSlot);
  static std::string FloorKey();
  static std::string Prefix();

  /// From a window's end until it is decided, so that the last counts are in.
  static constexpr milliseconds kSettleTime = milliseconds(700);
  /// The same where somebody's counts are still missing.
  static constexpr milliseconds kPatience = milliseconds(4000);
  /// A report that is sent so shortly before it is due may come too late.
  static constexpr milliseconds kLastMoment = milliseconds(300);
  /// From a sending that failed to the next.
  static constexpr milliseconds kResendAfter = milliseconds(500);

private:
  struct Record
  {
    std::optional<UsageReport> report;
    Revision revision = 0;
  };

  static std::size_t SlotOf(WindowId aWindow);
  UsageStep::Any NextOf(WindowId aWindow,
                        milliseconds aTrueTime,
                        const UsageView& aView);
  UsageStep::Any Decide(WindowId aWindow,
                        milliseconds aTrueTime,
                        const UsageView& aView);
  UsageStep::Any LeaveOut(WindowId aWindow, const char* aReason);
  WindowId FirstWindow(milliseconds aTrueTime) const;
  /// What is known of the store is in doubt: it is read before the next step.
  void Reread() { this->isRead = false; }

  UsageSchedule schedule;
  std::optional<StoreEra> era;
  bool isRead = false;
  UsageFloor floor;
  Revision floorRevision = 0;
  std::map<std::size_t, Record> records;
  /// Accepted or left out.
  std::set<WindowId> done;
  milliseconds resendAt{ 0 };
  std::uint64_t accepted = 0;
  std::uint64_t leftOut = 0;
  std::optional<WindowId> lastAccepted;
};

} // namespace dogwoodvale

#endif
