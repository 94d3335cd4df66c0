#ifndef DOGWOODVALE_CORE_OUTCOME_H
#define DOGWOODVALE_CORE_OUTCOME_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Clock.h"

namespace dogwoodvale {

/// Whether a failed request can have had an effect.
///
/// NotRun is a promise: it is said only by the process that makes it true
/// (nothing was ever sent, or the request's id is barred for good).
enum class Disposition : std::uint8_t
{
  NotRun,
  MayHaveRun,
};

/// Stable reasons for a failure; CodeName gives what callers see.
enum class ErrorCode : std::uint8_t
{
  Unauthorized,
  BadRequest,
  TooLarge,
  UnknownModel,
  UnknownRoute,
  ClassNotAllowed,
  RateLimited,
  ConcurrencyLimited,
  QueueFull,
  Evicted,
  NoBackendServer,
  DeadlineExceeded,
  Draining,
  BackendFailed,
  ConnectionLost,
  TruncatedAnswer,
  StoreUnavailable,
  DuplicateKey,
  Barred,
  Cancelled,
  NotReady,
  /// It crashes the backend servers that run it.
  Quarantined,
  Internal,
};

inline constexpr int kErrorCodeCount =
  static_cast<int>(ErrorCode::Internal) + 1;

/// The final answer to a request that did not succeed.
struct RequestError
{
  ErrorCode code = ErrorCode::Internal;
  Disposition disposition = Disposition::MayHaveRun;
  std::string detail;
  /// When the caller may usefully come back; zero when unknown.
  milliseconds retryAfter{ 0 };
};

/// Stable snake_case name, e.g. "queue_full".
std::string_view
CodeName(ErrorCode aCode);

/// "not_run" or "may_have_run".
std::string_view
DispositionName(Disposition aDisposition);

} // namespace dogwoodvale

#endif
