#include "tools/load/Report.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <unordered_set>

namespace dogwoodvale::load {

namespace {

/// A caller's wish: its first attempt and its last.
struct Wish
{
  const Call* first = nullptr;
  const Call* last = nullptr;
};

double
Quantile(std::span<const double> aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const double count = static_cast<double>(aSorted.size());
  const auto rank = static_cast<std::size_t>(std::ceil(count * aShare));
  return aSorted[std::clamp<std::size_t>(rank, 1, aSorted.size()) - 1];
}

bool
IsWithin(const std::optional<double>& aBound, std::optional<double> aValue)
{
  return !aBound || !aValue || *aValue <= *aBound;
}

bool
Attains(const Wish& aWish, const LatencyTarget& aTarget)
{
  const Call& last = *aWish.last;
  if (last.ending != Ending::Complete) {
    return false;
  }
  const double from = aWish.first->sentMs;
  return IsWithin(aTarget.firstTokenMs, *last.firstTokenMs - from) &&
         IsWithin(aTarget.betweenTokensMs, MeanGapMs(last)) &&
         IsWithin(aTarget.totalMs, last.endedMs - from);
}

std::string
ErrorName(const Call& aCall)
{
  if (aCall.ending != Ending::Error) {
    return std::string(EndingName(aCall.ending));
  }
  return aCall.code.empty() ? fmt::format("status_{}", aCall.status)
                            : aCall.code;
}

/// Gathers one class's figures; Finish works out the rest.
class Gatherer
{
public:
  Gatherer(std::string aName, double aStartMs, double aDurationSeconds)
    : startMs(aStartMs)
    , durationSeconds(aDurationSeconds)
  {
    this->report.name = std::move(aName);
    const auto count =
      static_cast<std::size_t>(std::ceil(std::max(aDurationSeconds, 0.0)));
    this->report.timeline.resize(count);
    this->firstTokensBySecond.resize(count);
  }

  void AddRequest(const Call& aCall)
  {
    ++this->report.requests;
    if (aCall.ending == Ending::Complete) {
      return;
    }
    this->report.uselessTokens += aCall.tokens;
    if (aCall.ending != Ending::Abandoned) {
      ++this->report.errors[ErrorName(aCall)];
    }
  }

  void AddWish(const Wish& aWish, const LatencyTarget& aTarget)
  {
    const Call& last = *aWish.last;
    const double from = aWish.first->sentMs;
    const bool attains = Attains(aWish, aTarget);
    ++this->report.calls;
    this->report.attained += attains ? 1 : 0;
    this->report.abandoned += last.ending == Ending::Abandoned ? 1 : 0;
    this->AddWait(last, from);
    if (last.ending == Ending::Complete) {
      this->AddComplete(last, from);
    }
    this->AddToTimeline(last, from, attains);
  }

  ClassReport Finish()
  {
    const int counted = this->report.calls - this->report.abandoned;
    if (counted > 0) {
      this->report.attainment = double(this->report.attained) / counted;
    }
    this->report.firstTokenMs = QuantilesOf(this->firstTokens);
    this->report.betweenTokensMs = QuantilesOf(this->gaps);
    this->report.totalMs = QuantilesOf(this->totals);
    if (this->durationSeconds > 0) {
      this->report.goodputTokensPerSecond =
        static_cast<double>(this->goodTokens) / this->durationSeconds;
      this->report.completePerSecond =
        this->completeInTime / this->durationSeconds;
    }
    for (std::size_t at = 0; at < this->report.timeline.size(); ++at) {
      this->report.timeline[at].firstTokenP95Ms =
        QuantilesOf(this->firstTokensBySecond[at]).p95;
    }
    return std::move(this->report);
  }

private:
  void AddWait(const Call& aCall, double aFrom)
  {
    if (aCall.firstTokenMs) {
      const double wait = *aCall.firstTokenMs - aFrom;
      this->firstTokens.push_back(wait);
      this->report.longestWaitMs = std::max(this->report.longestWaitMs, wait);
    } else if (aCall.ending != Ending::Error) {
      this->report.longestWaitMs =
        std::max(this->report.longestWaitMs, aCall.endedMs - aFrom);
    }
  }

