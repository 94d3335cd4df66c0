#include "GatewayMetrics.h"

namespace dogwoodvale {

GatewayMetrics::GatewayMetrics(const LoopDelayMonitor& aLoopDelay)
  : refusals(this->registry.AddCounter<ReasonLabels>(
      "gateway_refusals_total",
      "Requests refused before they had a route."))
  , prompts(this->registry.AddCounter<ReasonLabels>(
      "gateway_prompts_total",
      "Prompts by what was decided of them; \"fetch\": parts were to be "
      "copied from another server's cache."))
  , resumptions(this->registry.AddCounter<ReasonLabels>(
      "gateway_resumptions_total",
      "Streams that callers resume, by how what began them was found, and "
      "those refused, by why."))
  , answers(this->registry.AddCounter<ReasonLabels>(
      "gateway_answers_total",
      "Answers of backend servers that were forwarded, by the sign by which "
      "they were complete."))
  , successors(this->registry.AddCounter<ReasonLabels>(
      "gateway_successors_total",
      "Servers that were asked to take over from a silent one, and those that "
      "did."))
  , gauges(this->registry.AddGauge<ReasonLabels>("gateway_state",
                                                 "The gateway's state now."))
  , droppedLines(
      this->registry.AddCounter("log_lines_dropped_total",
                                "Log lines that their reader did not take."))
{
  this->registry.AddSource(this->classes);
  this->registry.AddSource(this->customers);
  this->registry.AddSource(aLoopDelay);
}

bool
MeetsTarget(const GatewayRequest& aRequest)
{
  const GatewayOutcome& outcome = aRequest.Outcome();
  const HostRoute& route = *aRequest.Admitted().route;
  const Duration reached =
    route.kind == RouteKind::Streaming ? outcome.firstResponse : outcome.total;
  return outcome.complete && reached <= route.target;
}

void
GatewayMetrics::Record(const GatewayRequest& aRequest)
{
  const GatewayOutcome& outcome = aRequest.Outcome();
  const AdmittedRequest& admitted = aRequest.Admitted();
  ClassMetrics& metrics = this->classes.Of(
    { admitted.service->name, ClassName(admitted.route->name) });
  if (outcome.firstResponse > Duration::zero()) {
    metrics.firstToken.Record(outcome.firstResponse);
  }
  metrics.total.Record(outcome.total);
  if (outcome.placement.firstToken > Duration::zero()) {
    metrics.expectedFirstToken.Record(outcome.placement.firstToken);
  }
  if (admitted.demand.promptTokens > 0) {
    this->CountPrompt(outcome.placement);
  }
  if (outcome.origin) {
    ++this->resumptions.At(
      { std::string(OriginSourceName(outcome.origin->source)) });
  }
  if (outcome.refusedResumption != ResumptionRefusal::None) {
    ++this->resumptions.At(
      { std::string(ResumptionRefusalName(outcome.refusedResumption)) });
  }
  if (outcome.answerEnd) {
    ++this->answers.At({ std::string(AnswerEndName(*outcome.answerEnd)) });
  }
  if (outcome.successors > 0) {
    this->successors.At({ "asked" }) += outcome.successors;
    this->successors.At({ "took_over" }) += outcome.takeOvers;
  }
  metrics.retries += outcome.attempts > 1 ? outcome.attempts - 1 : 0;
  metrics.resumes += outcome.resumes;
  metrics.cancels += outcome.abandoned ? 1 : 0;
  metrics.succeeded += outcome.complete ? 1 : 0;
  if (outcome.error) {
    metrics.CountFailure(*outcome.error);
  }
  const bool attained = MeetsTarget(aRequest);
  metrics.attained += attained ? 1 : 0;
  metrics.missed += attained ? 0 : 1;
  CustomerSample sample;
  sample.total = outcome.total;
  sample.firstToken = outcome.firstResponse;
  sample.tokens = outcome.events;
  sample.succeeded = outcome.complete;
  sample.attained = attained;
  sample.overShare = outcome.overShare;
  sample.refusedForShare = outcome.refusedForShare;
  this->customers.Record(admitted.customer, sample);
}

void
GatewayMetrics::CountPrompt(const Placement& aPlacement)
{
  ++this->prompts.At({ std::string(TimelinessName(aPlacement.timeliness)) });
  if (aPlacement.fetch) {
    ++this->prompts.At({ "fetch" });
  }
}

void
GatewayMetrics::CountRefusal(const RequestError& aError)
{
  ++this->refusals.At({ std::string(CodeName(aError.code)) });
}

std::string
GatewayMetrics::Render(const GatewayGauges& aGauges,
                       const CallerServer& aCallers)
{
  const auto set = [this](const char* aName, double aValue) {
    this->gauges.At({ aName }) = aValue;
  };
  constexpr double kMicros = 1e6;
  set("requests", static_cast<double>(aGauges.requests));
  set("instances", static_cast<double>(aGauges.instances));
  set("peers", static_cast<double>(aGauges.peers));
  set("digests_refused", static_cast<double>(aGauges.digestsRefused));
  set("reserved_servers", static_cast<double>(aGauges.reserved));
  if (aGauges.pauseError) {
    constexpr double kPercent = 100.0;
    set("pause_error_median_pct", *aGauges.pauseError * kPercent);
  }
  set("services_short", static_cast<double>(aGauges.servicesShort));
  set("servers_resting", static_cast<double>(aGauges.backingOff));
  set("servers_rate_limited", static_cast<double>(aGauges.rateLimited));
  set("load_reports_recent", static_cast<double>(aGauges.loadReportsRecent));
  set("load_reports_malformed",
      static_cast<double>(aGauges.loadReportsMalformed));
  set("load_reports_ignored", static_cast<double>(aGauges.loadReportsIgnored));
  set("ranks_overdue", static_cast<double>(aGauges.ranksOverdue));
  set("requests_refused_for_ranks",
      static_cast<double>(aGauges.refusedForRanks));
  set("stream_origins", static_cast<double>(aGauges.streamOrigins));
  set("instances_rejected", static_cast<double>(aGauges.instancesRejected));
  set("servers_crashed", static_cast<double>(aGauges.serversCrashed));
  set("crash_suspects", static_cast<double>(aGauges.suspects));
  set("requests_quarantined", static_cast<double>(aGauges.quarantined));
  set("usage_duty_held", aGauges.holdsUsageDuty ? 1.0 : 0.0);
  set("usage_windows_accepted", static_cast<double>(aGauges.usageAccepted));
  set("usage_windows_left_out", static_cast<double>(aGauges.usageLeftOut));
  set("usage_windows_backlog", static_cast<double>(aGauges.usageBacklog));
  set("routes_version", static_cast<double>(aGauges.version));
  set("routes_version_newest", static_cast<double>(aGauges.newestVersion));
  set("routes_behind_seconds",
      static_cast<double>(aGauges.behindFor.count()) / kMicros);
  set("routes_read_bytes", static_cast<double>(aGauges.routesBytesRead));
  set("answer_buffer_bytes", static_cast<double>(aGauges.answerBufferBytes));
  set("list_age_seconds",
      static_cast<double>(aGauges.listAge.count()) / kMicros);
  set("routes_age_seconds",
      static_cast<double>(aGauges.routesAge.count()) / kMicros);
  this->droppedLines.At() = DroppedLogLines();
  PrometheusWriter server;
  aCallers.WriteMetrics(server);
  return this->registry.Render() + server.Take();
}

} // namespace dogwoodvale
