#ifndef DOGWOODVALE_GATEWAY_DIRECTORYKEEPER_H
#define DOGWOODVALE_GATEWAY_DIRECTORYKEEPER_H

#include <map>
#include <memory>
#include <random>

#include "Departures.h"
#include "GatewayRoster.h"
#include "Incarnations.h"
#include "PeerDigest.h"
#include "Ports.h"
#include "RoutesKeeper.h"

namespace dogwoodvale {

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

/// Keeps what the store tells: routes (watched, see RoutesKeeper), backend
/// servers (read at a pace), and the gateways themselves, see GatewayRoster.
///
/// Backend servers are read and not watched: each of them writes a heartbeat
/// every second or so, and a watch would return for each one.
class DirectoryKeeper
{
public:
  struct Options
  {
    GatewayMember self;
    /// How old the list of backend servers may get.
    Duration instanceReadPeriod = milliseconds(800);
    /// Whether gateways with the same list read it for each other.
    bool sharesReads = true;
  };

  DirectoryKeeper(EventLoop& aLoop,
                  StoreClient& aStore,
                  const DirectoryFormat& aFormat,
                  Options aOptions,
                  DirectoryObserver& aObserver);

  void Start();
  /// Asks the store anew, e.g. after the process was suspended.
  void Refresh();
  /// Ends this gateway's own entry.
  void Leave();

  /// Takes another gateway's list, if it is newer than this one's.
  void TakeInstances(std::string_view aDocument, std::string_view aFrom);
  /// Another gateway has this list from the store. Where it is this one's too,
  /// it need not be read again so soon; where it is newer, it is read now.
  void NoteOthersList(const ListStamp& aList, TimePoint aNow);
  /// Of the last read of this gateway's own. What others told is not passed on:
  /// with each hop it would look younger by the time that the word was under
  /// way, and never age.
  ListStamp List(TimePoint aNow) const;
  /// Whether gateways read for each other. In a large fleet all would read at
  /// once after each change, more than the store serves in time.
  void SetSharing(bool aShares) { this->options.sharesReads = aShares; }
  /// Whether a newer list is known to be there and was not had for a while.
  bool IsBehind(TimePoint aNow) const;
  /// Backend servers that were listed a moment ago, for a start beside a store
  /// that was away: entries that lapsed with it are back within kReturnGrace.
  void TakeHints(std::span<const DirectInstance> aHints, TimePoint aNow);
  GatewayRoster& Roster() { return this->roster; }
  std::vector<DirectInstance> Listed() const;

  RoutesKeeper& Routes() { return this->routes; }
  const RoutesKeeper& Routes() const { return this->routes; }
  /// Another gateway has had the store's answers without a break for so long.
  void NoteOthersContact(Duration aContact, TimePoint aNow);
  /// For how long the store has answered without a break; zero while it does
  /// not.
  Duration StoreContact(TimePoint aNow) const;
  std::string InstancesDocument(TimePoint aNow) const;
  /// Since the store last answered a read of the instances.
  Duration InstancesAge(TimePoint aNow) const;
  /// Entries of backend servers that could not be read, at the last read.
  std::size_t RejectedCount() const { return this->rejected.size(); }
  bool HasInstances() const { return this->instancesReadAt != TimePoint{}; }

  /// How long after the store's return an entry that lapsed with it may be
  /// missing though its server lives.
  static constexpr Duration kReturnGrace = milliseconds(2200);
  /// What another gateway said of its contact counts for this long.
  static constexpr Duration kOthersWordLife = seconds(1);
  /// How long a newer list may be missed until other gateways are asked for it.
  static constexpr Duration kBehindFor = milliseconds(300);
  /// Reads that a change makes necessary are spread over this.
  static constexpr Duration kChangeSpread = milliseconds(100);
  /// However fresh others say that the list is, a gateway reads it by itself
  /// within so many periods: their word may have been under way for long.
  static constexpr double kMostPeriods = 1.5;
  /// Hints are for a store that has lost entries, not for servers that have
  /// left: they count where at least this share of them is missing.
  static constexpr double kLostShare = 0.1;

private:
  void ReadInstances();
  void ReadWhereDue();
  /// Until the list is to be read; zero or less where it is due.
  Duration UntilDue(TimePoint aNow) const;
  void OnInstancesRead(const absl::StatusOr<RangeResult>& aResult,
                       bool aMayBeOld);
  void NoteRejected(const KeyValue& aValue, const absl::Status& aReason);
  bool IsRejected(const DirectInstance& aInstance) const;
  void MergeInstances(std::vector<DirectInstance> aRead, TimePoint aNow);
  /// Until when more or less than the store's list is in force.
  TimePoint GraceEnd() const;
  void AddHints(Instances& aMerged, TimePoint aNow) const;
  /// The store came back as an older copy of itself.
  void OnEra(StoreEra aEra, TimePoint aNow);
  void NoteStore(bool aAnswers, std::string_view aReason, TimePoint aNow);
  bool WasAwayForOthers(TimePoint aNow) const;

  StoreClient& store;
  const DirectoryFormat& format;
  Options options;
  DirectoryObserver& observer;
  RoutesKeeper routes;
  std::unique_ptr<StoreCall> instancesCall;
  Timer instancesTimer;
  GatewayRoster roster;
  std::mt19937_64 random;
  Instances instances;
  IncarnationStarts starts;
  /// Entries of the last read that name no server to use, with their values.
  std::map<std::string, std::string> rejected;
  Instances hints;
  TimePoint hintsUntil{};
  Departures departures;
  /// Of the last read.
  StoreEra era = 0;
  /// When the store was last known to have just the list that is here.
  TimePoint instancesReadAt{};
  /// When this gateway last read it from the store.
  TimePoint ownReadAt{};
  /// Of the list that the store told; 0 where it was told by others or may be
  /// old.
  std::uint64_t listSum = 0;
  /// When a newer list was first heard of that is not here yet.
  std::optional<TimePoint> behindSince;
  /// Until then, what is missing from the list is kept.
  TimePoint keepMissingUntil{};
  TimePoint mergedAt{};
  /// When reads began to succeed without a break.
  TimePoint contactSince{};
  TimePoint lastAnswerAt{};
  /// The same of the gateway that has had contact longest, and when it said so.
  TimePoint othersContactSince{};
  TimePoint othersHeardAt{};
  bool storeAnswers = true;
};

} // namespace dogwoodvale

#endif
