#include "CustomerLine.h"

namespace dogwoodvale::internal {

namespace {

/// The last moment at which a start still meets the target.
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
CustomerLine::Add(const QueuedRequest& aRequest, SlabIndex aIndex)
{
  this->byAge.emplace(DueOf(aRequest), aIndex);
  this->bySlack.emplace(LatestStartOf(aRequest), aIndex);
}

void
CustomerLine::Remove(const QueuedRequest& aRequest, SlabIndex aIndex)
{
  this->byAge.erase({ DueOf(aRequest), aIndex });
  this->bySlack.erase({ LatestStartOf(aRequest), aIndex });
}

SlabIndex
CustomerLine::Next(TimePoint aNow) const
{
  const auto timely = this->bySlack.lower_bound({ aNow, 0 });
  return timely == this->bySlack.end() ? this->bySlack.begin()->second
                                       : timely->second;
}

} // namespace dogwoodvale::internal
