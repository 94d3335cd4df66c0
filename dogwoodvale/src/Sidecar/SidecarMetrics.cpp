#include "dogwoodvale/Sidecar"

namespace dogwoodvale {

SidecarMetrics::SidecarMetrics()
  : attempts(this->registry.AddCounter<ReasonLabels>(
      "attempts_total",
      "Attempts at the backend server, by what became of them."))
  , tokens(this->registry.AddCounter<ReasonLabels>(
      "attempt_tokens_total",
      "Tokens generated; \"cut\" are those of attempts that did not "
      "complete."))
  , rejectedPeers(this->registry.AddCounter(
      "rejected_peers_total",
      "Connections closed for a wrong hello or malformed frames."))
  , running(this->registry.AddGauge("running", "Requests at the server."))
  , queued(this->registry.AddGauge("queued", "Requests that wait here."))
  , limit(this->registry.AddGauge("concurrency_limit",
                                  "Requests that may run at once."))
  , backendUp(this->registry.AddGauge("backend_up",
                                      "1 while the server can be reached."))
  , epoch(this->registry.AddGauge("configuration_epoch",
                                  "Epoch of the configuration in force."))
  , entries(this->registry.AddGauge("entries", "Entries connected."))
{
  this->registry.AddSource(this->classes);
}

void
SidecarMetrics::RecordWait(const ServiceName& aService,
                           const ClassName& aClass,
                           Duration aWait)
{
  this->classes.Of({ aService, aClass }).queueWait.Record(aWait);
}

std::string
SidecarMetrics::Render(const Dispatcher& aWork,
                       Epoch aEpoch,
                       std::size_t aEntries,
                       std::uint64_t aRejectedPeers)
{
  const DispatcherCounters& counters = aWork.Counters();
  this->attempts.At({ "started" }) = counters.started;
  this->attempts.At({ "completed" }) = counters.completed;
  this->attempts.At({ "refused" }) = counters.refused;
  this->attempts.At({ "refused_early" }) = counters.refusedEarly;
  this->attempts.At({ "evicted" }) = counters.evicted;
  this->attempts.At({ "preempted" }) = counters.preempted;
  this->attempts.At({ "handed_back" }) = counters.handedBack;
  this->attempts.At({ "barred" }) = counters.barred;
  this->attempts.At({ "backend_failed" }) = counters.backendFailed;
  this->attempts.At({ "withdrawn_queued" }) = counters.withdrawnQueued;
  this->attempts.At({ "withdrawn_running" }) = counters.withdrawnRunning;
  this->tokens.At({ "all" }) = counters.tokens;
  this->tokens.At({ "cut" }) = counters.tokensCut;
  this->rejectedPeers.At() = aRejectedPeers;
  this->running.At() = static_cast<double>(aWork.Running());
  this->queued.At() = static_cast<double>(aWork.Queued());
  this->limit.At() = aWork.Limit();
  this->backendUp.At() = aWork.IsBackendUp() ? 1 : 0;
  this->epoch.At() = static_cast<double>(aEpoch);
  this->entries.At() = static_cast<double>(aEntries);
  return this->registry.Render();
}

} // namespace dogwoodvale