  void AddComplete(const Call& aCall, double aFrom)
  {
    ++this->report.complete;
    this->totals.push_back(aCall.endedMs - aFrom);
    if (const std::optional<double> gap = MeanGapMs(aCall)) {
      this->gaps.push_back(*gap);
    }
    if (aCall.endedMs <= this->startMs + this->durationSeconds * 1000) {
      this->goodTokens += aCall.tokens;
      ++this->completeInTime;
    }
  }

  void AddToTimeline(const Call& aCall, double aFrom, bool aAttains)
  {
    const double second = (aFrom - this->startMs) / 1000;
    if (second < 0 || second >= double(this->report.timeline.size())) {
      return;
    }
    const auto at = static_cast<std::size_t>(second);
    if (aCall.ending != Ending::Abandoned) {
      ++this->report.timeline[at].calls;
      this->report.timeline[at].attained += aAttains ? 1 : 0;
    }
    if (aCall.firstTokenMs) {
      this->firstTokensBySecond[at].push_back(*aCall.firstTokenMs - aFrom);
    }
  }

  double startMs;
  double durationSeconds;
  ClassReport report;
  std::vector<double> firstTokens;
  std::vector<double> gaps;
  std::vector<double> totals;
  std::vector<std::vector<double>> firstTokensBySecond;
  long goodTokens = 0;
  int completeInTime = 0;
};

Json::Value
ToJson(const Quantiles& aQuantiles)
{
  Json::Value made(Json::objectValue);
  made["p50"] = aQuantiles.p50;
  made["p95"] = aQuantiles.p95;
  made["p99"] = aQuantiles.p99;
  return made;
}

Json::Value
ToJson(const ClassReport& aClass)
{
  Json::Value made(Json::objectValue);
  made["name"] = aClass.name;
  made["calls"] = aClass.calls;
  made["requests"] = aClass.requests;
  made["complete"] = aClass.complete;
  made["abandoned"] = aClass.abandoned;
  made["attained"] = aClass.attained;
  made["attainment"] = aClass.attainment;
  made["first_token_ms"] = ToJson(aClass.firstTokenMs);
  made["between_tokens_ms"] = ToJson(aClass.betweenTokensMs);
  made["total_ms"] = ToJson(aClass.totalMs);
  made["longest_wait_ms"] = aClass.longestWaitMs;
  made["errors"] = Json::Value(Json::objectValue);
  for (const auto& [code, count] : aClass.errors) {
    made["errors"][code] = count;
  }
  made["goodput_tokens_per_s"] = aClass.goodputTokensPerSecond;
  made["complete_per_s"] = aClass.completePerSecond;
  made["useless_tokens"] = Json::Int64(aClass.uselessTokens);
  made["timeline"] = Json::Value(Json::arrayValue);
  for (const SecondOfLoad& second : aClass.timeline) {
    Json::Value entry(Json::objectValue);
    entry["calls"] = second.calls;
    entry["attained"] = second.attained;
    entry["first_token_p95_ms"] = second.firstTokenP95Ms;
    made["timeline"].append(entry);
  }
  return made;
}

std::string
RenderRow(const ClassReport& aClass)
{
  return fmt::format("{:<16} {:>6} {:>6} {:>7.2f}% {:>7.0f} {:>7.0f} {:>7.0f} "
                     "{:>7.1f} {:>8.0f} {:>8.0f} {:>8.0f} {:>8.0f} {:>7}\n",
                     aClass.name,
                     aClass.calls,
                     aClass.complete,
                     aClass.attainment * 100,
                     aClass.firstTokenMs.p50,
                     aClass.firstTokenMs.p95,
                     aClass.firstTokenMs.p99,
                     aClass.betweenTokensMs.p95,
                     aClass.totalMs.p50,
                     aClass.totalMs.p99,
                     aClass.longestWaitMs,
                     aClass.goodputTokensPerSecond,
                     aClass.uselessTokens);
}

std::string
RenderErrors(const ClassReport& aClass)
{
  if (aClass.errors.empty()) {
    return {};
  }
  std::string line = fmt::format("  {}:", aClass.name);
  for (const auto& [code, count] : aClass.errors) {
    line += fmt::format(" {}={}", code, count);
  }
  return line + "\n";
}

} // namespace

Quantiles
QuantilesOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return { Quantile(aValues, 0.5),
           Quantile(aValues, 0.95),
           Quantile(aValues, 0.99) };
}

