#include "RoutesCatchUp.h"

#include <algorithm>
#include <vector>

namespace dogwoodvale {

void
RoutesCatchUp::OnPeerVersion(const SocketAddress& aGateway,
                             Epoch aVersion,
                             TimePoint aNow)
{
  if (aVersion == 0) {
    return;
  }
  if (!this->IsBehind(aNow)) {
    this->missing.clear();
  }
  Peer& peer = this->peers[aGateway];
  peer.version = aVersion;
  peer.heardAt = aNow;
  if (aVersion > this->inForce && this->missing.size() < kMaxMissing) {
    this->missing.emplace(aVersion, aNow);
  }
  std::erase_if(this->peers, [&](const auto& aItem) {
    return !this->IsValid(aItem.second, aNow);
  });
}

void
RoutesCatchUp::OnInForce(Epoch aVersion)
{
  this->inForce = std::max(this->inForce, aVersion);
  this->missing.erase(this->missing.begin(),
                      this->missing.upper_bound(this->inForce));
}

bool
RoutesCatchUp::IsValid(const Peer& aPeer, TimePoint aNow) const
{
  return Between(aPeer.heardAt, aNow) <= kVersionTtl;
}

Epoch
RoutesCatchUp::Newest(TimePoint aNow) const
{
  Epoch newest = this->inForce;
  for (const auto& [address, peer] : this->peers) {
    if (this->IsValid(peer, aNow)) {
      newest = std::max(newest, peer.version);
    }
  }
  return newest;
}

Duration
RoutesCatchUp::BehindFor(TimePoint aNow) const
{
  return this->IsBehind(aNow) && !this->missing.empty()
           ? Between(this->missing.begin()->second, aNow)
           : Duration::zero();
}

std::optional<SocketAddress>
RoutesCatchUp::Next(TimePoint aNow, std::mt19937_64& aRandom)
{
  if (this->isAsking || !this->IsBehind(aNow)) {
    return std::nullopt;
  }
  const bool awaitsStore = this->isWatching && this->inForce != 0;
  if (awaitsStore && this->BehindFor(aNow) < kStoreGrace) {
    return std::nullopt;
  }
  const Epoch newest = this->Newest(aNow);
  std::vector<SocketAddress> candidates;
  for (const auto& [address, peer] : this->peers) {
    if (peer.version == newest && this->IsValid(peer, aNow) &&
        peer.backoffUntil <= aNow) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  return candidates[draw(aRandom)];
}

void
RoutesCatchUp::OnAnswer(const SocketAddress& aGateway,
                        bool aTaken,
                        TimePoint aNow)
{
  this->isAsking = false;
  const auto found = this->peers.find(aGateway);
  if (!aTaken && found != this->peers.end()) {
    found->second.backoffUntil = aNow + kPeerBackoff;
  }
}

} // namespace dogwoodvale
