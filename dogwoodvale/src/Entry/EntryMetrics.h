#ifndef DOGWOODVALE_ENTRY_ENTRYMETRICS_H
#define DOGWOODVALE_ENTRY_ENTRYMETRICS_H

#include <string>

#include "CallerRequest.h"
#include "dogwoodvale/Metrics"

namespace dogwoodvale {

/// What an entry shows at /metrics: how each class and the busiest customers
/// were served, and what was refused before it had a class.
class EntryMetrics
{
public:
  EntryMetrics();

  /// A request with a class ended.
  void Record(const ResolvedRequest& aRequest, const CallerOutcome& aOutcome);
  /// A request was refused before it had a class.
  void CountRefusal(const RequestError& aError);
  /// Values that others count; set before each rendering.
  void SetGauges(std::size_t aRequests,
                 std::size_t aLinks,
                 Epoch aEpoch,
                 const CallerServerCounters& aServer);

  std::string Render() const { return this->registry.Render(); }
  const ClassMetricsTable& Classes() const { return this->classes; }

private:
  ClassMetricsTable classes;
  CustomerSketch customers;
  MetricsRegistry registry;
  CounterFamily<ReasonLabels>& refusals;
  CounterFamily<ReasonLabels>& serverEvents;
  GaugeFamily<NoLabels>& requests;
  GaugeFamily<NoLabels>& links;
  GaugeFamily<NoLabels>& epoch;
};

/// Whether an answer met its class's target: whole, the first token in time,
/// and the mean time between tokens or the total in time where one is set.
bool
MeetsTarget(const ResolvedRequest& aRequest, const CallerOutcome& aOutcome);

} // namespace dogwoodvale

#endif
