#ifndef DOGWOODVALE_GATEWAY_GATEWAYMETRICS_H
#define DOGWOODVALE_GATEWAY_GATEWAYMETRICS_H

#include <string>

#include "GatewayRequest.h"
#include "dogwoodvale/Metrics"

namespace dogwoodvale {

/// Gauges that others count, set before each rendering.
struct GatewayGauges
{
  std::size_t requests = 0;
  std::size_t instances = 0;
  std::size_t peers = 0;
  std::uint64_t digestsRefused = 0;
  /// Backend servers reserved for interactive requests, of all services.
  std::size_t reserved = 0;
  /// Backend servers that have asked this gateway for rest.
  std::size_t resting = 0;
  /// Backend servers that name the rate that they take.
  std::size_t rateLimited = 0;
  /// Entries of backend servers that could not be read.
  std::size_t instancesRejected = 0;
  /// Backend servers that ended while they ran something, since the start.
  std::uint64_t serversCrashed = 0;
  /// Requests that were under way there, and those kept from servers.
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
  /// The usage duty: whether it is held here, and windows since the start.
  bool holdsUsageDuty = false;
  std::uint64_t usageAccepted = 0;
  std::uint64_t usageLeftOut = 0;
  std::size_t usageBacklog = 0;
  Epoch version = 0;
  /// The newest that is known of, and since when it is not in force here.
  Epoch newestVersion = 0;
  Duration behindFor{ 0 };
  std::uint64_t routesBytesRead = 0;
  Duration listAge{ 0 };
  Duration routesAge{ 0 };
};

/// What a gateway shows at /metrics: how each route and the busiest customers
/// were served, and what was refused before it had a route.
class GatewayMetrics
{
public:
  GatewayMetrics();

  void Record(const GatewayRequest& aRequest);
  /// A request was refused before it had a route.
  void CountRefusal(const RequestError& aError);
  std::string Render(const GatewayGauges& aGauges,
                     const CallerServer& aCallers);

private:
  void CountPrompt(const Placement& aPlacement);

  ClassMetricsTable classes;
  CustomerSketch customers;
  MetricsRegistry registry;
  CounterFamily<ReasonLabels>& refusals;
  /// Prompts by Timeliness, and those of which parts were to be copied.
  CounterFamily<ReasonLabels>& prompts;
  GaugeFamily<ReasonLabels>& gauges;
  CounterFamily<NoLabels>& droppedLines;
};

/// Whether an answer came whole and within its route's target.
bool
MeetsTarget(const GatewayRequest& aRequest);

} // namespace dogwoodvale

#endif
