#include "CustomerQueue.h"

namespace dogwoodvale::internal {

namespace {

/// The latest time at which a start is still expected to meet the target.
TimePoint
LatestStartOf(const QueuedRequest& aRequest)
{
  return aRequest.target - aRequest.expectedFirstToken;
}

} // namespace

TimePoint
DueOf(const QueuedRequest& aRequest)
{
  return aRequest.enqueued + aRequest.maxWait;
}

void
CustomerQueue::Add(const QueuedRequest& aRequest, SlabIndex aIndex)
{
  this->byAge.emplace(DueOf(aRequest), aIndex);
  this->bySlack.emplace(LatestStartOf(aRequest), aIndex);
}

void
CustomerQueue::Remove(const QueuedRequest& aRequest, SlabIndex aIndex)
{
  this->byAge.erase({ DueOf(aRequest), aIndex });
  this->bySlack.erase({ LatestStartOf(aRequest), aIndex });
}

SlabIndex
CustomerQueue::Next(TimePoint aNow) const
{
  const auto onTime = this->bySlack.lower_bound({ aNow, 0 });
  return onTime == this->bySlack.end() ? this->bySlack.begin()->second
                                       : onTime->second;
}

} // namespace dogwoodvale::internal
