#include "ClassMetrics.h"

#include <numeric>

namespace dogwoodvale {

namespace {

/// A histogram or counter of ClassMetrics with the name that operators see.
template<class Member>
struct Shown
{
  std::string_view name;
  std::string_view help;
  Member ClassMetrics::*member;
};

constexpr std::array<Shown<LatencyHistogram>, 5> kHistograms = { {
  { "first_token_seconds",
    "Time from arrival to the first token.",
    &ClassMetrics::firstToken },
  { "expected_first_token_seconds",
    "Time from sending to the first token, as expected when it was sent.",
    &ClassMetrics::expectedFirstToken },
  { "between_tokens_seconds",
    "Time between one token and the next.",
    &ClassMetrics::betweenTokens },
  { "request_seconds",
    "Time from arrival to the end of the answer.",
    &ClassMetrics::total },
  { "queue_wait_seconds",
    "Time in the sidecar's queue.",
    &ClassMetrics::queueWait },
} };

constexpr std::array<Shown<std::uint64_t>, 11> kCounters = { {
  { "attained_total",
    "Requests that met their class's target.",
    &ClassMetrics::attained },
  { "missed_total",
    "Requests that did not meet their class's target.",
    &ClassMetrics::missed },
  { "goodput_tokens_total",
    "Tokens of answers that came whole and in time.",
    &ClassMetrics::goodputTokens },
  { "sheds_total", "Requests refused for want of room.", &ClassMetrics::sheds },
  { "evictions_total",
    "Queued requests dropped for a higher tier.",
    &ClassMetrics::evictions },
  { "retries_total", "Attempts beyond the first.", &ClassMetrics::retries },
  { "resumes_total",
    "Answers continued from what was delivered.",
    &ClassMetrics::resumes },
  { "cancels_total",
    "Requests cancelled because the caller left or the budget was spent.",
    &ClassMetrics::cancels },
  { "preemptions_total",
    "Running requests stopped for a higher tier.",
    &ClassMetrics::preemptions },
  { "not_run_total",
    "Failures that surely had no effect.",
    &ClassMetrics::notRun },
  { "may_have_run_total",
    "Failures that may have had an effect.",
    &ClassMetrics::mayHaveRun },
} };

/// The labels of a class and one more.
std::array<Label, 3>
With(const ClassLabels& aLabels,
     std::string_view aName,
     std::string_view aValue)
{
  const auto pairs = aLabels.Pairs();
  return { pairs[0], pairs[1], Label{ aName, aValue } };
}

} // namespace

std::string_view
WasteCauseName(WasteCause aCause)
{
  switch (aCause) {
    case WasteCause::CallerGone:
      return "caller_gone";
    case WasteCause::DeadlineExceeded:
      return "deadline_exceeded";
    case WasteCause::Preempted:
      return "preempted";
    case WasteCause::Retried:
      return "retried";
    case WasteCause::Truncated:
      return "truncated";
    case WasteCause::Failed:
      return "failed";
  }
  return "unknown";
}

void
ClassMetrics::CountFailure(const RequestError& aError)
{
  ++this->failed.at(static_cast<std::size_t>(aError.code));
  ++(aError.disposition == Disposition::NotRun ? this->notRun
                                               : this->mayHaveRun);
}

void
ClassMetrics::CountWaste(WasteCause aCause, std::uint64_t aTokens)
{
  this->wastedTokens.at(static_cast<std::size_t>(aCause)) += aTokens;
}

std::uint64_t
ClassMetrics::FailedCount() const
{
  return std::accumulate(
    this->failed.begin(), this->failed.end(), std::uint64_t(0));
}

std::optional<double>
ClassMetrics::Attainment() const
{
  const std::uint64_t all = this->attained + this->missed;
  if (all == 0) {
    return std::nullopt;
  }
  return double(this->attained) / double(all);
}

ClassMetricsTable::ClassMetricsTable(std::size_t aMaxClasses)
  : maxClasses(aMaxClasses)
{
}

ClassMetrics&
ClassMetricsTable::Of(const ClassLabels& aLabels)
{
  const auto found = this->classes.find(aLabels);
  if (found != this->classes.end()) {
    return *found->second;
  }
  const bool full = this->classes.size() >= this->maxClasses;
  const ClassLabels key =
    full ? ClassLabels{ ServiceName("other"), ClassName("other") } : aLabels;
  auto& place = this->classes[key];
  if (place == nullptr) {
    place = std::make_unique<ClassMetrics>();
  }
  return *place;
}

void
ClassMetricsTable::WriteMetrics(PrometheusWriter& aWriter) const
{
  for (const auto& shown : kHistograms) {
    aWriter.Family(shown.name, shown.help, MetricType::Histogram);
    for (const auto& [labels, metrics] : this->classes) {
      aWriter.Sample(labels.Pairs(), (*metrics).*shown.member);
    }
  }
  for (const auto& shown : kCounters) {
    aWriter.Family(shown.name, shown.help, MetricType::Counter);
    for (const auto& [labels, metrics] : this->classes) {
      aWriter.Sample(labels.Pairs(), (*metrics).*shown.member);
    }
  }
  aWriter.Family(
    "requests_total", "Requests that ended, by outcome.", MetricType::Counter);
  for (const auto& [labels, metrics] : this->classes) {
    aWriter.Sample(With(labels, "outcome", "ok"), metrics->succeeded);
    for (int code = 0; code < kErrorCodeCount; ++code) {
      // A series for each code and class would be mostly zeros.
      if (const std::uint64_t count = metrics->failed.at(std::size_t(code));
          count > 0) {
        aWriter.Sample(
          With(labels, "outcome", CodeName(static_cast<ErrorCode>(code))),
          count);
      }
    }
  }
  aWriter.Family("wasted_tokens_total",
                 "Tokens made that were of no use, by cause.",
                 MetricType::Counter);
  for (const auto& [labels, metrics] : this->classes) {
    for (int cause = 0; cause < kWasteCauseCount; ++cause) {
      aWriter.Sample(
        With(labels, "cause", WasteCauseName(static_cast<WasteCause>(cause))),
        metrics->wastedTokens.at(std::size_t(cause)));
    }
  }
}

} // namespace dogwoodvale
