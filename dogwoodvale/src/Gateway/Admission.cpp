#include "Admission.h"

#include <utility>

namespace dogwoodvale {

namespace {

/// The next version of the configuration is a second or less away.
constexpr milliseconds kConfigurationSoon(500);

RequestError
Refusal(ErrorCode aCode,
        const char* aDetail,
        milliseconds aRetryAfter = milliseconds(0))
{
  return { aCode, Disposition::NotRun, aDetail, aRetryAfter };
}

/// What a prompt asks of a server, by what the service has seen so far.
DirectDemand
DemandOf(const CallerEnvelope& aEnvelope,
         const DirectService& aService,
         PrefillFlow& aFlow)
{
  DirectDemand demand;
  demand.promptTokens = aEnvelope.promptTokens;
  demand.steps = StepsOf(aEnvelope.prompt);
  aFlow.OnRequest(demand.promptTokens);
  demand.isLong = aFlow.IsLong(demand.promptTokens);
  demand.tokensPerTurn = aFlow.TokensPerTurn(aService.slots)
                           .value_or(DirectDemand::kGuessedTokensPerTurn);
  return demand;
}

} // namespace

std::variant<AdmittedRequest, RequestError>
AdmitRequest(const HttpRequest& aRequest,
             CallerEnvelope aEnvelope,
             std::shared_ptr<const RouteTable> aRoutes,
             BackendPool& aPool,
             std::mt19937_64& aRandom)
{
  if (aRoutes == nullptr) {
    return Refusal(
      ErrorCode::NotReady, "no configuration yet", kConfigurationSoon);
  }
  AdmittedRequest admitted;
  admitted.routes = std::move(aRoutes);
  admitted.envelope = std::move(aEnvelope);
  admitted.route = admitted.routes->FindRoute(
    FindHeader(aRequest.headers, "host"), aRequest.path);
  if (admitted.route == nullptr) {
    return Refusal(ErrorCode::UnknownRoute, "no such route");
  }
  const KeyedCustomer* customer = nullptr;
  if (admitted.routes->NeedsKeys() && !admitted.route->isPublic) {
    customer = admitted.routes->FindCustomer(admitted.envelope.key);
    if (customer == nullptr) {
      return Refusal(ErrorCode::Unauthorized, "no such API key");
    }
    admitted.customer = customer->name;
  }
  admitted.rank = admitted.routes->RankOf(*admitted.route, customer);
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const ServiceName& service = PickService(*admitted.route, draw(aRandom));
  admitted.service = admitted.routes->FindService(service);
  if (admitted.service == nullptr) {
    return Refusal(ErrorCode::NoBackendServer,
                   "the route's service is unknown",
                   kConfigurationSoon);
  }
  if (admitted.route->hasPrompts) {
    admitted.demand =
      DemandOf(admitted.envelope, *admitted.service, aPool.FlowOf(service));
  }
  return admitted;
}

} // namespace dogwoodvale
