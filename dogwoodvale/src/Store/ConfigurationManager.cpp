#include "dogwoodvale/Store"

#include <algorithm>
#include <limits>
#include <utility>

namespace dogwoodvale {

namespace {

/// A pending configuration that isn't complete by then is discarded, so that
/// others can be collected.
constexpr Duration kPendingTimeout = seconds(10);
constexpr Duration kMaxBackoff = seconds(10);

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

ConfigurationManager::ConfigurationManager(EventLoop& aLoop,
                                           const ConfigurationOptions& aOptions,
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
                 const InstanceName peer = this->fetchPeer;
                 this->OnFetched(peer,
                                 absl::DeadlineExceededError(
                                   "the peer did not respond in time"));
               })
  , pagesTimer(aLoop, [this] { this->ReadMissingFromStore(); })
  , bootstrapBackoff(aOptions.bootstrapDelay, kMaxBackoff)
  , pagesBackoff(milliseconds(100), kMaxBackoff)
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
ConfigurationManager::Start()
{
  this->tickTimer.StartRepeating(this->options.tickPeriod);
  this->ApplyElection();
  this->bootstrapTimer.StartOnce(
    this->bootstrapBackoff.Next(this->DrawUniform()));
}

double
ConfigurationManager::DrawUniform()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void
ConfigurationManager::Tick()
{
  const TimePoint now = Now();
  this->election.Tick(now, this->DrawUniform());
  this->ApplyElection();
  if (this->state.HasPending() && now - this->pendingSince > kPendingTimeout) {
    Log(LogLevel::Warning,
        "configuration_incomplete",
        "epoch",
        this->state.PendingEpoch());
    this->state.DiscardPending();
    this->pendingEpoch = 0;
  }
  this->FetchFromPeers();
}

void
ConfigurationManager::ApplyElection()
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
ConfigurationManager::Bootstrap()
{
  if (this->state.Current() != nullptr || !this->reader) {
    return;
  }
  if (!this->reader->IsWatching() && !this->state.HasPending()) {
    this->reader->ReadRoot();
  }
  this->bootstrapTimer.StartOnce(
    this->bootstrapBackoff.Next(this->DrawUniform()));
}

void
ConfigurationManager::OnList(std::span<const ListedInstance> aList)
{
  this->election.OnList(aList);
  this->ApplyElection();
}

Duration
ConfigurationManager::StoreContactAge() const
{
  return this->election.ContactAge(Now());
}

bool
ConfigurationManager::IsWatching() const
{
  return this->reader && this->reader->IsWatching();
}

void
ConfigurationManager::OnPeerEpoch(const InstanceName& aPeer,
                                  Epoch aEpoch,
                                  std::string_view aRootHash,
                                  std::optional<Duration> aContactAge)
{
  if (aContactAge) {
    this->election.OnPeerContact(*aContactAge, Now());
  }
  const EpochRelation relation = this->state.Classify(aEpoch, aRootHash);
  if (relation != EpochRelation::Ahead) {
    if (relation == EpochRelation::Conflict) {
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
ConfigurationManager::OnPeerLost(const InstanceName& aPeer)
{
  this->peerStates.erase(aPeer);
  if (this->fetchPeer == aPeer) {
    this->OnFetched(
      aPeer, absl::UnavailableError("the connection to the peer was lost"));
  }
}

const InstanceName*
ConfigurationManager::ChoosePeer(TimePoint aNow,
                                 std::span<const InstanceName> aExcluded) const
{
  const InstanceName* best = nullptr;
  Epoch highest = 0;
  for (const auto& [name, peer] : this->peerStates) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (peer.epoch > highest && aNow >= peer.retryAt && !isExcluded) {
      highest = peer.epoch;
      best = &name;
    }
  }
  return best;
}

void
ConfigurationManager::FetchFromPeers()
{
  if (!this->fetchPeer.IsEmpty()) {
    return;
  }
  const TimePoint now = Now();
  std::erase_if(this->peerStates, [&](const auto& aItem) {
    return this->state.Classify(aItem.second.epoch, aItem.second.rootHash) !=
           EpochRelation::Ahead;
  });
  this->fetchListsPages = std::exchange(this->listPagesNext, false);
  const ConfigurationRequest request =
    this->state.MakeRequest(this->fetchListsPages);
  std::vector<InstanceName> unreachable;
  while (const InstanceName* peer = this->ChoosePeer(now, unreachable)) {
    this->fetchPeer = *peer;
    if (this->peers.Fetch(this->fetchPeer, request)) {
      this->peerStates[this->fetchPeer].retryAt =
        now + this->options.retryInterval;
      this->fetchTimer.StartOnce(this->options.fetchTimeout);
      ++this->counters.fetchesSent;
      return;
    }
    // Nothing was sent, so no retry interval applies: the peer is tried again
    // as soon as it sends something.
    unreachable.push_back(this->fetchPeer);
    this->EndFetch(true);
  }
}

void
ConfigurationManager::EndFetch(bool aFailed)
{
  this->fetchPeer = InstanceName();
  this->fetchTimer.Stop();
  this->counters.fetchesFailed += aFailed ? 1 : 0;
}

void
ConfigurationManager::OnFetched(
  const InstanceName& aPeer,
  const absl::StatusOr<ConfigurationBundle>& aAnswer)
{
  if (aPeer.IsEmpty() || aPeer != this->fetchPeer) {
    // A response after fetchTimeout. On a slow link each one may be so late, so
    // keep its pages: the response of the next peer is then smaller.
    if (aAnswer.ok() && !aAnswer->root.empty() &&
        this->state.Propose(aAnswer->root).ok()) {
      this->state.AddPages(aAnswer->pages);
      this->AcceptIfComplete();
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
  this->AcceptIfComplete();
  // The response may be one part of several, or the root alone if the peer
  // didn't know the root of this process. In both cases continue with this peer
  // at once, but don't repeat a request that brought nothing.
  const bool wasUseful =
    added > 0 || (aAnswer->pages.empty() && !this->fetchListsPages);
  const auto peer = this->peerStates.find(aPeer);
  if (this->state.HasPending() && proposed.ok() && wasUseful &&
      peer != this->peerStates.end()) {
    peer->second.retryAt = TimePoint{};
    this->listPagesNext = true;
  }
  this->FetchFromPeers();
}

ConfigurationBundle
ConfigurationManager::Answer(const ConfigurationRequest& aRequest)
{
  ++this->counters.fetchesAnswered;
  return this->state.Answer(aRequest, this->options.maxAnswerBytes);
}

std::string
ConfigurationManager::Export() const
{
  if (this->state.Current() == nullptr) {
    return "";
  }
  return EncodeBundle(this->state.Answer(
    ConfigurationRequest{}, std::numeric_limits<std::size_t>::max()));
}

void
ConfigurationManager::OnStoreContact()
{
  this->election.OnOwnContact(Now());
}

void
ConfigurationManager::OnStoreFailure(const absl::Status& /*aReason*/)
{
  this->election.OnOwnFailure();
}

void
ConfigurationManager::OnStoreRoot(std::string_view aText)
{
  Epoch epoch = 0;
  if (!aText.empty()) {
    const absl::StatusOr<ConfigurationRoot> root = DecodeRoot(aText);
    if (!root.ok()) {
      this->UpdateStoreView(StoreView::State::Malformed, 0);
      return;
    }
    epoch = root->epoch;
  }
  const std::string hash = aText.empty() ? "" : Sha256Hex(aText);
  switch (this->state.Classify(epoch, hash)) {
    case EpochRelation::Same:
      this->UpdateStoreView(StoreView::State::Same, epoch);
      return;
    case EpochRelation::Behind:
      this->UpdateStoreView(StoreView::State::Older, epoch);
      return;
    case EpochRelation::Conflict:
      this->UpdateStoreView(StoreView::State::Conflict, epoch);
      return;
    case EpochRelation::Refused:
      this->UpdateStoreView(StoreView::State::Ahead, epoch);
      return;
    case EpochRelation::Ahead:
      break;
  }
  this->UpdateStoreView(StoreView::State::Ahead, epoch);
  if (this->state.Propose(aText).ok()) {
    this->AcceptIfComplete();
    this->ReadMissingFromStore();
  }
}

void
ConfigurationManager::UpdateStoreView(StoreView::State aState, Epoch aEpoch)
{
  const bool isChanged =
    this->storeView.state != aState || this->storeView.epoch != aEpoch;
  this->storeView = { aState, aEpoch };
  const bool isNotFollowed = aState == StoreView::State::Older ||
                             aState == StoreView::State::Conflict ||
                             aState == StoreView::State::Malformed;
  if (!isChanged || !isNotFollowed) {
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
ConfigurationManager::ReadMissingFromStore()
{
  const std::vector<std::string> missing = this->state.MissingPages();
  if (!missing.empty() && this->reader) {
    this->reader->ReadPages(missing);
  }
}

void
ConfigurationManager::OnStorePages(std::span<const Page> aPages)
{
  this->state.AddPages(aPages);
  this->AcceptIfComplete();
  if (this->state.HasPending()) {
    this->pagesTimer.StartOnce(this->pagesBackoff.Next(this->DrawUniform()));
  }
}

void
ConfigurationManager::OnStorePagesFailed(const absl::Status& aReason)
{
  this->OnStoreFailure(aReason);
  if (this->state.HasPending()) {
    this->pagesTimer.StartOnce(this->pagesBackoff.Next(this->DrawUniform()));
  }
}

void
ConfigurationManager::AcceptIfComplete()
{
  if (this->state.PendingEpoch() != this->pendingEpoch) {
    this->pendingEpoch = this->state.PendingEpoch();
    this->pendingSince = Now();
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
