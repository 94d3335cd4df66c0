#ifndef DOGWOODVALE_QUARANTINE_CRASHLEDGER_H
#define DOGWOODVALE_QUARANTINE_CRASHLEDGER_H

#include <span>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "CrashEvidence.h"

namespace dogwoodvale {

/// Whether a request, or a request with a part, may be sent to backend servers.
enum class CrashStatus : std::uint8_t
{
  /// No evidence against it, or too little against a part.
  Clear,
  /// It was in flight at a server that exited (a part: at two), or its
  /// quarantine has expired: only one request with it runs at a time.
  Suspect,
  /// It is not sent to any server.
  Quarantined,
};

/// Quarantines a subject, a request or a part of prompts, or lifts its
/// quarantine, at all gateways.
struct QuarantineVerdict
{
  Fingerprint subject = 0;
  /// Number of quarantines of this subject so far; the higher round overrides.
  std::uint32_t round = 0;
  /// The quarantine of this round is lifted: the subject has got through.
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

/// Finds what crashes servers when several exit in succession: a request, or a
/// part of prompts that many requests share, no two of which need be alike.
///
/// Every request in flight at a server breaks off when the server exits, so an
/// exit is evidence against all of them and their parts. Only the subject that
/// caused it is in flight again at the next exit, and it never gets through. A
/// subject is quarantined when its score reaches kQuarantineScore, as after
/// three exits with nothing of its answer sent, and it leads at one of these
/// exits: no other subject in flight there has a higher score, or the same and
/// is as specific. The exits are then attributed to it and no longer count
/// against other requests.
///
/// An answer clears a request. A part is cleared by any request with it that
/// gets through, see OnPassed(): a part that many requests share is in flight
/// at most exits, while other requests with it get through elsewhere.
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

  /// Adds evidence that a subject was in flight at a server that exited.
  /// \param aSource whether this gateway observed it or another reported it.
  void Take(const CrashEvidence& aEvidence, Source aSource, TimePoint aNow);
  /// Evaluates the evidence received at least kSettleTime ago; called every
  /// kEvaluationPeriod.
  /// \return subjects that this call quarantines.
  std::vector<Fingerprint> Evaluate(TimePoint aNow);
  /// Applies another gateway's verdict.
  /// \return whether it overrides the one known here.
  bool Take(const QuarantineVerdict& aVerdict, TimePoint aNow);
  /// A server has answered the request.
  /// \return whether this lifts its quarantine.
  bool OnAnswered(Fingerprint aRequest, TimePoint aNow);
  /// A request with the part has got through: a server has answered it, or has
  /// been writing the answer for kPassTime. Clears the part of the exits until
  /// kPassValidity after \p aBegun.
  /// \param aBegun when the server began to write. A long stream from before
  /// the part began to crash servers does not clear it of later exits.
  /// \return whether this lifts its quarantine.
  bool OnPassed(Fingerprint aPart, TimePoint aBegun, TimePoint aNow);

  CrashStatus StatusOf(Fingerprint aSubject, TimePoint aNow) const;
  /// Remaining time of its quarantine; zero if it is not quarantined.
  Duration QuarantineLeft(Fingerprint aSubject, TimePoint aNow) const;
  /// Whether more evidence may still arrive from other gateways, or the
  /// evidence would suffice for a quarantine but has not been evaluated yet. A
  /// subject that crashes servers would crash another one each time it is sent
  /// in this state.
  bool IsUndecided(Fingerprint aSubject, TimePoint aNow) const;
  /// Whether it is a part with enough evidence for a quarantine and no verdict,
  /// as others in flight at the same exits have as much.
  bool IsDisputed(Fingerprint aSubject, TimePoint aNow) const;
  /// Sum of the CrashWeight values of the evidence against it.
  std::uint32_t ScoreOf(Fingerprint aSubject) const;
  /// Whether the evidence is against a part of prompts.
  bool IsPart(Fingerprint aSubject) const;
  /// Its current verdict, for storage that outlives this process; nothing if
  /// there is none.
  std::optional<QuarantineVerdict> VerdictOf(Fingerprint aSubject,
                                             TimePoint aNow) const;

