#ifndef DOGWOODVALE_GATEWAY_GATEWAY_H
#define DOGWOODVALE_GATEWAY_GATEWAY_H

#include <map>
#include <memory>
#include <random>

#include "BackendPool.h"
#include "CrashGuard.h"
#include "DirectoryCache.h"
#include "GatewayMetrics.h"
#include "GatewayRequest.h"
#include "LoopDelayMonitor.h"
#include "OriginFinder.h"
#include "PeerExchange.h"
#include "RoutesCatchUp.h"
#include "StopSchedule.h"
#include "SuspensionDetector.h"
#include "UsageAccounting.h"
#include "WarmStart.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// The gateway role: connects callers with backend servers, which it reaches
/// without sidecars, and serves the other gateways and operators.
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

  /// Starts a planned stop: reports unready at once, accepts connections until
  /// the balancer has removed the gateway, drains the requests in flight, then
  /// stops the loop. See StopSchedule for the times.
  /// \param aOrdered when the order came, from which the grace period counts.
  void BeginStop(TimePoint aOrdered = Now());
  /// Applies the settings that may change at run time: the retry budget and the
  /// seed addresses.
  void Reload(const DaemonSettings& aSettings);

  SocketAddress CallerAddress() const { return this->callers->Address(); }
  SocketAddress OperatorAddress() const { return this->operators->Address(); }
  /// Memory of the answers that are held until they are complete.
  std::size_t BufferedAnswerBytes() const { return this->answers.Held(); }

  void OnRequest(std::unique_ptr<CallerExchange> aExchange) override;

  EventLoop& Loop() override { return this->loop; }
  BackendPool& Backends() override { return this->pool; }
  const GatewayPorts& Ports() const override { return this->ports; }
  RetryWindow& RetriesOf(const ServiceName& aService) override;
  Placer& RequestPlacer() override { return this->placer; }
  CrashGuard& Crashes() override { return this->crashes; }
  OriginFinder& Origins() override { return this->origins; }
  AnswerBuffers& Answers() override { return this->answers; }
  std::mt19937_64& Random() override { return this->random; }
  Duration ListAge() const override;
  void OnSent(const InstanceName& aInstance,
              std::span<const PromptStep> aSteps,
              std::uint32_t aLongTokens) override;
  void OnExecutionStarted(const CustomerName& aCustomer,
                          TimePoint aStarted) override;
  void OnDone(GatewayRequest& aRequest) override;

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override;
  void OnInstances(std::span<const DirectInstance> aInstances) override;
  void OnGateways(std::span<const GatewayMember> aGateways) override;
  void OnListRead(TimePoint aBegun) override;

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
  /// Draws the interval between two reads of the list of backend servers.
  Duration InstanceReadPeriod();
  CallerBounds BoundsOf(const CallerLimits& aLimits) const;
  /// Puts the limits in force, and logs a body that the memory can't hold.
  void ApplyCallerLimits(const CallerLimits& aLimits);
  void RunMaintenance();
  /// Whether the list of backend servers has been read recently, and no other
  /// gateway is known to have a newer one.
  bool IsListFresh(TimePoint aNow) const;
  /// The same, or the store has not been able to change its list since.
  bool IsListCurrent(TimePoint aNow) const;
  /// Age from which on the list is outdated.
  Duration MaxListAge() const;
  /// Number of other gateways, of those of the own cell or of all, that have
  /// been heard within the time.
  std::size_t HeardWithin(Duration aTime, bool aInCell, TimePoint aNow) const;
  /// Whether the gateways that report to this one are heard, but for a few that
  /// may have failed.
  bool HearsMost(TimePoint aNow) const;
  /// Tells what the resumption of streams depends on.
  void UpdateOrigins(TimePoint aNow);
  /// Fetches from other gateways what this one lacks or has only outdated.
  void FetchOutdatedFromPeers(TimePoint aNow);
  void FetchRoutesFromPeer(TimePoint aNow);
  /// Whether a newer version of the routes has been known of for so long that
  /// requests may no longer be served by the one in force.
  bool AreRoutesOverdue(TimePoint aNow) const;
  /// Logs, at most once in kBehindLogPeriod, that the routes are outdated.
  void LogIfBehind(TimePoint aNow);
  void CheckStopped();
  /// Answers the requests that can still be answered truly, logs what is cut
  /// off and ends the loop.
  void EndStop(TimePoint aNow);
  /// Destroys the requests that are done (deferred deletion).
  void DestroyDoneRequests();
  void OnSuspended(Duration aLost);
  void Refuse(CallerExchange& aExchange,
              const RequestError& aError,
              std::string_view aId);
  std::vector<SocketAddress> SeedAddresses() const;
  std::size_t GatewayCount() const;
  /// The document that other gateways fetch at the path; nothing if there is
  /// none or this gateway has no list of servers yet.
  std::optional<std::string> DocumentAt(std::string_view aPath) const;

  EventLoop& loop;
  DaemonSettings settings;
  GatewayPorts ports;
  const Incarnation incarnation;
  std::mt19937_64 random;
  Placer placer;
  BackendPool pool;
  CrashGuard crashes;
  OriginArchive originArchive;
  OriginFinder origins;
  AnswerBuffers answers;
  UsageAccounting usage;
  LoopDelayMonitor loopDelay;
  GatewayMetrics metrics;
  std::unique_ptr<DirectoryCache> directory;
  RoutesCatchUp catchUp;
  std::unique_ptr<WarmStart> warmStart;
  std::unique_ptr<PeerExchange> peers;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<OperatorServer> operators;
  std::unique_ptr<OperatorServer> peerServer;
  std::map<ServiceName, RetryWindow> retries;
  std::map<GatewayRequest*, std::unique_ptr<GatewayRequest>> requests;
  /// The newest digest of a gateway.
  struct Heard
  {
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint at{};
  };
  std::map<InstanceName, Heard> digests;
  /// Prompts sent since the last digest.
  std::vector<RoutedPrompt> routed;
  std::size_t listedGateways = 1;
  /// Gateways of the own cell, this one included.
  std::size_t cellGateways = 1;
  std::size_t cells = 1;
  std::size_t ownCell = 0;
  std::uint64_t digestSequence = 0;
  TimePoint behindLoggedAt{};
  bool stopping = false;
  TimePoint stopOrdered{};
  bool accepting = true;
  bool drained = false;
  StopSchedule stopSchedule;
  SuspensionDetector suspensionDetector;
  Timer maintenanceTimer;
  Timer destroyTimer;
  Timer stopTimer;
};

} // namespace dogwoodvale

#endif
