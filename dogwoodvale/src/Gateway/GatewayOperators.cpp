#include "Gateway.h"

#include <json/json.h>

namespace dogwoodvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpForbidden = 403;

Json::Value
UsageStatus(const UsageAccounting& aUsage)
{
  const UsageReporter& reporter = *aUsage.Reporter();
  const UsagePlan& plan = reporter.Plan();
  const TimePoint now = Now();
  Json::Value status;
  status["holder"] = reporter.Holder().value_or(InstanceName()).Value();
  status["holds"] = reporter.IsActive(now);
  if (reporter.Holds()) {
    status["fencing"] = Json::Int64(reporter.Fencing());
    status["held_ms"] =
      Json::Int64(WholeMillis(Between(reporter.HeldSince(), now)));
  }
  status["accepted"] = Json::UInt64(plan.Accepted());
  status["left_out"] = Json::UInt64(plan.LeftOut());
  status["backlog"] = Json::UInt64(aUsage.Backlog());
  if (plan.LastAccepted()) {
    status["last_window"] = Json::Int64(*plan.LastAccepted());
  }
  return status;
}

} // namespace

absl::Status
Gateway::Ready()
{
  if (this->stopping) {
    return absl::UnavailableError("stopping");
  }
  if (this->directory->Routes().Table() == nullptr) {
    return absl::UnavailableError("no configuration yet");
  }
  if (!this->directory->HasInstances()) {
    return absl::UnavailableError("no list of backend servers yet");
  }
  if (this->AreRoutesOverdue(Now())) {
    return absl::UnavailableError("a newer configuration is on its way");
  }
  return absl::OkStatus();
}

std::string
Gateway::Metrics()
{
  const TimePoint now = Now();
  GatewayGauges gauges;
  gauges.requests = this->requests.size();
  gauges.instances = this->pool.Count();
  gauges.peers = this->pool.Work().PeerCount();
  gauges.digestsRefused = this->peers->DigestsRejected();
  gauges.reserved = this->pool.ReservedCount();
  gauges.pauseError = this->pool.PauseError();
  gauges.servicesShort = this->pool.ShortCount(Now());
  gauges.rateLimited = this->pool.Backpressure().Rates().LimitedCount();
  gauges.ranksOverdue = this->pool.OverdueRanks(Now());
  gauges.refusedForRanks = this->pool.RefusedForRanks();
  gauges.backingOff = this->pool.Backpressure().Backoffs().BackingOffCount(now);
  gauges.loadReportsRecent = this->pool.Loads().RecentCount(now);
  gauges.loadReportsMalformed = this->pool.Loads().MalformedCount();
  gauges.loadReportsIgnored = this->pool.Loads().IgnoredCount();
  gauges.serversCrashed = this->crashes.ServersCrashed();
  gauges.suspects = this->crashes.Ledger().SuspectCount();
  gauges.quarantined = this->crashes.Ledger().QuarantinedCount(now);
  gauges.streamOrigins = this->origins.RecordCount();
  gauges.instancesRejected = this->directory->RejectedCount();
  gauges.version = this->directory->Routes().Version();
  gauges.newestVersion = this->catchUp.Newest(now);
  gauges.routesBytesRead = this->directory->Routes().BytesRead();
  gauges.answerBufferBytes = this->answers.Held();
  gauges.behindFor = this->catchUp.BehindFor(now);
  gauges.listAge = this->directory->InstancesAge(now);
  gauges.routesAge = this->directory->Routes().Age(now);
  if (const UsageReporter* reporter = this->usage.Reporter()) {
    gauges.holdsUsageDuty = reporter->IsActive(now);
    gauges.usageAccepted = reporter->Plan().Accepted();
    gauges.usageLeftOut = reporter->Plan().LeftOut();
    gauges.usageBacklog = this->usage.Backlog();
  }
  return this->metrics.Render(gauges, *this->callers);
}

std::string
Gateway::Statusz()
{
  Json::Value status;
  status["role"] = "gateway";
  status["instance"] = this->settings.instance.Value();
  status["data_centre"] = this->settings.dataCentre.Value();
  status["region"] = this->settings.region.Value();
  status["version"] = DOGWOODVALE_VERSION;
  status["incarnation"] = fmt::format("{:016x}", this->incarnation);
  status["routes_version"] = Json::UInt64(this->directory->Routes().Version());
  status["ready"] = this->Ready().ok();
  status["stopping"] = this->stopping;
  status["requests"] = Json::UInt64(this->requests.size());
  status["instances"] = Json::UInt64(this->pool.Count());
  status["gateways"] = Json::UInt64(this->GatewayCount());
  status["list_age_ms"] = Json::Int64(WholeMillis(this->ListAge()));
  if (this->usage.IsOn()) {
    status["duties"]["usage"] = UsageStatus(this->usage);
  }
  return Json::writeString(Json::StreamWriterBuilder(), status) + "\n";
}

std::optional<std::string>
Gateway::DocumentAt(std::string_view aPath) const
{
  if (!this->directory->HasInstances()) {
    return std::nullopt;
  }
  if (aPath == PeerExchange::kRoutesPath) {
    const std::string& routes = this->directory->Routes().Document();
    return routes.empty() ? std::nullopt : std::optional(routes);
  }
  if (aPath == PeerExchange::kInstancesPath) {
    return this->directory->InstancesDocument(Now());
  }
  if (aPath == WarmStart::kPath) {
    return this->warmStart->Document();
  }
  if (aPath.starts_with(UsageAccounting::kPath)) {
    return this->usage.Document();
  }
  if (aPath.starts_with(OriginFinder::kPath)) {
    return this->origins.DocumentAt(aPath, Now());
  }
  return std::nullopt;
}

OperatorResponse
Gateway::Other(const HttpRequest& aRequest)
{
  const std::string path = aRequest.path.substr(0, aRequest.path.find('?'));
  if (!path.starts_with(PeerExchange::kPathPrefix)) {
    return OperatorHandler::Other(aRequest);
  }
  if (path.starts_with(OriginFinder::kPath)) {
    this->suspensionDetector.Check();
    this->UpdateOrigins(Now());
  }
  if (!this->peers->HasValidProof(aRequest.path)) {
    return { kHttpForbidden, "text/plain; charset=utf-8", "no proof\n" };
  }
  auto document = this->DocumentAt(path);
  if (!document) {
    return OperatorHandler::Other(aRequest);
  }
  const bool isJson = path != WarmStart::kPath;
  OperatorResponse response{ kHttpOk,
                             isJson ? "application/json"
                                    : "application/octet-stream",
                             *std::move(document) };
  const std::string_view accepted =
    FindHeader(aRequest.headers, "accept-encoding");
  if (accepted == kCompressionName) {
    response.body = path == PeerExchange::kRoutesPath
                      ? this->directory->Routes().CompressedDocument()
                      : Compress(response.body);
    response.contentEncoding = kCompressionName;
  }
  return response;
}

} // namespace dogwoodvale
