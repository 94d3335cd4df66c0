#include "dogwoodvale/Duties"

#include <utility>

namespace dogwoodvale {

namespace {

/// The holder stops sending one sixth of a lease before the lease expires.
constexpr int kMarginsPerLease = 6;
/// Back-off of a holder that has handed over, in lease durations.
constexpr int kBackOffLeases = 2;

} // namespace

UsageReporter::UsageReporter(EventLoop& aLoop,
                             StoreClient& aStore,
                             UsagePort& aPort,
                             InstanceName aSelf,
                             Incarnation aIncarnation,
                             Options aOptions)
  : store(aStore)
  , port(aPort)
  , self(std::move(aSelf))
  , options(aOptions)
  , election(this->self, Now())
  , plan(aOptions.schedule)
  , lease(aLoop,
          aStore,
          std::string(kLeaseKey),
          fmt::format("{} {:016x}", this->self.Value(), aIncarnation),
          { aOptions.lease, aOptions.lease / kMarginsPerLease },
          *this)
{
}

void
UsageReporter::OnHeartbeat(const InstanceName& aProcess,
                           bool aHolds,
                           TimePoint aNow)
{
  this->election.OnHeartbeat(aProcess, aHolds, aNow);
}

std::optional<InstanceName>
UsageReporter::Holder() const
{
  return this->Holds() ? std::optional(this->self) : this->election.Holder();
}

void
UsageReporter::RunMaintenance(TimePoint aNow,
                              milliseconds aAgreedTime,
                              bool aMayAcquire,
                              const UsageView& aView)
{
  this->agreedTime = aAgreedTime;
  if (this->stopped) {
    return;
  }
  if (this->Holds()) {
    this->Step(aNow, aAgreedTime, aView);
    return;
  }
  const bool shouldAcquire = aMayAcquire && this->election.ShouldAcquire(aNow);
  if (shouldAcquire && !this->lease.IsWanted()) {
    this->lease.Acquire();
  } else if (!shouldAcquire && this->lease.IsWanted()) {
    this->lease.Release();
  }
}

void
UsageReporter::Step(TimePoint aNow,
                    milliseconds aAgreedTime,
                    const UsageView& aView)
{
  if (this->call != nullptr || !this->lease.MayOrder(aNow)) {
    return;
  }
  std::visit([this](const auto& aStep) { this->Execute(aStep); },
             this->plan.Next(aAgreedTime, aView));
}

void
UsageReporter::Execute(const UsageStep::Wait& /*aStep*/)
{
}

void
UsageReporter::Execute(const UsageStep::ReadRecords& /*aStep*/)
{
  RangeQuery query;
  query.key = UsagePlan::Prefix();
  query.isPrefix = true;
  this->call = this->store.Range(
    query, [this](const absl::StatusOr<RangeResult>& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->call);
      if (aResult.ok()) {
        this->plan.OnRead(*aResult);
      }
    });
}

void
UsageReporter::Write(const std::string& aKey,
                     Revision aReplaces,
                     const std::string& aValue,
                     StoreClient::WriteHandler aHandler)
{
  Transaction transaction;
  const auto expect = [&](std::string_view aName, Revision aRevision) {
    Compare compare;
    compare.key = aName;
    compare.target = Compare::Target::ModRevision;
    compare.number = aRevision;
    transaction.when.push_back(std::move(compare));
  };
  expect(kLeaseKey, this->lease.KeyRevision());
  expect(aKey, aReplaces);
  Operation put;
  put.key = aKey;
  put.value = aValue;
  transaction.then.push_back(std::move(put));
  this->call = this->store.Commit(
    transaction,
    [this, handler = std::move(aHandler)](const WriteResult& aResult) {
      const std::unique_ptr<StoreCall> ended = std::move(this->call);
      handler(aResult);
    });
}

void
UsageReporter::Execute(const UsageStep::WriteFloor& aStep)
{
  this->Write(UsagePlan::FloorKey(),
              aStep.replaces,
              WriteUsageFloor(aStep.floor),
              [this, floor = aStep.floor](const WriteResult& aResult) {
                Log(LogLevel::Info,
                    "usage_floor",
                    "era",
                    floor.era,
                    "window",
                    floor.window,
                    "outcome",
                    WriteOutcomeName(aResult.outcome));
                this->plan.OnFloorWritten(floor, aResult);
              });
}

