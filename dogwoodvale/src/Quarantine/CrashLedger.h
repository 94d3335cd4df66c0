#ifndef DOGWOODVALE_QUARANTINE_CRASHLEDGER_H
#define DOGWOODVALE_QUARANTINE_CRASHLEDGER_H

#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "CrashEvidence.h"

namespace dogwoodvale {

/// What is known of a request.
enum class CrashStanding : std::uint8_t
{
  /// Nothing against it.
  Clear,
  /// It was under way at a server that ended, or its quarantine is over: one
  /// copy of it runs at a time.
  Suspect,
  /// It is kept from servers.
  Quarantined,
};

/// Puts a request into quarantine or takes it out, for all gateways.
struct QuarantineVerdict
{
  RequestFingerprint request = 0;
  /// Counts the quarantines of a request; a later one outweighs an earlier.
  std::uint32_t round = 0;
  /// Its last quarantine is taken back: a server has answered it.
  bool isLifted = false;
  /// What is left of the quarantine.
  Duration left{ 0 };

  bool operator==(const QuarantineVerdict&) const = default;
};

/// What one gateway tells the others of crashes.
struct CrashNews
{
  std::vector<CrashEvidence> evidence;
  std::vector<QuarantineVerdict> verdicts;

  bool IsEmpty() const
  {
    return this->evidence.empty() && this->verdicts.empty();
  }
};

/// Which request is to blame when servers end one after the other.
///
/// All that a server ran breaks off with it, so each end speaks against all of
/// these requests. Only the one to blame is there again at the next end, and it
/// is never answered. A request is put into quarantine when it was under way at
/// three ends, with nothing of its answer sent, and led at one of them: no
/// other request there was at as many. It then explains these ends, which no
/// longer speak against others. An answer clears a request.
///
/// What gateways tell each other merges in any order and any number of times:
/// evidence by its strongest word, "none" being the last; verdicts by round.
class CrashLedger
{
public:
  enum class Source : std::uint8_t
  {
    Own,
    Told,
  };

  explicit CrashLedger(Duration aQuarantine);

  /// \param aSource who saw it.
  void Take(const CrashEvidence& aEvidence, Source aSource, TimePoint aNow);
  /// Judges by what was heard at least kSettle ago; call each kJudgePeriod.
  /// \return requests that are in quarantine by this.
  std::vector<RequestFingerprint> Judge(TimePoint aNow);
  /// Takes another gateway's verdict. \return whether it was news.
  bool Take(const QuarantineVerdict& aVerdict, TimePoint aNow);
  /// A server has answered the request.
  /// \return whether its quarantine is lifted by this.
  bool OnAnswered(RequestFingerprint aRequest, TimePoint aNow);

  CrashStanding StandingOf(RequestFingerprint aRequest, TimePoint aNow) const;
  /// What is left of its quarantine; zero if it is in none.
  Duration QuarantineLeft(RequestFingerprint aRequest, TimePoint aNow) const;
  /// Whether more evidence is about to be heard, or what there is would suffice
  /// and has not settled yet. Sending it meanwhile would end a server each
  /// time.
  bool IsUndecided(RequestFingerprint aRequest, TimePoint aNow) const;
  /// Evidence against it, a sum of CrashWeight.
  std::uint32_t ScoreOf(RequestFingerprint aRequest) const;
  /// Its newest verdict, for a place that outlives this process.
  std::optional<QuarantineVerdict> VerdictOf(RequestFingerprint aRequest,
                                             TimePoint aNow) const;

  /// News for the others: quarantines always, since a gateway that was cut off
  /// or has just started has missed them; the rest while it is new. What was
  /// told is told on only of requests that were at two ends or more: those that
  /// were at one are many, and every gateway near has heard it at first hand.
  CrashNews News(TimePoint aNow) const;
  std::vector<RequestFingerprint> Suspects() const;
  void Expire(TimePoint aNow);

  std::size_t SuspectCount() const { return this->suspects.size(); }
  std::size_t QuarantinedCount(TimePoint aNow) const;

  /// Three servers that ended before anything was answered.
  static constexpr std::uint32_t kQuarantineScore = 6;
  /// Enough whoever else was there: a request that never leads, since another
  /// is always with it, must not go on for ever.
  static constexpr std::uint32_t kCertainScore = 2 * kQuarantineScore;
  /// Ends that are kept of one request; three to six decide.
  static constexpr std::size_t kMostEnds = 16;
  /// 2,048 suspects and 256 verdicts take under 1 MiB. The weakest, then the
  /// oldest suspects go first, so that a flood of requests that were there once
  /// can't push out one that was there twice.
  static constexpr std::size_t kMostSuspects = 2048;
  static constexpr std::size_t kMostVerdicts = 256;
  /// How long evidence counts, and a quarantine that is over is remembered:
  /// the next crash then puts the request back at once.
  static constexpr Duration kMemory = seconds(600);
  /// One server's end is told by each gateway that had a request there. Judged
  /// by what came first, a request that is not to blame would seem to have been
  /// there alone. By then the others have been heard: three datagrams between
  /// thirty gateways.
  static constexpr Duration kSettle = milliseconds(500);
  /// Other gateways that ran copies of the same request tell of their ends.
  static constexpr Duration kOthersAreHeard = milliseconds(200);
  static constexpr Duration kJudgePeriod = milliseconds(200);
  /// News is repeated for this long: thirty datagrams between four gateways,
  /// nine between thirty, of which some are lost.
  static constexpr Duration kNewFor = milliseconds(1500);
  /// Most lines of each kind in one message, 3 KB together.
  static constexpr std::size_t kMostNews = 96;

private:
  struct End
  {
    ServerKey server = 0;
    CrashWeight weight = CrashWeight::None;
    Source source = Source::Own;
    TimePoint heard{};
  };
  struct Suspect
  {
    std::vector<End> ends;
    TimePoint touched{};
  };
  struct Verdict
  {
    std::uint32_t round = 0;
    bool isLifted = false;
    TimePoint until{};
    TimePoint heard{};
  };

  Suspect& SuspectOf(RequestFingerprint aRequest, TimePoint aNow);
  void DropWeakest();
  bool IsExplained(ServerKey aServer, RequestFingerprint aRequest) const;
  bool IsConvicted(RequestFingerprint aRequest) const;
  bool IsToQuarantine(RequestFingerprint aRequest,
                      const Suspect& aSuspect,
                      TimePoint aNow) const;
  /// Whether no other request at one of these ends has as high a score.
  bool Leads(RequestFingerprint aRequest, std::span<const End> aEnds) const;
  void Quarantine(RequestFingerprint aRequest, TimePoint aNow);
  void SetVerdict(RequestFingerprint aRequest, const Verdict& aVerdict);
  void ExplainEnds(RequestFingerprint aRequest);
  void ForgetExplained(RequestFingerprint aRequest);
  void ClearEnds(RequestFingerprint aRequest, TimePoint aNow);

  Duration quarantine;
  absl::flat_hash_map<RequestFingerprint, Suspect> suspects;
  absl::flat_hash_map<RequestFingerprint, Verdict> verdicts;
  /// Servers that ended, and the request that is to blame.
  absl::flat_hash_map<ServerKey, RequestFingerprint> explained;
};

} // namespace dogwoodvale

#endif
