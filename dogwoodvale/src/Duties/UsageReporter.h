#ifndef DOGWOODVALE_DUTIES_USAGEREPORTER_H
#define DOGWOODVALE_DUTIES_USAGEREPORTER_H

#include <memory>

#include "DutyElection.h"
#include "UsagePlan.h"

namespace dogwoodvale {

/// Acquires the usage duty, renews its lease and, while this process holds it,
/// stores and sends reports as UsagePlan decides.
class UsageReporter final : public SlotLeaseObserver
{
public:
  struct Options
  {
    UsageSchedule schedule;
    /// Time to live of the lease: how long an unreachable holder keeps the
    /// duty.
    Duration lease = seconds(3);
  };

  /// \param aSelf this process's name for the receiver and other processes.
  UsageReporter(EventLoop& aLoop,
                StoreClient& aStore,
                UsagePort& aPort,
                InstanceName aSelf,
                Incarnation aIncarnation,
                Options aOptions);

  /// A heartbeat arrived from another process that is eligible for the duty.
  void OnHeartbeat(const InstanceName& aProcess, bool aHolds, TimePoint aNow);
  /// Call a few times a second.
  /// \param aAgreedTime agreed time since 1970, see TimeAgreement.
  /// \param aMayAcquire whether this process is eligible for the duty.
  void RunMaintenance(TimePoint aNow,
                      milliseconds aAgreedTime,
                      bool aMayAcquire,
                      const UsageView& aView);
  /// Hands the duty over, for a planned stop.
  void Stop();

  bool Holds() const { return this->lease.IsHeld(); }
  /// Whether this process holds the duty and its lease is safely valid now.
  bool IsActive(TimePoint aNow) const { return this->lease.MayOrder(aNow); }
  FencingToken Fencing() const { return this->lease.Fencing(); }
  TimePoint HeldSince() const { return this->lease.AcquiredAt(); }
  /// The holder as known to this process.
  std::optional<InstanceName> Holder() const;
  const UsagePlan& Plan() const { return this->plan; }

  void OnSlotAcquired() override;
  void OnSlotLost() override;

  static constexpr std::string_view kLeaseKey = "dogwoodvale/duties/usage";
  /// A holder hands over after its reports have failed for this long.
  static constexpr Duration kReceiverTimeout = seconds(4);

private:
  void Step(TimePoint aNow, milliseconds aAgreedTime, const UsageView& aView);
  void Execute(const UsageStep::Wait& aStep);
  void Execute(const UsageStep::ReadRecords& aStep);
  void Execute(const UsageStep::WriteFloor& aStep);
  void Execute(const UsageStep::WriteRecord& aStep);
  void Execute(const UsageStep::SendReport& aStep);
  void Execute(const UsageStep::LeaveOut& aStep);
  /// Writes if \p aKey is at revision \p aReplaces and this process still owns
  /// the lease's key.
  void Write(const std::string& aKey,
             Revision aReplaces,
             const std::string& aValue,
             StoreClient::WriteHandler aHandler);
  void OnSent(WindowId aWindow,
              ReportVerdict aVerdict,
              const absl::Status& aStatus);
  void HandOver(const char* aReason);

  StoreClient& store;
  UsagePort& port;
  InstanceName self;
  Options options;
  DutyElection election;
  UsagePlan plan;
  SlotLease lease;
  /// The only call in flight, to the store or to the receiver.
  std::unique_ptr<StoreCall> call;
  /// Start of the current run of failed reports.
  std::optional<TimePoint> failingSince;
  milliseconds agreedTime{ 0 };
  bool stopped = false;
};

} // namespace dogwoodvale

#endif
