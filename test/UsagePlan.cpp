#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

#include "dogwoodvale/Duties"

using namespace dogwoodvale;

namespace {

constexpr UsageSchedule kSchedule{ seconds(5), seconds(10) };
/// The end of a window.
constexpr milliseconds kStart(1'790'000'000'000);
const WindowId kWindow = kSchedule.WindowAt(kStart) - 1;

/// Counts that differ between processes, so that two decisions on one window
/// differ.
class FixedView final : public UsageView
{
public:
  explicit FixedView(std::uint64_t aCount = 7)
    : count(aCount)
  {
  }
  UsageKnowledge KnowledgeOf(WindowId /*aWindow*/) const override
  {
    return this->known;
  }
  UsageCounts CountsOf(WindowId /*aWindow*/) const override
  {
    return { { CustomerName("c"), this->count } };
  }

  std::uint64_t count;
  UsageKnowledge known = UsageKnowledge::Settled;
};

WriteResult
Applied(Revision aRevision, StoreEra aEra)
{
  WriteResult result;
  result.outcome = WriteOutcome::Applied;
  result.revision = aRevision;
  result.era = aEra;
  return result;
}

RangeResult
Stored(StoreEra aEra, std::vector<KeyValue> aValues = {})
{
  RangeResult result;
  result.era = aEra;
  result.values = std::move(aValues);
  return result;
}

KeyValue
Entry(const std::string& aKey, const std::string& aValue)
{
  KeyValue entry;
  entry.key = aKey;
  entry.value = aValue;
  entry.modRevision = 40;
  return entry;
}

KeyValue
FloorAt(StoreEra aEra, WindowId aWindow)
{
  return Entry(UsagePlan::FloorKey(), WriteUsageFloor({ aEra, aWindow }));
}

KeyValue
RecordOf(WindowId aWindow, std::uint64_t aCount)
{
  return Entry(
    UsagePlan::RecordKey(static_cast<std::size_t>(aWindow) % UsagePlan::kSlots),
    WriteUsageReport({ aWindow, { { CustomerName("c"), aCount } } }));
}

/// A holder in the store's era 1 that has read the stored values.
UsagePlan
Holder(std::vector<KeyValue> aStored)
{
  UsagePlan plan(kSchedule);
  plan.OnAcquired(1);
  plan.OnRead(Stored(1, std::move(aStored)));
  return plan;
}

template<class Step>
bool
Is(const UsageStep::Any& aStep)
{
  return std::holds_alternative<Step>(aStep);
}

} // namespace

// Two holders send different reports of one window: the first decided it and
// crashed before any other process knew what it had sent.
TEST_CASE(
  "a report is stored before it is sent, and a successor sends the same",
  "[usage]")
{
  const FixedView view(7);
  UsagePlan plan = Holder({ FloorAt(1, kWindow) });
  const milliseconds later = kStart + seconds(1);
  const auto step = plan.Next(later, view);
  REQUIRE(Is<UsageStep::WriteRecord>(step));
  const UsageReport report = std::get<UsageStep::WriteRecord>(step).report;
  CHECK(report.window == kWindow);
  CHECK(report.counts.at(CustomerName("c")) == 7);
  SECTION("the write takes effect")
  {
    plan.OnRecordWritten(report, Applied(50, 1));
    const auto next = plan.Next(later, view);
    REQUIRE(Is<UsageStep::SendReport>(next));
    CHECK(std::get<UsageStep::SendReport>(next).report == report);
  }
  SECTION("unknown whether it took effect: the stored report is sent")
  {
    plan.OnRecordWritten(report, WriteResult{});
    REQUIRE(Is<UsageStep::ReadRecords>(plan.Next(later, view)));
    plan.OnRead(Stored(1, { FloorAt(1, kWindow), RecordOf(kWindow, 3) }));
    const auto next = plan.Next(later, view);
    REQUIRE(Is<UsageStep::SendReport>(next));
    const UsageReport& kept = std::get<UsageStep::SendReport>(next).report;
    CHECK(kept.counts.at(CustomerName("c")) == 3);
  }
}

