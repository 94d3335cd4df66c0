#ifndef DOGWOODVALE_GATEWAY_GATEWAYLOG_H
#define DOGWOODVALE_GATEWAY_GATEWAYLOG_H

#include <string_view>

#include "GatewayRequest.h"

namespace dogwoodvale {

/// The lines by which a failed request is explained, see docs/OPERATIONS.md.

/// A request was refused before it had a server.
void
LogRefusal(const HttpRequest& aRequest,
           const RequestError& aError,
           std::string_view aId,
           Epoch aVersion);

/// A request has ended.
/// \param aListAge of the list of backend servers.
void
LogRequestEnd(const GatewayRequest& aRequest, Duration aListAge);

/// One server failed or refused a request.
struct FailedAttempt
{
  std::string_view result;
  std::string_view reason;
  /// What is done about it.
  std::string_view next;
  Duration spent{ 0 };
  Duration left{ 0 };
};

void
LogFailedAttempt(const GatewayRequest& aRequest,
                 const FailedAttempt& aFailed,
                 Duration aListAge);

} // namespace dogwoodvale

#endif
