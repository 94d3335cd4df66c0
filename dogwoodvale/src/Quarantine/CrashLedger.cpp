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

CrashLedger::CrashLedger(Duration aQuarantine)
  : quarantine(aQuarantine)
{
}

void
CrashLedger::Take(const CrashEvidence& aEvidence,
                  Source aSource,
                  TimePoint aNow)
{
  const bool isEvidence = aEvidence.weight != CrashWeight::None;
  if (isEvidence &&
      this->IsAttributedToOther(aEvidence.server, aEvidence.request)) {
    return;
  }
  if (!isEvidence && !this->suspects.contains(aEvidence.request)) {
    return;
  }
  Suspect& suspect = this->SuspectOf(aEvidence.request, aNow);
  const auto known =
    std::ranges::find(suspect.exits, aEvidence.server, &ServerExit::server);
  if (known == suspect.exits.end()) {
    if (suspect.exits.size() >= kMaxExits) {
      suspect.exits.erase(suspect.exits.begin());
    }
    suspect.exits.push_back(
      { aEvidence.server, aEvidence.weight, aSource, aNow });
  } else {
    const CrashWeight merged = Merge(known->weight, aEvidence.weight);
    if (merged == known->weight) {
      return;
    }
    known->weight = merged;
    known->source = aSource;
    known->receivedAt = aNow;
  }
  if (isEvidence && this->HasUnliftedVerdict(aEvidence.request)) {
    this->AttributeExits(aEvidence.request);
  }
}

CrashLedger::Suspect&
CrashLedger::SuspectOf(Fingerprint aRequest, TimePoint aNow)
{
  if (!this->suspects.contains(aRequest) &&
      this->suspects.size() >= kMaxSuspects) {
    this->EvictWeakest();
  }
  Suspect& suspect = this->suspects[aRequest];
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
CrashLedger::HasUnliftedVerdict(Fingerprint aRequest) const
{
  const auto found = this->verdicts.find(aRequest);
  return found != this->verdicts.end() && !found->second.isLifted;
}

bool
CrashLedger::IsAttributedToOther(ServerKey aServer, Fingerprint aRequest) const
{
  const auto found = this->attributedTo.find(aServer);
  return found != this->attributedTo.end() && found->second != aRequest;
}

bool
CrashLedger::LeadsAtAnyExit(Fingerprint aRequest,
                            std::span<const ServerExit> aExits) const
{
  const std::uint32_t score = Sum(aExits);
  const auto isRival = [&](const auto& aOther, ServerKey aServer) {
    return aOther.first != aRequest && Sum(aOther.second.exits) >= score &&
           std::ranges::any_of(aOther.second.exits,
                               [&](const ServerExit& aTheirs) {
                                 return aTheirs.server == aServer &&
                                        aTheirs.weight != CrashWeight::None;
                               });
  };
  return std::ranges::any_of(aExits, [&](const ServerExit& aExit) {
    return std::ranges::none_of(this->suspects, [&](const auto& aOther) {
      return isRival(aOther, aExit.server);
    });
  });
}

bool
CrashLedger::ShouldQuarantine(Fingerprint aRequest,
                              const Suspect& aSuspect,
                              TimePoint aNow) const
{
  std::vector<ServerExit> settled;
  std::ranges::copy_if(
    aSuspect.exits, std::back_inserter(settled), [&](const ServerExit& aExit) {
      return aExit.weight != CrashWeight::None &&
             Between(aExit.receivedAt, aNow) >= kSettleTime;
    });
  const auto verdict = this->verdicts.find(aRequest);
  if (verdict != this->verdicts.end() && !verdict->second.isLifted) {
    // One crash after the quarantine has expired suffices for the next one.
    const TimePoint expiredAt = verdict->second.endsAt;
    return expiredAt <= aNow &&
           std::ranges::any_of(settled, [&](const ServerExit& aExit) {
             return aExit.receivedAt > expiredAt;
           });
  }
  const std::uint32_t score = Sum(settled);
  return score >= kCertainScore ||
         (score >= kQuarantineScore && this->LeadsAtAnyExit(aRequest, settled));
}

std::vector<Fingerprint>
CrashLedger::Evaluate(TimePoint aNow)
{
  std::vector<Fingerprint> quarantined;
  for (const auto& [request, suspect] : this->suspects) {
    const bool isCandidate = Sum(suspect.exits) >= kQuarantineScore ||
                             this->verdicts.contains(request);
    if (isCandidate && this->ShouldQuarantine(request, suspect, aNow)) {
      quarantined.push_back(request);
    }
  }
  for (const Fingerprint request : quarantined) {
    this->Quarantine(request, aNow);
  }
  return quarantined;
}

void
CrashLedger::Quarantine(Fingerprint aRequest, TimePoint aNow)
{
  const auto before = this->verdicts.find(aRequest);
  const std::uint32_t round =
    before == this->verdicts.end() ? 1 : before->second.round + 1;
  this->SetVerdict(aRequest, { round, false, aNow + this->quarantine, aNow });
  this->AttributeExits(aRequest);
}

void
CrashLedger::SetVerdict(Fingerprint aRequest, const Verdict& aVerdict)
{
  if (!this->verdicts.contains(aRequest) &&
      this->verdicts.size() >= kMaxVerdicts) {
    const auto first =
      std::ranges::min_element(this->verdicts, {}, [](const auto& aItem) {
        return aItem.second.endsAt;
      });
    this->DropAttributions(first->first);
    this->verdicts.erase(first);
  }
  this->verdicts[aRequest] = aVerdict;
}

void
CrashLedger::AttributeExits(Fingerprint aRequest)
{
  const auto culprit = this->suspects.find(aRequest);
  if (culprit == this->suspects.end()) {
    return;
  }
  for (const ServerExit& exit : culprit->second.exits) {
    if (exit.weight != CrashWeight::None) {
      this->attributedTo.try_emplace(exit.server, aRequest);
    }
  }
  for (auto& [request, suspect] : this->suspects) {
    for (ServerExit& exit : suspect.exits) {
      if (exit.weight != CrashWeight::None &&
          this->IsAttributedToOther(exit.server, request)) {
        exit.weight = CrashWeight::None;
      }
    }
  }
}

void
CrashLedger::DropAttributions(Fingerprint aRequest)
{
  absl::erase_if(this->attributedTo, [aRequest](const auto& aItem) {
    return aItem.second == aRequest;
  });
}

void
CrashLedger::ClearExits(Fingerprint aRequest, TimePoint aNow)
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end()) {
    return;
  }
  for (ServerExit& exit : found->second.exits) {
    if (exit.weight != CrashWeight::None) {
      exit.weight = CrashWeight::None;
      exit.source = Source::Own;
      exit.receivedAt = aNow;
    }
  }
}

