#include "dogwoodvale/Store"

#include <algorithm>
#include <limits>
#include <utility>

namespace dogwoodvale {

namespace {

/// A configuration that can't be completed for so long makes way for others.
constexpr Duration kCollectingBound = seconds(10);
constexpr Duration kLongestBackoff = seconds(10);

} // namespace

std::string_view
StoreStateName(StoreView::State aState)
{
  switch (aState) {
    case StoreView::State::Unknown:
      return "unknown";
    case StoreView::State::Same:
      return "same";
    case StoreView::State::Ahead:
      return "ahead";
    case StoreView::State::Older:
      return "older";
    case StoreView::State::Conflict:
      return "conflict";
    case StoreView::State::Malformed:
      return "malformed";
  }
  return "unknown";
}

ConfigurationKeeper::ConfigurationKeeper(EventLoop& aLoop,
                                         const KeeperOptions& aOptions,
                                         StoreClient* aStore,
                                         PeerFetch& aPeers,
                                         ConfigurationObserver& aObserver)
  : options(aOptions)
  , peers(aPeers)
  , observer(aObserver)
  , election(aOptions.instance, aOptions.dataCentre, aOptions.watchers, Now())
  , random(DrawIncarnation())
  , tickTimer(aLoop, [this] { this->Tick(); })
  , bootstrapTimer(aLoop, [this] { this->Bootstrap(); })
  , fetchTimer(aLoop,
               [this] {
                 const InstanceName silent = this->asked;
                 this->OnFetched(
                   silent, absl::DeadlineExceededError("no answer in time"));
               })
  , pagesTimer(aLoop, [this] { this->ReadMissingFromStore(); })
  , bootstrapBackoff(aOptions.bootstrapDelay, kLongestBackoff)
  , pagesBackoff(milliseconds(100), kLongestBackoff)
{
  if (aStore != nullptr) {
    this->reader = std::make_unique<RootReader>(
      aLoop, *aStore, aOptions.confirmPeriod, *this);
  }
  if (!aOptions.hasInstanceList) {
    this->election.SetNoList();
  }
}

void
ConfigurationKeeper::Start()
{
  this->tickTimer.StartRepeating(this->options.tickPeriod);
  this->FollowElection();
  this->bootstrapTimer.StartOnce(
    this->bootstrapBackoff.Next(this->DrawUniform()));
}

double
ConfigurationKeeper::DrawUniform()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void
ConfigurationKeeper::Tick()
{
  const TimePoint now = Now();
  this->election.Tick(now, this->DrawUniform());
  this->FollowElection();
  if (this->state.IsCollecting() &&
      now - this->collectingSince > kCollectingBound) {
    Log(LogLevel::Warning,
        "configuration_incomplete",
        "epoch",
        this->state.CollectingEpoch());
    this->state.DropCollecting();
    this->collectingEpoch = 0;
  }
  this->FetchFromPeers();
}

void
ConfigurationKeeper::FollowElection()
{
  if (!this->reader ||
      this->reader->IsWatching() == this->election.ShouldWatch()) {
    return;
  }
  this->reader->SetWatching(this->election.ShouldWatch());
  Log(LogLevel::Info,
      this->election.ShouldWatch() ? "store_watch_begun" : "store_watch_ended",
      "volunteer",
      this->election.IsVolunteer());
}

void
ConfigurationKeeper::Bootstrap()
{
  if (this->state.Current() != nullptr || !this->reader) {
    return;
  }
  if (!this->reader->IsWatching() && !this->state.IsCollecting()) {
    this->reader->ReadRoot();
  }
  this->bootstrapTimer.StartOnce(
    this->bootstrapBackoff.Next(this->DrawUniform()));
}

void
ConfigurationKeeper::OnList(std::span<const ListedInstance> aList)
{
  this->election.OnList(aList);
  this->FollowElection();
}

Duration
ConfigurationKeeper::StoreContactAge() const
{
  return this->election.ContactAge(Now());
}

bool
ConfigurationKeeper::IsWatching() const
{
  return this->reader && this->reader->IsWatching();
}

void
ConfigurationKeeper::OnPeerEpoch(const InstanceName& aPeer,
                                 Epoch aEpoch,
                                 std::string_view aRootHash,
                                 std::optional<Duration> aContactAge)
{
  if (aContactAge) {
    this->election.OnPeerContact(*aContactAge, Now());
  }
  const Announcement judged = this->state.Judge(aEpoch, aRootHash);
  if (judged != Announcement::Ahead) {
    if (judged == Announcement::Conflict) {
      ++this->counters.conflicts;
    }
    this->peerStates.erase(aPeer);
    return;
  }
  PeerState& peer = this->peerStates[aPeer];
  if (peer.epoch != aEpoch || peer.rootHash != aRootHash) {
    peer = { aEpoch, std::string(aRootHash), TimePoint{} };
  }
  this->FetchFromPeers();
}

void
ConfigurationKeeper::OnPeerLost(const InstanceName& aPeer)
{
  this->peerStates.erase(aPeer);
  if (this->asked == aPeer) {
    this->OnFetched(aPeer, absl::UnavailableError("the peer was lost"));
  }
}

const InstanceName*
ConfigurationKeeper::ChoosePeer(TimePoint aNow,
                                std::span<const InstanceName> aBut) const
{
  const InstanceName* best = nullptr;
  Epoch highest = 0;
  for (const auto& [name, peer] : this->peerStates) {
    const bool isLeftOut =
      std::find(aBut.begin(), aBut.end(), name) != aBut.end();
    if (peer.epoch > highest && aNow >= peer.askAgainAt && !isLeftOut) {
      highest = peer.epoch;
      best = &name;
    }
  }
  return best;
}

void
ConfigurationKeeper::FetchFromPeers()
{
  if (!this->asked.IsEmpty()) {
    return;
  }
  const TimePoint now = Now();
  std::erase_if(this->peerStates, [&](const auto& aItem) {
    return this->state.Judge(aItem.second.epoch, aItem.second.rootHash) !=
           Announcement::Ahead;
  });
  this->askedForAll = std::exchange(this->askAllPages, false);
  const ConfigurationRequest request =
    this->state.MakeRequest(this->askedForAll);
  std::vector<InstanceName> closed;
  while (const InstanceName* peer = this->ChoosePeer(now, closed)) {
    this->asked = *peer;
    if (this->peers.Fetch(this->asked, request)) {
      this->peerStates[this->asked].askAgainAt = now + this->options.askAgain;
      this->fetchTimer.StartOnce(this->options.fetchTimeout);
      ++this->counters.fetchesSent;
      return;
    }
    // It has not been asked, so it may be as soon as it says something again.
    closed.push_back(this->asked);
    this->EndFetch(true);
  }
}

void
ConfigurationKeeper::EndFetch(bool aFailed)
{
  this->asked = InstanceName();
  this->fetchTimer.Stop();
  this->counters.fetchesFailed += aFailed ? 1 : 0;
}

void
ConfigurationKeeper::OnFetched(
  const InstanceName& aPeer,
  const absl::StatusOr<ConfigurationBundle>& aAnswer)
{
  if (aPeer.IsEmpty() || aPeer != this->asked) {
    // On a narrow link each answer may outlast the time after which another
    // peer is asked. What came is kept, so that the next has less to bring.
    if (aAnswer.ok() && !aAnswer->root.empty() &&
        this->state.Propose(aAnswer->root).ok()) {
      this->state.AddPages(aAnswer->pages);
      this->Settle();
    }
    return;
  }
  if (!aAnswer.ok() || aAnswer->root.empty()) {
    this->EndFetch(true);
    this->FetchFromPeers();
    return;
  }
  const absl::Status proposed = this->state.Propose(aAnswer->root);
  const std::size_t added = this->state.AddPages(aAnswer->pages);
  this->EndFetch(!proposed.ok());
  this->Settle();
  // The answer may be one part of several, or the root alone, as the peer
  // didn't know what this process holds. Either way go on with it at once, but
  // never ask twice for what brought nothing.
  const bool helped =
    added > 0 || (aAnswer->pages.empty() && !this->askedForAll);
  const auto peer = this->peerStates.find(aPeer);
  if (this->state.IsCollecting() && proposed.ok() && helped &&
      peer != this->peerStates.end()) {
    peer->second.askAgainAt = TimePoint{};
    this->askAllPages = true;
  }
  this->FetchFromPeers();
}

ConfigurationBundle
ConfigurationKeeper::Answer(const ConfigurationRequest& aRequest)
{
  ++this->counters.fetchesAnswered;
  return this->state.Answer(aRequest, this->options.maxAnswerBytes);
}

std::string
ConfigurationKeeper::Export() const
{
  if (this->state.Current() == nullptr) {
    return "";
  }
  return EncodeBundle(this->state.Answer(
    ConfigurationRequest{}, std::numeric_limits<std::size_t>::max()));
}

void
ConfigurationKeeper::OnStoreContact()
{
  this->election.OnOwnContact(Now());
}

void
ConfigurationKeeper::OnStoreFailure(const absl::Status& /*aReason*/)
{
  this->election.OnOwnFailure();
}

void
ConfigurationKeeper::OnStoreRoot(std::string_view aText)
{
  Epoch epoch = 0;
  if (!aText.empty()) {
    const absl::StatusOr<ConfigurationRoot> root = DecodeRoot(aText);
    if (!root.ok()) {
      this->ViewStore(StoreView::State::Malformed, 0);
      return;
    }
    epoch = root->epoch;
  }
  const std::string hash = aText.empty() ? "" : Sha256Hex(aText);
  switch (this->state.Judge(epoch, hash)) {
    case Announcement::Same:
      this->ViewStore(StoreView::State::Same, epoch);
      return;
    case Announcement::Behind:
      this->ViewStore(StoreView::State::Older, epoch);
      return;
    case Announcement::Conflict:
      this->ViewStore(StoreView::State::Conflict, epoch);
      return;
    case Announcement::Refused:
      this->ViewStore(StoreView::State::Ahead, epoch);
      return;
    case Announcement::Ahead:
      break;
  }
  this->ViewStore(StoreView::State::Ahead, epoch);
  if (this->state.Propose(aText).ok()) {
    this->Settle();
    this->ReadMissingFromStore();
  }
}

void
ConfigurationKeeper::ViewStore(StoreView::State aState, Epoch aEpoch)
{
  const bool isNew =
    this->storeView.state != aState || this->storeView.epoch != aEpoch;
  this->storeView = { aState, aEpoch };
  const bool isBad = aState == StoreView::State::Older ||
                     aState == StoreView::State::Conflict ||
                     aState == StoreView::State::Malformed;
  if (!isNew || !isBad) {
    return;
  }
  ++this->counters.olderStore;
  Log(LogLevel::Error,
      "store_not_followed",
      "state",
      StoreStateName(aState),
      "store_epoch",
      aEpoch,
      "epoch",
      this->CurrentEpoch());
}

void
ConfigurationKeeper::ReadMissingFromStore()
{
  const std::vector<std::string> missing = this->state.Missing();
  if (!missing.empty() && this->reader) {
    this->reader->ReadPages(missing);
  }
}

void
ConfigurationKeeper::OnStorePages(std::span<const Page> aPages)
{
  this->state.AddPages(aPages);
  this->Settle();
  if (this->state.IsCollecting()) {
    this->pagesTimer.StartOnce(this->pagesBackoff.Next(this->DrawUniform()));
  }
}

void
ConfigurationKeeper::OnStorePagesFailed(const absl::Status& aReason)
{
  this->OnStoreFailure(aReason);
  if (this->state.IsCollecting()) {
    this->pagesTimer.StartOnce(this->pagesBackoff.Next(this->DrawUniform()));
  }
}

void
ConfigurationKeeper::Settle()
{
  if (this->state.CollectingEpoch() != this->collectingEpoch) {
    this->collectingEpoch = this->state.CollectingEpoch();
    this->collectingSince = Now();
  }
  const absl::StatusOr<bool> accepted = this->state.TryAccept();
  if (!accepted.ok()) {
    ++this->counters.refused;
    this->refusal = std::string(MessageOf(accepted.status()));
    Log(LogLevel::Error, "configuration_refused", "reason", this->refusal);
    return;
  }
  if (!*accepted) {
    return;
  }
  ++this->counters.accepted;
  this->refusal.clear();
  this->pagesBackoff.Reset();
  this->bootstrapTimer.Stop();
  if (this->storeView.epoch == this->CurrentEpoch()) {
    this->storeView.state = StoreView::State::Same;
  }
  const AcceptedConfiguration& current = *this->state.Current();
  Log(LogLevel::Info,
      "configuration_in_force",
      "epoch",
      current.epoch,
      "change",
      current.root.changeId,
      "root",
      current.rootHash);
  this->observer.OnConfiguration(current);
}

} // namespace dogwoodvale
