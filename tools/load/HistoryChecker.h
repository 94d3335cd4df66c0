#ifndef DOGWOODVALE_TOOLS_LOAD_HISTORYCHECKER_H
#define DOGWOODVALE_TOOLS_LOAD_HISTORYCHECKER_H

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tools/load/Call.h"
#include "tools/load/Execution.h"

namespace dogwoodvale::load {

/// What the product promises its callers and operators.
enum class Promise : std::uint8_t
{
  /// Each caller gets its own whole answer, or exactly one other end.
  OwnWholeAnswer,
  /// What was said not to have run has not run.
  NotRunIsTrue,
  /// Non-idempotent work runs at most once.
  AtMostOnce,
  /// No class waits longer than its bound.
  NoStarvation,
  /// A planned stop cuts nothing off.
  PlannedStop,
  /// A leaving backend server gets no new work after the grace time.
  LeavingServer,
  /// A higher tier is not shed for a lower one.
  TierOrder,
};

inline constexpr int kPromiseCount = static_cast<int>(Promise::TierOrder) + 1;

/// A sentence's worth of name, e.g. "not-run is true".
std::string_view
PromiseName(Promise aPromise);

/// What to hold a history to, beyond what always holds.
struct Rules
{
  /// No cut connection and no `may_have_run`: nothing failed in this run, so
  /// a planned stop has no excuse.
  bool noCuts = false;
  /// Per class, the longest wait to the first token in milliseconds.
  std::map<std::string, double> waitBoundMs;
  /// Per backend server, when it was told to leave.
  std::map<std::string, double> leftMs;
  /// How long after that new work may still come.
  double leaveGraceMs = 3000;
  /// Per class, where the history doesn't tell the tier.
  std::map<std::string, int> tiers;
  /// How far two processes' readings of one event may lie apart.
  double guardMs = 50;
  /// A lower-tier request that waited longer than this may have been served
  /// by its class's right not to starve, so it is no witness.
  double agedWaitMs = 1000;
};

/// One broken promise and what shows it.
struct Violation
{
  Promise promise = Promise::OwnWholeAnswer;
  std::string message;
  /// Indices into the calls.
  std::vector<std::size_t> calls;
  /// Indices into the executions.
  std::vector<std::size_t> executions;
};

/// Checks callers' history against backend servers' records.
///
/// Tier order is judged by two patterns that no server which serves its queue
/// strictly by tier can show, whichever server refused the request H (the
/// history doesn't tell). Classes whose requests ran on a common server are
/// taken to share a service. H is a request refused with `queue_full` or
/// `evicted`; all times are read \c Rules::guardMs to H's favour or against.
///
/// - *Shed with only lower tiers waiting*: when H was refused, no other
///   request of its tier or a higher one waited anywhere in the service, but
///   one of a lower tier did, and was started later. A full queue that holds
///   nothing of H's tier must evict lower ones instead; a class's own bound
///   can't be the cause, since nothing of the class waited.
/// - *Overtaken while held*: H was held for a time, and within it every
///   server of the service started a lower-tier request that had waited less
///   than \c Rules::agedWaitMs. One of them held H.
///
/// A request with an Idempotency-Key may wait for its claim outside of any
/// queue: it is no witness of the first and no H of the second.
///
/// \note A request refused because its own class's queue was full is no
/// violation, even while lower tiers run elsewhere: it was shed for its own
/// kind.
std::vector<Violation>
Check(std::span<const Call> aCalls,
      std::span<const Execution> aExecutions,
      const Rules& aRules);

} // namespace dogwoodvale::load

#endif
