#include "LoopDelayMonitor.h"

#include <algorithm>

namespace dogwoodvale {

LoopDelayMonitor::LoopDelayMonitor(EventLoop& aLoop)
  : timer(aLoop, [this] { this->Sample(); })
{
  this->due = Now() + kPeriod;
  this->timer.StartOnce(kPeriod);
}

void
LoopDelayMonitor::Sample()
{
  const TimePoint now = Now();
  this->last = std::max(Between(this->due, now), Duration::zero());
  this->delays.Record(this->last);
  this->due = now + kPeriod;
  this->timer.StartOnce(kPeriod);
}

void
LoopDelayMonitor::WriteMetrics(PrometheusWriter& aWriter) const
{
  aWriter.Family("loop_delay_seconds",
                 "How late the event loop runs what is due.",
                 MetricType::Histogram);
  aWriter.Sample({}, this->delays);
}

} // namespace dogwoodvale
