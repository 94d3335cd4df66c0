#ifndef DOGWOODVALE_DUTIES_USAGEREPORTER_H
#define DOGWOODVALE_DUTIES_USAGEREPORTER_H

#include <memory>

#include "DutyElection.h"
#include "UsagePlan.h"

namespace dogwoodvale {

/// Carries out the usage duty while this process holds it: stands for it,
/// renews its lease, keeps and sends reports as UsagePlan says.
class UsageReporter final : public SlotLeaseObserver
{
public:
  struct Options
  {
    UsageSchedule schedule;
    /// How long a holder that is not heard of stays the holder.
    Duration lease = seconds(3);
  };

  /// \param aSelf names this process to the receiver and the other processes.
  UsageReporter(EventLoop& aLoop,
                StoreClient& aStore,
                UsagePort& aPort,
                InstanceName aSelf,
                Incarnation aIncarnation,
                Options aOptions);

  /// Another process that may hold the duty gave a sign of life.
  void OnHeard(const InstanceName& aProcess, bool aHolds, TimePoint aNow);
  /// Call a few times a second.
  /// \param aMayStand whether this process is one of those that hold the duty.
  void Tend(TimePoint aNow,
            milliseconds aTrueTime,
            bool aMayStand,
            const UsageView& aView);
  /// Hands over, for a planned stop.
  void Stop();

  bool Holds() const { return this->lease.IsHeld(); }
  /// Holds it and may act on it now.
  bool IsActive(TimePoint aNow) const { return this->lease.MayOrder(aNow); }
  FencingToken Fencing() const { return this->lease.Fencing(); }
  TimePoint HeldSince() const { return this->lease.AcquiredAt(); }
  /// The holder as this process knows it.
  std::optional<InstanceName> Holder() const;
  const UsagePlan& Plan() const { return this->plan; }

  void OnSlotAcquired() override;
  void OnSlotLost() override;

  static constexpr std::string_view kLeaseKey = "dogwoodvale/duties/usage";
  /// A holder whose reports are not answered for so long lets another try.
  static constexpr Duration kReceiverPatience = seconds(4);

private:
  void Step(TimePoint aNow, milliseconds aTrueTime, const UsageView& aView);
  void Take(const UsageStep::Wait& aStep);
  void Take(const UsageStep::ReadRecords& aStep);
  void Take(const UsageStep::WriteFloor& aStep);
  void Take(const UsageStep::WriteRecord& aStep);
  void Take(const UsageStep::SendReport& aStep);
  void Take(const UsageStep::LeaveOut& aStep);
  /// A write that takes effect only while the lease's key is this process's.
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
  /// The one call under way, to the store or to the receiver.
  std::unique_ptr<StoreCall> call;
  /// Since when reports have failed without a break.
  std::optional<TimePoint> failingSince;
  milliseconds trueTime{ 0 };
  bool stopped = false;
};

} // namespace dogwoodvale

#endif
