#ifndef DOGWOODVALE_GATEWAY_GATEWAYMETRICS_H
#define DOGWOODVALE_GATEWAY_GATEWAYMETRICS_H

#include <string>

#include "GatewayRequest.h"
#include "LoopDelayMonitor.h"
#include "dogwoodvale/Metrics"

namespace dogwoodvale {

/// Gauge values collected from other classes before each rendering.
struct GatewayGauges
{
  std::size_t requests = 0;
  std::size_t instances = 0;
  std::size_t peers = 0;
  std::uint64_t digestsRefused = 0;
  /// Backend servers reserved for interactive requests, of all services.
  std::size_t reserved = 0;
  /// Median relative error of the predicted pauses, if any was predicted.
  std::optional<double> pauseError;
  /// Services that are short of capacity, see CapacityShortage.
  std::size_t servicesShort = 0;
  /// Backend servers that this gateway sends nothing until their back-off ends.
  std::size_t backingOff = 0;
  /// Backend servers that limit the rate of requests.
  std::size_t rateLimited = 0;
  /// Backend servers with a recent load report; since the start, reports that
  /// could not be parsed, and those ignored, see ReportedLoads::IgnoredCount().
  std::size_t loadReportsRecent = 0;
  std::uint64_t loadReportsMalformed = 0;
  std::uint64_t loadReportsIgnored = 0;
  /// Ranks of all services whose requests go without an answer, and requests of
  /// later ranks refused for them since the start, see RankGuard.
  std::size_t ranksOverdue = 0;
  std::uint64_t refusedForRanks = 0;
  /// Streams whose origin is on record, see OriginFinder.
  std::size_t streamOrigins = 0;
  /// Store entries of backend servers that could not be parsed.
  std::size_t instancesRejected = 0;
  /// Backend servers that exited with requests in flight, since the start.
  std::uint64_t serversCrashed = 0;
  /// Requests suspected of crashing servers, and those in quarantine.
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
  /// Whether this gateway is the one that reports usage, and the windows that
  /// it has reported: accepted and left out since the start, and the backlog.
  bool holdsUsageDuty = false;
  std::uint64_t usageAccepted = 0;
  std::uint64_t usageLeftOut = 0;
  std::size_t usageBacklog = 0;
  /// Version of the routes in force.
  Epoch version = 0;
  /// The newest known version, and for how long it has not been in force here.
  Epoch newestVersion = 0;
  Duration behindFor{ 0 };
  std::uint64_t routesBytesRead = 0;
  /// Held by answers that are not complete yet.
  std::size_t answerBufferBytes = 0;
  /// Age of the list of backend servers, and of the routes.
  Duration listAge{ 0 };
  Duration routesAge{ 0 };
};

/// The metrics of a gateway at /metrics: per route, per busiest customer, and
/// the requests refused on admission.
class GatewayMetrics
{
public:
  /// \param aLoopDelay is shown with the rest; must outlive this object.
  explicit GatewayMetrics(const LoopDelayMonitor& aLoopDelay);

  void Record(const GatewayRequest& aRequest);
  /// Counts a request that was refused on admission.
  void CountRefusal(const RequestError& aError);
  /// \return the metrics in the Prometheus text format.
  std::string Render(const GatewayGauges& aGauges,
                     const CallerServer& aCallers);

private:
  void CountPrompt(const Placement& aPlacement);

  ClassMetricsTable classes;
  CustomerSketch customers;
  MetricsRegistry registry;
  CounterFamily<ReasonLabels>& refusals;
  /// Prompts by Timeliness, and those with a prefix to be copied from another
  /// server's cache.
  CounterFamily<ReasonLabels>& prompts;
  /// Streams that callers resume, by how their origin was found or why they
  /// were refused.
  CounterFamily<ReasonLabels>& resumptions;
  /// Answers of backend servers by AnswerEnd.
  CounterFamily<ReasonLabels>& answers;
  /// Servers asked to take over from a silent one.
  CounterFamily<ReasonLabels>& successors;
  GaugeFamily<ReasonLabels>& gauges;
  CounterFamily<NoLabels>& droppedLines;
};

/// Whether the answer was complete and within its route's latency target: the
/// first response for a stream, else the whole answer.
bool
MeetsTarget(const GatewayRequest& aRequest);

} // namespace dogwoodvale

#endif
