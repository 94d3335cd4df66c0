#ifndef DOGWOODVALE_QUARANTINE_CRASHLEDGER_H
#define DOGWOODVALE_QUARANTINE_CRASHLEDGER_H

#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "CrashEvidence.h"

namespace dogwoodvale {

/// Whether a request may be sent to backend servers.
enum class CrashStatus : std::uint8_t
{
  /// No evidence against it.
  Clear,
  /// It was in flight at a server that exited, or its quarantine has expired:
  /// only one of its duplicates runs at a time.
  Suspect,
  /// It is not sent to any server.
  Quarantined,
};

/// Quarantines a request or lifts its quarantine, at all gateways.
struct QuarantineVerdict
{
  Fingerprint request = 0;
  /// Number of quarantines of this request so far; the higher round overrides.
  std::uint32_t round = 0;
  /// The quarantine of this round is lifted: a server has answered the request.
  bool isLifted = false;
  /// Remaining time of the quarantine.
  Duration left{ 0 };

  bool operator==(const QuarantineVerdict&) const = default;
};

/// Evidence and verdicts that one gateway sends to the others.
struct CrashUpdate
{
  std::vector<CrashEvidence> evidence;
  std::vector<QuarantineVerdict> verdicts;

  bool IsEmpty() const
  {
    return this->evidence.empty() && this->verdicts.empty();
  }
};

/// Finds the request that crashes servers when several exit in succession.
///
/// Every request in flight at a server breaks off when the server exits, so an
/// exit is evidence against all of them. Only the request that caused it is in
/// flight again at the next exit, and it is never answered. A request is
/// quarantined when its score reaches kQuarantineScore, as after three exits
/// with nothing of its answer sent, and it leads at one of these exits: no
/// other request in flight there has as high a score. The exits are then
/// attributed to it and no longer count against others. An answer clears a
/// request.
///
/// Updates from other gateways may be merged in any order and any number of
/// times: of two weights for one exit the higher counts, except that
/// CrashWeight::None is final; of two verdicts the one of the later round
/// counts, within a round the lifted one.
class CrashLedger
{
public:
  enum class Source : std::uint8_t
  {
    Own,
    Peer,
  };

  explicit CrashLedger(Duration aQuarantine);

  /// Adds evidence that a request was in flight at a server that exited.
  /// \param aSource whether this gateway observed it or another reported it.
  void Take(const CrashEvidence& aEvidence, Source aSource, TimePoint aNow);
  /// Evaluates the evidence received at least kSettleTime ago; called every
  /// kEvaluationPeriod.
  /// \return requests that this call quarantines.
  std::vector<Fingerprint> Evaluate(TimePoint aNow);
  /// Applies another gateway's verdict.
  /// \return whether it overrides the one known here.
  bool Take(const QuarantineVerdict& aVerdict, TimePoint aNow);
  /// A server has answered the request.
  /// \return whether this lifts its quarantine.
  bool OnAnswered(Fingerprint aRequest, TimePoint aNow);

  CrashStatus StatusOf(Fingerprint aRequest, TimePoint aNow) const;
  /// Remaining time of its quarantine; zero if it is not quarantined.
  Duration QuarantineLeft(Fingerprint aRequest, TimePoint aNow) const;
  /// Whether more evidence may still arrive from other gateways, or the
  /// evidence would suffice for a quarantine but has not been evaluated yet. A
  /// request that crashes servers would crash another one each time it is sent
  /// in this state.
  bool IsUndecided(Fingerprint aRequest, TimePoint aNow) const;
  /// Sum of the CrashWeight values of the evidence against it.
  std::uint32_t ScoreOf(Fingerprint aRequest) const;
  /// Its current verdict, for storage that outlives this process; nothing if
  /// there is none.
  std::optional<QuarantineVerdict> VerdictOf(Fingerprint aRequest,
                                             TimePoint aNow) const;

  /// Update for the other gateways. Active quarantines are always included,
  /// since a gateway that was disconnected or has just started has missed them;
  /// everything else for kRepeatTime. Evidence from other gateways is forwarded
  /// only for requests with two exits or more: those with one exit are many,
  /// and every gateway nearby has received their evidence first-hand.
  CrashUpdate OutgoingUpdate(TimePoint aNow) const;
  /// Requests with a score above 0.
  std::vector<Fingerprint> Suspects() const;
  /// Drops evidence and verdicts older than kRetention.
  void Expire(TimePoint aNow);

