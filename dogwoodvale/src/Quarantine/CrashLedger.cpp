#include "CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace dogwoodvale {

namespace {

std::uint32_t
Score(CrashWeight aWeight)
{
  return static_cast<std::uint32_t>(aWeight);
}

/// CrashWeight::None is final; otherwise the higher weight counts.
CrashWeight
Merge(CrashWeight aOne, CrashWeight aOther)
{
  const bool isSettled =
    aOne == CrashWeight::None || aOther == CrashWeight::None;
  return isSettled ? CrashWeight::None : std::max(aOne, aOther);
}

template<class Exits>
std::uint32_t
Sum(const Exits& aExits)
{
  std::uint32_t sum = 0;
  for (const auto& exit : aExits) {
    sum += Score(exit.weight);
  }
  return sum;
}

} // namespace

Duration
CrashLedger::SpanOf(std::span<const ServerExit> aExits)
{
  if (aExits.empty()) {
    return Duration::zero();
  }
  const auto [first, last] =
    std::ranges::minmax(aExits, {}, &ServerExit::receivedAt);
  return Between(first.receivedAt, last.receivedAt);
}

std::size_t
CrashLedger::CountIsolated(std::span<const ServerExit> aExits)
{
  std::vector<TimePoint> times;
  for (const ServerExit& exit : aExits) {
    times.push_back(exit.receivedAt);
  }
  std::ranges::sort(times);
  std::size_t isolated = 0;
  TimePoint before{};
  for (const TimePoint at : times) {
    isolated += Between(before, at) >= kIsolation ? 1 : 0;
    before = at;
  }
  return isolated;
}

std::vector<CrashLedger::ServerExit>
CrashLedger::SettledExits(const Suspect& aSuspect, TimePoint aNow) const
{
  std::vector<ServerExit> settled;
  std::ranges::copy_if(
    aSuspect.exits, std::back_inserter(settled), [&](const ServerExit& aExit) {
      const auto first = this->heardOf.find(aExit.server);
      const TimePoint since =
        first == this->heardOf.end() ? aExit.receivedAt : first->second;
      return aExit.weight != CrashWeight::None &&
             Between(since, aNow) >= kSettleTime;
    });
  return settled;
}

bool
CrashLedger::Suspect::HoldsBack() const
{
  const std::uint32_t score = Sum(this->exits);
  return this->IsPart() ? score >= kPartSuspectScore : score > 0;
}

CrashLedger::CrashLedger(Duration aQuarantine)
  : quarantine(aQuarantine)
{
}

void
CrashLedger::Take(const CrashEvidence& aEvidence,
                  Source aSource,
                  TimePoint aNow)
{
  const Fingerprint subject = aEvidence.subject;
  CrashWeight weight = aEvidence.weight;
  Source source = aSource;
  if (weight != CrashWeight::None && aEvidence.IsOfPart() &&
      this->HasPassed(subject, aNow)) {
    if (aSource == Source::Own) {
      return;
    }
    // Reported back: the sender does not know that the part gets through.
    weight = CrashWeight::None;
    source = Source::Own;
  } else if (weight == CrashWeight::None
               ? !this->suspects.contains(subject)
               : !aEvidence.IsOfPart() &&
                   this->IsAttributedToOther(aEvidence.server, subject)) {
    return;
  }
  if (this->heardOf.size() < kMaxHeardOf) {
    this->heardOf.try_emplace(aEvidence.server, aNow);
  }
  Suspect& suspect = this->SuspectOf(subject, aNow);
  suspect.specificity = std::max(suspect.specificity, aEvidence.specificity);
  auto known =
    std::ranges::find(suspect.exits, aEvidence.server, &ServerExit::server);
  if (known != suspect.exits.end() && weight != CrashWeight::None &&
      Between(known->receivedAt, aNow) > kSameExitTime) {
    suspect.exits.erase(known);
    known = suspect.exits.end();
    this->heardOf[aEvidence.server] = aNow;
  }
  if (known == suspect.exits.end()) {
    if (suspect.exits.size() >= kMaxExits) {
      suspect.exits.erase(suspect.exits.begin());
    }
    suspect.exits.push_back({ aEvidence.server, weight, source, aNow });
  } else {
    const CrashWeight merged = Merge(known->weight, weight);
    if (merged == known->weight) {
      const bool isClear = merged == CrashWeight::None;
      if (isClear && suspect.IsPart() && aSource == Source::Peer) {
        RepeatClearing(*known, aEvidence.weight, aNow);
      }
      return;
    }
    known->weight = merged;
    known->source = source;
    known->receivedAt = aNow;
  }
  if (weight != CrashWeight::None && this->HasUnliftedVerdict(subject)) {
    this->AttributeExits(subject);
  }
}

