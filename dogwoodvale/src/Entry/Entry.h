#ifndef DOGWOODVALE_ENTRY_ENTRY_H
#define DOGWOODVALE_ENTRY_ENTRY_H

#include <map>
#include <memory>
#include <random>
#include <string>

#include "CallerRequest.h"
#include "ConfigurationSync.h"
#include "EntryMetrics.h"
#include "dogwoodvale/Configuration"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// The entry role, wired: callers on one side, sidecars on the other,
/// operators beside.
class Entry final
  : public CallerHandler
  , public CallerRequestHost
  , public FleetObserver
  , public ControlPlaneObserver
  , public OperatorHandler
{
public:
  static absl::StatusOr<std::unique_ptr<Entry>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings);

  /// Starts a planned stop: unready at once, accepts until the balancer has
  /// noticed, finishes what it has, then stops the loop.
  void BeginStop();

  SocketAddress CallerAddress() const { return this->callers->Address(); }
  SocketAddress OperatorAddress() const { return this->operators->Address(); }

  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override;

  EventLoop& Loop() override { return this->loop; }
  Fleet& Servers() override { return *this->fleet; }
  ClaimStore& Claims() override { return *this->claims; }
  RequestId NextId() override;
  Epoch CurrentEpoch() const override;
  RetryBudget& BudgetOf(const ResolvedRequest& aRequest) override;
  std::mt19937_64& Random() override { return this->random; }
  const EntrySettings& Bounds() const override { return this->settings.entry; }
  void OnDone(CallerRequest& aRequest) override;

  void OnPeerEpoch(const InstanceName& aPeer,
                   Epoch aEpoch,
                   std::string_view aRootHash,
                   std::optional<Duration> aStoreContactAge) override;
  void OnPeerLost(const InstanceName& aPeer) override;

  void OnConfiguration(const AcceptedConfiguration& aAccepted) override;
  void OnList(std::span<const ListedInstance> aList) override;

  std::string Metrics() override;
  absl::Status Ready() override;
  std::string Statusz() override;
  OperatorResponse Other(const HttpRequest& aRequest) override;

private:
  using BudgetKey = std::pair<ServiceName, ClassName>;

  Entry(EventLoop& aLoop, const DaemonSettings& aSettings);
  absl::Status Open();
  absl::Status LoadConfigurationFile();
  /// The configuration in force; nullptr before the first.
  const Configuration* Active() const;
  /// Sets a customer's limit when it is used, so that a change of
  /// configuration costs nothing for the thousands that are silent.
  void FollowLimit(const CustomerName& aName);
  void TellPeers(bool aNow);
  /// Tells peers what has changed little by little (the load, the age of the
  /// newest contact with the store), as often as the control budget allows.
  void TellPeersInTurn();
  Hello MakeHello() const;
  void RespondModels(CallerExchange& aExchange);
  /// Refuses a request that has no class yet.
  void RefuseEarly(CallerExchange& aExchange,
                   const RequestError& aError,
                   const RequestId& aId);
  void Sweep();
  void CheckStopped();
  /// Answers what is still open and ends the loop.
  void EndStop();

  EventLoop& loop;
  const DaemonSettings settings;
  const Incarnation incarnation;
  std::mt19937_64 random;
  std::uint64_t nextSequence = 1;
  /// From the settings' file, used until the store or a peer gives one.
  std::optional<Configuration> fileConfiguration;
  AdmissionControl admission;
  EntryMetrics metrics;
  std::map<BudgetKey, RetryBudget> budgets;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<ConfigurationSync> sync;
  std::unique_ptr<ControlPlane> control;
  std::unique_ptr<ClaimStore> claims;
  absl::flat_hash_map<RequestId, std::unique_ptr<CallerRequest>> requests;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<OperatorServer> operators;
  Timer sweepTimer;
  Timer noticeTimer;
  Timer stopTimer;
  TimePoint lastTold;
  bool stopping = false;
  bool accepting = true;
  /// The stop timeout has passed.
  bool drained = false;
  TimePoint graceEnd;
  TimePoint stopDeadline;
};

} // namespace dogwoodvale

#endif
