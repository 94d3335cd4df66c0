#ifndef DOGWOODVALE_DUTIES_DUTYELECTION_H
#define DOGWOODVALE_DUTIES_DUTYELECTION_H

#include <map>
#include <optional>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Decides when this process tries to acquire the lease of a duty (a task that
/// one process, the leader, does for all).
///
/// Processes inform each other which of them holds the duty. If none does, they
/// try to acquire it one after the other, ordered by a hash of their names, so
/// that the loss of a holder costs the store a few calls instead of one per
/// process. Safety does not depend on this: if two try at the same time, the
/// store's lease decides between them.
class DutyElection
{
public:
  DutyElection(InstanceName aSelf, TimePoint aNow);

  /// A heartbeat arrived from a process that is eligible for the duty.
  /// \param aHolds whether that process holds the duty.
  void OnHeartbeat(const InstanceName& aProcess, bool aHolds, TimePoint aNow);
  /// This process does not try to acquire the duty before \p aUntil.
  void BackOffUntil(TimePoint aUntil) { this->backOffUntil = aUntil; }
  /// Whether to try to acquire the duty now. Call a few times a second.
  bool ShouldAcquire(TimePoint aNow);
  /// The last reported holder; nullopt if it timed out or gave up the duty.
  const std::optional<InstanceName>& Holder() const { return this->holder; }
  /// Number of live processes that precede this one in the order.
  std::size_t RankOfSelf(TimePoint aNow) const;

  /// A process is considered dead after this long without a heartbeat.
  static constexpr Duration kPeerTimeout = seconds(1);
  /// Delay from a duty's vacancy until the first process tries to acquire it,
  /// and from each process to the next in the order.
  static constexpr Duration kFirstCandidateDelay = milliseconds(500);
  static constexpr Duration kNextCandidateDelay = milliseconds(500);

private:
  InstanceName self;
  std::map<InstanceName, TimePoint> lastHeartbeats;
  std::optional<InstanceName> holder;
  TimePoint vacantSince;
  TimePoint backOffUntil{};
};

} // namespace dogwoodvale

#endif
