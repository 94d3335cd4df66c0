#include "tools/load/TierOrder.h"

#include <algorithm>
#include <array>
#include <limits>

namespace dogwoodvale::load {

namespace {

/// One call of a service, with what the records tell of it.
struct Placed
{
  std::size_t call = 0;
  int tier = 0;
  double sentMs = 0;
  double endedMs = 0;
  /// Infinite if it never started.
  double startedMs = std::numeric_limits<double>::infinity();
  std::string_view server;

  /// Until when it may have stood in a queue.
  double LeftQueueMs() const
  {
    return std::min(this->startedMs, this->endedMs);
  }
};

bool
IsShed(const Call& aCall)
{
  return aCall.ending == Ending::Error &&
         (aCall.code == CodeName(ErrorCode::QueueFull) ||
          aCall.code == CodeName(ErrorCode::Evicted));
}

/// Judges the calls of one service.
class ServiceJudge
{
public:
  ServiceJudge(const HistoryIndex& aIndex,
               const Rules& aRules,
               std::size_t aService)
    : index(aIndex)
    , rules(aRules)
    , servers(aIndex.ServersOf(aService))
  {
    for (std::size_t at = 0; at < aIndex.Calls().size(); ++at) {
      const Call& call = aIndex.Calls()[at];
      if (aIndex.ServiceOf(call.className) == aService) {
        this->Place(at, call);
      }
    }
    std::sort(this->placed.begin(),
              this->placed.end(),
              [](const Placed& aLeft, const Placed& aRight) {
                return aLeft.sentMs < aRight.sentMs;
              });
  }

  void Judge(std::vector<Violation>& aTo) const
  {
    for (const Placed& each : this->placed) {
      if (IsShed(this->index.Calls()[each.call])) {
        this->JudgeOnlyLowerWaited(each, aTo);
        this->JudgeOvertaken(each, aTo);
      }
    }
  }

private:
  void Place(std::size_t aAt, const Call& aCall)
  {
    const auto known = this->rules.tiers.find(aCall.className);
    if (known == this->rules.tiers.end() && !aCall.tier) {
      return;
    }
    Placed made;
    made.call = aAt;
    made.tier = known != this->rules.tiers.end() ? known->second : *aCall.tier;
    made.sentMs = aCall.sentMs;
    made.endedMs = aCall.endedMs;
    for (const std::size_t execution : this->index.ExecutionsOf(aCall.nonce)) {
      const Execution& run = this->index.Executions()[execution];
      if (run.startedMs < made.startedMs) {
        made.startedMs = run.startedMs;
        made.server = run.server;
      }
    }
    this->placed.push_back(made);
  }

  void JudgeOnlyLowerWaited(const Placed& aShed,
                            std::vector<Violation>& aTo) const
  {
    const double guard = this->rules.guardMs;
    const Placed* witness = nullptr;
    for (const Placed& other : this->placed) {
      if (other.sentMs > aShed.endedMs + guard) {
        break;
      }
      if (other.call == aShed.call) {
        continue;
      }
      const bool mayHaveWaited = other.LeftQueueMs() >= aShed.sentMs - guard;
      if (other.tier <= aShed.tier && mayHaveWaited) {
        return;
      }
      const bool surelyWaited =
        other.sentMs < aShed.sentMs - guard &&
        other.startedMs > aShed.endedMs + guard &&
        other.startedMs < std::numeric_limits<double>::infinity();
      const bool isKeyed = !this->index.Calls()[other.call].key.empty();
      if (other.tier > aShed.tier && surelyWaited && !isKeyed) {
        witness = &other;
      }
    }
    if (witness != nullptr) {
      this->Report(aShed,
                   { witness },
                   "was shed while only lower tiers waited, one of which was "
                   "started later",
                   aTo);
    }
  }

  void JudgeOvertaken(const Placed& aShed, std::vector<Violation>& aTo) const
  {
    const double guard = this->rules.guardMs;
    std::map<std::string_view, const Placed*> overtakers;
    // A keyed request may have been held by its claim, not by a queue.
    if (!this->index.Calls()[aShed.call].key.empty()) {
      return;
    }
    for (const Placed& other : this->placed) {
      if (other.sentMs > aShed.endedMs) {
        break;
      }
      const bool startedWhileHeld = other.startedMs > aShed.sentMs + guard &&
                                    other.startedMs < aShed.endedMs - guard;
      const bool isAged =
        other.startedMs - other.sentMs >= this->rules.agedWaitMs;
      if (other.tier > aShed.tier && startedWhileHeld && !isAged) {
        overtakers.emplace(other.server, &other);
      }
    }
    if (this->servers.empty() || overtakers.size() < this->servers.size()) {
      return;
    }
    std::vector<const Placed*> witnesses;
    witnesses.reserve(overtakers.size());
    for (const auto& [server, witness] : overtakers) {
      witnesses.push_back(witness);
    }
    this->Report(aShed,
                 witnesses,
                 "was held and then shed, while each server of its service "
                 "started a lower-tier request",
                 aTo);
  }

  void Report(const Placed& aShed,
              const std::vector<const Placed*>& aWitnesses,
              std::string_view aWhat,
              std::vector<Violation>& aTo) const
  {
    const Call& call = this->index.Calls()[aShed.call];
    Violation found;
    found.promise = Promise::TierOrder;
    found.message = fmt::format("{} of class {} (tier {}) {}",
                                call.nonce,
                                call.className,
                                aShed.tier,
                                aWhat);
    found.calls.push_back(aShed.call);
    for (const Placed* witness : aWitnesses) {
      found.calls.push_back(witness->call);
      const auto ran =
        this->index.ExecutionsOf(this->index.Calls()[witness->call].nonce);
      found.executions.insert(found.executions.end(), ran.begin(), ran.end());
    }
    aTo.push_back(std::move(found));
  }

  const HistoryIndex& index;
  const Rules& rules;
  std::vector<std::string_view> servers;
  std::vector<Placed> placed;
};

} // namespace

std::vector<Violation>
CheckTierOrder(const HistoryIndex& aIndex, const Rules& aRules)
{
  std::vector<std::size_t> services;
  for (const Call& call : aIndex.Calls()) {
    const std::optional<std::size_t> service = aIndex.ServiceOf(call.className);
    if (service && std::find(services.begin(), services.end(), *service) ==
                     services.end()) {
      services.push_back(*service);
    }
  }
  std::vector<Violation> found;
  for (const std::size_t service : services) {
    ServiceJudge(aIndex, aRules, service).Judge(found);
  }
  return found;
}

} // namespace dogwoodvale::load