void
CrashLedger::RepeatClearing(ServerExit& aExit,
                            CrashWeight aPeers,
                            TimePoint aNow)
{
  if (aPeers == CrashWeight::None) {
    aExit.source = Source::Peer;
  } else {
    aExit.source = Source::Own;
    aExit.receivedAt = aNow;
  }
}

bool
CrashLedger::HasPassed(Fingerprint aPart, TimePoint aExitAt) const
{
  const auto found = this->passed.find(aPart);
  return found != this->passed.end() &&
         aExitAt <= found->second + kPassValidity;
}

CrashLedger::Suspect&
CrashLedger::SuspectOf(Fingerprint aSubject, TimePoint aNow)
{
  if (!this->suspects.contains(aSubject) &&
      this->suspects.size() >= kMaxSuspects) {
    this->EvictWeakest();
  }
  Suspect& suspect = this->suspects[aSubject];
  suspect.updatedAt = aNow;
  return suspect;
}

void
CrashLedger::EvictWeakest()
{
  const auto weakest =
    std::ranges::min_element(this->suspects, {}, [](const auto& aItem) {
      return std::tuple(Sum(aItem.second.exits), aItem.second.updatedAt);
    });
  this->suspects.erase(weakest);
}

bool
CrashLedger::HasUnliftedVerdict(Fingerprint aSubject) const
{
  const auto found = this->verdicts.find(aSubject);
  return found != this->verdicts.end() && !found->second.isLifted;
}

bool
CrashLedger::IsAttributedToOther(ServerKey aServer, Fingerprint aSubject) const
{
  const auto found = this->attributedTo.find(aServer);
  return found != this->attributedTo.end() && found->second != aSubject;
}

std::vector<CrashLedger::Rival>
CrashLedger::Rivals(TimePoint aNow) const
{
  std::vector<Rival> rivals;
  for (const auto& [subject, suspect] : this->suspects) {
    if (Sum(suspect.exits) < kQuarantineScore) {
      continue;
    }
    const std::uint32_t score = Sum(SettledExits(suspect, aNow));
    if (score >= kQuarantineScore) {
      rivals.push_back({ subject, &suspect, score });
    }
  }
  return rivals;
}

bool
CrashLedger::LeadsAtAnyExit(Fingerprint aSubject,
                            Specificity aSpecificity,
                            std::span<const ServerExit> aExits,
                            std::span<const Rival> aRivals)
{
  const std::uint32_t score = Sum(aExits);
  const bool decidesTies = CountIsolated(aExits) >= kTiedPartsExits;
  const auto goesFirst = [&](const Rival& aOther) {
    if (aOther.subject == aSubject || aOther.score < score) {
      return false;
    }
    const bool isTiedPart =
      aOther.suspect->IsPart() && aSpecificity != kWholeRequest;
    return aOther.score > score ||
           aOther.suspect->specificity >= aSpecificity ||
           (isTiedPart && !decidesTies);
  };
  const auto isAt = [](const Rival& aOther, ServerKey aServer) {
    return std::ranges::any_of(
      aOther.suspect->exits, [&](const ServerExit& aTheirs) {
        return aTheirs.server == aServer && aTheirs.weight != CrashWeight::None;
      });
  };
  return std::ranges::any_of(aExits, [&](const ServerExit& aExit) {
    return std::ranges::none_of(aRivals, [&](const Rival& aOther) {
      return goesFirst(aOther) && isAt(aOther, aExit.server);
    });
  });
}

