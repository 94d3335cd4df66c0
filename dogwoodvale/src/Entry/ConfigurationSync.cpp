#include "dogwoodvale/Entry"

namespace dogwoodvale {

namespace {

/// A peer that has not taken an offer by then got the configuration elsewhere.
constexpr Duration kOfferTimeout = seconds(2);

} // namespace

class ConfigurationSync::FetchStream final : public PeerStreamHandler
{
public:
  FetchStream(ConfigurationSync& aOwner,
              InstanceName aPeer,
              std::unique_ptr<PeerStream> aStream,
              const ConfigurationRequest& aRequest)
    : owner(aOwner)
    , peer(std::move(aPeer))
    , stream(std::move(aStream))
  {
    this->stream->SetHandler(this);
    this->stream->Send(FetchConfiguration{ aRequest.epoch, aRequest.have });
    this->stream->FinishSending();
  }
  ~FetchStream() override { this->stream->SetHandler(nullptr); }

  void OnMessage(Message aMessage) override
  {
    if (auto* reply = std::get_if<ConfigurationReply>(&aMessage)) {
      this->End(ToBundle(std::move(*reply)));
    }
  }
  void OnEnd() override { this->End(absl::UnavailableError("no answer")); }
  void OnLost(const absl::Status& aReason) override { this->End(aReason); }

private:
  void End(const absl::StatusOr<ConfigurationBundle>& aAnswer)
  {
    if (!this->done) {
      this->done = true;
      this->owner.EndFetch(this->peer, aAnswer);
    }
  }

  ConfigurationSync& owner;
  InstanceName peer;
  std::unique_ptr<PeerStream> stream;
  bool done = false;
};

class ConfigurationSync::OfferStream final : public PeerStreamHandler
{
public:
  OfferStream(ConfigurationSync& aOwner,
              InstanceName aPeer,
              std::unique_ptr<PeerStream> aStream)
    : owner(aOwner)
    , peer(std::move(aPeer))
    , stream(std::move(aStream))
    , timeout(aOwner.loop, [this] { this->End(); })
  {
    this->stream->SetHandler(this);
    this->stream->Send(ConfigurationOffer{ this->owner.keeper->CurrentEpoch(),
                                           this->owner.keeper->CurrentHash() });
    this->timeout.StartOnce(kOfferTimeout);
  }
  ~OfferStream() override { this->stream->SetHandler(nullptr); }

  void OnMessage(Message aMessage) override
  {
    if (const auto* fetch = std::get_if<FetchConfiguration>(&aMessage)) {
      this->stream->Send(
        ToReply(this->owner.keeper->Answer({ fetch->epoch, fetch->have })));
      this->stream->FinishSending();
    }
  }
  void OnEnd() override { this->End(); }
  void OnLost(const absl::Status& /*aReason*/) override { this->End(); }

private:
  void End()
  {
    if (!this->done) {
      this->done = true;
      this->owner.EndOffer(this->peer);
    }
  }

  ConfigurationSync& owner;
  InstanceName peer;
  std::unique_ptr<PeerStream> stream;
  Timer timeout;
  bool done = false;
};

ConfigurationSync::ConfigurationSync(EventLoop& aLoop, Fleet& aServers)
  : loop(aLoop)
  , servers(aServers)
  , sweepTimer(aLoop, [this] { this->ended.clear(); })
{
}

ConfigurationSync::~ConfigurationSync() = default;

bool
ConfigurationSync::Fetch(const InstanceName& aPeer,
                         const ConfigurationRequest& aRequest)
{
  SidecarLink* link = this->servers.FindLink(aPeer);
  if (link == nullptr || this->fetches.contains(aPeer)) {
    return false;
  }
  std::unique_ptr<PeerStream> stream = link->OpenStream();
  if (stream == nullptr) {
    return false;
  }
  this->fetches[aPeer] =
    std::make_unique<FetchStream>(*this, aPeer, std::move(stream), aRequest);
  return true;
}

void
ConfigurationSync::Offer(const InstanceName& aPeer)
{
  SidecarLink* link = this->servers.FindLink(aPeer);
  if (link == nullptr || this->offers.contains(aPeer)) {
    return;
  }
  std::unique_ptr<PeerStream> stream = link->OpenStream();
  if (stream != nullptr) {
    this->offers[aPeer] =
      std::make_unique<OfferStream>(*this, aPeer, std::move(stream));
  }
}

void
ConfigurationSync::EndFetch(const InstanceName& aPeer,
                            const absl::StatusOr<ConfigurationBundle>& aAnswer)
{
  auto node = this->fetches.extract(aPeer);
  this->ended.push_back(std::move(node.mapped()));
  this->sweepTimer.StartOnce(Duration(0));
  this->keeper->OnFetched(aPeer, aAnswer);
}

void
ConfigurationSync::EndOffer(const InstanceName& aPeer)
{
  auto node = this->offers.extract(aPeer);
  this->ended.push_back(std::move(node.mapped()));
  this->sweepTimer.StartOnce(Duration(0));
}

} // namespace dogwoodvale
