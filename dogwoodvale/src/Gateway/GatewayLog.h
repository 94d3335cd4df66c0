#ifndef DOGWOODVALE_GATEWAY_GATEWAYLOG_H
#define DOGWOODVALE_GATEWAY_GATEWAYLOG_H

#include <string_view>

#include "GatewayRequest.h"

namespace dogwoodvale {

/// Log lines about requests and their failed attempts, see docs/OPERATIONS.md.

/// Logs a request that was refused on admission, before it was placed.
void
LogRefusal(const HttpRequest& aRequest,
           const RequestError& aError,
           std::string_view aId,
           Epoch aVersion);

/// Logs the end of a request.
/// \param aListAge age of the list of backend servers.
void
LogRequestEnd(const GatewayRequest& aRequest, Duration aListAge);

/// An attempt in which a server failed or refused a request.
struct FailedAttempt
{
  /// See AttemptFailureName(), or "deadline".
  std::string_view result;
  std::string_view reason;
  /// The reaction: "retry", "resume", "hand_over" or "give_up".
  std::string_view next;
  /// Time since the attempt was sent.
  Duration spent{ 0 };
  /// Time until the request's deadline.
  Duration left{ 0 };
};

/// Logs a failed attempt.
/// \param aListAge age of the list of backend servers.
void
LogFailedAttempt(const GatewayRequest& aRequest,
                 const FailedAttempt& aFailed,
                 Duration aListAge);

/// Another server was asked to take over from a silent one, or that ended
/// without its taking over.
struct SuccessorStep
{
  InstanceName silent;
  InstanceName successor;
  /// "asked", "dropped", or see AttemptFailureName().
  std::string_view result;
  std::string_view reason;
};

void
LogSuccessorAttempt(const GatewayRequest& aRequest,
                    const SuccessorStep& aStep,
                    TimePoint aNow);

/// Logs how far a request is that has no whole answer yet: "attempt_silent" for
/// one whose server has sent nothing for longer than allowed, "cut_by_stop" for
/// one that is open at the end of a planned stop.
void
LogOpenRequest(LogLevel aLevel,
               std::string_view aEvent,
               const GatewayRequest& aRequest,
               TimePoint aNow);

} // namespace dogwoodvale

#endif
