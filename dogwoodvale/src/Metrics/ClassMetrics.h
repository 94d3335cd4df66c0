#ifndef DOGWOODVALE_METRICS_CLASSMETRICS_H
#define DOGWOODVALE_METRICS_CLASSMETRICS_H

#include <array>
#include <map>
#include <memory>
#include <optional>

#include "PrometheusWriter.h"

namespace dogwoodvale {

struct ClassLabels
{
  ServiceName service;
  ClassName className;

  // clang-tidy 14 takes the defaulted comparison's 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClassLabels&) const = default;
  std::array<Label, 2> Pairs() const
  {
    return { Label{ "service", this->service.Value() },
             Label{ "class", this->className.Value() } };
  }
};

/// Why tokens that an engine made were of no use to a caller.
enum class WasteCause : std::uint8_t
{
  CallerGone,
  DeadlineExceeded,
  Preempted,
  Retried,
  Truncated,
  Failed,
};

inline constexpr int kWasteCauseCount =
  static_cast<int>(WasteCause::Failed) + 1;

/// Stable snake_case name, e.g. "caller_gone".
std::string_view
WasteCauseName(WasteCause aCause);

/// What is measured of one class of one service.
struct ClassMetrics
{
  LatencyHistogram firstToken;
  /// What the choice of a server expected it to take, for those that had one.
  LatencyHistogram expectedFirstToken;
  LatencyHistogram betweenTokens;
  LatencyHistogram total;
  LatencyHistogram queueWait;

  /// Ended well; failed ones are under failed, by code.
  std::uint64_t succeeded = 0;
  std::array<std::uint64_t, kErrorCodeCount> failed{};
  std::uint64_t notRun = 0;
  std::uint64_t mayHaveRun = 0;
  /// Requests that met their class's target, or did not.
  std::uint64_t attained = 0;
  std::uint64_t missed = 0;
  /// Tokens of answers that came whole and in time.
  std::uint64_t goodputTokens = 0;
  std::array<std::uint64_t, kWasteCauseCount> wastedTokens{};
  std::uint64_t sheds = 0;
  std::uint64_t evictions = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t cancels = 0;
  std::uint64_t preemptions = 0;

  void CountFailure(const RequestError& aError);
  void CountWaste(WasteCause aCause, std::uint64_t aTokens);
  std::uint64_t FailedCount() const;
  /// The share of requests that met their target; nothing before the first.
  std::optional<double> Attainment() const;
};

/// The metrics of every class that this process serves.
///
/// Bounded: classes come from the configuration, and a process that sees more
/// than the bound counts the rest together as class "other".
class ClassMetricsTable final : public MetricsSource
{
public:
  static constexpr std::size_t kDefaultMaxClasses = 256;

  explicit ClassMetricsTable(std::size_t aMaxClasses = kDefaultMaxClasses);

  /// Stays valid as long as the table.
  ClassMetrics& Of(const ClassLabels& aLabels);
  const std::map<ClassLabels, std::unique_ptr<ClassMetrics>>& All() const
  {
    return this->classes;
  }

  void WriteMetrics(PrometheusWriter& aWriter) const override;

private:
  std::size_t maxClasses;
  std::map<ClassLabels, std::unique_ptr<ClassMetrics>> classes;
};

} // namespace dogwoodvale

#endif
