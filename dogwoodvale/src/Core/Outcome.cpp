#include "dogwoodvale/Core"

#include <array>

namespace dogwoodvale {

std::string_view
CodeName(ErrorCode aCode)
{
  static constexpr std::array<std::string_view, kErrorCodeCount> kNames = {
    "unauthorized",
    "bad_request",
    "too_large",
    "unknown_model",
    "unknown_route",
    "class_not_allowed",
    "rate_limited",
    "concurrency_limited",
    "queue_full",
    "evicted",
    "no_backend_server",
    "deadline_exceeded",
    "draining",
    "backend_failed",
    "connection_lost",
    "truncated_answer",
    "store_unavailable",
    "duplicate_key",
    "barred",
    "cancelled",
    "not_ready",
    "quarantined",
    "internal",
  };
  const auto index = static_cast<std::size_t>(aCode);
  return index < kNames.size() ? kNames[index] : "internal";
}

std::string_view
DispositionName(Disposition aDisposition)
{
  return aDisposition == Disposition::NotRun ? "not_run" : "may_have_run";
}

} // namespace dogwoodvale