bool
CrashLedger::ShouldQuarantine(Fingerprint aSubject,
                              const Suspect& aSuspect,
                              std::span<const Rival> aRivals,
                              TimePoint aNow) const
{
  const std::vector<ServerExit> settled = SettledExits(aSuspect, aNow);
  const auto verdict = this->verdicts.find(aSubject);
  if (verdict != this->verdicts.end() && !verdict->second.isLifted) {
    // One crash after the quarantine has expired suffices for the next one.
    const TimePoint expiredAt = verdict->second.endsAt;
    return expiredAt <= aNow &&
           std::ranges::any_of(settled, [&](const ServerExit& aExit) {
             return aExit.receivedAt > expiredAt;
           });
  }
  if (aSuspect.IsPart() && SpanOf(settled) < kPartMinSpan) {
    return false;
  }
  const std::uint32_t score = Sum(settled);
  return (score >= kCertainScore && !aSuspect.IsPart()) ||
         (score >= kQuarantineScore &&
          LeadsAtAnyExit(aSubject, aSuspect.specificity, settled, aRivals));
}

std::vector<Fingerprint>
CrashLedger::Evaluate(TimePoint aNow)
{
  const std::vector<Rival> rivals = this->Rivals(aNow);
  std::vector<Fingerprint> quarantined;
  for (const auto& [subject, suspect] : this->suspects) {
    const bool isCandidate = Sum(suspect.exits) >= kQuarantineScore ||
                             this->verdicts.contains(subject);
    if (isCandidate && this->ShouldQuarantine(subject, suspect, rivals, aNow)) {
      quarantined.push_back(subject);
    }
  }
  for (const Fingerprint subject : quarantined) {
    this->Quarantine(subject, aNow);
  }
  return quarantined;
}

void
CrashLedger::Quarantine(Fingerprint aSubject, TimePoint aNow)
{
  const auto before = this->verdicts.find(aSubject);
  const std::uint32_t round =
    before == this->verdicts.end() ? 1 : before->second.round + 1;
  this->SetVerdict(aSubject,
                   { round, false, aNow + this->quarantine, aNow, aNow });
  this->AttributeExits(aSubject);
}

void
CrashLedger::SetVerdict(Fingerprint aSubject, const Verdict& aVerdict)
{
  if (!this->verdicts.contains(aSubject) &&
      this->verdicts.size() >= kMaxVerdicts) {
    const auto first =
      std::ranges::min_element(this->verdicts, {}, [](const auto& aItem) {
        return aItem.second.endsAt;
      });
    this->DropAttributions(first->first);
    this->verdicts.erase(first);
  }
  this->verdicts[aSubject] = aVerdict;
}

void
CrashLedger::AttributeExits(Fingerprint aSubject)
{
  const auto culprit = this->suspects.find(aSubject);
  if (culprit == this->suspects.end()) {
    return;
  }
  for (const ServerExit& exit : culprit->second.exits) {
    if (exit.weight != CrashWeight::None) {
      this->attributedTo.try_emplace(exit.server, aSubject);
    }
  }
  for (auto& [subject, suspect] : this->suspects) {
    for (ServerExit& exit : suspect.exits) {
      if (exit.weight != CrashWeight::None && !suspect.IsPart() &&
          this->IsAttributedToOther(exit.server, subject)) {
        exit.weight = CrashWeight::None;
      }
    }
  }
}

void
CrashLedger::DropAttributions(Fingerprint aSubject)
{
  absl::erase_if(this->attributedTo, [aSubject](const auto& aItem) {
    return aItem.second == aSubject;
  });
}

void
CrashLedger::ClearExits(Fingerprint aSubject, TimePoint aUntil, TimePoint aNow)
{
  const auto found = this->suspects.find(aSubject);
  if (found == this->suspects.end()) {
    return;
  }
  for (ServerExit& exit : found->second.exits) {
    if (exit.weight != CrashWeight::None && exit.receivedAt <= aUntil) {
      exit.weight = CrashWeight::None;
      exit.source = Source::Own;
      exit.receivedAt = aNow;
    }
  }
}

