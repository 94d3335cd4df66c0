#ifndef DOGWOODVALE_SIDECAR_SIDECAR_H
#define DOGWOODVALE_SIDECAR_SIDECAR_H

#include <memory>
#include <vector>

#include "Dispatcher.h"
#include "SidecarMetrics.h"
#include "SidecarSession.h"
#include "dogwoodvale/Http"
#include "dogwoodvale/Peer"
#include "dogwoodvale/Settings"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// The sidecar role, wired: peers on one side, its backend server on the
/// other, operators beside.
class Sidecar final
  : public PeerAcceptor
  , public SidecarSessionHost
  , public OperatorHandler
  , public BackendCallHandler
  , public ControlPlaneObserver
  , public PeerFetch
{
public:
  static absl::StatusOr<std::unique_ptr<Sidecar>> Create(
    EventLoop& aLoop,
    const DaemonSettings& aSettings);

  /// Starts a planned stop: no new work, hands back what is queued, finishes
  /// what runs, then stops the loop.
  void BeginStop();
  /// Refuses new work and hands back the queue, but goes on running.
  void Drain();

  SocketAddress PeerAddress() const { return this->listener->Address(); }
  SocketAddress OperatorAddress() const { return this->operators->Address(); }
  const Dispatcher& Work() const { return *this->dispatcher; }

  PeerConnectionHandler& OnAccepted(std::unique_ptr<PeerConnection> aConnection,
                                    const Hello& aPeer) override;

  void OnPeerNotice(SidecarSession& aSession, const Notice& aNotice) override;
  void OnSessionClosed(SidecarSession& aSession) override;

  void OnRun(SidecarAttempt& aAttempt) override;
  std::optional<Message> OnQuery(const Message& aQuery) override;
  void OnOffer(SidecarAttempt& aAttempt,
               const ConfigurationOffer& aOffer) override;
  void OnOfferEnd(SidecarAttempt& aAttempt,
                  absl::StatusOr<ConfigurationReply> aReply) override;
  void OnFirstToken(SidecarAttempt& aAttempt, Duration aSinceStart) override;
  void OnTokens(SidecarAttempt& aAttempt,
                std::uint32_t aTokens,
                Duration aInterval) override;
  LoadReport CurrentLoad(const InstanceName& aEntry) const override;
  void OnEnded(SidecarAttempt& aAttempt, AttemptEnd aEnd) override;

  void OnConfiguration(const AcceptedConfiguration& aAccepted) override;
  void OnList(std::span<const ListedInstance> /*aList*/) override {}
  /// Over an offer that the entry holds open; a sidecar opens no streams.
  bool Fetch(const InstanceName& aPeer,
             const ConfigurationRequest& aRequest) override;

  std::string Metrics() override;
  absl::Status Ready() override;
  std::string Statusz() override;
  OperatorResponse Other(const HttpRequest& aRequest) override;

  /// The trial call that finds out whether the backend server is back.
  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override;
  void OnBody(std::string_view /*aBytes*/) override {}
  void OnComplete(AnswerEnd aEnd) override;
  void OnFailed(const absl::Status& aReason, bool aWritten) override;

private:
  Sidecar(EventLoop& aLoop, const DaemonSettings& aSettings);
  absl::Status Open();
  Hello MakeHello() const;
  Notice MakeNotice(const InstanceName& aEntry) const;
  void TellPeers(bool aNow);
  /// Tells peers what has changed little by little (the load, the age of the
  /// newest contact with the store), as often as the control budget allows.
  void TellPeersInTurn();
  void Sweep();
  void CheckStopped();
  void SetBackendUp(bool aUp);
  void TryBackend();
  void OpenOrders();

  EventLoop& loop;
  const DaemonSettings settings;
  const Incarnation incarnation;
  std::unique_ptr<BackendClient> backend;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<PeerListener> listener;
  std::unique_ptr<OperatorServer> operators;
  std::unique_ptr<ControlPlane> control;
  /// Orders to the backend server; none without a store, whose lease they need.
  std::unique_ptr<HttpEngineOrders> engineOrders;
  std::unique_ptr<OrderKeeper> orders;
  SidecarMetrics metrics;
  std::vector<std::unique_ptr<SidecarSession>> sessions;
  /// Configurations that entries offer at this moment.
  absl::flat_hash_map<InstanceName, SidecarAttempt*> offers;
  /// What to ask an entry as soon as it offers.
  struct AwaitedOffer
  {
    InstanceName entry;
    ConfigurationRequest request;
  };
  std::optional<AwaitedOffer> awaitedOffer;
  Timer sweepTimer;
  Timer noticeTimer;
  Timer stopTimer;
  Timer backendTimer;
  std::unique_ptr<BackendCall> trial;
  TimePoint lastTold;
  bool stopping = false;
  TimePoint stopDeadline;
};

} // namespace dogwoodvale

#endif
