#include "WorkTable.h"

#include <algorithm>
#include <numeric>

namespace dogwoodvale {

namespace {

template<class Number>
Number
SaturatingSubtract(Number aFrom, Number aTaken)
{
  return aFrom - std::min(aFrom, aTaken);
}

} // namespace

std::uint64_t
BackendWork::PrefillUpTo(std::uint32_t aRank) const
{
  const std::size_t end = std::min<std::size_t>(aRank, kRanks - 1) + 1;
  return std::accumulate(this->prefillTokens.begin(),
                         this->prefillTokens.begin() + end,
                         std::uint64_t{ 0 });
}

std::uint64_t&
BackendWork::PrefillAt(std::uint32_t aRank)
{
  return this->prefillTokens[std::min<std::size_t>(aRank, kRanks - 1)];
}

std::uint32_t
BackendWork::RequestsUpTo(std::uint32_t aRank) const
{
  const std::size_t end = std::min<std::size_t>(aRank, kRanks - 1) + 1;
  return std::accumulate(this->requestsByRank.begin(),
                         this->requestsByRank.begin() + end,
                         std::uint32_t{ 0 });
}

std::uint32_t&
BackendWork::RequestsAt(std::uint32_t aRank)
{
  return this->requestsByRank[std::min<std::size_t>(aRank, kRanks - 1)];
}

BackendWork&
BackendWork::operator+=(const BackendWork& aOther)
{
  this->requests += aOther.requests;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    this->prefillTokens[rank] += aOther.prefillTokens[rank];
    this->requestsByRank[rank] += aOther.requestsByRank[rank];
  }
  this->memoryTokens += aOther.memoryTokens;
  this->uncachedMemoryTokens += aOther.uncachedMemoryTokens;
  this->interactive += aOther.interactive;
  return *this;
}

BackendWork&
BackendWork::operator-=(const BackendWork& aOther)
{
  this->requests = SaturatingSubtract(this->requests, aOther.requests);
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    this->prefillTokens[rank] =
      SaturatingSubtract(this->prefillTokens[rank], aOther.prefillTokens[rank]);
    this->requestsByRank[rank] = SaturatingSubtract(
      this->requestsByRank[rank], aOther.requestsByRank[rank]);
  }
  this->memoryTokens =
    SaturatingSubtract(this->memoryTokens, aOther.memoryTokens);
  this->uncachedMemoryTokens =
    SaturatingSubtract(this->uncachedMemoryTokens, aOther.uncachedMemoryTokens);
  this->interactive = SaturatingSubtract(this->interactive, aOther.interactive);
  return *this;
}

void
WorkTable::AddOwn(const InstanceName& aInstance, const BackendWork& aWork)
{
  this->entries[aInstance].own += aWork;
}

void
WorkTable::RemoveOwn(const InstanceName& aInstance, const BackendWork& aWork)
{
  this->entries[aInstance].own -= aWork;
  this->DropIfEmpty(aInstance);
}

void
WorkTable::SetPeer(const InstanceName& aGateway,
                   std::span<const WorkLine> aLines,
                   TimePoint aNow)
{
  Peer& peer = this->peers[aGateway];
  this->Subtract(peer);
  peer.lines.assign(aLines.begin(), aLines.end());
  peer.receivedAt = aNow;
  for (const WorkLine& line : peer.lines) {
    this->entries[line.instance].peerWork += line.work;
  }
}

std::vector<InstanceName>
WorkTable::Expire(TimePoint aNow)
{
  std::vector<InstanceName> expired;
  for (const auto& [name, peer] : this->peers) {
    if (Between(peer.receivedAt, aNow) > kPeerTtl) {
      expired.push_back(name);
    }
  }
  for (const InstanceName& name : expired) {
    this->Subtract(this->peers[name]);
    this->peers.erase(name);
  }
  return expired;
}

void
WorkTable::Subtract(const Peer& aPeer)
{
  for (const WorkLine& line : aPeer.lines) {
    this->entries[line.instance].peerWork -= line.work;
    this->DropIfEmpty(line.instance);
  }
}

void
WorkTable::DropIfEmpty(const InstanceName& aInstance)
{
  const auto found = this->entries.find(aInstance);
  if (found != this->entries.end() && found->second.own.IsZero() &&
      found->second.peerWork.IsZero()) {
    this->entries.erase(found);
  }
}

BackendWork
WorkTable::Total(const InstanceName& aInstance) const
{
  const auto found = this->entries.find(aInstance);
  if (found == this->entries.end()) {
    return {};
  }
  BackendWork sum = found->second.own;
  sum += found->second.peerWork;
  return sum;
}

BackendWork
WorkTable::Own(const InstanceName& aInstance) const
{
  const auto found = this->entries.find(aInstance);
  return found == this->entries.end() ? BackendWork{} : found->second.own;
}

std::vector<WorkLine>
WorkTable::OwnLines() const
{
  std::vector<WorkLine> lines;
  for (const auto& [name, entry] : this->entries) {
    if (!entry.own.IsZero()) {
      lines.push_back({ name, entry.own });
    }
  }
  return lines;
}

} // namespace dogwoodvale
