#ifndef DOGWOODVALE_TOOLS_LOAD_REPORT_H
#define DOGWOODVALE_TOOLS_LOAD_REPORT_H

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <json/json.h>

#include "tools/load/Call.h"
#include "tools/load/Execution.h"
#include "tools/load/Plan.h"

namespace dogwoodvale::load {

/// Quantiles of one measure, exact; all 0 where nothing was measured.
struct Quantiles
{
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// The quantiles of \p aValues by nearest rank.
Quantiles
QuantilesOf(std::vector<double> aValues);

/// Calls that were made in one second of the load.
struct SecondOfLoad
{
  int calls = 0;
  int attained = 0;
  double firstTokenP95Ms = 0;
};

/// One class, or all. A caller's retries are one call, timed from its first
/// attempt.
struct ClassReport
{
  std::string name;
  /// What callers wanted.
  int calls = 0;
  /// Requests that were sent, retries included.
  int requests = 0;
  int complete = 0;
  int abandoned = 0;
  /// Calls that met each bound of their class's target.
  int attained = 0;
  /// attained / (calls - abandoned); 1 if there were none.
  double attainment = 1;
  Quantiles firstTokenMs;
  /// Over the calls' mean gaps.
  Quantiles betweenTokensMs;
  Quantiles totalMs;
  /// To the first token, or to the end for a call that got none but wasn't
  /// refused.
  double longestWaitMs = 0;
  /// Requests that did not end well, by code or by ending.
  std::map<std::string, int> errors;
  /// Tokens a second of complete answers that ended within the duration.
  double goodputTokensPerSecond = 0;
  double completePerSecond = 0;
  /// Tokens that callers received in answers that did not become complete.
  long uselessTokens = 0;
  std::vector<SecondOfLoad> timeline;
};

/// What the engines spent, by their own records.
struct EngineWork
{
  int executions = 0;
  long generatedTokens = 0;
  /// Tokens of the complete answers.
  long usefulTokens = 0;
  /// 1 - useful / generated, not below 0.
  double wastedShare = 0;
};

struct Report
{
  std::vector<ClassReport> classes;
  ClassReport overall;
  std::optional<EngineWork> engines;
  double durationSeconds = 0;
  /// \sa LoadRun::LongestLagMs, LoadRun::MostOpenCalls
  double longestLagMs = 0;
  std::size_t mostOpenCalls = 0;
};

/// Sums up the calls of a run of \p aDurationSeconds that began at
/// \p aStartMs.
Report
MakeReport(const LoadPlan& aPlan,
           std::span<const Call> aCalls,
           double aStartMs,
           double aDurationSeconds);

/// Compares what engines generated for these calls with what was of use;
/// executions of other runs are left out.
EngineWork
CompareWork(std::span<const Call> aCalls,
            std::span<const Execution> aExecutions);

/// A table for people.
std::string
RenderText(const Report& aReport);

Json::Value
RenderJson(const Report& aReport);

} // namespace dogwoodvale::load

#endif
