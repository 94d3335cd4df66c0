#ifndef DOGWOODVALE_GATEWAY_GATEWAY_H
#define DOGWOODVALE_GATEWAY_GATEWAY_H

#include <map>
#include <memory>
#include <random>

#include "BackendPool.h"
#include "CrashGuard.h"
#include "DirectoryKeeper.h"
#include "GatewayMetrics.h"
#include "GatewayRequest.h"
#include "PeerExchange.h"
#include "RoutesCatchUp.h"
#include "StopSchedule.h"
#include "SuspensionWatch.h"
#include "UsageDuty.h"
#include "WarmStart.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// The gateway role, wired: callers on one side, backend servers on the other
/// with no sidecar between, other gateways and operators beside.
class Gateway final
  : public CallerHandler
  , public GatewayRequestHost
  , public DirectoryObserver
  , public PeerExchangeHost
  , public OperatorHandler
{
public:
  static absl::StatusOr<std::unique_ptr<Gateway>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings,
    GatewayPorts aPorts);
  ~Gateway() override;

  /// Starts a planned stop: unready at once, goes on accepting until the
  /// balancer has noticed, finishes what it has, then stops the loop.
  void BeginStop();
  /// Takes what may change while the process runs: bounds and seeds.
  void Reload(const DaemonSettings& aSettings);

  SocketAddress CallerAddress() const { return this->callers->Address(); }
  SocketAddress OperatorAddress() const { return this->operators->Address(); }

  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override;

  EventLoop& Loop() override { return this->loop; }
  BackendPool& Backends() override { return this->pool; }
  const GatewayPorts& Ports() const override { return this->ports; }
  RetryWindow& RetriesOf(const ServiceName& aService) override;
  Placer& RequestPlacer() override { return this->placer; }
  CrashGuard& Crashes() override { return this->crashes; }
  std::mt19937_64& Random() override { return this->random; }
  Duration ListAge() const override;
  void OnSent(const InstanceName& aInstance,
              std::span<const PromptStep> aSteps,
              std::uint32_t aLongTokens) override;
  void OnBegan(const CustomerName& aCustomer, TimePoint aBegan) override;
  void OnDone(GatewayRequest& aRequest) override;

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override;
  void OnInstances(std::span<const DirectInstance> aInstances) override;
  void OnGateways(std::span<const GatewayMember> aGateways) override;

  PeerDigest MakeDigest() override;
  void OnDigest(const PeerDigest& aDigest, const SocketAddress& aFrom) override;
  void OnDocument(std::string_view aPath,
                  std::string_view aDocument,
                  const SocketAddress& aFrom) override;
  void OnFetchFailed(std::string_view aPath,
                     const SocketAddress& aFrom) override;

  std::string Metrics() override;
  absl::Status Ready() override;
  std::string Statusz() override;
  OperatorResponse Other(const HttpRequest& aRequest) override;

private:
  Gateway(EventLoop& aLoop,
          const DaemonSettings& aSettings,
          GatewayPorts aPorts);
  absl::Status Open();
  /// From one read of the list of backend servers to the next.
  Duration InstanceReadPeriod();
  void Tend();
  void AskGatewaysWhereBehind(TimePoint aNow);
  void AskForRoutes(TimePoint aNow);
  void CheckStopped();
  void Sweep();
  void OnSuspended(Duration aLost);
  void Refuse(CallerExchange& aExchange,
              const RequestError& aError,
              std::string_view aId);
  std::vector<SocketAddress> SeedAddresses() const;
  std::size_t GatewayCount() const;
  /// What another gateway may ask for; nothing where there is no such thing.
  std::optional<std::string> DocumentAt(std::string_view aPath) const;

  EventLoop& loop;
  DaemonSettings settings;
  GatewayPorts ports;
  const Incarnation incarnation;
  std::mt19937_64 random;
  Placer placer;
  BackendPool pool;
  CrashGuard crashes;
  UsageDuty usage;
  GatewayMetrics metrics;
  std::unique_ptr<DirectoryKeeper> directory;
  RoutesCatchUp catchUp;
  std::unique_ptr<WarmStart> warmStart;
  std::unique_ptr<PeerExchange> peers;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<OperatorServer> operators;
  std::unique_ptr<OperatorServer> peerServer;
  std::map<ServiceName, RetryWindow> retries;
  std::map<GatewayRequest*, std::unique_ptr<GatewayRequest>> requests;
  /// Newest digest of each gateway's lifetime.
  std::map<InstanceName, std::pair<Incarnation, std::uint64_t>> digests;
  std::vector<RoutedPrompt> routed;
  std::size_t listedGateways = 1;
  std::size_t cells = 1;
  std::size_t ownCell = 0;
  std::uint64_t digestSequence = 0;
  bool stopping = false;
  bool accepting = true;
  StopSchedule stopSchedule;
  SuspensionWatch suspensions;
  Timer tendTimer;
  Timer sweepTimer;
  Timer stopTimer;
};

} // namespace dogwoodvale

#endif