Report
MakeReport(const LoadPlan& aPlan,
           std::span<const Call> aCalls,
           double aStartMs,
           double aDurationSeconds)
{
  std::unordered_map<std::string_view, std::size_t> indexOf;
  std::vector<Gatherer> gatherers;
  for (const ClassPlan& each : aPlan.classes) {
    indexOf[each.name] = gatherers.size();
    gatherers.emplace_back(each.name, aStartMs, aDurationSeconds);
  }
  Gatherer all("all", aStartMs, aDurationSeconds);
  std::unordered_map<std::string_view, Wish> wishes;
  for (const Call& call : aCalls) {
    gatherers[indexOf.at(call.className)].AddRequest(call);
    all.AddRequest(call);
    Wish& wish = wishes[call.call];
    if (wish.first == nullptr || call.attempt < wish.first->attempt) {
      wish.first = &call;
    }
    if (wish.last == nullptr || call.attempt > wish.last->attempt) {
      wish.last = &call;
    }
  }
  for (const auto& [name, wish] : wishes) {
    const std::size_t index = indexOf.at(wish.first->className);
    gatherers[index].AddWish(wish, aPlan.classes[index].target);
    all.AddWish(wish, aPlan.classes[index].target);
  }
  Report report;
  report.durationSeconds = aDurationSeconds;
  for (Gatherer& each : gatherers) {
    report.classes.push_back(each.Finish());
  }
  report.overall = all.Finish();
  return report;
}

EngineWork
CompareWork(std::span<const Call> aCalls,
            std::span<const Execution> aExecutions)
{
  EngineWork work;
  std::unordered_set<std::string_view> nonces;
  for (const Call& call : aCalls) {
    nonces.insert(call.nonce);
    if (call.ending == Ending::Complete) {
      work.usefulTokens += call.tokens;
    }
  }
  for (const Execution& execution : aExecutions) {
    if (nonces.contains(execution.nonce)) {
      ++work.executions;
      work.generatedTokens += execution.tokens;
    }
  }
  if (work.generatedTokens > 0) {
    work.wastedShare = std::max(
      0.0, 1 - double(work.usefulTokens) / double(work.generatedTokens));
  }
  return work;
}

std::string
RenderText(const Report& aReport)
{
  std::string text =
    fmt::format("{:<16} {:>6} {:>6} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} "
                "{:>8} {:>8} {:>7}\n",
                "class",
                "calls",
                "whole",
                "attained",
                "ft p50",
                "ft p95",
                "ft p99",
                "gap p95",
                "tot p50",
                "tot p99",
                "max wait",
                "tokens/s",
                "useless");
  std::string errors;
  for (const ClassReport& each : aReport.classes) {
    text += RenderRow(each);
    errors += RenderErrors(each);
  }
  text += RenderRow(aReport.overall);
  text += "times in ms; ft: to the first token; tokens/s: of whole answers\n";
  if (!errors.empty()) {
    text += "requests that ended otherwise:\n" + errors;
  }
  if (aReport.engines) {
    text += fmt::format("engines: {} executions, {} tokens generated, {} of "
                        "use, {:.2f}% wasted\n",
                        aReport.engines->executions,
                        aReport.engines->generatedTokens,
                        aReport.engines->usefulTokens,
                        aReport.engines->wastedShare * 100);
  }
  text +=
    fmt::format("load tool: {} calls open at most; the latest left {:.1f} "
                "ms after its time\n",
                aReport.mostOpenCalls,
                aReport.longestLagMs);
  return text;
}

Json::Value
RenderJson(const Report& aReport)
{
  Json::Value made(Json::objectValue);
  made["duration_s"] = aReport.durationSeconds;
  made["longest_lag_ms"] = aReport.longestLagMs;
  made["most_open_calls"] = Json::UInt64(aReport.mostOpenCalls);
  made["classes"] = Json::Value(Json::arrayValue);
  for (const ClassReport& each : aReport.classes) {
    made["classes"].append(ToJson(each));
  }
  made["overall"] = ToJson(aReport.overall);
  if (aReport.engines) {
    Json::Value& engines = made["engines"] = Json::Value(Json::objectValue);
    engines["executions"] = aReport.engines->executions;
    engines["generated_tokens"] = Json::Int64(aReport.engines->generatedTokens);
    engines["useful_tokens"] = Json::Int64(aReport.engines->usefulTokens);
    engines["wasted_share"] = aReport.engines->wastedShare;
  }
  return made;
}

} // namespace dogwoodvale::load
