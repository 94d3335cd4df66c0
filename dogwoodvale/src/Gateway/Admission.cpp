#include "Admission.h"

#include <algorithm>
#include <utility>

namespace dogwoodvale {

namespace {

/// Retry-After while a configuration is awaited; it arrives within a second.
constexpr milliseconds kConfigurationRetryAfter(500);
/// A balancer sends the next attempt to another gateway.
constexpr milliseconds kOtherGatewayRetryAfter(50);

RequestError
Refusal(ErrorCode aCode,
        const char* aDetail,
        milliseconds aRetryAfter = milliseconds(0))
{
  return { aCode, Disposition::NotRun, aDetail, aRetryAfter };
}

/// Describes the prompt for placement, relative to the prompts and gaps that
/// the service has seen; also counts it among these.
DirectDemand
DemandOf(const AdmittedRequest& aRequest, BackendPool& aPool)
{
  const ServiceName& service = aRequest.service->name;
  PrefillStatistics& prefill = aPool.PrefillOf(service);
  PauseProfile& pauses = aPool.PausesOf(service);
  const Duration bound = aRequest.route->targetGap;
  DirectDemand demand;
  demand.promptTokens = aRequest.callerMetadata.promptTokens;
  demand.steps =
    StepsOf(aRequest.callerMetadata.prompt, aRequest.callerMetadata.model);
  demand.sharedTokens = SharedTokens(demand.steps);
  prefill.OnRequest(demand.promptTokens);
  pauses.OnRequest(bound);
  // Without ranked reading every request has the lowest rank, so the prefill
  // tokens of all requests count as ahead of it.
  demand.rank = aPool.Decisions().rankedReading ? aRequest.priorities.inTime
                                                : BackendWork::kRanks - 1;
  demand.serviceRank = aRequest.rank;
  if (aPool.Decisions().rankedTurns) {
    demand.queueRank = aRequest.priorities.inTime;
  }
  demand.isInteractive =
    aPool.Decisions().reservedServers && pauses.IsInteractive(bound);
  demand.isLong = aPool.Decisions().reservedServers && pauses.HasInteractive()
                    ? !demand.isInteractive
                    : prefill.IsLong(demand.promptTokens);
  demand.bounds = { bound, aRequest.route->target };
  if (aPool.Decisions().memoryAdmission && aRequest.service->cacheTokens > 0) {
    demand.memoryTokens = std::uint64_t{ demand.promptTokens } +
                          aRequest.callerMetadata.maxOutputTokens;
  }
  demand.tokensPerTarget = prefill.TokensIn(aRequest.route->target);
  demand.tokensPerQueuePosition =
    prefill.TokensPerQueuePosition(aRequest.service->slots)
      .value_or(DirectDemand::kDefaultTokensPerQueuePosition);
  return demand;
}

} // namespace

RequestError
ErrorWhileOutdated(const RequestError& aError)
{
  const bool mayBeOutdated = aError.code == ErrorCode::UnknownRoute ||
                             aError.code == ErrorCode::Unauthorized;
  return mayBeOutdated ? OutdatedRoutesError() : aError;
}

RequestError
OutdatedRoutesError()
{
  return Refusal(ErrorCode::NotReady,
                 "a newer configuration is on its way",
                 kConfigurationRetryAfter);
}

RequestError
StoppingError()
{
  return Refusal(
    ErrorCode::Draining, "the gateway is stopping", kOtherGatewayRetryAfter);
}

std::variant<AdmittedRequest, RequestError>
AdmitRequest(const HttpRequest& aRequest,
             CallerRequestMetadata aCallerMetadata,
             std::shared_ptr<const RouteTable> aRoutes,
             BackendPool& aPool,
             std::mt19937_64& aRandom)
{
  if (aRoutes == nullptr) {
    return Refusal(
      ErrorCode::NotReady, "no configuration yet", kConfigurationRetryAfter);
  }
  AdmittedRequest admitted;
  admitted.routes = std::move(aRoutes);
  admitted.callerMetadata = std::move(aCallerMetadata);
  admitted.route = admitted.routes->FindRoute(
    FindHeader(aRequest.headers, "host"), aRequest.path);
  if (admitted.route == nullptr) {
    return Refusal(ErrorCode::UnknownRoute, "no such route");
  }
  if (admitted.routes->NeedsKeys() && !admitted.route->isPublic) {
    admitted.keyedCustomer =
      admitted.routes->FindCustomer(admitted.callerMetadata.key);
    if (admitted.keyedCustomer == nullptr) {
      return Refusal(ErrorCode::Unauthorized, "no such API key");
    }
    admitted.customer = admitted.keyedCustomer->name;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const ServiceName& service = PickService(*admitted.route, draw(aRandom));
  if (!AssignService(admitted, service, aPool)) {
    return Refusal(ErrorCode::NoBackendServer,
                   "the route's service is unknown",
                   kConfigurationRetryAfter);
  }
  return admitted;
}

CrashSubjects
SubjectsOf(const AdmittedRequest& aAdmitted,
           const HttpRequest& aRequest,
           std::string_view aSecret)
{
  CrashSubjects subjects;
  subjects.request = FingerprintOf(
    { aAdmitted.customer, aRequest.method, aRequest.path, aRequest.body },
    aSecret);
  const std::vector<PromptPart>& prompt = aAdmitted.callerMetadata.prompt;
  // The last part is the request's own, so the request stands for it.
  const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
  for (std::size_t i = 0; i < std::min(shared, CrashSubjects::kMaxParts); ++i) {
    subjects.parts.push_back(
      FingerprintOfPart(aAdmitted.customer, prompt[i].id, aSecret));
  }
  return subjects;
}

bool
AssignService(AdmittedRequest& aRequest,
              const ServiceName& aService,
              BackendPool& aPool)
{
  aRequest.service = aRequest.routes->FindService(aService);
  if (aRequest.service == nullptr) {
    return false;
  }
  aRequest.rank =
    aRequest.routes->RankOf(*aRequest.route, aRequest.keyedCustomer, aService);
  aRequest.priorities =
    PriorityLevelsOf(aRequest.rank, aRequest.routes->RankCount(aService));
  if (aRequest.route->hasPrompts) {
    aRequest.demand = DemandOf(aRequest, aPool);
  }
  return true;
}

} // namespace dogwoodvale
