#ifndef DOGWOODVALE_GATEWAY_ADMISSION_H
#define DOGWOODVALE_GATEWAY_ADMISSION_H

#include <memory>
#include <variant>

#include "BackendPool.h"
#include "Ports.h"
#include "dogwoodvale/Quarantine"
#include "dogwoodvale/Requests"
#include "dogwoodvale/Resumption"

namespace dogwoodvale {

/// A request with the configuration it is served under, fixed on acceptance.
struct AdmittedRequest
{
  /// The routes in force on acceptance; owns \p route and \p service.
  std::shared_ptr<const RouteTable> routes;
  const HostRoute* route = nullptr;
  const DirectService* service = nullptr;
  CustomerName customer;
  /// Owned by \p routes; null for a request that needs no key.
  const KeyedCustomer* keyedCustomer = nullptr;
  /// Priority rank, see RouteTable::RankOf().
  std::uint32_t rank = 0;
  /// The priorities at a backend server that follow from the rank.
  PriorityLevels priorities;
  CallerRequestMetadata callerMetadata;
  CrashSubjects subjects;
  DirectDemand demand;
  /// This attempt of the caller, and the one whose stream it resumes; 0 if the
  /// caller does not name it.
  StreamKey stream = 0;
  StreamKey resumedStream = 0;

  /// Whether the caller has events of the answer already.
  bool IsResumption() const
  {
    return this->route->isResumable &&
           (!this->callerMetadata.lastEventId.empty() ||
            !this->callerMetadata.resumes.empty());
  }
};

/// What of the request may crash a server.
/// \param aSecret shared by all gateways.
CrashSubjects
SubjectsOf(const AdmittedRequest& aAdmitted,
           const HttpRequest& aRequest,
           std::string_view aSecret);

/// Sets the service that serves the request, one of its route's, and what
/// follows from it.
/// \return false if the configuration does not have the service.
bool
AssignService(AdmittedRequest& aRequest,
              const ServiceName& aService,
              BackendPool& aPool);

/// Finds the route, the customer and the service of a request.
/// \param aRoutes the configuration in force; null while none is known. Every
/// request is then refused as retryable, since it may well be allowed.
std::variant<AdmittedRequest, RequestError>
AdmitRequest(const HttpRequest& aRequest,
             CallerRequestMetadata aCallerMetadata,
             std::shared_ptr<const RouteTable> aRoutes,
             BackendPool& aPool,
             std::mt19937_64& aRandom);

/// For a request that may not be served by the routes in force, as a newer
/// version is known of; retryable.
RequestError
OutdatedRoutesError();

/// The answer to a request that a stopping gateway does not pass on.
RequestError
StoppingError();

/// The error that a gateway returns in place of \p aError when it knows of a
/// newer configuration than its own: an unknown route or key may be defined
/// there, so these errors become retryable ones.
RequestError
ErrorWhileOutdated(const RequestError& aError);

} // namespace dogwoodvale

#endif
