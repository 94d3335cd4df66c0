#ifndef DOGWOODVALE_GATEWAY_ADMISSION_H
#define DOGWOODVALE_GATEWAY_ADMISSION_H

#include <memory>
#include <variant>

#include "BackendPool.h"
#include "Ports.h"
#include "dogwoodvale/Quarantine"
#include "dogwoodvale/Requests"

namespace dogwoodvale {

/// What a request is served by: fixed when it is accepted.
struct AdmittedRequest
{
  /// Keeps the routes alive under which the request was accepted.
  std::shared_ptr<const RouteTable> routes;
  const HostRoute* route = nullptr;
  const DirectService* service = nullptr;
  CustomerName customer;
  /// Place in the order of service, see RouteTable::RankOf().
  std::uint32_t rank = 0;
  /// What the rank comes to at a backend server.
  OrderPlaces places;
  CallerEnvelope envelope;
  /// The same for each try of a caller at any gateway.
  RequestFingerprint fingerprint = 0;
  DirectDemand demand;
};

/// Finds the route, the customer and the service of a request.
/// \param aRoutes the configuration in force; null while none is known. Nothing
/// is then refused for good: what is unknown here may well be allowed.
std::variant<AdmittedRequest, RequestError>
AdmitRequest(const HttpRequest& aRequest,
             CallerEnvelope aEnvelope,
             std::shared_ptr<const RouteTable> aRoutes,
             BackendPool& aPool,
             std::mt19937_64& aRandom);

/// What a gateway answers that knows of a newer configuration than its own: a
/// route or a key that it lacks may be there by now.
RequestError
RefusalWhileBehind(const RequestError& aError);

} // namespace dogwoodvale

#endif
