#ifndef DOGWOODVALE_STORE_CONFIGURATIONMANAGER_H
#define DOGWOODVALE_STORE_CONFIGURATIONMANAGER_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "ConfigurationState.h"
#include "RootReader.h"
#include "dogwoodvale/Membership"

namespace dogwoodvale {

/// Requests configurations from peers.
class PeerFetch
{
public:
  virtual ~PeerFetch() = default;
  /// Sends \p aRequest to \p aPeer; the response goes to
  /// ConfigurationManager::OnFetched, later and never from within this call.
  /// \return false if the peer can't be reached now; OnFetched is not called
  /// then.
  virtual bool Fetch(const InstanceName& aPeer,
                     const ConfigurationRequest& aRequest) = 0;
};

/// Is notified of the configuration in force.
class ConfigurationObserver
{
public:
  virtual ~ConfigurationObserver() = default;
  /// A higher epoch is now in force; announce it to peers at once.
  virtual void OnConfiguration(const AcceptedConfiguration& aAccepted) = 0;
};

struct ConfigurationOptions
{
  InstanceName instance;
  DataCentreName dataCentre;
  /// Whether the platform has an instance list; without one, this process
  /// watches the store itself.
  bool hasInstanceList = true;
  WatcherBounds watchers;
  /// Period at which a watcher reads the root's revision in addition to its
  /// watch.
  Duration confirmPeriod = seconds(4);
  /// After this long without a response, another peer is tried.
  Duration fetchTimeout = milliseconds(1500);
  /// Minimum time between requests to the same peer, unless its response
  /// made progress.
  Duration retryInterval = seconds(1);
  /// How long a process without a configuration waits for peers before it reads
  /// the store itself; the initial back-off of these reads.
  Duration bootstrapDelay = milliseconds(300);
  Duration tickPeriod = seconds(1);
  /// Maximum size of one response to a peer; below the message size limit.
  std::size_t maxAnswerBytes = 4U << 20U;
};

struct ConfigurationCounters
{
  std::uint64_t accepted = 0;
  /// Complete but invalid.
  std::uint64_t refused = 0;
  std::uint64_t fetchesSent = 0;
  std::uint64_t fetchesFailed = 0;
  std::uint64_t fetchesAnswered = 0;
  /// How often the store's root was found not to be followed: older than what
  /// is in force, in conflict with it, or malformed.
  std::uint64_t olderStore = 0;
  /// Announcements by peers of the same epoch with different content.
  std::uint64_t conflicts = 0;
};

/// How the store's root, as last read, relates to the configuration in force.
struct StoreView
{
  enum class State : std::uint8_t
  {
    Unknown,
    Same,
    /// A higher epoch, which is pending here or was refused.
    Ahead,
    /// Restored from older data; not followed, and the command-line tool can
    /// repair it.
    Older,
    /// The same epoch with different content; not followed.
    Conflict,
    Malformed,
  };
  State state = State::Unknown;
  Epoch epoch = 0;
};

std::string_view
StoreStateName(StoreView::State aState);

/// Keeps the configuration up to date: reads it from the store if this process
/// is one of the few elected to watch it, else from peers with a higher epoch.
class ConfigurationManager final : public RootObserver
{
public:
  /// \param aStore nullptr if the settings have no store.
  ConfigurationManager(EventLoop& aLoop,
                       const ConfigurationOptions& aOptions,
                       StoreClient* aStore,
                       PeerFetch& aPeers,
                       ConfigurationObserver& aObserver);

  void Start();

  void OnList(std::span<const ListedInstance> aList);
  /// Handles the epoch in a peer's hello or notice.
  /// \param aContactAge the peer's StoreContactAge(); nullopt if the message
  /// has none (a hello).
  void OnPeerEpoch(const InstanceName& aPeer,
                   Epoch aEpoch,
                   std::string_view aRootHash,
                   std::optional<Duration> aContactAge);
  void OnPeerLost(const InstanceName& aPeer);
  /// The response to PeerFetch::Fetch, or why there is none.
  void OnFetched(const InstanceName& aPeer,
                 const absl::StatusOr<ConfigurationBundle>& aAnswer);
  /// The response to a peer's request.
  ConfigurationBundle Answer(const ConfigurationRequest& aRequest);

  /// The complete configuration in force as JSON, see EncodeBundle; empty
  /// before the first. Served to operators at GET /configuration: the
  /// command-line tool repairs a store from it.
  std::string Export() const;

  /// nullptr before the first configuration.
  const AcceptedConfiguration* Current() const { return this->state.Current(); }
  Epoch CurrentEpoch() const { return this->state.CurrentEpoch(); }
  std::string CurrentHash() const
  {
    return std::string(this->state.CurrentHash());
  }
  /// Period at which peers report the age of their store contact; see
  /// WatcherElection.
  void SetContactPeriod(Duration aPeriod)
  {
    this->election.SetContactPeriod(aPeriod);
  }
  /// Age of the newest contact of any process with the store that is known
  /// here, for notices to peers; WatcherElection::kUnknownContact if there is
  /// none.
  Duration StoreContactAge() const;
  bool IsWatching() const;
  const StoreView& Store() const { return this->storeView; }
  const ConfigurationCounters& Counters() const { return this->counters; }
  /// Why the latest complete configuration was refused, for /statusz; empty if
  /// it was accepted.
  const std::string& Refusal() const { return this->refusal; }

  void OnStoreRoot(std::string_view aText) override;
  void OnStorePages(std::span<const Page> aPages) override;
  void OnStorePagesFailed(const absl::Status& aReason) override;
  void OnStoreContact() override;
  void OnStoreFailure(const absl::Status& aReason) override;

private:
  struct PeerState
  {
    Epoch epoch = 0;
    std::string rootHash;
    TimePoint retryAt;
  };

  void Tick();
  void ApplyElection();
  void Bootstrap();
  void FetchFromPeers();
  /// The peer with the highest epoch that may be requested from now; nullptr if
  /// there is none.
  const InstanceName* ChoosePeer(TimePoint aNow,
                                 std::span<const InstanceName> aExcluded) const;
  void EndFetch(bool aFailed);
  /// Puts the pending configuration into force if it is complete.
  void AcceptIfComplete();
  void ReadMissingFromStore();
  void UpdateStoreView(StoreView::State aState, Epoch aEpoch);
  double DrawUniform();

  ConfigurationOptions options;
  PeerFetch& peers;
  ConfigurationObserver& observer;
  ConfigurationState state;
  WatcherElection election;
  std::unique_ptr<RootReader> reader;
  std::mt19937_64 random;
  Timer tickTimer;
  Timer bootstrapTimer;
  Timer fetchTimer;
  Timer pagesTimer;
  Backoff bootstrapBackoff;
  Backoff pagesBackoff;
  std::map<InstanceName, PeerState> peerStates;
  /// The peer of the request in flight; empty if there is none.
  InstanceName fetchPeer;
  /// Whether the request in flight was made with MakeRequest(true).
  bool fetchListsPages = false;
  /// Whether the next request is to be made with MakeRequest(true).
  bool listPagesNext = false;
  TimePoint pendingSince;
  Epoch pendingEpoch = 0;
  StoreView storeView;
  ConfigurationCounters counters;
  std::string refusal;
};

} // namespace dogwoodvale

#endif
