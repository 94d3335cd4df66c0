#include "LeastLoadedChooser.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Mean share of the prefill time that a hint saves. A reported prefix may have
/// been evicted since; for one that this entry only sent there, that is more
/// likely.
constexpr double kReportedSavedShare = 0.9;
constexpr double kLikelySavedShare = 0.6;

/// Share of the reported queue that is served before a request of \p aTier; 1
/// when the queue's tiers are not known.
double
ShareAhead(const LoadReport& aReport, Tier aTier)
{
  if (aReport.queued == 0 || aReport.queuedByTier.empty()) {
    return 1.0;
  }
  double ahead = 0.0;
  const std::size_t tiers = std::min<std::size_t>(aReport.queuedByTier.size(),
                                                  std::size_t{ aTier } + 1);
  for (std::size_t tier = 0; tier < tiers; ++tier) {
    ahead += aReport.queuedByTier[tier];
  }
  return std::min(1.0, ahead / aReport.queued);
}

} // namespace

LeastLoadedChooser::LeastLoadedChooser(LeastLoadedSettings aSettings)
  : settings(aSettings)
{
}

std::optional<InstanceName>
LeastLoadedChooser::Choose(const BackendTable& aTable,
                           const ChoiceRequest& aRequest,
                           TimePoint aNow,
                           std::mt19937_64& aRandom)
{
  double savedShare = 0.0;
  const Backend* holder =
    this->FindPrefixHolder(aTable, aRequest, aNow, savedShare);
  const Backend* best = nullptr;
  double bestWait = 0.0;
  const auto consider = [&](const Backend& aBackend) {
    double wait = this->ExpectedWait(aBackend, aTable, aRequest, aNow);
    if (&aBackend == holder) {
      wait -= this->PrefillMicros(aBackend, aRequest) * savedShare;
    }
    if (best == nullptr || wait < bestWait) {
      best = &aBackend;
      bestWait = wait;
    }
  };
  if (holder != nullptr) {
    consider(*holder);
  }
  // Consecutive servers from a random start: distinct without bookkeeping, and
  // close in memory.
  const std::span<const Backend> all = aTable.All();
  std::size_t position =
    all.empty() ? 0 : internal::DrawPosition(all.size(), aRandom);
  std::uint32_t drawn = 0;
  for (std::size_t seen = 0; seen < all.size() && drawn < this->settings.draws;
       ++seen) {
    const Backend& next = all[position];
    position = position + 1 == all.size() ? 0 : position + 1;
    if (internal::IsCandidate(next, aRequest)) {
      consider(next);
      ++drawn;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->name;
}

double
LeastLoadedChooser::ExpectedWait(const Backend& aBackend,
                                 const BackendTable& aTable,
                                 const ChoiceRequest& aRequest,
                                 TimePoint aNow) const
{
  const LoadReport& report = aBackend.report;
  const double slots = aBackend.Slots();
  const double step = this->StepMicros(aBackend);
  const double weight = this->ReportWeight(aBackend, aNow);
  // The weight of an old report goes to the mean, not to zero load: otherwise
  // all entries would send to a server that is too overloaded to report.
  const double others = weight * aBackend.ReportedByOthers() / slots +
                        (1.0 - weight) * aTable.MeanOthersPerSlot();
  const double load = others + aBackend.inFlight / slots;
  const double prefill = this->PrefillMicros(aBackend, aRequest);
  if (load < 1.0) {
    return step * (1.0 + load) + prefill;
  }
  // Each slot generates one token per step, so the queue drains by `slots`
  // tokens per step. A report without a token estimate falls back to the
  // default, so that a long queue does not appear to take no time.
  const double tokensPerRequest =
    report.queued == 0 || report.queuedTokens == 0
      ? this->settings.defaultTokens
      : static_cast<double>(report.queuedTokens) / report.queued;
  const double ahead = (load - 1.0) * ShareAhead(report, aRequest.tier);
  return step * (2.0 + ahead * tokensPerRequest) + prefill;
}

double
LeastLoadedChooser::ReportWeight(const Backend& aBackend, TimePoint aNow) const
{
  if (!aBackend.HasReport()) {
    return 0.0;
  }
  const auto age =
    static_cast<double>(Between(aBackend.reportedAt, aNow).count());
  const auto decayTime =
    static_cast<double>(this->settings.reportDecayTime.count());
  return this->settings.reportWeight *
         std::exp(-std::max(age, 0.0) / decayTime);
}

double
LeastLoadedChooser::StepMicros(const Backend& aBackend) const
{
  return aBackend.report.stepMicros == 0
           ? static_cast<double>(this->settings.defaultStep.count())
           : aBackend.report.stepMicros;
}

double
LeastLoadedChooser::PrefillMicros(const Backend& aBackend,
                                  const ChoiceRequest& aRequest) const
{
  return this->StepMicros(aBackend) * aRequest.promptTokens /
         this->settings.prefillTokensPerStep;
}

const Backend*
LeastLoadedChooser::FindPrefixHolder(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     double& aSavedShare) const
{
  if (aRequest.prefixHash == 0) {
    return nullptr;
  }
  const PrefixIndex& prefixes = aTable.Prefixes();
  for (const PrefixHolder& holder : prefixes.Find(aRequest.prefixHash)) {
    const Backend* backend = aTable.Find(holder.server);
    if (backend != nullptr && prefixes.IsCurrent(holder, aNow) &&
        internal::IsCandidate(*backend, aRequest)) {
      aSavedShare = prefixes.ConfidenceIn(holder) == PrefixConfidence::Reported
                      ? kReportedSavedShare
                      : kLikelySavedShare;
      return backend;
    }
  }
  return nullptr;
}

} // namespace dogwoodvale
