#include "GatewayLog.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace dogwoodvale {

namespace {

constexpr double kPercent = 100.0;
/// Callers choose these ids, so they are cut to a bounded length.
constexpr std::size_t kMaxLoggedId = 64;

std::string_view
BoundedId(std::string_view aId)
{
  return aId.substr(0, kMaxLoggedId);
}

std::string_view
EndName(const GatewayOutcome& aOutcome)
{
  if (aOutcome.complete) {
    return "complete";
  }
  if (aOutcome.abandoned) {
    return "caller_left";
  }
  return aOutcome.error ? CodeName(aOutcome.error->code) : "unknown";
}

/// The parts of the prompt that other requests may share, the first ones.
std::string
PartsText(const CrashSubjects& aSubjects)
{
  constexpr std::size_t kMaxLoggedParts = 8;
  std::string text;
  for (const Fingerprint part :
       std::span(aSubjects.parts)
         .first(std::min(aSubjects.parts.size(), kMaxLoggedParts))) {
    text += (text.empty() ? "" : ",") + FingerprintText(part);
  }
  return text;
}

/// Empty for a request that resumes no stream.
std::string_view
OriginSourceText(const GatewayRequest& aRequest)
{
  if (!aRequest.Admitted().IsResumption()) {
    return "";
  }
  const std::optional<FoundOrigin>& origin = aRequest.Outcome().origin;
  return origin ? OriginSourceName(origin->source) : "unknown";
}

} // namespace

void
LogRefusal(const HttpRequest& aRequest,
           const RequestError& aError,
           std::string_view aId,
           Epoch aVersion)
{
  Log(LogLevel::Info,
      "refused",
      "id",
      aId,
      "code",
      CodeName(aError.code),
      "status",
      HttpStatusOf(aError),
      "reason",
      aError.detail,
      "host",
      FindHeader(aRequest.headers, "host"),
      "path",
      aRequest.path,
      "version",
      aVersion);
}

void
LogRequestEnd(const GatewayRequest& aRequest, Duration aListAge)
{
  const GatewayOutcome& outcome = aRequest.Outcome();
  const AdmittedRequest& admitted = aRequest.Admitted();
  const Placement& placement = outcome.placement;
  Log(LogLevel::Info,
      "request",
      "id",
      admitted.callerMetadata.attemptId,
      "fingerprint",
      FingerprintText(admitted.subjects.request),
      "route",
      admitted.route->name,
      "customer",
      admitted.customer.Value(),
      "rank",
      admitted.rank,
      "version",
      admitted.routes->Version(),
      "instance",
      outcome.instance.Value(),
      "software",
      outcome.softwareVersion,
      "resumes",
      BoundedId(admitted.callerMetadata.resumes),
      "last_event",
      BoundedId(admitted.callerMetadata.lastEventId),
      "origin",
      outcome.origin ? outcome.origin->origin.softwareVersion : "",
      "origin_from",
      OriginSourceText(aRequest),
      "status",
      outcome.status,
      "end",
      EndName(outcome),
      "reason",
      outcome.error ? outcome.error->detail : "",
      "quarantined_part",
      outcome.quarantinedPart == 0 ? ""
                                   : FingerprintText(outcome.quarantinedPart),
      "ended_by",
      outcome.answerEnd ? AnswerEndName(*outcome.answerEnd) : "",
      "bytes",
      outcome.answerBytes,
      "run",
      outcome.error ? DispositionName(outcome.error->disposition) : "ran",
      "attempts",
      outcome.attempts,
      "prompt",
      admitted.demand.promptTokens,
      "cached",
      outcome.cachedTokens,
      "most_cached",
      placement.mostCachedTokens,
      "fetch_from",
      placement.fetch ? placement.fetch->instance.Value() : "",
      "fetched",
      placement.fetch ? placement.fetch->tokens : 0,
      "ahead",
      placement.prefillAhead,
      "interactive",
      admitted.demand.isInteractive,
      "believed",
      outcome.believedRequests,
      "reported",
      outcome.reportedRequests ? std::int64_t{ *outcome.reportedRequests } : -1,
      "time_factor_pct",
      std::llround(outcome.timeFactor * kPercent),
      "over_memory",
      placement.exceedsMemory,
      "place",
      placement.priority,
      "timeliness",
      TimelinessName(placement.timeliness),
      "over_share",
      outcome.overShare,
      "expected_ms",
      WholeMillis(placement.firstToken),
      "first_ms",
      WholeMillis(outcome.firstResponse),
      "gap_ms",
      WholeMillis(outcome.longestGap),
      "total_ms",
      WholeMillis(outcome.total),
      "list_age_ms",
      WholeMillis(aListAge),
      "expected_pause_us",
      outcome.expectedPause.count(),
      "mean_pause_us",
      outcome.meanPause.count());
}

void
LogFailedAttempt(const GatewayRequest& aRequest,
                 const FailedAttempt& aFailed,
                 Duration aListAge)
{
  const GatewayOutcome& outcome = aRequest.Outcome();
  Log(LogLevel::Info,
      "attempt_failed",
      "id",
      aRequest.Admitted().callerMetadata.attemptId,
      "fingerprint",
      FingerprintText(aRequest.Admitted().subjects.request),
      "parts",
      PartsText(aRequest.Admitted().subjects),
      "instance",
      outcome.instance.Value(),
      "software",
      outcome.softwareVersion,
      "result",
      aFailed.result,
      "reason",
      aFailed.reason,
      "attempt",
      outcome.attempts,
      "after_ms",
      WholeMillis(aFailed.spent),
      "left_ms",
      WholeMillis(aFailed.left),
      "events",
      outcome.events,
      "list_age_ms",
      WholeMillis(aListAge),
      "next",
      aFailed.next);
}

void
LogSuccessorAttempt(const GatewayRequest& aRequest,
                    const SuccessorStep& aStep,
                    TimePoint aNow)
{
  const RequestProgress progress = aRequest.Progress(aNow);
  Log(LogLevel::Info,
      "successor",
      "id",
      aRequest.Admitted().callerMetadata.attemptId,
      "route",
      aRequest.Admitted().route->name,
      "phase",
      RequestPhaseName(progress.phase),
      "instance",
      aStep.silent.Value(),
      "successor",
      aStep.successor.Value(),
      "result",
      aStep.result,
      "reason",
      aStep.reason,
      "attempts",
      aRequest.Outcome().attempts,
      "events",
      aRequest.Outcome().events,
      "age_ms",
      WholeMillis(progress.age),
      "since_event_ms",
      WholeMillis(progress.sinceEvent));
}

void
LogOpenRequest(LogLevel aLevel,
               std::string_view aEvent,
               const GatewayRequest& aRequest,
               TimePoint aNow)
{
  const GatewayOutcome& outcome = aRequest.Outcome();
  const RequestProgress progress = aRequest.Progress(aNow);
  Log(aLevel,
      aEvent,
      "id",
      aRequest.Admitted().callerMetadata.attemptId,
      "route",
      aRequest.Admitted().route->name,
      "phase",
      RequestPhaseName(progress.phase),
      "instance",
      outcome.instance.Value(),
      "attempts",
      outcome.attempts,
      "events",
      outcome.events,
      "age_ms",
      WholeMillis(progress.age),
      "since_event_ms",
      WholeMillis(progress.sinceEvent),
      "unsent_bytes",
      progress.unsentBytes);
}

} // namespace dogwoodvale
