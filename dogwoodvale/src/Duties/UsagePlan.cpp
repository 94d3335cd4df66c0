#include "dogwoodvale/Duties"

#include <algorithm>
#include <charconv>

namespace dogwoodvale {

namespace {

constexpr std::string_view kPrefix = "dogwoodvale/usage/";
constexpr std::string_view kFloorName = "floor";

/// Keys of records end in their slot's number. \return nullopt for other keys.
std::optional<std::size_t>
SlotOfKey(std::string_view aKey)
{
  const std::string_view name =
    aKey.substr(std::min(aKey.size(), kPrefix.size()));
  const char* end = name.data() + name.size();
  std::size_t slot = 0;
  const auto [at, error] = std::from_chars(name.data(), end, slot);
  const bool isSlot =
    error == std::errc() && at == end && slot < UsagePlan::kSlots;
  return isSlot ? std::optional(slot) : std::nullopt;
}

} // namespace

std::string_view
ReportVerdictName(ReportVerdict aVerdict)
{
  switch (aVerdict) {
    case ReportVerdict::Accepted:
      return "accepted";
    case ReportVerdict::Superseded:
      return "superseded";
    case ReportVerdict::Rejected:
      return "rejected";
    case ReportVerdict::Failed:
      return "failed";
  }
  return "failed";
}

std::string
UsagePlan::Prefix()
{
  return std::string(kPrefix);
}

std::string
UsagePlan::RecordKey(std::size_t aSlot)
{
  return fmt::format("{}{}", kPrefix, aSlot);
}

std::string
UsagePlan::FloorKey()
{
  return fmt::format("{}{}", kPrefix, kFloorName);
}

std::size_t
UsagePlan::SlotOf(WindowId aWindow)
{
  return static_cast<std::size_t>(aWindow) % kSlots;
}

UsagePlan::UsagePlan(const UsageSchedule& aSchedule)
  : schedule(aSchedule)
{
}

void
UsagePlan::OnAcquired(StoreEra aEra)
{
  this->era = aEra;
  this->resendAt = milliseconds(0);
  this->Reread();
}

void
UsagePlan::OnLost()
{
  this->era.reset();
}

WindowId
UsagePlan::FirstWindow(milliseconds aAgreedTime) const
{
  const auto kept = static_cast<WindowId>(kSlots - 1);
  return std::max(this->floor.window,
                  this->schedule.WindowAt(aAgreedTime) - kept);
}

UsageStep::Any
UsagePlan::Next(milliseconds aAgreedTime, const UsageView& aView)
{
  if (!this->era) {
    return UsageStep::Wait{};
  }
  if (!this->isRead) {
    return UsageStep::ReadRecords{};
  }
  const WindowId current = this->schedule.WindowAt(aAgreedTime);
  if (this->floorRevision == 0 || this->floor.era != *this->era) {
    // The current window is left out too: a holder of the previous era may have
    // decided it already, by its own clock.
    return UsageStep::WriteFloor{ { *this->era, current + 1 },
                                  this->floorRevision };
  }
  const WindowId first = this->FirstWindow(aAgreedTime);
  this->done.erase(this->done.begin(), this->done.lower_bound(first));
  for (WindowId window = first; window < current; ++window) {
    if (!this->done.contains(window)) {
      return this->NextOf(window, aAgreedTime, aView);
    }
  }
  return UsageStep::Wait{};
}

UsageStep::Any
UsagePlan::NextOf(WindowId aWindow,
                  milliseconds aAgreedTime,
                  const UsageView& aView)
{
  const Record& record = this->records[SlotOf(aWindow)];
  const bool isDecided = record.report && record.report->window == aWindow;
  if (aAgreedTime + kSendMargin > this->schedule.DueAt(aWindow)) {
    if (!isDecided) {
      return this->LeaveOut(aWindow, "overdue");
    }
    // Too late to send; sending it was up to the process that stored it.
    this->done.insert(aWindow);
    return UsageStep::Wait{};
  }
  if (!isDecided) {
    return this->Decide(aWindow, aAgreedTime, aView);
  }
  if (aAgreedTime < this->resendAt) {
    return UsageStep::Wait{};
  }
  return UsageStep::SendReport{ *record.report };
}

UsageStep::Any
UsagePlan::Decide(WindowId aWindow,
                  milliseconds aAgreedTime,
                  const UsageView& aView)
{
  const milliseconds age = aAgreedTime - this->schedule.EndOf(aWindow);
  const UsageKnowledge known = aView.KnowledgeOf(aWindow);
  const bool isReady = age >= kSettleTime && known == UsageKnowledge::Settled;
  if (!isReady && age < kDecisionTimeout) {
    return UsageStep::Wait{};
  }
  if (known == UsageKnowledge::Unknown) {
    return this->LeaveOut(aWindow, "its counts are not known");
  }
  const std::size_t slot = SlotOf(aWindow);
  return UsageStep::WriteRecord{ { aWindow, aView.CountsOf(aWindow) },
                                 slot,
                                 this->records[slot].revision };
}

UsageStep::Any
UsagePlan::LeaveOut(WindowId aWindow, const char* aReason)
{
  this->done.insert(aWindow);
  ++this->leftOut;
  return UsageStep::LeaveOut{ aWindow, aReason };
}

void
UsagePlan::OnRead(const RangeResult& aResult)
{
  if (!this->era || aResult.era != *this->era) {
    return;
  }
  this->floor = {};
  this->floorRevision = 0;
  this->records.clear();
  for (const KeyValue& value : aResult.values) {
    if (value.key == FloorKey()) {
      // Treat a malformed floor as one of another era.
      this->floorRevision = value.modRevision;
      this->floor =
        ReadUsageFloor(value.value).value_or(UsageFloor{ ~*this->era });
    } else if (const auto slot = SlotOfKey(value.key)) {
      Record& record = this->records[*slot];
      record.revision = value.modRevision;
      if (auto report = ReadUsageReport(value.value); report.ok()) {
        record.report = *std::move(report);
      }
    }
  }
  this->isRead = true;
}

void
UsagePlan::OnFloorWritten(const UsageFloor& aFloor, const WriteResult& aResult)
{
  const bool isWritten = this->era && aResult.era == *this->era &&
                         aResult.outcome == WriteOutcome::Applied;
  if (!isWritten) {
    this->Reread();
    return;
  }
  this->floor = aFloor;
  this->floorRevision = aResult.revision;
}

void
UsagePlan::OnRecordWritten(const UsageReport& aReport,
                           const WriteResult& aResult)
{
  const bool isWritten = this->era && aResult.era == *this->era &&
                         aResult.outcome == WriteOutcome::Applied;
  if (!isWritten) {
    this->Reread();
    return;
  }
  this->records[SlotOf(aReport.window)] = { aReport, aResult.revision };
}

void
UsagePlan::OnSent(WindowId aWindow,
                  ReportVerdict aVerdict,
                  milliseconds aAgreedTime)
{
  switch (aVerdict) {
    case ReportVerdict::Accepted:
      if (this->done.insert(aWindow).second) {
        ++this->accepted;
      }
      this->lastAccepted = std::max(this->lastAccepted.value_or(0), aWindow);
      return;
    case ReportVerdict::Rejected:
      if (this->done.insert(aWindow).second) {
        ++this->leftOut;
      }
      return;
    case ReportVerdict::Superseded:
    case ReportVerdict::Failed:
      this->resendAt = aAgreedTime + kResendDelay;
      return;
  }
}

std::size_t
UsagePlan::Backlog(milliseconds aAgreedTime) const
{
  if (!this->era || !this->isRead) {
    return 0;
  }
  std::size_t count = 0;
  const WindowId current = this->schedule.WindowAt(aAgreedTime);
  for (WindowId window = this->FirstWindow(aAgreedTime); window < current;
       ++window) {
    count += this->done.contains(window) ? 0 : 1;
  }
  return count;
}

} // namespace dogwoodvale