  /// Update for the other gateways. Active quarantines are always included,
  /// since a gateway that was disconnected or has just started has missed them;
  /// everything else for kRepeatTime. Evidence from other gateways is forwarded
  /// only for subjects with two exits or more: those with one exit are many,
  /// and every gateway nearby has received their evidence first-hand.
  CrashUpdate OutgoingUpdate(TimePoint aNow) const;
  /// Subjects with evidence that requests have to wait for.
  std::vector<Fingerprint> Suspects() const;
  /// Drops evidence and verdicts older than kRetention.
  void Expire(TimePoint aNow);

  /// Number of subjects with evidence, including evidence of no weight.
  std::size_t SuspectCount() const { return this->suspects.size(); }
  std::size_t QuarantinedCount(TimePoint aNow) const;

  /// Three exits of servers that had sent nothing of the answer.
  static constexpr std::uint32_t kQuarantineScore = 6;
  /// Sufficient for a request without leading: two requests that are always in
  /// flight together never lead, and must not crash servers indefinitely. Of
  /// two parts the one further back in the prompt leads.
  static constexpr std::uint32_t kCertainScore = 2 * kQuarantineScore;
  /// A part with less is no suspect. One exit is evidence against each part in
  /// flight there, and all requests with one of them would wait for each other.
  static constexpr std::uint32_t kPartSuspectScore = 4;
  /// Exits, each at least kIsolation after the one before, from which on a part
  /// is blamed rather than those before it in the same prompts, which may be in
  /// flight at the same exits. Up to there other requests have time to clear
  /// one of them. Exits in quick succession leave none.
  static constexpr std::size_t kTiedPartsExits = 4;
  static constexpr Duration kIsolation = milliseconds(400);
  /// A part is blamed for exits over at least this time. When many servers are
  /// killed at once, each part that some requests share is in flight at several
  /// of them, and none of these may have got through yet.
  static constexpr Duration kPartMinSpan = milliseconds(500);
  /// A part that crashes servers does so when they begin to write an answer.
  static constexpr Duration kPassTime = seconds(1);
  /// For how long after a request has begun to be answered its parts are not
  /// blamed for exits, provided that it gets through. Longer than kPassTime, so
  /// that a part with a few requests a second is never blamed.
  static constexpr Duration kPassValidity = seconds(2);
  /// Exits kept per subject; three to six decide.
  static constexpr std::size_t kMaxExits = 16;
  /// 2,048 suspects and 256 verdicts take under 1 MiB. The suspect with the
  /// lowest score, and of these the oldest, is evicted first, so that a flood
  /// of subjects with one exit cannot evict one with two.
  static constexpr std::size_t kMaxSuspects = 2048;
  static constexpr std::size_t kMaxVerdicts = 256;
  /// Exits whose first report is kept, for kRetention.
  static constexpr std::size_t kMaxHeardOf = 4096;
  /// Parts that have got through, kept for kPassValidity.
  static constexpr std::size_t kMaxPassed = 4096;
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
  /// Reports of a server's exit that come later than this after the first are
  /// of another exit: it has restarted under its name, which an outage of the
  /// store can hide. Reports are sent for kRepeatTime, and passed on once.
  static constexpr Duration kSameExitTime = 2 * kRepeatTime;
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
    /// The highest of its evidence.
    Specificity specificity = 0;

