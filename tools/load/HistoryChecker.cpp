#include "tools/load/HistoryChecker.h"

#include <algorithm>
#include <array>

#include "tools/load/HistoryIndex.h"
#include "tools/load/TierOrder.h"

namespace dogwoodvale::load {

namespace {

constexpr std::array<std::string_view, kPromiseCount> kPromiseNames = {
  "own whole answer", "not-run is true", "at most once", "no starvation",
  "planned stop",     "leaving server",  "tier order",
};

std::vector<std::size_t>
Copy(std::span<const std::size_t> aIndices)
{
  return { aIndices.begin(), aIndices.end() };
}

/// What is wrong with a call's own line; empty if nothing.
std::string
AnswerFault(const Call& aCall)
{
  switch (aCall.ending) {
    case Ending::Crossed:
    case Ending::Duplicated:
    case Ending::Truncated:
      return fmt::format(
        "got a {} answer: {}", EndingName(aCall.ending), aCall.detail);
    case Ending::Unanswered:
      return "got no end at all";
    case Ending::Complete:
      if (aCall.tokens != aCall.expectedTokens) {
        return fmt::format("got {} tokens of {} as a complete answer",
                           aCall.tokens,
                           aCall.expectedTokens);
      }
      return {};
    case Ending::Error:
    case Ending::Abandoned:
    case Ending::Cut:
      return {};
  }
  return {};
}

class Checker
{
public:
  Checker(const HistoryIndex& aIndex, const Rules& aRules)
    : index(aIndex)
    , rules(aRules)
  {
  }

  std::vector<Violation> Run()
  {
    for (std::size_t at = 0; at < this->index.Calls().size(); ++at) {
      const Call& call = this->index.Calls()[at];
      this->CheckAnswer(at, call);
      this->CheckNotRun(at, call);
      this->CheckOneExecution(at, call);
      this->CheckWait(at, call);
      this->CheckCuts(at, call);
    }
    this->CheckKeys();
    this->CheckLeaving();
    std::vector<Violation> tiers = CheckTierOrder(this->index, this->rules);
    std::move(tiers.begin(), tiers.end(), std::back_inserter(this->found));
    return std::move(this->found);
  }

private:
  void Add(Promise aPromise,
           std::string aMessage,
           std::vector<std::size_t> aCalls,
           std::vector<std::size_t> aExecutions = {})
  {
    this->found.push_back({ aPromise,
                            std::move(aMessage),
                            std::move(aCalls),
                            std::move(aExecutions) });
  }

  void CheckAnswer(std::size_t aAt, const Call& aCall)
  {
    const std::string fault = AnswerFault(aCall);
    if (!fault.empty()) {
      this->Add(Promise::OwnWholeAnswer,
                fmt::format("{} {}", aCall.nonce, fault),
                { aAt },
                Copy(this->index.ExecutionsOf(aCall.nonce)));
    }
    const std::span<const std::size_t> same = this->index.CallsOf(aCall.nonce);
    if (same.size() > 1 && same.front() == aAt) {
      this->Add(Promise::OwnWholeAnswer,
                fmt::format("{} ended {} times", aCall.nonce, same.size()),
                Copy(same));
    }
  }

  void CheckNotRun(std::size_t aAt, const Call& aCall)
  {
    if (aCall.disposition != Disposition::NotRun) {
      return;
    }
    const std::span<const std::size_t> ran =
      this->index.ExecutionsOf(aCall.nonce);
    if (!ran.empty() || aCall.tokens > 0) {
      this->Add(Promise::NotRunIsTrue,
                fmt::format("{} was told not_run but ran {} times, and {} of "
                            "its tokens came",
                            aCall.nonce,
                            ran.size(),
                            aCall.tokens),
                { aAt },
                Copy(ran));
    }
  }

  void CheckOneExecution(std::size_t aAt, const Call& aCall)
  {
    const std::span<const std::size_t> ran =
      this->index.ExecutionsOf(aCall.nonce);
    if (!aCall.idempotent && ran.size() > 1) {
      this->Add(Promise::AtMostOnce,
                fmt::format("{} is not idempotent but ran {} times",
                            aCall.nonce,
                            ran.size()),
                { aAt },
                Copy(ran));
    }
  }