TEST_CASE(
  "a window is decided once its counts are complete or a time-out elapsed",
  "[usage]")
{
  FixedView view;
  UsagePlan plan = Holder({ FloorAt(1, kWindow) });
  CHECK(Is<UsageStep::Wait>(plan.Next(kStart + milliseconds(100), view)));
  view.known = UsageKnowledge::Open;
  CHECK(Is<UsageStep::Wait>(plan.Next(kStart + seconds(2), view)));
  CHECK(Is<UsageStep::WriteRecord>(plan.Next(kStart + seconds(5), view)));
  view.known = UsageKnowledge::Unknown;
  CHECK(Is<UsageStep::LeaveOut>(plan.Next(kStart + seconds(5), view)));
  CHECK(plan.LeftOut() == 1);
  CHECK(Is<UsageStep::Wait>(plan.Next(kStart + milliseconds(4990), view)));
}

TEST_CASE("a failed report is sent again until it is overdue", "[usage]")
{
  const FixedView view;
  UsagePlan plan = Holder({ FloorAt(1, kWindow), RecordOf(kWindow, 7) });
  const milliseconds later = kStart + seconds(1);
  REQUIRE(Is<UsageStep::SendReport>(plan.Next(later, view)));
  plan.OnSent(kWindow, ReportVerdict::Failed, later);
  CHECK(Is<UsageStep::Wait>(plan.Next(later + milliseconds(100), view)));
  CHECK(Is<UsageStep::SendReport>(plan.Next(later + seconds(1), view)));
  SECTION("accepted")
  {
    plan.OnSent(kWindow, ReportVerdict::Accepted, later);
    CHECK(Is<UsageStep::Wait>(plan.Next(later + seconds(1), view)));
    CHECK(plan.Backlog(later) == 0);
    CHECK(plan.Accepted() == 1);
  }
  SECTION("never answered")
  {
    const auto step = plan.Next(kStart + milliseconds(9900), view);
    CHECK_FALSE(Is<UsageStep::SendReport>(step));
  }
}

// The store is restored from a copy a few seconds old, without the record of a
// window whose report was sent; a second decision could differ.
TEST_CASE("windows before a new era's first holder are not reported", "[usage]")
{
  const FixedView view;
  UsagePlan plan(kSchedule);
  plan.OnAcquired(2);
  plan.OnRead(Stored(2, { FloorAt(1, kWindow - 100) }));
  const milliseconds later = kStart + seconds(1);
  const auto step = plan.Next(later, view);
  REQUIRE(Is<UsageStep::WriteFloor>(step));
  const auto& write = std::get<UsageStep::WriteFloor>(step);
  CHECK(write.floor == UsageFloor{ 2, kWindow + 2 });
  CHECK(write.replaces == 40);
  plan.OnFloorWritten(write.floor, Applied(60, 2));
  CHECK(Is<UsageStep::Wait>(plan.Next(later, view)));
  // A record written in the previous era does not count in this one.
  plan.OnRecordWritten({ kWindow, {} }, Applied(61, 1));
  CHECK(Is<UsageStep::ReadRecords>(plan.Next(later, view)));
}

