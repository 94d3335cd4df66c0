#ifndef DOGWOODVALE_ENTRY_REQUESTRESOLVER_H
#define DOGWOODVALE_ENTRY_REQUESTRESOLVER_H

#include <optional>
#include <string>
#include <variant>

#include "CompletionRequest.h"
#include "dogwoodvale/Configuration"
#include "dogwoodvale/Http"

namespace dogwoodvale {

/// What a caller's request comes to under a configuration. Holds copies, so
/// that a change of configuration does not touch requests under way.
struct ResolvedRequest
{
  CustomerName customer;
  double customerWeight = 1;
  ServiceName service;
  ServiceKind kind = ServiceKind::Model;
  RequestClass requestClass;
  /// For model services.
  std::optional<CompletionRequest> completion;
};

/// Names customer, service and class of a request, or the reason to refuse it.
///
/// The class is the route's; of a model service the one in kClassHeader if the
/// customer has it, else the customer's first.
std::variant<ResolvedRequest, RequestError>
ResolveRequest(const HttpRequest& aRequest,
               const Configuration& aConfiguration);

/// The customer of the request's API key; nullptr if there is none.
const Customer*
Authenticate(const HttpRequest& aRequest, const Configuration& aConfiguration);

inline constexpr std::string_view kClassHeader = "X-Dogwoodvale-Class";

} // namespace dogwoodvale

#endif
