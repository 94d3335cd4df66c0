#include "LeastLoadedOfTwo.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// A report of this age counts for 1/e of a fresh one.
constexpr double kReportLifeMicros = 2e6;
/// Step time taken for a server that has not reported one.
constexpr double kDefaultStepMicros = 6000.0;

double
ReportWeight(const Backend& aBackend, TimePoint aNow)
{
  if (aBackend.reportedAt == TimePoint{}) {
    return 0.0;
  }
  const auto age =
    static_cast<double>(Between(aBackend.reportedAt, aNow).count());
  return std::exp(-std::max(age, 0.0) / kReportLifeMicros);
}

/// Reported requests that are served before one of \p aTier.
double
ReportedAhead(const LoadReport& aReport, Tier aTier)
{
  if (aReport.queuedByTier.empty()) {
    return aReport.queued;
  }
  double ahead = 0.0;
  const std::size_t tiers = std::min<std::size_t>(aReport.queuedByTier.size(),
                                                  aTier + std::size_t{ 1 });
  for (std::size_t tier = 0; tier < tiers; ++tier) {
    ahead += aReport.queuedByTier[tier];
  }
  return ahead;
}

/// Work ahead of a new request, in requests per slot, times the step time.
double
ExpectedWait(const Backend& aBackend,
             const ChoiceRequest& aRequest,
             TimePoint aNow)
{
  const LoadReport& report = aBackend.report;
  const double reported = report.running + ReportedAhead(report, aRequest.tier);
  const double known = reported * ReportWeight(aBackend, aNow);
  const double own = std::max<double>(aBackend.inFlight, aBackend.unreported);
  const double ahead = std::max(known + aBackend.unreported, own);
  const double slots = std::max<std::uint32_t>(report.limit, 1);
  const double step =
    report.stepMicros == 0 ? kDefaultStepMicros : report.stepMicros;
  return (ahead + 1.0) / slots * step;
}

} // namespace

std::optional<InstanceName>
LeastLoadedOfTwo::Choose(const BackendTable& aTable,
                         const ChoiceRequest& aRequest,
                         TimePoint aNow,
                         std::mt19937_64& aRandom)
{
  const Backend* first =
    internal::DrawCandidate(aTable, aRequest, nullptr, aRandom);
  if (first == nullptr) {
    return std::nullopt;
  }
  const Backend* second =
    internal::DrawCandidate(aTable, aRequest, first, aRandom);
  if (second == nullptr) {
    return first->name;
  }
  const double firstWait = ExpectedWait(*first, aRequest, aNow);
  const double secondWait = ExpectedWait(*second, aRequest, aNow);
  return firstWait <= secondWait ? first->name : second->name;
}

} // namespace dogwoodvale