  /// Number of requests with evidence, including evidence of no weight.
  std::size_t SuspectCount() const { return this->suspects.size(); }
  std::size_t QuarantinedCount(TimePoint aNow) const;

  /// Three exits of servers that had sent nothing of the answer.
  static constexpr std::uint32_t kQuarantineScore = 6;
  /// Sufficient without leading: two requests that are always in flight
  /// together never lead, and must not crash servers indefinitely.
  static constexpr std::uint32_t kCertainScore = 2 * kQuarantineScore;
  /// Exits kept per request; three to six decide.
  static constexpr std::size_t kMaxExits = 16;
  /// 2,048 suspects and 256 verdicts take under 1 MiB. The suspect with the
  /// lowest score, and of these the oldest, is evicted first, so that a flood
  /// of requests with one exit cannot evict one with two.
  static constexpr std::size_t kMaxSuspects = 2048;
  static constexpr std::size_t kMaxVerdicts = 256;
  /// Retention of evidence, and of a quarantine after it has expired: within
  /// this time one further crash quarantines the request again.
  static constexpr Duration kRetention = seconds(600);
  /// Each gateway that had a request at a server reports its exit. If only the
  /// first report were evaluated, an innocent request would seem to have been
  /// the only one in flight there. After this time the other reports have
  /// arrived: between thirty gateways three datagrams are sent within it.
  static constexpr Duration kSettleTime = milliseconds(500);
  /// Time in which reports arrive from other gateways that had duplicates of
  /// the request in flight.
  static constexpr Duration kPeerEvidenceDelay = milliseconds(200);
  static constexpr Duration kEvaluationPeriod = milliseconds(200);
  /// Time for which an entry is repeated, as datagrams may be lost: in thirty
  /// datagrams between four gateways, in nine between thirty.
  static constexpr Duration kRepeatTime = milliseconds(1500);
  /// Maximum evidence entries and maximum verdicts in one message, 3 KB
  /// together.
  static constexpr std::size_t kMaxUpdateEntries = 96;

private:
  struct ServerExit
  {
    ServerKey server = 0;
    CrashWeight weight = CrashWeight::None;
    Source source = Source::Own;
    TimePoint receivedAt{};
  };
  struct Suspect
  {
    std::vector<ServerExit> exits;
    TimePoint updatedAt{};
  };
  struct Verdict
  {
    std::uint32_t round = 0;
    bool isLifted = false;
    TimePoint endsAt{};
    TimePoint receivedAt{};
  };

  Suspect& SuspectOf(Fingerprint aRequest, TimePoint aNow);
  /// Evicts the suspect with the lowest score, of these the oldest.
  void EvictWeakest();
  /// Whether the server's exit is attributed to another request.
  bool IsAttributedToOther(ServerKey aServer, Fingerprint aRequest) const;
  /// Whether it has a verdict that is not lifted; the quarantine itself may
  /// have expired.
  bool HasUnliftedVerdict(Fingerprint aRequest) const;
  bool ShouldQuarantine(Fingerprint aRequest,
                        const Suspect& aSuspect,
                        TimePoint aNow) const;
  /// Whether there is an exit in \p aExits at which no other request in flight
  /// has as high a score.
  bool LeadsAtAnyExit(Fingerprint aRequest,
                      std::span<const ServerExit> aExits) const;
  void Quarantine(Fingerprint aRequest, TimePoint aNow);
  void SetVerdict(Fingerprint aRequest, const Verdict& aVerdict);
  /// Attributes the exits of the request to it; evidence against others at
  /// these exits loses its weight.
  void AttributeExits(Fingerprint aRequest);
  void DropAttributions(Fingerprint aRequest);
  /// Takes the weight from all evidence against the request.
  void ClearExits(Fingerprint aRequest, TimePoint aNow);

  /// Length of a quarantine.
  Duration quarantine;
  absl::flat_hash_map<Fingerprint, Suspect> suspects;
  absl::flat_hash_map<Fingerprint, Verdict> verdicts;
  /// The request that each exit is attributed to.
  absl::flat_hash_map<ServerKey, Fingerprint> attributedTo;
};

} // namespace dogwoodvale

#endif