bool
CrashLedger::Take(const QuarantineVerdict& aVerdict, TimePoint aNow)
{
  const auto known = this->verdicts.find(aVerdict.subject);
  const auto order = [](std::uint32_t aRound, bool aIsLifted) {
    return std::pair(aRound, aIsLifted);
  };
  const auto theirs = order(aVerdict.round, aVerdict.isLifted);
  if (known != this->verdicts.end()) {
    Verdict& ours = known->second;
    if (order(ours.round, ours.isLifted) > theirs) {
      // The sender has missed our verdict: restart its repetition.
      ours.receivedAt = aNow;
      return false;
    }
    // The remaining time is applied once per round: two gateways that kept
    // applying each other's would add the network delay to it each time, and
    // the quarantine would never expire.
    if (order(ours.round, ours.isLifted) == theirs) {
      return false;
    }
  }
  this->SetVerdict(aVerdict.subject,
                   { aVerdict.round,
                     aVerdict.isLifted,
                     aNow + std::min(aVerdict.left, this->quarantine),
                     aNow,
                     aNow });
  if (aVerdict.isLifted) {
    this->DropAttributions(aVerdict.subject);
    this->ClearExits(aVerdict.subject, aNow, aNow);
  } else {
    this->AttributeExits(aVerdict.subject);
  }
  return true;
}

bool
CrashLedger::OnAnswered(Fingerprint aRequest, TimePoint aNow)
{
  this->ClearExits(aRequest, aNow, aNow);
  return this->Lift(aRequest, aNow);
}

bool
CrashLedger::OnPassed(Fingerprint aPart, TimePoint aBegun, TimePoint aNow)
{
  const TimePoint until = aBegun + kPassValidity;
  if (until >= aNow &&
      (this->passed.contains(aPart) || this->passed.size() < kMaxPassed)) {
    TimePoint& begun = this->passed[aPart];
    begun = std::max(begun, aBegun);
  }
  this->ClearExits(aPart, until, aNow);
  const auto verdict = this->verdicts.find(aPart);
  return verdict != this->verdicts.end() && verdict->second.since <= until &&
         this->Lift(aPart, aNow);
}

bool
CrashLedger::Lift(Fingerprint aSubject, TimePoint aNow)
{
  const auto verdict = this->verdicts.find(aSubject);
  if (verdict == this->verdicts.end() || verdict->second.isLifted) {
    return false;
  }
  this->DropAttributions(aSubject);
  verdict->second.isLifted = true;
  verdict->second.endsAt = aNow;
  verdict->second.receivedAt = aNow;
  return true;
}

Duration
CrashLedger::QuarantineLeft(Fingerprint aSubject, TimePoint aNow) const
{
  const auto found = this->verdicts.find(aSubject);
  if (found == this->verdicts.end() || found->second.isLifted) {
    return Duration::zero();
  }
  return std::max(Between(aNow, found->second.endsAt), Duration::zero());
}

CrashStatus
CrashLedger::StatusOf(Fingerprint aSubject, TimePoint aNow) const
{
  if (this->QuarantineLeft(aSubject, aNow) > Duration::zero()) {
    return CrashStatus::Quarantined;
  }
  const auto found = this->suspects.find(aSubject);
  const bool hasEvidence =
    found != this->suspects.end() && found->second.HoldsBack();
  return hasEvidence || this->HasUnliftedVerdict(aSubject)
           ? CrashStatus::Suspect
           : CrashStatus::Clear;
}

bool
CrashLedger::IsUndecided(Fingerprint aSubject, TimePoint aNow) const
{
  const auto found = this->suspects.find(aSubject);
  if (found == this->suspects.end()) {
    return false;
  }
  const bool wouldSuffice = Sum(found->second.exits) >= kQuarantineScore;
  const Duration settles = wouldSuffice
                             ? Duration(kSettleTime + kEvaluationPeriod)
                             : kPeerEvidenceDelay;
  return std::ranges::any_of(found->second.exits, [&](const ServerExit& aExit) {
    return aExit.weight != CrashWeight::None &&
           Between(aExit.receivedAt, aNow) < settles;
  });
}

