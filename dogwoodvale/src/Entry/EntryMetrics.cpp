#include "dogwoodvale/Entry"

namespace dogwoodvale {

namespace {

WasteCause
CauseOf(const CallerOutcome& aOutcome)
{
  if (aOutcome.complete) {
    return WasteCause::Retried;
  }
  if (aOutcome.abandoned) {
    return WasteCause::CallerGone;
  }
  switch (aOutcome.error ? aOutcome.error->code : ErrorCode::Internal) {
    case ErrorCode::DeadlineExceeded:
      return WasteCause::DeadlineExceeded;
    case ErrorCode::TruncatedAnswer:
      return WasteCause::Truncated;
    case ErrorCode::Evicted:
      return WasteCause::Preempted;
    default:
      return WasteCause::Failed;
  }
}

bool
IsShed(ErrorCode aCode)
{
  return aCode == ErrorCode::QueueFull || aCode == ErrorCode::RateLimited ||
         aCode == ErrorCode::ConcurrencyLimited;
}

} // namespace

bool
MeetsTarget(const ResolvedRequest& aRequest, const CallerOutcome& aOutcome)
{
  const LatencyTarget& target = aRequest.requestClass.target;
  if (!aOutcome.complete) {
    return false;
  }
  if (target.total > Duration(0) && aOutcome.total > target.total) {
    return false;
  }
  // A plain service has no tokens; its first byte is its answer.
  return !aRequest.completion ||
         (aOutcome.firstToken <= target.firstToken &&
          aOutcome.betweenTokens <= target.betweenTokens);
}

EntryMetrics::EntryMetrics()
  : refusals(this->registry.AddCounter<ReasonLabels>(
      "refused_total",
      "Requests refused before they had a class, by error code."))
  , serverEvents(this->registry.AddCounter<ReasonLabels>(
      "caller_server_total",
      "Connections and requests of callers, and what was refused of them."))
  , requests(this->registry.AddGauge("requests_in_progress",
                                     "Requests that have no answer yet."))
  , links(this->registry.AddGauge("sidecar_links", "Sidecars in the subset."))
  , epoch(this->registry.AddGauge("configuration_epoch",
                                  "Epoch of the configuration in force."))
{
  this->registry.AddSource(this->classes);
  this->registry.AddSource(this->customers);
}

void
EntryMetrics::Record(const ResolvedRequest& aRequest,
                     const CallerOutcome& aOutcome)
{
  ClassMetrics& metrics =
    this->classes.Of({ aRequest.service, aRequest.requestClass.name });
  const bool attained = MeetsTarget(aRequest, aOutcome);
  if (aOutcome.firstToken > Duration(0)) {
    metrics.firstToken.Record(aOutcome.firstToken);
    metrics.queueWait.Record(aOutcome.queueWait);
  }
  if (aOutcome.betweenTokens > Duration(0)) {
    metrics.betweenTokens.Record(aOutcome.betweenTokens);
  }
  if (aOutcome.complete) {
    ++metrics.succeeded;
    metrics.total.Record(aOutcome.total);
    metrics.goodputTokens += aOutcome.tokens;
  } else if (aOutcome.abandoned) {
    ++metrics.cancels;
  } else if (aOutcome.error) {
    metrics.CountFailure(*aOutcome.error);
    metrics.sheds += IsShed(aOutcome.error->code) ? 1 : 0;
    metrics.evictions += aOutcome.error->code == ErrorCode::Evicted ? 1 : 0;
  }
  if (!aOutcome.abandoned) {
    ++(attained ? metrics.attained : metrics.missed);
  }
  if (aOutcome.wastedTokens > 0) {
    metrics.CountWaste(CauseOf(aOutcome), aOutcome.wastedTokens);
  }
  metrics.retries += static_cast<std::uint64_t>(
    aOutcome.attempts > 1 ? aOutcome.attempts - 1 : 0);
  metrics.resumes += static_cast<std::uint64_t>(aOutcome.resumes);
  metrics.preemptions += static_cast<std::uint64_t>(aOutcome.preemptions);
  CustomerSample sample;
  sample.total = aOutcome.total;
  if (aOutcome.firstToken > Duration(0)) {
    sample.firstToken = aOutcome.firstToken;
  }
  sample.tokens = aOutcome.complete ? aOutcome.tokens : 0;
  sample.succeeded = aOutcome.complete;
  sample.attained = attained;
  this->customers.Record(aRequest.customer, sample);
}

void
EntryMetrics::CountRefusal(const RequestError& aError)
{
  ++this->refusals.At({ std::string(CodeName(aError.code)) });
}

void
EntryMetrics::SetGauges(std::size_t aRequests,
                        std::size_t aLinks,
                        Epoch aEpoch,
                        const CallerServerCounters& aServer)
{
  this->requests.At() = static_cast<double>(aRequests);
  this->links.At() = static_cast<double>(aLinks);
  this->epoch.At() = static_cast<double>(aEpoch);
  this->serverEvents.At({ "connections" }) = aServer.connections;
  this->serverEvents.At({ "requests" }) = aServer.requests;
  this->serverEvents.At({ "too_large" }) = aServer.tooLarge;
  this->serverEvents.At({ "malformed" }) = aServer.malformed;
  this->serverEvents.At({ "read_timeouts" }) = aServer.readTimeouts;
  this->serverEvents.At({ "refused_connections" }) = aServer.refusedConnections;
}

} // namespace dogwoodvale
