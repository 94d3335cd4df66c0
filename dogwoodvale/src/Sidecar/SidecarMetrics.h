#ifndef DOGWOODVALE_SIDECAR_SIDECARMETRICS_H
#define DOGWOODVALE_SIDECAR_SIDECARMETRICS_H

#include <string>

#include "Dispatcher.h"
#include "dogwoodvale/Metrics"

namespace dogwoodvale {

/// What a sidecar shows at /metrics: its queue, its limit, and what became of
/// the attempts it was given.
class SidecarMetrics
{
public:
  SidecarMetrics();

  /// A request of \p aClass was started after \p aWait in the queue.
  void RecordWait(const ServiceName& aService,
                  const ClassName& aClass,
                  Duration aWait);
  /// \param aRejectedPeers connections closed for a bad hello or frames.
  std::string Render(const Dispatcher& aWork,
                     Epoch aEpoch,
                     std::size_t aEntries,
                     std::uint64_t aRejectedPeers);

private:
  ClassMetricsTable classes;
  MetricsRegistry registry;
  CounterFamily<ReasonLabels>& attempts;
  CounterFamily<ReasonLabels>& tokens;
  CounterFamily<NoLabels>& rejectedPeers;
  GaugeFamily<NoLabels>& running;
  GaugeFamily<NoLabels>& queued;
  GaugeFamily<NoLabels>& limit;
  GaugeFamily<NoLabels>& backendUp;
  GaugeFamily<NoLabels>& epoch;
  GaugeFamily<NoLabels>& entries;
};

} // namespace dogwoodvale

#endif
