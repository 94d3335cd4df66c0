#ifndef DOGWOODVALE_GATEWAY_LOOPDELAYMONITOR_H
#define DOGWOODVALE_GATEWAY_LOOPDELAYMONITOR_H

#include "dogwoodvale/Core"
#include "dogwoodvale/Metrics"

namespace dogwoodvale {

/// Measures how late the event loop handles traffic that is due.
///
/// A loop that is short of processor time handles each connection less often,
/// so everything takes longer that needs several turns of it.
class LoopDelayMonitor final : public MetricsSource
{
public:
  explicit LoopDelayMonitor(EventLoop& aLoop);

  /// Of the newest sample.
  Duration Last() const { return this->last; }
  void WriteMetrics(PrometheusWriter& aWriter) const override;

  static constexpr Duration kPeriod = milliseconds(100);

private:
  void Sample();

  LatencyHistogram delays;
  Duration last{ 0 };
  TimePoint due{};
  Timer timer;
};

} // namespace dogwoodvale

#endif