  void CheckKeys()
  {
    std::map<std::string_view, std::vector<std::size_t>> callsOfKey;
    for (std::size_t at = 0; at < this->index.Calls().size(); ++at) {
      const Call& call = this->index.Calls()[at];
      if (!call.idempotent && !call.key.empty()) {
        callsOfKey[call.key].push_back(at);
      }
    }
    for (const auto& [key, calls] : callsOfKey) {
      const std::vector<std::size_t> ran = this->ExecutionsOfKey(key, calls);
      // More than once for one nonce was reported with that call.
      if (ran.size() > 1 && calls.size() > 1) {
        this->Add(Promise::AtMostOnce,
                  fmt::format("key {} ran {} times", key, ran.size()),
                  calls,
                  ran);
      }
    }
  }

  std::vector<std::size_t> ExecutionsOfKey(
    std::string_view aKey,
    const std::vector<std::size_t>& aCalls) const
  {
    std::vector<std::size_t> ran;
    for (const std::size_t call : aCalls) {
      const auto of = this->index.ExecutionsOf(this->index.Calls()[call].nonce);
      ran.insert(ran.end(), of.begin(), of.end());
    }
    for (std::size_t at = 0; at < this->index.Executions().size(); ++at) {
      if (this->index.Executions()[at].key == aKey) {
        ran.push_back(at);
      }
    }
    std::sort(ran.begin(), ran.end());
    ran.erase(std::unique(ran.begin(), ran.end()), ran.end());
    return ran;
  }

  void CheckWait(std::size_t aAt, const Call& aCall)
  {
    const auto bound = this->rules.waitBoundMs.find(aCall.className);
    const bool gotNothing =
      !aCall.firstTokenMs && aCall.ending == Ending::Error;
    if (bound == this->rules.waitBoundMs.end() || gotNothing) {
      return;
    }
    const double wait =
      aCall.firstTokenMs.value_or(aCall.endedMs) - aCall.sentMs;
    if (wait > bound->second) {
      this->Add(Promise::NoStarvation,
                fmt::format("{} of class {} waited {:.0f} ms, bound {:.0f}",
                            aCall.nonce,
                            aCall.className,
                            wait,
                            bound->second),
                { aAt },
                Copy(this->index.ExecutionsOf(aCall.nonce)));
    }
  }

  void CheckCuts(std::size_t aAt, const Call& aCall)
  {
    if (!this->rules.noCuts) {
      return;
    }
    const bool isUnsure = aCall.disposition == Disposition::MayHaveRun;
    if (aCall.ending == Ending::Cut || isUnsure) {
      this->Add(Promise::PlannedStop,
                fmt::format("{} {}",
                            aCall.nonce,
                            isUnsure ? "was told may_have_run"
                                     : "was cut off with no word"),
                { aAt },
                Copy(this->index.ExecutionsOf(aCall.nonce)));
    }
  }

  void CheckLeaving()
  {
    for (std::size_t at = 0; at < this->index.Executions().size(); ++at) {
      const Execution& execution = this->index.Executions()[at];
      const auto left = this->rules.leftMs.find(execution.server);
      if (left == this->rules.leftMs.end()) {
        continue;
      }
      const double late = execution.startedMs - left->second;
      if (late > this->rules.leaveGraceMs) {
        this->Add(Promise::LeavingServer,
                  fmt::format("{} started {} {:.0f} ms after it was to leave",
                              execution.server,
                              execution.nonce,
                              late),
                  Copy(this->index.CallsOf(execution.nonce)),
                  { at });
      }
    }
  }

  const HistoryIndex& index;
  const Rules& rules;
  std::vector<Violation> found;
};

} // namespace

std::string_view
PromiseName(Promise aPromise)
{
  return kPromiseNames.at(static_cast<std::size_t>(aPromise));
}

std::vector<Violation>
Check(std::span<const Call> aCalls,
      std::span<const Execution> aExecutions,
      const Rules& aRules)
{
  const HistoryIndex index(aCalls, aExecutions);
  return Checker(index, aRules).Run();
}

} // namespace dogwoodvale::load
