#include "CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace dogwoodvale {

namespace {

std::uint32_t
Points(CrashWeight aWeight)
{
  return static_cast<std::uint32_t>(aWeight);
}

/// "None" is the last word on an end; else the strongest counts.
CrashWeight
Merge(CrashWeight aOne, CrashWeight aOther)
{
  const bool isSettled =
    aOne == CrashWeight::None || aOther == CrashWeight::None;
  return isSettled ? CrashWeight::None : std::max(aOne, aOther);
}

template<class Ends>
std::uint32_t
Sum(const Ends& aEnds)
{
  std::uint32_t sum = 0;
  for (const auto& end : aEnds) {
    sum += Points(end.weight);
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
  const bool speaks = aEvidence.weight != CrashWeight::None;
  if (speaks && this->IsExplained(aEvidence.server, aEvidence.request)) {
    return;
  }
  if (!speaks && !this->suspects.contains(aEvidence.request)) {
    return;
  }
  Suspect& suspect = this->SuspectOf(aEvidence.request, aNow);
  const auto known =
    std::ranges::find(suspect.ends, aEvidence.server, &End::server);
  if (known == suspect.ends.end()) {
    if (suspect.ends.size() >= kMostEnds) {
      suspect.ends.erase(suspect.ends.begin());
    }
    suspect.ends.push_back(
      { aEvidence.server, aEvidence.weight, aSource, aNow });
  } else {
    const CrashWeight merged = Merge(known->weight, aEvidence.weight);
    if (merged == known->weight) {
      return;
    }
    known->weight = merged;
    known->source = aSource;
    known->heard = aNow;
  }
  if (speaks && this->IsConvicted(aEvidence.request)) {
    this->ExplainEnds(aEvidence.request);
  }
}

CrashLedger::Suspect&
CrashLedger::SuspectOf(RequestFingerprint aRequest, TimePoint aNow)
{
  if (!this->suspects.contains(aRequest) &&
      this->suspects.size() >= kMostSuspects) {
    this->DropWeakest();
  }
  Suspect& suspect = this->suspects[aRequest];
  suspect.touched = aNow;
  return suspect;
}

void
CrashLedger::DropWeakest()
{
  const auto weakest =
    std::ranges::min_element(this->suspects, {}, [](const auto& aItem) {
      return std::tuple(Sum(aItem.second.ends), aItem.second.touched);
    });
  this->suspects.erase(weakest);
}

bool
CrashLedger::IsConvicted(RequestFingerprint aRequest) const
{
  const auto found = this->verdicts.find(aRequest);
  return found != this->verdicts.end() && !found->second.isLifted;
}

bool
CrashLedger::IsExplained(ServerKey aServer, RequestFingerprint aRequest) const
{
  const auto found = this->explained.find(aServer);
  return found != this->explained.end() && found->second != aRequest;
}

bool
CrashLedger::Leads(RequestFingerprint aRequest,
                   std::span<const End> aEnds) const
{
  const std::uint32_t score = Sum(aEnds);
  const auto isRival = [&](const auto& aOther, ServerKey aServer) {
    return aOther.first != aRequest && Sum(aOther.second.ends) >= score &&
           std::ranges::any_of(aOther.second.ends, [&](const End& aTheirs) {
             return aTheirs.server == aServer &&
                    aTheirs.weight != CrashWeight::None;
           });
  };
  return std::ranges::any_of(aEnds, [&](const End& aEnd) {
    return std::ranges::none_of(this->suspects, [&](const auto& aOther) {
      return isRival(aOther, aEnd.server);
    });
  });
}

bool
CrashLedger::IsToQuarantine(RequestFingerprint aRequest,
                            const Suspect& aSuspect,
                            TimePoint aNow) const
{
  std::vector<End> settled;
  std::ranges::copy_if(
    aSuspect.ends, std::back_inserter(settled), [&](const End& aEnd) {
      return aEnd.weight != CrashWeight::None &&
             Between(aEnd.heard, aNow) >= kSettle;
    });
  const auto verdict = this->verdicts.find(aRequest);
  if (verdict != this->verdicts.end() && !verdict->second.isLifted) {
    // One that is back from quarantine and crashes again goes there at once.
    const TimePoint over = verdict->second.until;
    return over <= aNow && std::ranges::any_of(settled, [&](const End& aEnd) {
             return aEnd.heard > over;
           });
  }
  const std::uint32_t score = Sum(settled);
  return score >= kCertainScore ||
         (score >= kQuarantineScore && this->Leads(aRequest, settled));
}

std::vector<RequestFingerprint>
CrashLedger::Judge(TimePoint aNow)
{
  std::vector<RequestFingerprint> quarantined;
  for (const auto& [request, suspect] : this->suspects) {
    const bool isCandidate =
      Sum(suspect.ends) >= kQuarantineScore || this->verdicts.contains(request);
    if (isCandidate && this->IsToQuarantine(request, suspect, aNow)) {
      quarantined.push_back(request);
    }
  }
  for (const RequestFingerprint request : quarantined) {
    this->Quarantine(request, aNow);
  }
  return quarantined;
}

void
CrashLedger::Quarantine(RequestFingerprint aRequest, TimePoint aNow)
{
  const auto before = this->verdicts.find(aRequest);
  const std::uint32_t round =
    before == this->verdicts.end() ? 1 : before->second.round + 1;
  this->SetVerdict(aRequest, { round, false, aNow + this->quarantine, aNow });
  this->ExplainEnds(aRequest);
}

void
CrashLedger::SetVerdict(RequestFingerprint aRequest, const Verdict& aVerdict)
{
  if (!this->verdicts.contains(aRequest) &&
      this->verdicts.size() >= kMostVerdicts) {
    const auto first = std::ranges::min_element(
      this->verdicts, {}, [](const auto& aItem) { return aItem.second.until; });
    this->ForgetExplained(first->first);
    this->verdicts.erase(first);
  }
  this->verdicts[aRequest] = aVerdict;
}

void
CrashLedger::ExplainEnds(RequestFingerprint aRequest)
{
  const auto culprit = this->suspects.find(aRequest);
  if (culprit == this->suspects.end()) {
    return;
  }
  for (const End& end : culprit->second.ends) {
    if (end.weight != CrashWeight::None) {
      this->explained.try_emplace(end.server, aRequest);
    }
  }
  for (auto& [request, suspect] : this->suspects) {
    for (End& end : suspect.ends) {
      if (end.weight != CrashWeight::None &&
          this->IsExplained(end.server, request)) {
        end.weight = CrashWeight::None;
      }
    }
  }
}

void
CrashLedger::ForgetExplained(RequestFingerprint aRequest)
{
  absl::erase_if(this->explained, [aRequest](const auto& aItem) {
    return aItem.second == aRequest;
  });
}

void
CrashLedger::ClearEnds(RequestFingerprint aRequest, TimePoint aNow)
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end()) {
    return;
  }
  for (End& end : found->second.ends) {
    if (end.weight != CrashWeight::None) {
      end.weight = CrashWeight::None;
      end.source = Source::Own;
      end.heard = aNow;
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
  const auto told = order(aVerdict.round, aVerdict.isLifted);
  if (known != this->verdicts.end()) {
    Verdict& ours = known->second;
    if (order(ours.round, ours.isLifted) > told) {
      // Whoever said this has missed ours: it is told again.
      ours.heard = aNow;
      return false;
    }
    // The time left is taken once: two gateways that each took the other's
    // again and again would add up the ways between them and never end it.
    if (order(ours.round, ours.isLifted) == told) {
      return false;
    }
  }
  this->SetVerdict(aVerdict.request,
                   { aVerdict.round,
                     aVerdict.isLifted,
                     aNow + std::min(aVerdict.left, this->quarantine),
                     aNow });
  if (aVerdict.isLifted) {
    this->ForgetExplained(aVerdict.request);
    this->ClearEnds(aVerdict.request, aNow);
  } else {
    this->ExplainEnds(aVerdict.request);
  }
  return true;
}

bool
CrashLedger::OnAnswered(RequestFingerprint aRequest, TimePoint aNow)
{
  this->ClearEnds(aRequest, aNow);
  const auto verdict = this->verdicts.find(aRequest);
  if (verdict == this->verdicts.end() || verdict->second.isLifted) {
    return false;
  }
  this->ForgetExplained(aRequest);
  verdict->second.isLifted = true;
  verdict->second.until = aNow;
  verdict->second.heard = aNow;
  return true;
}

Duration
CrashLedger::QuarantineLeft(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto found = this->verdicts.find(aRequest);
  if (found == this->verdicts.end() || found->second.isLifted) {
    return Duration::zero();
  }
  return std::max(Between(aNow, found->second.until), Duration::zero());
}

CrashStanding
CrashLedger::StandingOf(RequestFingerprint aRequest, TimePoint aNow) const
{
  if (this->QuarantineLeft(aRequest, aNow) > Duration::zero()) {
    return CrashStanding::Quarantined;
  }
  const bool isSuspect =
    this->ScoreOf(aRequest) > 0 || this->IsConvicted(aRequest);
  return isSuspect ? CrashStanding::Suspect : CrashStanding::Clear;
}

bool
CrashLedger::IsUndecided(RequestFingerprint aRequest, TimePoint aNow) const
{
  const auto found = this->suspects.find(aRequest);
  if (found == this->suspects.end()) {
    return false;
  }
  const bool wouldSuffice = Sum(found->second.ends) >= kQuarantineScore;
  const Duration settles =
    wouldSuffice ? Duration(kSettle + kJudgePeriod) : kOthersAreHeard;
  return std::ranges::any_of(found->second.ends, [&](const End& aEnd) {
    return aEnd.weight != CrashWeight::None &&
           Between(aEnd.heard, aNow) < settles;
  });
}

std::uint32_t
CrashLedger::ScoreOf(RequestFingerprint aRequest) const
{
  const auto found = this->suspects.find(aRequest);
  return found == this->suspects.end() ? 0 : Sum(found->second.ends);
}

std::optional<QuarantineVerdict>
CrashLedger::VerdictOf(RequestFingerprint aRequest, TimePoint aNow) const
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

CrashNews
CrashLedger::News(TimePoint aNow) const
{
  const auto isNew = [aNow](TimePoint aHeard) {
    return Between(aHeard, aNow) < kNewFor;
  };
  CrashNews news;
  for (const auto& [request, verdict] : this->verdicts) {
    const Duration left = this->QuarantineLeft(request, aNow);
    if (left > Duration::zero() || isNew(verdict.heard)) {
      news.verdicts.push_back(
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
    for (const End& end : suspect.ends) {
      const bool isToTell =
        end.source == Source::Own || suspect.ends.size() > 1;
      if (isToTell && isNew(end.heard)) {
        lines.push_back(
          { Sum(suspect.ends), { request, end.server, end.weight } });
      }
    }
  }
  std::ranges::sort(lines, std::greater<>(), &Line::score);
  lines.resize(std::min(lines.size(), kMostNews));
  for (const Line& line : lines) {
    news.evidence.push_back(line.evidence);
  }
  std::ranges::sort(news.verdicts, std::greater<>(), &QuarantineVerdict::left);
  news.verdicts.resize(std::min(news.verdicts.size(), kMostNews));
  return news;
}

std::vector<RequestFingerprint>
CrashLedger::Suspects() const
{
  std::vector<RequestFingerprint> requests;
  for (const auto& [request, suspect] : this->suspects) {
    if (Sum(suspect.ends) > 0) {
      requests.push_back(request);
    }
  }
  return requests;
}

void
CrashLedger::Expire(TimePoint aNow)
{
  absl::erase_if(this->suspects, [aNow](const auto& aItem) {
    return Between(aItem.second.touched, aNow) > kMemory;
  });
  absl::erase_if(this->verdicts, [&](const auto& aItem) {
    const bool isOver = Between(aItem.second.until, aNow) > kMemory;
    if (isOver) {
      this->ForgetExplained(aItem.first);
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
