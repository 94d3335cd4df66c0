#include "RoutesCatchUp.h"

#include <algorithm>
#include <vector>

namespace dogwoodvale {

void
RoutesCatchUp::OnTold(const SocketAddress& aGateway,
                      Epoch aVersion,
                      TimePoint aNow)
{
  if (aVersion == 0) {
    return;
  }
  if (!this->IsBehind(aNow)) {
    this->behindSince.reset();
  }
  Teller& teller = this->tellers[aGateway];
  teller.version = aVersion;
  teller.at = aNow;
  if (aVersion > this->inForce && !this->behindSince) {
    this->behindSince = aNow;
  }
  std::erase_if(this->tellers, [&](const auto& aItem) {
    return !this->Counts(aItem.second, aNow);
  });
}

void
RoutesCatchUp::OnInForce(Epoch aVersion)
{
  this->inForce = std::max(this->inForce, aVersion);
  const bool isBehind =
    std::ranges::any_of(this->tellers, [this](const auto& aItem) {
      return aItem.second.version > this->inForce;
    });
  if (!isBehind) {
    this->behindSince.reset();
  }
}

bool
RoutesCatchUp::Counts(const Teller& aTeller, TimePoint aNow) const
{
  return Between(aTeller.at, aNow) <= kWordLife;
}

Epoch
RoutesCatchUp::Newest(TimePoint aNow) const
{
  Epoch newest = this->inForce;
  for (const auto& [address, teller] : this->tellers) {
    if (this->Counts(teller, aNow)) {
      newest = std::max(newest, teller.version);
    }
  }
  return newest;
}

Duration
RoutesCatchUp::BehindFor(TimePoint aNow) const
{
  return this->IsBehind(aNow) && this->behindSince
           ? Between(*this->behindSince, aNow)
           : Duration::zero();
}

std::optional<SocketAddress>
RoutesCatchUp::Next(TimePoint aNow, std::mt19937_64& aRandom)
{
  if (this->isAsking || !this->IsBehind(aNow)) {
    return std::nullopt;
  }
  const bool awaitsStore = this->isWatching && this->inForce != 0;
  if (awaitsStore && this->BehindFor(aNow) < kStoreFirst) {
    return std::nullopt;
  }
  const Epoch newest = this->Newest(aNow);
  std::vector<SocketAddress> candidates;
  for (const auto& [address, teller] : this->tellers) {
    if (teller.version == newest && this->Counts(teller, aNow) &&
        teller.avoidedUntil <= aNow) {
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
  const auto found = this->tellers.find(aGateway);
  if (!aTaken && found != this->tellers.end()) {
    found->second.avoidedUntil = aNow + kAvoidFor;
  }
}

} // namespace dogwoodvale
