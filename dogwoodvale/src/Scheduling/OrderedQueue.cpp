#include "OrderedQueue.h"

#include <algorithm>

namespace dogwoodvale::internal {

EnqueueResult
OrderedQueue::Enqueue(const QueuedRequest& aRequest, TimePoint)
{
  if (this->places.contains(aRequest.id)) {
    return { EnqueueVerdict::RefusedClassBound, {} };
  }
  const std::int64_t rank = this->RankOf(aRequest);
  std::uint64_t freed = 0;
  std::vector<Line::iterator> victims;
  for (auto last = this->line.end();
       this->bytes + aRequest.bytes - freed > this->bounds.bytes ||
       this->line.size() + 1 - victims.size() > this->bounds.requests;) {
    if (last == this->line.begin() || std::prev(last)->first.rank <= rank) {
      return { EnqueueVerdict::RefusedMemory, {} };
    }
    --last;
    freed += last->second.bytes;
    victims.push_back(last);
  }
  EnqueueResult result;
  for (const auto victim : victims) {
    result.evicted.push_back(this->Take(victim).id);
  }
  const Key key{ rank, this->arrivals++ };
  this->places.emplace(aRequest.id, key);
  this->line.emplace(key, aRequest);
  this->bytes += aRequest.bytes;
  ++this->sizes.at(aRequest.tier);
  return result;
}

std::optional<QueuedRequest>
OrderedQueue::Dequeue(TimePoint)
{
  if (this->line.empty()) {
    return std::nullopt;
  }
  return this->Take(this->line.begin());
}

const QueuedRequest*
OrderedQueue::Peek(TimePoint)
{
  return this->line.empty() ? nullptr : &this->line.begin()->second;
}

bool
OrderedQueue::Remove(const RequestId& aId)
{
  const auto place = this->places.find(aId);
  if (place == this->places.end()) {
    return false;
  }
  this->Take(this->line.find(place->second));
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
    this->line.begin(), this->line.end(), [&](const auto& aEntry) {
      return aEntry.second.className == aClass;
    }));
}

std::size_t
OrderedQueue::SizeAtOrAbove(Tier aTier) const
{
  std::size_t size = 0;
  for (std::size_t tier = 0; tier <= aTier && tier < kTierCount; ++tier) {
    size += this->sizes.at(tier);
  }
  return size;
}

Duration
OrderedQueue::OldestWait(const ClassName& aClass, TimePoint aNow) const
{
  Duration oldest{ 0 };
  for (const auto& [key, request] : this->line) {
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
  drained.reserve(this->line.size());
  for (const auto& [key, request] : this->line) {
    drained.push_back(request.id);
  }
  this->line.clear();
  this->places.clear();
  this->sizes = {};
  this->bytes = 0;
  return drained;
}

QueuedRequest
OrderedQueue::Take(Line::iterator aPlace)
{
  QueuedRequest taken = std::move(aPlace->second);
  this->line.erase(aPlace);
  this->places.erase(taken.id);
  this->bytes -= taken.bytes;
  --this->sizes.at(taken.tier);
  return taken;
}

} // namespace dogwoodvale::internal
