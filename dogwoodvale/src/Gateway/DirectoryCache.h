#ifndef DOGWOODVALE_GATEWAY_DIRECTORYCACHE_H
#define DOGWOODVALE_GATEWAY_DIRECTORYCACHE_H

#include <map>
#include <memory>
#include <random>

#include "Departures.h"
#include "GatewayRoster.h"
#include "Incarnations.h"
#include "PeerDigest.h"
#include "Ports.h"
#include "RoutesCache.h"
#include "RoutesCheck.h"

namespace dogwoodvale {

/// Receives the updates of a DirectoryCache.
class DirectoryObserver
{
public:
  virtual ~DirectoryObserver() = default;
  /// Called once for each version that is higher than all before.
  virtual void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnInstances(std::span<const DirectInstance> aInstances) = 0;
  virtual void OnGateways(std::span<const GatewayMember> aGateways) = 0;
  /// A consistent read of the list of backend servers has ended; a change that
  /// it has brought was delivered before.
  virtual void OnListRead(TimePoint aBegun) = 0;
};

/// Local copy of the directory in the store: routes (watched, see
/// RoutesCache), backend servers (polled), and gateways (see GatewayRoster).
///
/// Backend servers are polled rather than watched: each writes a heartbeat
/// about once a second, and a watch would deliver an event for every one.
class DirectoryCache
{
public:
  struct Options
  {
    GatewayMember self;
    /// Target age at which the list of backend servers is read again.
    Duration instanceReadPeriod = milliseconds(800);
    /// Whether a read by another gateway with the same list postpones the next
    /// read of this one.
    bool sharesReads = true;
    /// See RoutesCheck.
    Duration routesCheckPeriod = seconds(1);
  };

  DirectoryCache(EventLoop& aLoop,
                 StoreClient& aStore,
                 const DirectoryFormat& aFormat,
                 Options aOptions,
                 DirectoryObserver& aObserver);

  void Start();
  /// Rearms the watch and reads the list again, after the process was suspended
  /// for \p aLost. Until then the list counts as outdated: digests that came
  /// during the suspension state an age as of their arrival.
  void Refresh(Duration aLost);
  /// Reads the list in a read that begins no earlier than now.
  void ReadAgain();
  /// Removes this gateway's own entry from the store.
  void Leave();

  /// Applies another gateway's list of backend servers (see
  /// WriteInstanceList()) if it is newer than this one's. Logs and ignores a
  /// malformed one.
  /// \param aFrom the sender, for the log.
  void ApplyInstances(std::string_view aDocument, std::string_view aFrom);
  /// Another gateway has read this list from the store. If its checksum is that
  /// of the list here, the next read is postponed; if it is another and newer
  /// list, a read is scheduled within kReadJitter.
  void OnPeerList(const ListStamp& aList, TimePoint aNow);
  /// Checksum and age of this gateway's own last read. An age that another
  /// gateway reported is not forwarded: each hop would make the list look
  /// younger by the network delay, so that it would never age.
  ListStamp List(TimePoint aNow) const;
  /// Sets Options::sharesReads. It is off in a large fleet, where all gateways
  /// would read at once after each change, more than the store can serve in
  /// time.
  void SetSharing(bool aShares) { this->options.sharesReads = aShares; }
  /// Whether a newer list has been known of for longer than kBehindThreshold
  /// without being read.
  bool IsBehind(TimePoint aNow) const;
  /// Backend servers that were listed shortly before this process started.
  /// Used for kReturnGrace after the first read, in case the store was
  /// unavailable: entries that expired during the outage are written again
  /// within that time. See kMinMissingShare.
  void ApplyHints(std::span<const DirectInstance> aHints, TimePoint aNow);
  GatewayRoster& Roster() { return this->roster; }
  /// The backend servers in force.
  std::vector<DirectInstance> Listed() const;

  /// Another gateway, with these routes in force, has been told by the store
  /// that they are the newest.
  void OnPeerRoutes(const RoutesStamp& aRoutes, TimePoint aNow);
  /// The routes here, and the age of the store's last word on them.
  RoutesStamp RoutesConfirmed(TimePoint aNow) const;
  RoutesCache& Routes() { return this->routes; }
  const RoutesCache& Routes() const { return this->routes; }
  /// Another gateway reports for how long the store has answered it without a
  /// failure.
  void OnPeerStoreContact(Duration aContact, TimePoint aNow);
  /// For how long the store has answered this gateway without a failure; zero
  /// while it does not answer.
  Duration StoreContact(TimePoint aNow) const;
  /// Whether the store answers neither this gateway nor one of which it has
  /// heard lately.
  bool IsStoreSilent(TimePoint aNow) const;
  /// The list in force and its age, as ApplyInstances() reads it.
  std::string InstancesDocument(TimePoint aNow) const;
  /// Time since the store was last known to have the list that is here.
  Duration InstancesAge(TimePoint aNow) const;
  /// Number of malformed entries of backend servers in the last read.
  std::size_t RejectedCount() const { return this->rejected.size(); }
  bool HasInstances() const { return this->instancesReadAt != TimePoint{}; }
  /// Whether another gateway has read another list since the last own read
  /// began, or since the list here was read by the gateway that sent it.
  bool IsContested() const { return this->contestedAt.has_value(); }
  /// Whether the list has not been read since the process was suspended.
  bool IsUnconfirmed() const { return this->isUnconfirmed; }