bool
CrashLedger::IsDisputed(Fingerprint aSubject, TimePoint aNow) const
{
  return this->IsPart(aSubject) &&
         this->ScoreOf(aSubject) >= kQuarantineScore &&
         this->StatusOf(aSubject, aNow) == CrashStatus::Suspect;
}

std::uint32_t
CrashLedger::ScoreOf(Fingerprint aSubject) const
{
  const auto found = this->suspects.find(aSubject);
  return found == this->suspects.end() ? 0 : Sum(found->second.exits);
}

bool
CrashLedger::IsPart(Fingerprint aSubject) const
{
  const auto found = this->suspects.find(aSubject);
  return found != this->suspects.end() && found->second.IsPart();
}

std::optional<QuarantineVerdict>
CrashLedger::VerdictOf(Fingerprint aSubject, TimePoint aNow) const
{
  const auto found = this->verdicts.find(aSubject);
  if (found == this->verdicts.end()) {
    return std::nullopt;
  }
  return QuarantineVerdict{ aSubject,
                            found->second.round,
                            found->second.isLifted,
                            this->QuarantineLeft(aSubject, aNow) };
}

CrashUpdate
CrashLedger::OutgoingUpdate(TimePoint aNow) const
{
  const auto isNew = [aNow](TimePoint aReceivedAt) {
    return Between(aReceivedAt, aNow) < kRepeatTime;
  };
  CrashUpdate update;
  for (const auto& [subject, verdict] : this->verdicts) {
    const Duration left = this->QuarantineLeft(subject, aNow);
    if (left > Duration::zero() || isNew(verdict.receivedAt)) {
      update.verdicts.push_back(
        { subject, verdict.round, verdict.isLifted, left });
    }
  }
  // What clears a part goes first, as other gateways may be about to blame it.
  struct Line
  {
    std::pair<bool, std::uint32_t> order;
    CrashEvidence evidence;
  };
  std::vector<Line> lines;
  for (const auto& [subject, suspect] : this->suspects) {
    for (const ServerExit& exit : suspect.exits) {
      const bool clearsPart =
        suspect.IsPart() && exit.weight == CrashWeight::None;
      const bool isToSend =
        exit.source == Source::Own || (suspect.exits.size() > 1 && !clearsPart);
      if (isToSend && isNew(exit.receivedAt)) {
        lines.push_back(
          { { clearsPart, Sum(suspect.exits) },
            { subject, exit.server, exit.weight, suspect.specificity } });
      }
    }
  }
  std::ranges::sort(lines, std::greater<>(), &Line::order);
  lines.resize(std::min(lines.size(), kMaxUpdateEntries));
  for (const Line& line : lines) {
    update.evidence.push_back(line.evidence);
  }
  std::ranges::sort(
    update.verdicts, std::greater<>(), &QuarantineVerdict::left);
  update.verdicts.resize(std::min(update.verdicts.size(), kMaxUpdateEntries));
  return update;
}

std::vector<Fingerprint>
CrashLedger::Suspects() const
{
  std::vector<Fingerprint> subjects;
  for (const auto& [subject, suspect] : this->suspects) {
    if (suspect.HoldsBack()) {
      subjects.push_back(subject);
    }
  }
  return subjects;
}

void
CrashLedger::Expire(TimePoint aNow)
{
  absl::erase_if(this->suspects, [aNow](const auto& aItem) {
    return Between(aItem.second.updatedAt, aNow) > kRetention;
  });
  absl::erase_if(this->verdicts, [&](const auto& aItem) {
    const bool isOver = Between(aItem.second.endsAt, aNow) > kRetention;
    if (isOver) {
      this->DropAttributions(aItem.first);
    }
    return isOver;
  });
  absl::erase_if(this->heardOf, [aNow](const auto& aItem) {
    return Between(aItem.second, aNow) > kRetention;
  });
  absl::erase_if(this->passed, [aNow](const auto& aItem) {
    return aItem.second + kPassValidity < aNow;
  });
}

std::size_t
CrashLedger::QuarantinedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->verdicts, [&](const auto& aItem) {
      return this->QuarantineLeft(aItem.first, aNow) > Duration::zero();
    }));
}

} // namespace dogwoodvale