void
UsageReporter::Execute(const UsageStep::WriteRecord& aStep)
{
  this->Write(UsagePlan::RecordKey(aStep.slot),
              aStep.replaces,
              WriteUsageReport(aStep.report),
              [this, report = aStep.report](const WriteResult& aResult) {
                Log(LogLevel::Info,
                    "usage_decided",
                    "window",
                    report.window,
                    "customers",
                    report.counts.size(),
                    "fencing",
                    this->lease.Fencing(),
                    "outcome",
                    WriteOutcomeName(aResult.outcome));
                this->plan.OnRecordWritten(report, aResult);
              });
}

void
UsageReporter::Execute(const UsageStep::SendReport& aStep)
{
  this->call = this->port.Send(
    aStep.report,
    { this->self, this->lease.Fencing() },
    [this, window = aStep.report.window](ReportVerdict aVerdict,
                                         const absl::Status& aStatus) {
      const std::unique_ptr<StoreCall> ended = std::move(this->call);
      this->OnSent(window, aVerdict, aStatus);
    });
}

void
UsageReporter::Execute(const UsageStep::LeaveOut& aStep)
{
  Log(LogLevel::Warning,
      "usage_left_out",
      "window",
      aStep.window,
      "reason",
      aStep.reason,
      "late_ms",
      (this->agreedTime - this->options.schedule.EndOf(aStep.window)).count());
}

void
UsageReporter::OnSent(WindowId aWindow,
                      ReportVerdict aVerdict,
                      const absl::Status& aStatus)
{
  const TimePoint now = Now();
  Log(aVerdict == ReportVerdict::Accepted ? LogLevel::Info : LogLevel::Warning,
      "usage_sent",
      "window",
      aWindow,
      "verdict",
      ReportVerdictName(aVerdict),
      "reason",
      MessageOf(aStatus),
      "fencing",
      this->lease.Fencing(),
      "late_ms",
      (this->agreedTime - this->options.schedule.EndOf(aWindow)).count());
  this->plan.OnSent(aWindow, aVerdict, this->agreedTime);
  if (aVerdict != ReportVerdict::Failed) {
    this->failingSince.reset();
  } else if (!this->failingSince) {
    this->failingSince = now;
  }
  if (aVerdict == ReportVerdict::Superseded) {
    this->HandOver("the receiver has seen a newer holder");
  } else if (this->failingSince &&
             Between(*this->failingSince, now) > kReceiverTimeout) {
    this->HandOver("reports to the receiver keep failing");
  }
}

void
UsageReporter::HandOver(const char* aReason)
{
  Log(LogLevel::Info,
      "duty_handed_over",
      "duty",
      "usage",
      "fencing",
      this->lease.Fencing(),
      "reason",
      aReason);
  this->failingSince.reset();
  this->election.BackOffUntil(Now() + kBackOffLeases * this->options.lease);
  this->lease.Release();
  this->plan.OnLost();
}

void
UsageReporter::Stop()
{
  this->stopped = true;
  this->call.reset();
  if (this->Holds()) {
    this->HandOver("planned stop");
  } else {
    this->lease.Release();
  }
}

void
UsageReporter::OnSlotAcquired()
{
  Log(LogLevel::Info,
      "duty_acquired",
      "duty",
      "usage",
      "fencing",
      this->lease.Fencing(),
      "era",
      this->lease.Era());
  this->plan.OnAcquired(this->lease.Era());
}

void
UsageReporter::OnSlotLost()
{
  Log(LogLevel::Warning, "duty_lost", "duty", "usage");
  this->call.reset();
  this->failingSince.reset();
  this->plan.OnLost();
  // Without this back-off two holders could alternate within one lease, which
  // observers can't distinguish from two that both believe they hold it.
  this->election.BackOffUntil(Now() + this->options.lease);
  this->lease.Release();
}

} // namespace dogwoodvale