  /// After the store recovers, how long the entry of a live server may still be
  /// missing because it expired during the outage.
  static constexpr Duration kReturnGrace = milliseconds(2200);
  /// How long another gateway's report of its contact with the store is valid.
  static constexpr Duration kPeerContactTtl = seconds(1);
  /// How long to wait for the store to deliver a newer list before it is
  /// requested from other gateways.
  static constexpr Duration kBehindThreshold = milliseconds(300);
  /// Jitter of the reads that follow a change of the list.
  static constexpr Duration kReadJitter = milliseconds(100);
  /// Longest time between two own reads, in periods, however fresh the list is
  /// by the reports of other gateways: these may have been delayed.
  static constexpr double kMaxOwnReadPeriods = 1.5;
  /// A read that took longer may have been answered while the process was
  /// suspended, so its list is as old as its beginning.
  static constexpr Duration kMaxReadTime = milliseconds(300);
  /// Shortest time between two reads that ReadAgain() causes.
  static constexpr Duration kMinReadGap = milliseconds(50);
  /// Hints are used only if at least this share of them is missing from the
  /// store's list: they replace entries that the store has lost, not servers
  /// that have left.
  static constexpr double kMinMissingShare = 0.1;

private:
  /// Asks the store for newer routes if that is due.
  void CheckRoutes();
  void ReadInstances();
  void ReadIfDue();
  /// Time until the next read of the list; zero or less if it is due.
  Duration UntilDue(TimePoint aNow) const;
  /// \param aMayBeOld whether the read was served from a possibly stale
  /// replica.
  void OnInstancesRead(const absl::StatusOr<RangeResult>& aResult,
                       bool aMayBeOld);
  /// Schedules the read that ReadAgain() has asked for.
  void ScheduleReadAgain();
  void NoteRejected(const KeyValue& aValue, const absl::Status& aReason);
  bool IsRejected(const DirectInstance& aInstance) const;
  void MergeInstances(std::vector<DirectInstance> aRead, TimePoint aNow);
  /// Until when the list in force may differ from the store's.
  TimePoint GraceEnd() const;
  void AddHints(Instances& aMerged, TimePoint aNow) const;
  /// Handles the era of a read; a change means that the store was restored from
  /// an older copy.
  void OnEra(StoreEra aEra, TimePoint aNow);
  /// Records whether the store answered, and logs a change.
  void OnStoreAnswer(bool aAnswers, std::string_view aReason, TimePoint aNow);
  /// Whether the store was, as far as is known, unavailable to every gateway
  /// and not only to this one.
  bool WasDownForPeers(TimePoint aNow) const;

  /// Handles an entry of a consistent read that states an earlier start than is
  /// known for its server.
  void OnEarlierStart(const DirectInstance& aInstance, Revision aRevision);

  StoreClient& store;
  const DirectoryFormat& format;
  Options options;
  DirectoryObserver& observer;
  std::mt19937_64 random;
  RoutesCache routes;
  RoutesCheck routesCheck;
  Timer routesTimer;
  std::unique_ptr<StoreCall> instancesCall;
  Timer instancesTimer;
  GatewayRoster roster;
  Instances instances;
  IncarnationStarts starts;
  /// An entry that states an earlier start than is known.
  struct Contested
  {
    std::uint64_t started = 0;
    Revision revision = 0;
  };
  std::map<InstanceName, Contested> contested;
  /// Malformed entries of the last read: value by key.
  std::map<std::string, std::string> rejected;
  Instances hints;
  TimePoint hintsUntil{};
  Departures departures;
  /// Era of the store at the last read.
  StoreEra era = 0;
  /// When the store was last known to have exactly the list that is here.
  TimePoint instancesReadAt{};
  /// When this gateway last read it from the store.
  TimePoint ownReadAt{};
  /// When the last read began.
  TimePoint readBegunAt{};
  bool readsAgain = false;
  bool isUnconfirmed = false;
  /// Checksum of the list as read from the store; 0 if the list came from
  /// another gateway or from a possibly stale read.
  std::uint64_t listChecksum = 0;
  /// When another, newer list was last heard of, see IsContested().
  std::optional<TimePoint> contestedAt;
  /// Since when a newer list is known of that is not here yet.
  std::optional<TimePoint> behindSince;
  /// Until then, servers that are missing from a read stay listed.
  TimePoint keepMissingUntil{};
  TimePoint mergedAt{};
  /// Since when all reads have succeeded.
  TimePoint contactSince{};
  TimePoint lastAnswerAt{};
  /// The same for the gateway with the longest contact, and when it reported
  /// it.
  TimePoint peerContactSince{};
  TimePoint peerContactHeardAt{};
  bool storeAnswers = true;
};

} // namespace dogwoodvale

#endif