TEST_CASE(
  "stored reports and floors are read back, and malformed ones rejected",
  "[usage]")
{
  const UsageReport report{
    kWindow, { { CustomerName("a"), 1 }, { CustomerName("b"), 70'000'000'000 } }
  };
  CHECK(*ReadUsageReport(WriteUsageReport(report)) == report);
  CHECK(ReadUsageFloor(WriteUsageFloor({ 3, 9 }))->window == 9);
  for (const char* wrong : { "",
                             "[]",
                             R"({"window":"x","counts":{}})",
                             R"({"window":1,"counts":[]})",
                             R"({"window":1,"counts":{"a":-1}})" }) {
    INFO(wrong);
    CHECK_FALSE(ReadUsageReport(wrong).ok());
  }
  for (const char* wrong : { "", "[]", R"({"era":-1,"window":1})" }) {
    INFO(wrong);
    CHECK_FALSE(ReadUsageFloor(wrong).ok());
  }
}

namespace {

/// Three processes, a store that loses data and a receiver of reports. Calls
/// are delayed or lost, and processes are suspended or restarted.
class DutyModel
{
public:
  explicit DutyModel(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      this->processes.push_back({ UsagePlan(kSchedule), FixedView(100 + i) });
    }
  }

  void Run(milliseconds aLength)
  {
    for (this->now = kStart; this->now < kStart + aLength;
         this->now += milliseconds(50)) {
      this->Disturb();
      this->ExpireLease();
      this->Arrive();
      for (std::size_t i = 0; i < kProcesses; ++i) {
        this->RunMaintenance(i);
      }
    }
  }

  std::size_t Reported() const { return this->accepted.size(); }

private:
  static constexpr std::size_t kProcesses = 3;
  static constexpr milliseconds kLease{ 3000 };
  static constexpr milliseconds kMargin{ 500 };

  struct Value
  {
    std::string text;
    Revision created = 0;
    Revision changed = 0;
  };
  struct Store
  {
    std::map<std::string, Value> data;
    Revision revision = 10;
    StoreEra era = 1;
    milliseconds leaseUntil{ 0 };
  };
  struct Process
  {
    UsagePlan plan;
    FixedView view;
    bool holds = false;
    bool isBusy = false;
    StoreEra era = 0;
    Revision keyRevision = 0;
    FencingToken fencing = 0;
    milliseconds heldUntil{ 0 };
    milliseconds suspendedUntil{ 0 };
    /// Increases when the process restarts and drops its calls.
    int incarnation = 0;
  };
  struct Call
  {
    milliseconds at{ 0 };
    std::function<void()> run;
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aShare;
  }
  milliseconds Between(int aMin, int aMax)
  {
    return milliseconds(
      std::uniform_int_distribution<int>(aMin, aMax)(this->random));
  }

  void Disturb()
  {
    if (this->Chance(0.004)) {
      this->backups.push_back(this->store);
    }
    if (!this->backups.empty() && this->Chance(0.002)) {
      const StoreEra era = this->store.era + 1;
      this->store = this->backups[std::uniform_int_distribution<std::size_t>(
        0, this->backups.size() - 1)(this->random)];
      this->store.era = era;
      this->store.data.erase(kLeaseKey);
    }
    for (Process& process : this->processes) {
      if (this->Chance(0.002)) {
        process.suspendedUntil = this->now + this->Between(500, 9000);
      }
      if (this->Chance(0.001)) {
        // The process is killed and restarted.
        process.plan = UsagePlan(kSchedule);
        process.holds = false;
        process.isBusy = false;
        ++process.incarnation;
      }
    }
  }

  void ExpireLease()
  {
    if (this->now >= this->store.leaseUntil) {
      this->store.data.erase(kLeaseKey);
    }
  }

  void Arrive()
  {
    std::vector<Call> due;
    std::erase_if(this->calls, [&](const Call& aCall) {
      if (aCall.at <= this->now) {
        due.push_back(aCall);
      }
      return aCall.at <= this->now;
    });
    for (const Call& call : due) {
      call.run();
    }
  }

  /// Runs \p aEffect after at most 80 ms or, if late, after 1 s to 12 s, when
  /// its caller has timed out (1 s). The answer is delivered or lost.
  template<class Answer>
  void Send(std::size_t aProcess,
            std::function<Answer()> aEffect,
            std::function<void(const Answer&)> aOnAnswer)
  {
    const int incarnation = this->processes[aProcess].incarnation;
    const bool isLate = this->Chance(0.1);
    const bool isLost = isLate || this->Chance(0.1);
    const milliseconds arrives =
      this->now + (isLate ? this->Between(1000, 12'000) : this->Between(0, 80));
    this->processes[aProcess].isBusy = true;
    this->calls.push_back(
      { arrives, [this, aProcess, incarnation, isLost, aEffect, aOnAnswer] {
         const Answer answer = aEffect();
         if (!isLost) {
           this->calls.push_back(
             { this->now + this->Between(0, 300),
               [this, aProcess, incarnation, answer, aOnAnswer] {
                 Process& process = this->processes[aProcess];
                 if (process.incarnation == incarnation) {
                   process.isBusy = false;
                   aOnAnswer(answer);
                 }
               } });
         }
       } });
    if (isLost) {
      this->calls.push_back({ this->now + milliseconds(1000),
                              [this, aProcess, incarnation, aOnAnswer] {
                                Process& process = this->processes[aProcess];
                                if (process.incarnation == incarnation) {
                                  process.isBusy = false;
                                  aOnAnswer(Answer{});
                                }
                              } });
    }
  }

  void Lose(Process& aProcess)
  {
    aProcess.holds = false;
    aProcess.plan.OnLost();
  }

  void Acquire(std::size_t aProcess)
  {
    if (this->store.data.contains(kLeaseKey)) {
      return;
    }
    Process& process = this->processes[aProcess];
    const Revision revision = ++this->store.revision;
    this->store.data[kLeaseKey] = { "held", revision, revision };
    this->store.leaseUntil = this->now + kLease;
    process.holds = true;
    process.era = this->store.era;
    process.keyRevision = revision;
    process.fencing = FencingTokenOf(process.era, revision);
    process.heldUntil = this->now + kLease - kMargin;
    // Fencing tokens strictly increase from holder to holder.
    REQUIRE(process.fencing > this->lastFencing);
    this->lastFencing = process.fencing;
    process.plan.OnAcquired(process.era);
  }

  void Renew(Process& aProcess)
  {
    const auto found = this->store.data.find(kLeaseKey);
    const bool isHeld = found != this->store.data.end() &&
                        found->second.changed == aProcess.keyRevision &&
                        this->store.era == aProcess.era;
    if (!isHeld) {
      this->Lose(aProcess);
    } else if (this->Chance(0.8)) {
      this->store.leaseUntil = this->now + kLease;
      aProcess.heldUntil = this->now + kLease - kMargin;
    }
  }

  void RunMaintenance(std::size_t aProcess)
  {
    Process& process = this->processes[aProcess];
    if (this->now < process.suspendedUntil || this->Chance(0.7)) {
      return;
    }
    if (!process.holds) {
      if (this->Chance(0.1)) {
        this->Acquire(aProcess);
      }
      return;
    }
    if (this->Chance(0.1)) {
      this->Renew(process);
    }
    if (!process.holds || process.isBusy || this->now >= process.heldUntil) {
      return;
    }
    std::visit([&](const auto& aStep) { this->Execute(aProcess, aStep); },
               process.plan.Next(this->now, process.view));
  }

  void Execute(std::size_t /*aProcess*/, const UsageStep::Wait& /*aStep*/) {}
  void Execute(std::size_t /*aProcess*/, const UsageStep::LeaveOut& /*aStep*/)
  {
  }

  void Execute(std::size_t aProcess, const UsageStep::ReadRecords& /*aStep*/)
  {
    this->Send<RangeResult>(
      aProcess,
      [this] {
        RangeResult result;
        result.era = this->store.era;
        for (const auto& [key, value] : this->store.data) {
          if (key.starts_with(UsagePlan::Prefix())) {
            KeyValue entry;
            entry.key = key;
            entry.value = value.text;
            entry.modRevision = value.changed;
            result.values.push_back(entry);
          }
        }
        return result;
      },
      [this, aProcess](const RangeResult& aResult) {
        if (aResult.era != 0) {
          this->processes[aProcess].plan.OnRead(aResult);
        }
      });
  }

  std::function<WriteResult()> Write(const Process& aProcess,
                                     const std::string& aKey,
                                     Revision aReplaces,
                                     const std::string& aText)
  {
    return [this, aKey, aReplaces, aText, held = aProcess.keyRevision] {
      const auto revisionOf = [this](const std::string& aName) {
        const auto found = this->store.data.find(aName);
        return found == this->store.data.end() ? 0 : found->second.changed;
      };
      WriteResult result;
      result.era = this->store.era;
      if (revisionOf(kLeaseKey) != held || revisionOf(aKey) != aReplaces) {
        result.outcome = WriteOutcome::NotApplied;
        return result;
      }
      result.outcome = WriteOutcome::Applied;
      result.revision = ++this->store.revision;
      this->store.data[aKey] = { aText, result.revision, result.revision };
      return result;
    };
  }

  void Execute(std::size_t aProcess, const UsageStep::WriteFloor& aStep)
  {
    Process& process = this->processes[aProcess];
    this->Send<WriteResult>(
      aProcess,
      this->Write(process,
                  UsagePlan::FloorKey(),
                  aStep.replaces,
                  WriteUsageFloor(aStep.floor)),
      [this, aProcess, floor = aStep.floor](const WriteResult& aResult) {
        this->processes[aProcess].plan.OnFloorWritten(floor, aResult);
      });
  }

  void Execute(std::size_t aProcess, const UsageStep::WriteRecord& aStep)
  {
    Process& process = this->processes[aProcess];
    this->Send<WriteResult>(
      aProcess,
      this->Write(process,
                  UsagePlan::RecordKey(aStep.slot),
                  aStep.replaces,
                  WriteUsageReport(aStep.report)),
      [this, aProcess, report = aStep.report](const WriteResult& aResult) {
        this->processes[aProcess].plan.OnRecordWritten(report, aResult);
      });
  }

  void Execute(std::size_t aProcess, const UsageStep::SendReport& aStep)
  {
    const FencingToken fencing = this->processes[aProcess].fencing;
    this->Send<std::optional<ReportVerdict>>(
      aProcess,
      [this, fencing, report = aStep.report]() -> std::optional<ReportVerdict> {
        if (fencing < this->seenFencing) {
          return ReportVerdict::Superseded;
        }
        this->seenFencing = fencing;
        const auto [known, isNew] =
          this->accepted.try_emplace(report.window, report);
        // All reports of a window are identical.
        REQUIRE((isNew || known->second == report));
        return ReportVerdict::Accepted;
      },
      [this, aProcess, window = aStep.report.window](
        const std::optional<ReportVerdict>& aVerdict) {
        Process& process = this->processes[aProcess];
        const ReportVerdict verdict = aVerdict.value_or(ReportVerdict::Failed);
        process.plan.OnSent(window, verdict, this->now);
        if (verdict == ReportVerdict::Superseded) {
          this->Lose(process);
        }
      });
  }

  static inline const std::string kLeaseKey = "lease";

  std::mt19937_64 random;
  milliseconds now = kStart;
  Store store;
  std::vector<Store> backups;
  std::vector<Process> processes;
  std::vector<Call> calls;
  std::map<WindowId, UsageReport> accepted;
  FencingToken lastFencing = 0;
  FencingToken seenFencing = 0;
};

} // namespace

// The receiver accepts two different reports of one window, or two holders use
// the same fencing token, after a holder was killed, suspended or lost answers
// while the store was restored from an older copy.
TEST_CASE("no window has two different reports, and no token two holders",
          "[usage]")
{
  std::size_t reported = 0;
  constexpr std::uint64_t kRuns = 1500;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    INFO("seed " << seed);
    DutyModel model(seed);
    model.Run(seconds(90));
    reported += model.Reported();
  }
  // Most windows are still reported.
  CHECK(reported > 8 * kRuns);
}
