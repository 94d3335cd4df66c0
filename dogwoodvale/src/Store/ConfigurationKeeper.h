#ifndef DOGWOODVALE_STORE_CONFIGURATIONKEEPER_H
#define DOGWOODVALE_STORE_CONFIGURATIONKEEPER_H

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

/// Asks peers for a configuration.
class PeerFetch
{
public:
  virtual ~PeerFetch() = default;
  /// Sends \p aRequest to \p aPeer; the answer goes to
  /// ConfigurationKeeper::OnFetched, later and never from within this call.
  /// \return false if the peer can't be asked now.
  virtual bool Fetch(const InstanceName& aPeer,
                     const ConfigurationRequest& aRequest) = 0;
};

/// Is told which configuration is in force.
class ConfigurationObserver
{
public:
  virtual ~ConfigurationObserver() = default;
  /// A higher epoch is in force from now on; peers should be told at once.
  virtual void OnConfiguration(const AcceptedConfiguration& aAccepted) = 0;
};

struct KeeperOptions
{
  InstanceName instance;
  DataCentreName dataCentre;
  /// Whether the platform has a list; without one this process watches itself.
  bool hasInstanceList = true;
  WatcherBounds watchers;
  /// How often a watcher reads the root's revision beside its watch.
  Duration confirmPeriod = seconds(4);
  /// A peer that hasn't answered by then is passed over for another.
  Duration fetchTimeout = milliseconds(1500);
  /// A peer isn't asked again before this, unless its answer helped.
  Duration askAgain = seconds(1);
  /// A process with no configuration waits this long for peers before it
  /// reads the store itself.
  Duration bootstrapDelay = milliseconds(300);
  Duration tickPeriod = seconds(1);
  /// Bytes of one answer to a peer; below the bound of a message.
  std::size_t maxAnswerBytes = 4U << 20U;
};

struct KeeperCounters
{
  std::uint64_t accepted = 0;
  /// Whole but with findings.
  std::uint64_t refused = 0;
  std::uint64_t fetchesSent = 0;
  std::uint64_t fetchesFailed = 0;
  std::uint64_t fetchesAnswered = 0;
  /// How often the store was seen to become older than what is in force.
  std::uint64_t olderStore = 0;
  std::uint64_t conflicts = 0;
};

/// What the store was last seen to hold.
struct StoreView
{
  enum class State : std::uint8_t
  {
    Unknown,
    Same,
    /// A higher epoch that is on its way here, or was refused.
    Ahead,
    /// Came back with older data; not followed, and the tool can repair it.
    Older,
    /// The same epoch with another content; not followed.
    Conflict,
    Malformed,
  };
  State state = State::Unknown;
  Epoch epoch = 0;
};

std::string_view
StoreStateName(StoreView::State aState);

/// Keeps the configuration in force: from the store if this process is one of
/// the few that watch it, else from peers that are ahead.
class ConfigurationKeeper final : public RootObserver
{
public:
  /// \param aStore nullptr if the settings name none.
  ConfigurationKeeper(EventLoop& aLoop,
                      const KeeperOptions& aOptions,
                      StoreClient* aStore,
                      PeerFetch& aPeers,
                      ConfigurationObserver& aObserver);

  void Start();

  void OnList(std::span<const ListedInstance> aList);
  /// A peer's hello or notice.
  /// \param aContactAge nothing known of it: pass nullopt (a hello).
  void OnPeerEpoch(const InstanceName& aPeer,
                   Epoch aEpoch,
                   std::string_view aRootHash,
                   std::optional<Duration> aContactAge);
  void OnPeerLost(const InstanceName& aPeer);
  /// The answer to Fetch, or why there is none.
  void OnFetched(const InstanceName& aPeer,
                 const absl::StatusOr<ConfigurationBundle>& aAnswer);
  /// What to answer a peer's request.
  ConfigurationBundle Answer(const ConfigurationRequest& aRequest);

  /// The configuration in force, whole, as JSON; empty before the first. Serve
  /// it to operators at GET /configuration: the tool repairs a store from it.
  std::string Export() const;

  /// nullptr before the first.
  const AcceptedConfiguration* Current() const { return this->state.Current(); }
  Epoch CurrentEpoch() const { return this->state.CurrentEpoch(); }
  std::string CurrentHash() const
  {
    return std::string(this->state.CurrentHash());
  }
  /// How often peers tell their contacts; see WatcherElection.
  void SetContactPeriod(Duration aPeriod)
  {
    this->election.SetContactPeriod(aPeriod);
  }
  /// For notices: age of the newest contact with the store known here, or
  /// WatcherElection::kUnknownContact.
  Duration StoreContactAge() const;
  bool IsWatching() const;
  const StoreView& Store() const { return this->storeView; }
  const KeeperCounters& Counters() const { return this->counters; }
  /// The latest refusal, for /statusz; empty if the newest was taken.
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
    TimePoint askAgainAt;
  };

  void Tick();
  void FollowElection();
  void Bootstrap();
  void FetchFromPeers();
  /// The one furthest ahead that may be asked; nullptr if there is none.
  const InstanceName* ChoosePeer(TimePoint aNow,
                                 std::span<const InstanceName> aBut) const;
  void EndFetch(bool aFailed);
  /// Puts what was collected into force if it is whole.
  void Settle();
  void ReadMissingFromStore();
  void ViewStore(StoreView::State aState, Epoch aEpoch);
  double DrawUniform();

  KeeperOptions options;
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
  InstanceName asked;
  bool askedForAll = false;
  bool askAllPages = false;
  TimePoint collectingSince;
  Epoch collectingEpoch = 0;
  StoreView storeView;
  KeeperCounters counters;
  std::string refusal;
};

} // namespace dogwoodvale

#endif
