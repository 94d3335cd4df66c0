#include "StreamObserver.h"

namespace dogwoodvale {

void
StreamObserver::OnFirstEvents(std::uint64_t aEvents,
                              const ServerActivity::Snapshot& aActivity)
{
  this->firstEvents = aEvents;
  this->start = aActivity;
}

std::uint64_t
StreamObserver::IntervalsOf(std::uint64_t aEvents) const
{
  return this->start && aEvents > this->firstEvents
           ? aEvents - this->firstEvents
           : 0;
}

Duration
StreamObserver::MeanPause(std::uint64_t aEvents, TimePoint aLastEvent) const
{
  const std::uint64_t intervals = this->IntervalsOf(aEvents);
  return intervals == 0 ? Duration::zero()
                        : Between(this->start->at, aLastEvent) /
                            static_cast<Duration::rep>(intervals);
}

std::optional<StreamSample>
StreamObserver::Sample(std::uint64_t aEvents,
                       TimePoint aLastEvent,
                       Duration aLongestPause,
                       const ServerActivity::Snapshot& aActivity) const
{
  const std::uint64_t intervals = this->IntervalsOf(aEvents);
  if (!this->isUsable || intervals < DecodeModel::kMinIntervals) {
    return std::nullopt;
  }
  const ServerActivity::Difference activity =
    ServerActivity::Subtract(*this->start, aActivity);
  StreamSample sample;
  sample.intervals = intervals;
  sample.span = Between(this->start->at, aLastEvent);
  sample.longestPause = aLongestPause;
  sample.meanRequests = activity.meanRequests;
  sample.prefilledTokens = activity.prefilledTokens;
  sample.prompts = activity.prompts;
  return sample;
}

} // namespace dogwoodvale
