#ifndef DOGWOODVALE_GATEWAY_DIRECTORYKEEPER_H
#define DOGWOODVALE_GATEWAY_DIRECTORYKEEPER_H

#include <map>
#include <memory>
#include <random>

#include "Incarnations.h"
#include "Ports.h"

namespace dogwoodvale {

/// Another gateway, as the store lists it.
struct GatewayMember
{
  InstanceName name;
  /// Where it talks with other gateways, by datagrams and by TCP.
  SocketAddress peers;

  bool operator==(const GatewayMember&) const = default;
};

/// Is told what the keeper has learned.
class DirectoryObserver
{
public:
  virtual ~DirectoryObserver() = default;
  /// A higher version than any before.
  virtual void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnInstances(std::span<const DirectInstance> aInstances) = 0;
  virtual void OnGateways(std::span<const GatewayMember> aGateways) = 0;
};

/// Keeps what the store tells: routes (watched), backend servers (read at a
/// pace), and the gateways themselves (each one key under a lease).
///
/// Backend servers are read and not watched: each of them writes a heartbeat
/// every second or so, and a watch would return for each one.
class DirectoryKeeper final : public StoreWatchHandler
{
public:
  struct Options
  {
    GatewayMember self;
    /// How old the list of backend servers may get.
    Duration instanceReadPeriod = milliseconds(800);
  };

  DirectoryKeeper(EventLoop& aLoop,
                  StoreClient& aStore,
                  const DirectoryFormat& aFormat,
                  Options aOptions,
                  DirectoryObserver& aObserver);

  void Start();
  /// Reads everything anew, e.g. after the process was suspended.
  void Refresh();
  /// Ends this gateway's own entry.
  void Leave();

  /// Offers routes that another gateway had from the store.
  /// \return whether they were taken.
  bool TakeRoutes(std::string_view aDocument, std::string_view aFrom);
  /// Takes another gateway's list, if it is newer than this one's.
  void TakeInstances(std::string_view aDocument, std::string_view aFrom);

  Epoch Version() const { return this->routes ? this->routes->Version() : 0; }
  const std::shared_ptr<const RouteTable>& Routes() const
  {
    return this->routes;
  }
  /// Another gateway has had the store's answers without a break for so long.
  void NoteOthersContact(Duration aContact, TimePoint aNow);
  /// For how long the store has answered without a break; zero while it does
  /// not.
  Duration StoreContact(TimePoint aNow) const;
  /// As received, for other gateways.
  const std::string& RoutesDocument() const { return this->routesDocument; }
  std::string InstancesDocument(TimePoint aNow) const;
  /// Since the store last answered a read of the instances.
  Duration InstancesAge(TimePoint aNow) const;
  /// Entries of backend servers that could not be read, at the last read.
  std::size_t RejectedCount() const { return this->rejected.size(); }
  bool HasInstances() const { return this->instancesReadAt != TimePoint{}; }
  /// Since the store last gave a sign of life about the routes.
  Duration RoutesAge(TimePoint aNow) const;

  void OnSnapshot(Revision aRevision,
                  std::span<const KeyValue> aValues) override;
  void OnChanges(Revision aRevision,
                 std::span<const StoreChange> aChanges) override;
  void OnContact() override;
  void OnLost(const absl::Status& aReason) override;

  /// How long after the store's return an entry that lapsed with it may be
  /// missing though its server lives.
  static constexpr Duration kReturnGrace = milliseconds(2200);
  /// What another gateway said of its contact counts for this long.
  static constexpr Duration kOthersWordLife = seconds(1);
  static constexpr Duration kLeaseTtl = seconds(6);
  static constexpr Duration kGatewaysPeriod = seconds(2);
  static constexpr std::string_view kGatewaysPrefix = "dogwoodvale/gateways/";

private:
  void ReadInstances();
  void OnInstancesRead(const absl::StatusOr<RangeResult>& aResult);
  void NoteRejected(const KeyValue& aValue, const absl::Status& aReason);
  bool IsRejected(const DirectInstance& aInstance) const;
  void MergeInstances(std::vector<DirectInstance> aRead, TimePoint aNow);
  void TendMembership();
  void Join();
  void PutSelf();
  void RenewLease();
  void ReadGateways();
  void OnGatewaysRead(const RangeResult& aResult);
  void OnRoutesValue(const KeyValue& aValue);
  void NoteStore(bool aAnswers, std::string_view aReason, TimePoint aNow);
  bool WasAwayForOthers(TimePoint aNow) const;

  StoreClient& store;
  const DirectoryFormat& format;
  Options options;
  DirectoryObserver& observer;
  std::unique_ptr<StoreWatch> watch;
  std::unique_ptr<StoreCall> instancesCall;
  std::unique_ptr<StoreCall> leaseCall;
  std::unique_ptr<StoreCall> gatewaysCall;
  Timer instancesTimer;
  Timer gatewaysTimer;
  std::shared_ptr<const RouteTable> routes;
  std::string routesDocument;
  Instances instances;
  IncarnationStarts starts;
  /// Entries of the last read that name no server to use, with their values.
  std::map<std::string, std::string> rejected;
  std::vector<GatewayMember> gateways;
  LeaseId lease = 0;
  TimePoint routesHeardAt{};
  TimePoint instancesReadAt{};
  /// Until then, what is missing from the list is kept.
  TimePoint keepMissingUntil{};
  /// When reads began to succeed without a break.
  TimePoint contactSince{};
  TimePoint lastAnswerAt{};
  /// The same of the gateway that has had contact longest, and when it said so.
  TimePoint othersContactSince{};
  TimePoint othersHeardAt{};
  bool isWatching = true;
  bool storeAnswers = true;
  bool leaving = false;
};

} // namespace dogwoodvale

#endif