bool
CrashLedger::Take(const QuarantineVerdict& aVerdict, TimePoint aNow)
{
  const auto known = this->verdicts.find(aVerdict.request);
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
  this->SetVerdict(aVerdict.request,
                   { aVerdict.round,
                     aVerdict.isLifted,
                     aNow + std::min(aVerdict.left, this->quarantine),
                     aNow });
  if (aVerdict.isLifted) {
    this->DropAttributions(aVerdict.request);
    this->ClearExits(aVerdict.request, aNow);
  } else {
    this->AttributeExits(aVerdict.request);
  }
  return true;
}

bool
CrashLedger::OnAnswered(Fingerprint aRequest, TimePoint aNow)
{
  this->ClearExits(aRequest, aNow);
  const auto verdict = this->verdicts.find(aRequest);
  if (verdict == this->verdicts.end() || verdict->second.isLifted) {
    return false;
  }
  this->DropAttributions(aRequest);
  verdict->second.isLifted = true;
  verdict->second.endsAt = aNow;
  verdict->second.receivedAt = aNow;
  return true;
}

Duration
CrashLedger::QuarantineLeft(Fingerprint aRequest, TimePoint aNow) const
{
  const auto found = this->verdicts.find(aRequest);
  if (found == this->verdicts.end() || found->second.isLifted) {
    return Duration::zero();
  }
  return std::max(Between(aNow, found->second.endsAt), Duration::zero());
}

CrashStatus
CrashLedger::StatusOf(Fingerprint aRequest, TimePoint aNow) const
{
  if (this->QuarantineLeft(aRequest, aNow) > Duration::zero()) {
    return CrashStatus::Quarantined;
  }
  const bool isSuspect =
    this->ScoreOf(aRequest) > 0 || this->HasUnliftedVerdict(aRequest);
  return isSuspect ? CrashStatus::Suspect : CrashStatus::Clear;
}

bool
CrashLedger::IsUndecided(Fingerprint aRequest, TimePoint aNow) const
{
  const auto found = this->suspects.find(aRequest);
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

std::uint32_t
CrashLedger::ScoreOf(Fingerprint aRequest) const
{
  const auto found = this->suspects.find(aRequest);
  return found == this->suspects.end() ? 0 : Sum(found->second.exits);
}

std::optional<QuarantineVerdict>
CrashLedger::VerdictOf(Fingerprint aRequest, TimePoint aNow) const
{
  const auto found = this->verdicts.find(aRequest);
  if (found == this->verdicts.end()) {
    return std::nullopt;
  }
  return QuarantineVerdict{ aRequest,
                            found->second.round,
                            found->second.isLifted,
                            this->QuarantineLeft(aRequest, aNow) };
}

CrashUpdate
CrashLedger::OutgoingUpdate(TimePoint aNow) const
{
  const auto isNew = [aNow](TimePoint aReceivedAt) {
    return Between(aReceivedAt, aNow) < kRepeatTime;
  };
  CrashUpdate update;
  for (const auto& [request, verdict] : this->verdicts) {
    const Duration left = this->QuarantineLeft(request, aNow);
    if (left > Duration::zero() || isNew(verdict.receivedAt)) {
      update.verdicts.push_back(
        { request, verdict.round, verdict.isLifted, left });
    }
  }
  struct Line
  {
    std::uint32_t score = 0;
    CrashEvidence evidence;
  };
  std::vector<Line> lines;
  for (const auto& [request, suspect] : this->suspects) {
    for (const ServerExit& exit : suspect.exits) {
      const bool isToSend =
        exit.source == Source::Own || suspect.exits.size() > 1;
      if (isToSend && isNew(exit.receivedAt)) {
        lines.push_back(
          { Sum(suspect.exits), { request, exit.server, exit.weight } });
      }
    }
  }
  std::ranges::sort(lines, std::greater<>(), &Line::score);
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
  std::vector<Fingerprint> requests;
  for (const auto& [request, suspect] : this->suspects) {
    if (Sum(suspect.exits) > 0) {
      requests.push_back(request);
    }
  }
  return requests;
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