    bool IsPart() const { return this->specificity != kWholeRequest; }
    /// Whether the evidence is enough for requests to wait for each other.
    bool HoldsBack() const;
  };
  /// A subject that may lead, and its score by settled exits alone. While
  /// servers exit in quick succession, each subject would otherwise be behind
  /// what has not settled yet of the others.
  struct Rival
  {
    Fingerprint subject = 0;
    const Suspect* suspect = nullptr;
    std::uint32_t score = 0;
  };
  struct Verdict
  {
    std::uint32_t round = 0;
    bool isLifted = false;
    TimePoint endsAt{};
    TimePoint receivedAt{};
    /// Start of the round, as known here.
    TimePoint since{};
  };

  Suspect& SuspectOf(Fingerprint aSubject, TimePoint aNow);
  /// Time between the first and the last of the exits.
  static Duration SpanOf(std::span<const ServerExit> aExits);
  /// Number of exits that came at least kIsolation after the one before.
  static std::size_t CountIsolated(std::span<const ServerExit> aExits);
  /// The exits of \p aSuspect that are evidence and of which this gateway heard
  /// first, whatever the subject, at least kSettleTime ago.
  std::vector<ServerExit> SettledExits(const Suspect& aSuspect,
                                       TimePoint aNow) const;
  /// The subjects whose settled exits suffice for a quarantine.
  std::vector<Rival> Rivals(TimePoint aNow) const;
  /// Evicts the suspect with the lowest score, of these the oldest.
  void EvictWeakest();
  /// Decides whether to go on sending that a part is cleared of an exit: not if
  /// another gateway does, as all that know it would, but again if one still
  /// blames the part.
  /// \param aPeers what a peer has sent of it.
  static void RepeatClearing(ServerExit& aExit,
                             CrashWeight aPeers,
                             TimePoint aNow);
  /// Whether a request with the part got through that clears it of an exit at
  /// \p aExitAt.
  bool HasPassed(Fingerprint aPart, TimePoint aExitAt) const;
  /// Whether the server's exit is attributed to another subject.
  bool IsAttributedToOther(ServerKey aServer, Fingerprint aSubject) const;
  /// Whether it has a verdict that is not lifted; the quarantine itself may
  /// have expired.
  bool HasUnliftedVerdict(Fingerprint aSubject) const;
  bool ShouldQuarantine(Fingerprint aSubject,
                        const Suspect& aSuspect,
                        std::span<const Rival> aRivals,
                        TimePoint aNow) const;
  /// Whether there is an exit in \p aExits at which none of the rivals in
  /// flight has a higher score, or the same and is as specific.
  static bool LeadsAtAnyExit(Fingerprint aSubject,
                             Specificity aSpecificity,
                             std::span<const ServerExit> aExits,
                             std::span<const Rival> aRivals);
  void Quarantine(Fingerprint aSubject, TimePoint aNow);
  void SetVerdict(Fingerprint aSubject, const Verdict& aVerdict);
  /// Attributes the exits of the subject to it; evidence against other requests
  /// at these exits loses its weight. Evidence against parts does not, as the
  /// request that is blamed may have crashed the servers by one of them.
  void AttributeExits(Fingerprint aSubject);
  void DropAttributions(Fingerprint aSubject);
  /// Takes the weight from all evidence received until \p aUntil.
  void ClearExits(Fingerprint aSubject, TimePoint aUntil, TimePoint aNow);
  /// \return whether it had a verdict that was not lifted.
  bool Lift(Fingerprint aSubject, TimePoint aNow);

  /// Length of a quarantine.
  Duration quarantine;
  absl::flat_hash_map<Fingerprint, Suspect> suspects;
  absl::flat_hash_map<Fingerprint, Verdict> verdicts;
  /// When this gateway first heard of each exit, for some subject.
  absl::flat_hash_map<ServerKey, TimePoint> heardOf;
  /// The subject that each exit is attributed to.
  absl::flat_hash_map<ServerKey, Fingerprint> attributedTo;
  /// When the newest request with a part that has got through began to be
  /// answered.
  absl::flat_hash_map<Fingerprint, TimePoint> passed;
};

} // namespace dogwoodvale

#endif
