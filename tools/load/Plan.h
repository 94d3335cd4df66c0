#ifndef DOGWOODVALE_TOOLS_LOAD_PLAN_H
#define DOGWOODVALE_TOOLS_LOAD_PLAN_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale::load {

/// What a class of calls asks for.
enum class Kind : std::uint8_t
{
  Chat,
  Completion,
  /// A plain HTTP call to a service that is no model.
  Plain,
};

/// "chat", "completion" or "plain".
std::string_view
KindName(Kind aKind);

/// Nothing if \p aName names no kind.
std::optional<Kind>
ParseKind(std::string_view aName);

/// A log-normal length in tokens, cut off at \c max.
struct LengthDistribution
{
  double median = 1;
  /// Standard deviation of the logarithm; 0 gives the median always.
  double sigma = 0;
  int max = 1;
};

/// A call meets its target when it is complete and within each bound given.
struct LatencyTarget
{
  std::optional<double> firstTokenMs;
  /// Bounds the mean gap between the tokens of one answer.
  std::optional<double> betweenTokensMs;
  std::optional<double> totalMs;
};

/// Callers that leave before their answer is whole.
struct Abandonment
{
  double share = 0;
  double afterMs = 0;
};

/// Callers that come again after a refusal that told them `not_run`.
struct RetryPlan
{
  int maxRetries = 0;
};

/// One customer: its key and its part of each class's calls.
struct CustomerPlan
{
  std::string name;
  std::string apiKey;
  double share = 1;
};

/// One class of calls.
struct ClassPlan
{
  std::string name;
  std::optional<int> tier;
  Kind kind = Kind::Chat;
  /// Calls a second before phases and the tool's rate scale.
  double rate = 0;
  std::string method = "POST";
  std::string path;
  std::string model;
  bool stream = false;
  bool idempotent = true;
  /// Share of the calls that carry an Idempotency-Key.
  double keyed = 0;
  LengthDistribution outputTokens;
  LengthDistribution promptTokens;
  /// How many different openings the prompts share; 0 for none.
  int prefixes = 0;
  int prefixTokens = 0;
  LatencyTarget target;
  Abandonment abandon;
  RetryPlan retry;
  /// Indices into LoadPlan::customers.
  std::vector<std::size_t> customers;
};

/// Multiplies the rate of one class for a while.
struct Phase
{
  double fromSeconds = 0;
  double toSeconds = 0;
  /// Index into LoadPlan::classes.
  std::size_t classIndex = 0;
  double factor = 1;
};

/// A whole load, as read from a plan file.
struct LoadPlan
{
  std::vector<CustomerPlan> customers;
  std::vector<ClassPlan> classes;
  std::vector<Phase> phases;

  /// Calls a second of class \p aClass at \p aSeconds from the start.
  double RateAt(std::size_t aClass, double aSeconds) const;

  /// The next moment after \p aSeconds at which a phase of \p aClass begins
  /// or ends; infinity if none does.
  double NextChange(std::size_t aClass, double aSeconds) const;
};

/// Reads a plan: JSON with comments. All that is wrong is told at once, with
/// its place in \p aFile.
absl::StatusOr<LoadPlan>
ParsePlan(std::string_view aFile, std::string_view aText);

/// Reads the file \p aFile and parses it.
absl::StatusOr<LoadPlan>
ReadPlan(const std::string& aFile);

} // namespace dogwoodvale::load

#endif
