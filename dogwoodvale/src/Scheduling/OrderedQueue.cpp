#include "OrderedQueue.h"

#include <algorithm>

namespace dogwoodvale::internal {

EnqueueResult
OrderedQueue::Enqueue(const QueuedRequest& aRequest, TimePoint)
{
  if (this->keys.contains(aRequest.id)) {
    return { EnqueueVerdict::RefusedClassBound, {} };
  }
  const std::int64_t rank = this->RankOf(aRequest);
  std::uint64_t freedBytes = 0;
  std::vector<Requests::iterator> victims;
  for (auto last = this->requests.end();
       this->bytes + aRequest.bytes - freedBytes > this->bounds.bytes ||
       this->requests.size() + 1 - victims.size() > this->bounds.requests;) {
    if (last == this->requests.begin() || std::prev(last)->first.rank <= rank) {
      return { EnqueueVerdict::RefusedMemory, {} };
    }
    --last;
    freedBytes += last->second.bytes;
    victims.push_back(last);
  }
  EnqueueResult result;
  for (const auto victim : victims) {
    result.evicted.push_back(this->Take(victim).id);
  }
  const Key key{ rank, this->nextSequence++ };
  this->keys.emplace(aRequest.id, key);
  this->requests.emplace(key, aRequest);
  this->bytes += aRequest.bytes;
  ++this->sizeByTier.at(aRequest.tier);
  return result;
}

std::optional<QueuedRequest>
OrderedQueue::Dequeue(TimePoint)
{
  if (this->requests.empty()) {
    return std::nullopt;
  }
  return this->Take(this->requests.begin());
}

const QueuedRequest*
OrderedQueue::Peek(TimePoint)
{
  return this->requests.empty() ? nullptr : &this->requests.begin()->second;
}

bool
OrderedQueue::Remove(const RequestId& aId)
{
  const auto found = this->keys.find(aId);
  if (found == this->keys.end()) {
    return false;
  }
  this->Take(this->requests.find(found->second));
  return true;
}

void
OrderedQueue::OnFinished(const ClassName&, const CustomerName&, std::uint64_t)
{
}

std::size_t
OrderedQueue::SizeOfClass(const ClassName& aClass) const
{
  return static_cast<std::size_t>(std::count_if(
    this->requests.begin(), this->requests.end(), [&](const auto& aEntry) {
      return aEntry.second.className == aClass;
    }));
}

std::size_t
OrderedQueue::SizeAtOrAbove(Tier aTier) const
{
  std::size_t size = 0;
  for (std::size_t tier = 0; tier <= aTier && tier < kTierCount; ++tier) {
    size += this->sizeByTier.at(tier);
  }
  return size;
}

Duration
OrderedQueue::OldestWait(const ClassName& aClass, TimePoint aNow) const
{
  Duration oldest{ 0 };
  for (const auto& [key, request] : this->requests) {
    if (request.className == aClass) {
      oldest = std::max(oldest, Between(request.enqueued, aNow));
    }
  }
  return oldest;
}

std::vector<RequestId>
OrderedQueue::DrainAll()
{
  std::vector<RequestId> drained;
  drained.reserve(this->requests.size());
  for (const auto& [key, request] : this->requests) {
    drained.push_back(request.id);
  }
  this->requests.clear();
  this->keys.clear();
  this->sizeByTier = {};
  this->bytes = 0;
  return drained;
}

QueuedRequest
OrderedQueue::Take(Requests::iterator aPosition)
{
  QueuedRequest taken = std::move(aPosition->second);
  this->requests.erase(aPosition);
  this->keys.erase(taken.id);
  this->bytes -= taken.bytes;
  --this->sizeByTier.at(taken.tier);
  return taken;
}

} // namespace dogwoodvale::internal
