#include "DecodeModel.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace dogwoodvale {

namespace {

constexpr std::size_t kTerms = DecodeModel::kTerms;
using Row = std::array<double, kTerms>;

/// Streams, decayed, from which the model counts as learned: five for each
/// coefficient.
constexpr double kMinWeight = 20.0;
/// Weight of the prior in streams: each coefficient is drawn to zero as by this
/// many streams. It decides only where the samples don't, e.g. while all
/// servers have the same number of requests.
constexpr double kPriorWeight = 0.3;
/// Streams that a residual of one, relative to the other servers, counts as.
constexpr double kResidualPrior = 2.0;
/// 90th percentile of longest / mean until measured, and the streams that it
/// counts as.
constexpr double kPriorLongestToMean = 3.0;
constexpr double kPriorLongestWeight = 20.0;
/// Ratios outside are not plausible.
constexpr double kMaxLongestToMean = 100.0;
/// Streams of one gateway, decayed, that are plausible.
constexpr double kMaxWeight = 1e5;
/// Bound on log(actual / predicted) of one stream, so that a server which hung
/// during one stream doesn't count as extremely slow from then on.
constexpr double kMaxLogRatio = 2.302585; // log 10
/// Residuals of lower weight are dropped.
constexpr double kMinResidualWeight = 0.01;
/// Prediction is approximate, and new sums arrive about once a second.
constexpr Duration kSolvePeriod = milliseconds(250);
/// Share of time that prefill leaves to decoding, at least: beyond it, the
/// server doesn't keep up and the formula has no meaning.
constexpr double kMinDecodeShare = 0.1;
constexpr double kMaxPauseMillis = 3.6e6;
/// Bound on RequestsWithin().
constexpr double kMaxRequests = 1e6;

double
Millis(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Duration
FromMillis(double aMillis)
{
  // Not a number compares false, and so becomes the longest pause as well.
  const bool isBelow = aMillis < kMaxPauseMillis;
  const std::chrono::duration<double, std::milli> time(
    isBelow ? std::max(aMillis, 0.0) : kMaxPauseMillis);
  return std::chrono::duration_cast<Duration>(time);
}

double
DecayBetween(TimePoint aFrom, TimePoint aTo, Duration aConstant)
{
  const Duration age = std::max(Between(aFrom, aTo), Duration::zero());
  return std::exp(-Millis(age) / Millis(aConstant));
}

/// Adds \p aOther times \p aFactor, without the residuals.
void
AddScaled(DecodeUpdate& aSum, const DecodeUpdate& aOther, double aFactor)
{
  for (std::size_t i = 0; i < aSum.matrix.size(); ++i) {
    aSum.matrix[i] += aFactor * aOther.matrix[i];
  }
  for (std::size_t i = 0; i < kTerms; ++i) {
    aSum.vector[i] += aFactor * aOther.vector[i];
  }
  aSum.weight += aFactor * aOther.weight;
  aSum.interactiveStreams += aFactor * aOther.interactiveStreams;
  aSum.interactiveTokens += aFactor * aOther.interactiveTokens;
  aSum.interactiveIntervals += aFactor * aOther.interactiveIntervals;
}

void
Scale(DecodeUpdate& aSums, double aFactor)
{
  AddScaled(aSums, aSums, aFactor - 1.0);
}

void
AddRow(DecodeUpdate& aSums, const Row& aRow)
{
  std::size_t at = 0;
  for (std::size_t i = 0; i < kTerms; ++i) {
    for (std::size_t j = i; j < kTerms; ++j) {
      aSums.matrix[at++] += aRow[i] * aRow[j];
    }
    aSums.vector[i] += aRow[i];
  }
  aSums.weight += 1.0;
}

double
Multiply(const Row& aOne, const Row& aOther)
{
  return std::inner_product(aOne.begin(), aOne.end(), aOther.begin(), 0.0);
}

Row
Times(Row aRow, double aFactor)
{
  for (double& term : aRow) {
    term *= aFactor;
  }
  return aRow;
}

/// The equations as they were if the time factor of all streams were larger by
/// \p aFactor.
DecodeUpdate
WithFactor(DecodeUpdate aSums, double aFactor)
{
  for (double& entry : aSums.matrix) {
    entry *= aFactor * aFactor;
  }
  for (double& entry : aSums.vector) {
    entry *= aFactor;
  }
  return aSums;
}

/// The upper triangle of \p aMatrix as a whole matrix.
std::array<Row, kTerms>
Expand(const std::array<double, DecodeUpdate::kMatrixEntries>& aMatrix)
{
  std::array<Row, kTerms> whole{};
  std::size_t at = 0;
  for (std::size_t i = 0; i < kTerms; ++i) {
    for (std::size_t j = i; j < kTerms; ++j) {
      whole[i][j] = whole[j][i] = aMatrix[at++];
    }
  }
  return whole;
}

bool
IsAmount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

/// Whether these can be sums of streams: all terms of a stream are amounts, and
/// the sums satisfy the Cauchy-Schwarz inequality.
bool
IsPlausible(const DecodeUpdate& aSums)
{
  constexpr double kTolerance = 1.0 + 1e-6;
  const bool areAmounts =
    std::ranges::all_of(aSums.matrix, IsAmount) &&
    std::ranges::all_of(aSums.vector, IsAmount) && IsAmount(aSums.weight) &&
    IsAmount(aSums.interactiveStreams) && IsAmount(aSums.interactiveTokens) &&
    IsAmount(aSums.interactiveIntervals) && IsAmount(aSums.longestToMean);
  if (!areAmounts || aSums.weight > kMaxWeight ||
      aSums.interactiveStreams > kMaxWeight ||
      aSums.longestToMean > kMaxLongestToMean) {
    return false;
  }
  const std::array<Row, kTerms> whole = Expand(aSums.matrix);
  for (std::size_t i = 0; i < kTerms; ++i) {
    const double size = std::sqrt(whole[i][i]);
    if (aSums.vector[i] > kTolerance * size * std::sqrt(aSums.weight)) {
      return false;
    }
    for (std::size_t j = i + 1; j < kTerms; ++j) {
      if (whole[i][j] > kTolerance * size * std::sqrt(whole[j][j])) {
        return false;
      }
    }
  }
  return true;
}

bool
IsPlausible(const ServerResidual& aResidual)
{
  constexpr double kTolerance = 1.0 + 1e-6;
  return IsAmount(aResidual.weight) && aResidual.weight <= kMaxWeight &&
         std::isfinite(aResidual.logRatioSum) &&
         std::abs(aResidual.logRatioSum) <=
           kTolerance * kMaxLogRatio * aResidual.weight;
}

/// Solves the symmetric system of the terms in \p aUsed by Cholesky
/// decomposition; the other terms get 0.
/// \return nothing if the matrix is not positive definite.
std::optional<Row>
SolveFor(const std::array<Row, kTerms>& aMatrix,
         const Row& aVector,
         const std::vector<std::size_t>& aUsed)
{
  const std::size_t size = aUsed.size();
  std::array<Row, kTerms> lower{};
  Row half{};
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t j = 0; j <= i; ++j) {
      double rest = aMatrix[aUsed[i]][aUsed[j]];
      for (std::size_t k = 0; k < j; ++k) {
        rest -= lower[i][k] * lower[j][k];
      }
      if (i != j) {
        lower[i][j] = rest / lower[j][j];
        continue;
      }
      if (!(rest > 0)) {
        return std::nullopt;
      }
      lower[i][i] = std::sqrt(rest);
    }
    double rest = aVector[aUsed[i]];
    for (std::size_t k = 0; k < i; ++k) {
      rest -= lower[i][k] * half[k];
    }
    half[i] = rest / lower[i][i];
  }
  Row solution{};
  for (std::size_t i = size; i-- > 0;) {
    double rest = half[i];
    for (std::size_t k = i + 1; k < size; ++k) {
      rest -= lower[k][i] * solution[aUsed[k]];
    }
    solution[aUsed[i]] = rest / lower[i][i];
  }
  return solution;
}

/// Least squares with non-negative coefficients: the most negative coefficient
/// is set to zero and the others are fitted again, until none is negative.
/// \return nothing if the sums don't determine any coefficient.
std::optional<Row>
Fit(const DecodeUpdate& aSums)
{
  std::array<Row, kTerms> matrix = Expand(aSums.matrix);
  Row vector = aSums.vector;
  Row scale{};
  std::vector<std::size_t> used;
  for (std::size_t i = 0; i < kTerms; ++i) {
    if (matrix[i][i] > 0) {
      scale[i] = std::sqrt(matrix[i][i] / aSums.weight);
      used.push_back(i);
    }
  }
  // The terms differ by orders of magnitude; in units of their root mean
  // squares the prior has the same weight for each.
  for (const std::size_t i : used) {
    for (const std::size_t j : used) {
      matrix[i][j] /= scale[i] * scale[j];
    }
    matrix[i][i] += kPriorWeight;
    vector[i] /= scale[i];
  }
  while (!used.empty()) {
    std::optional<Row> solution = SolveFor(matrix, vector, used);
    if (!solution) {
      return std::nullopt;
    }
    const auto least = std::ranges::min_element(
      used, {}, [&solution](std::size_t aTerm) { return (*solution)[aTerm]; });
    if ((*solution)[*least] < 0) {
      used.erase(least);
      continue;
    }
    for (const std::size_t i : used) {
      (*solution)[i] /= scale[i];
    }
    const bool isUsable =
      std::ranges::all_of(*solution, IsAmount) &&
      std::ranges::any_of(*solution, [](double aOne) { return aOne > 0; });
    return isUsable ? solution : std::nullopt;
  }
  return std::nullopt;
}

bool
IsUsable(const StreamSample& aSample)
{
  return aSample.intervals >= DecodeModel::kMinIntervals &&
         aSample.span > Duration::zero() &&
         aSample.longestPause >= Duration::zero() &&
         IsAmount(aSample.meanRequests) && IsAmount(aSample.prefilledTokens) &&
         IsAmount(aSample.prompts) && IsAmount(aSample.ownPrefillTokens) &&
         IsAmount(aSample.reportedFactor) && aSample.reportedFactor > 0;
}

/// The terms of a stream, for a time factor of 1.
Row
TermsOf(const StreamSample& aSample)
{
  const auto intervals = static_cast<double>(aSample.intervals);
  constexpr double kThousand = 1000.0;
  return { intervals,
           intervals * aSample.meanRequests,
           aSample.prefilledTokens / kThousand,
           aSample.prompts };
}

} // namespace

void
DecodeModel::OnStream(const InstanceName& aInstance,
                      const StreamSample& aSample,
                      TimePoint aNow)
{
  if (!IsUsable(aSample)) {
    return;
  }
  const auto intervals = static_cast<double>(aSample.intervals);
  const double span = Millis(aSample.span);
  const Row terms = TermsOf(aSample);
  const double predicted =
    aSample.reportedFactor * Multiply(terms, this->coefficients);
  const bool isPredicted = this->isLearned && predicted > 0;
  if (isPredicted) {
    const double factor = this->FactorOf(aInstance).prediction;
    this->errors.Add(std::abs(factor * predicted / span - 1.0));
  }
  if (this->ownServers.size() < kMaxServers ||
      this->ownServers.contains(aInstance)) {
    OwnServer& server = this->ownServers[aInstance];
    Scale(server.sums, DecayBetween(server.at, aNow, kSumsTime));
    server.at = std::max(server.at, aNow);
    AddRow(server.sums, Times(terms, aSample.reportedFactor / span));
    if (isPredicted) {
      Residual& residual = server.residual;
      const double decay = DecayBetween(residual.at, aNow, kResidualTime);
      residual.logRatioSum =
        residual.logRatioSum * decay +
        std::clamp(std::log(span / predicted), -kMaxLogRatio, kMaxLogRatio);
      residual.weight = residual.weight * decay + 1.0;
      residual.at = std::max(residual.at, aNow);
      residual.isUnsent = true;
      for (std::size_t i = 0; i < kTerms; ++i) {
        server.terms[i] = server.terms[i] * decay + terms[i] / intervals;
      }
    }
  }
  Scale(this->ownOther, DecayBetween(this->ownAt, aNow, kSumsTime));
  this->ownAt = std::max(this->ownAt, aNow);
  if (aSample.isInteractive) {
    this->ownOther.interactiveStreams += 1.0;
    this->ownOther.interactiveTokens += aSample.ownPrefillTokens;
    this->ownOther.interactiveIntervals += intervals;
  }
  this->ratios.Add(std::clamp(
    Millis(aSample.longestPause) * intervals / span, 1.0, kMaxLongestToMean));
  this->SolveIfDue(aNow);
}

void
DecodeModel::Fold(const OwnServer& aServer, double aFitFactor)
{
  const TimePoint at = std::max(this->ownAt, aServer.at);
  Scale(this->ownOther, DecayBetween(this->ownAt, at, kSumsTime));
  this->ownAt = at;
  AddScaled(this->ownOther,
            WithFactor(aServer.sums, aFitFactor),
            DecayBetween(aServer.at, at, kSumsTime));
}

void
DecodeModel::Take(Peer& aPeer, const DecodeUpdate& aUpdate, TimePoint aNow)
{
  aPeer.receivedAt = aNow;
  aPeer.sums = aUpdate;
  aPeer.sums.residuals.clear();
  for (const ServerResidual& residual : aUpdate.residuals) {
    const bool hasRoom = aPeer.residuals.size() < kMaxServers ||
                         aPeer.residuals.contains(residual.instance);
    if (hasRoom && IsPlausible(residual)) {
      aPeer.residuals[residual.instance] = { .logRatioSum =
                                               residual.logRatioSum,
                                             .weight = residual.weight,
                                             .at = aNow };
    }
  }
}

void
DecodeModel::OnPeerUpdate(const InstanceName& aGateway,
                          Incarnation aIncarnation,
                          std::uint64_t aSequence,
                          const DecodeUpdate& aUpdate,
                          TimePoint aNow)
{
  const auto found = this->peers.find(aGateway);
  const bool isKnown = found != this->peers.end();
  if (aGateway.Value().empty() || !IsPlausible(aUpdate) ||
      (!isKnown && this->peers.size() >= kMaxPeers)) {
    return;
  }
  if (isKnown && found->second.incarnation == aIncarnation &&
      aSequence <= found->second.sequence) {
    return;
  }
  Peer& peer = this->peers[aGateway];
  if (peer.incarnation != aIncarnation) {
    peer = {};
  }
  peer.incarnation = aIncarnation;
  peer.sequence = aSequence;
  this->Take(peer, aUpdate, aNow);
  // A gateway that has just started must not wait for its own streams.
  if (this->isLearned) {
    this->SolveIfDue(aNow);
  } else {
    this->Solve(aNow);
  }
}

std::optional<DecodeUpdate>
DecodeModel::TakeUpdate(TimePoint aNow)
{
  if (this->sentAt && Between(*this->sentAt, aNow) < kUpdatePeriod) {
    return std::nullopt;
  }
  DecodeUpdate update = this->OwnSums(aNow);
  if (update.weight < kMinResidualWeight) {
    return std::nullopt;
  }
  this->sentAt = aNow;
  update.longestToMean = this->ratios.Value().value_or(0);
  std::vector<std::pair<const InstanceName, OwnServer>*> unsent;
  for (auto& entry : this->ownServers) {
    if (entry.second.residual.isUnsent) {
      unsent.push_back(&entry);
    }
  }
  // Those sent longest ago come first, so that none is left out for ever.
  if (unsent.size() > kMaxResidualsPerUpdate) {
    std::ranges::sort(unsent, {}, [](const auto* aEntry) {
      return aEntry->second.residual.sentAt;
    });
    unsent.resize(kMaxResidualsPerUpdate);
  }
  for (auto* entry : unsent) {
    Residual& residual = entry->second.residual;
    const double decay = DecayBetween(residual.at, aNow, kResidualTime);
    update.residuals.push_back(
      { entry->first, residual.logRatioSum * decay, residual.weight * decay });
    residual.isUnsent = false;
    residual.sentAt = aNow;
  }
  return update;
}

DecodeUpdate
DecodeModel::OwnSums(TimePoint aNow) const
{
  DecodeUpdate sums;
  AddScaled(sums, this->ownOther, DecayBetween(this->ownAt, aNow, kSumsTime));
  for (const auto& [name, server] : this->ownServers) {
    AddScaled(sums,
              WithFactor(server.sums, this->FactorOf(name).fit),
              DecayBetween(server.at, aNow, kSumsTime));
  }
  return sums;
}

DecodeUpdate
DecodeModel::Total(TimePoint aNow) const
{
  DecodeUpdate total = this->OwnSums(aNow);
  double longestSum = kPriorLongestWeight * kPriorLongestToMean;
  double longestWeight = kPriorLongestWeight;
  if (const std::optional<double> ratio = this->ratios.Value()) {
    longestSum += *ratio * total.weight;
    longestWeight += total.weight;
  }
  for (const auto& [name, peer] : this->peers) {
    const double decay = DecayBetween(peer.receivedAt, aNow, kSumsTime);
    AddScaled(total, peer.sums, decay);
    if (peer.sums.longestToMean >= 1.0) {
      longestSum += peer.sums.longestToMean * peer.sums.weight * decay;
      longestWeight += peer.sums.weight * decay;
    }
  }
  total.longestToMean = longestSum / longestWeight;
  return total;
}

DecodeModel::Residuals
DecodeModel::TotalResiduals(TimePoint aNow) const
{
  Residuals total;
  const auto add = [&](const InstanceName& aName, const Residual& aOne) {
    const double decay = DecayBetween(aOne.at, aNow, kResidualTime);
    Residual& sum = total[aName];
    sum.logRatioSum += aOne.logRatioSum * decay;
    sum.weight += aOne.weight * decay;
  };
  for (const auto& [name, server] : this->ownServers) {
    add(name, server.residual);
  }
  for (const auto& [gateway, peer] : this->peers) {
    for (const auto& [name, residual] : peer.residuals) {
      add(name, residual);
    }
  }
  return total;
}

DecodeUpdate
DecodeModel::Sums(TimePoint aNow) const
{
  DecodeUpdate sums = this->Total(aNow);
  for (const auto& [name, residual] : this->TotalResiduals(aNow)) {
    if (residual.weight >= kMinResidualWeight &&
        sums.residuals.size() < kMaxServers) {
      sums.residuals.push_back({ name, residual.logRatioSum, residual.weight });
    }
  }
  return sums;
}

void
DecodeModel::Seed(const DecodeUpdate& aSums, TimePoint aNow)
{
  if (this->isLearned || !IsPlausible(aSums)) {
    return;
  }
  Peer& seed = this->peers[InstanceName()];
  seed = {};
  this->Take(seed, aSums, aNow);
  this->Solve(aNow);
}

void
DecodeModel::Forget(const InstanceName& aInstance)
{
  const auto found = this->ownServers.find(aInstance);
  if (found != this->ownServers.end()) {
    this->Fold(found->second, this->FactorOf(aInstance).fit);
    this->ownServers.erase(found);
  }
  this->factors.erase(aInstance);
  for (auto& [name, peer] : this->peers) {
    peer.residuals.erase(aInstance);
  }
}

void
DecodeModel::RunMaintenance(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aItem) {
    return Between(aItem.second.receivedAt, aNow) > kPeerTtl;
  });
  for (auto& [name, peer] : this->peers) {
    std::erase_if(peer.residuals, [aNow](const auto& aItem) {
      const Residual& one = aItem.second;
      return one.weight * DecayBetween(one.at, aNow, kResidualTime) <
             kMinResidualWeight;
    });
  }
  this->SolveIfDue(aNow);
}

void
DecodeModel::SolveIfDue(TimePoint aNow)
{
  if (!this->solvedAt || Between(*this->solvedAt, aNow) >= kSolvePeriod) {
    this->Solve(aNow);
  }
}

void
DecodeModel::Solve(TimePoint aNow)
{
  this->solvedAt = aNow;
  const DecodeUpdate total = this->Total(aNow);
  this->longestToMean = total.longestToMean;
  // With fewer streams, the earlier estimates are better than new ones.
  if (total.weight >= kMinWeight) {
    if (const std::optional<Row> fitted = Fit(total)) {
      this->SetCoefficients(*fitted);
    }
  }
  if (total.interactiveStreams >= 1.0) {
    this->interactiveIntervals =
      total.interactiveIntervals / total.interactiveStreams;
    this->interactiveTokens =
      total.interactiveTokens / total.interactiveStreams;
  }
  this->UpdateFactors(aNow);
}

void
DecodeModel::SetCoefficients(const Row& aCoefficients)
{
  // The residuals are relative to the coefficients, so they follow them.
  for (auto& [name, server] : this->ownServers) {
    const double before = Multiply(server.terms, this->coefficients);
    const double after = Multiply(server.terms, aCoefficients);
    if (before > 0 && after > 0) {
      Residual& residual = server.residual;
      const double bound = kMaxLogRatio * residual.weight;
      residual.logRatioSum = std::clamp(
        residual.logRatioSum + residual.weight * std::log(before / after),
        -bound,
        bound);
    }
  }
  this->coefficients = aCoefficients;
  this->isLearned = true;
}

void
DecodeModel::UpdateFactors(TimePoint aNow)
{
  const Residuals residuals = this->TotalResiduals(aNow);
  double logSum = 0;
  double weight = kResidualPrior;
  for (const auto& [name, residual] : residuals) {
    logSum += residual.logRatioSum;
    weight += residual.weight;
  }
  const double mean = logSum / weight;
  this->meanFactor = std::clamp(std::exp(mean), kMinResidual, kMaxResidual);
  this->factors.clear();
  for (const auto& [name, residual] : residuals) {
    const double log = (residual.logRatioSum + kResidualPrior * mean) /
                       (residual.weight + kResidualPrior);
    ServerFactor& factor = this->factors[name];
    factor.prediction = std::clamp(std::exp(log), kMinResidual, kMaxResidual);
    factor.fit = std::clamp(std::exp(log - mean), kMinResidual, kMaxResidual);
  }
}

DecodeModel::ServerFactor
DecodeModel::FactorOf(const InstanceName& aInstance) const
{
  const auto found = this->factors.find(aInstance);
  return found == this->factors.end()
           ? ServerFactor{ .prediction = this->meanFactor }
           : found->second;
}

double
DecodeModel::TimeFactorOf(const InstanceName& aInstance,
                          std::optional<double> aReported) const
{
  const double reported = aReported.value_or(1.0);
  const bool isUsable = std::isfinite(reported) && reported > 0;
  return (isUsable ? reported : 1.0) * this->FactorOf(aInstance).prediction;
}

std::optional<Duration>
DecodeModel::MeanPause(const DecodeLoad& aLoad) const
{
  if (!this->isLearned) {
    return std::nullopt;
  }
  constexpr double kThousand = 1000.0;
  const auto& [perInterval, perRequest, perThousand, perPrompt] =
    this->coefficients;
  const double tokens = aLoad.tokensPerSecond / kThousand; // per ms
  const double prompts = aLoad.promptsPerSecond / kThousand;
  const double decodeShare =
    1.0 -
    aLoad.timeFactor * (perThousand * tokens / kThousand + perPrompt * prompts);
  return FromMillis(aLoad.timeFactor *
                    (perInterval + perRequest * aLoad.requests) /
                    std::max(decodeShare, kMinDecodeShare));
}

std::optional<Duration>
DecodeModel::LongPause(const DecodeLoad& aLoad) const
{
  const std::optional<Duration> mean = this->MeanPause(aLoad);
  if (!mean) {
    return std::nullopt;
  }
  return FromMillis(Millis(*mean) * this->longestToMean);
}

std::optional<double>
DecodeModel::RequestsWithin(Duration aBound, double aTimeFactor) const
{
  if (!this->isLearned || !std::isfinite(aTimeFactor) || aTimeFactor <= 0) {
    return std::nullopt;
  }
  constexpr double kThousand = 1000.0;
  const auto& [perInterval, perRequest, perThousand, perPrompt] =
    this->coefficients;
  const double promptTime =
    perThousand * this->interactiveTokens / kThousand + perPrompt;
  const double perOne = this->interactiveIntervals > 0
                          ? perRequest + promptTime / this->interactiveIntervals
                          : perRequest;
  const double left =
    Millis(aBound) / (this->longestToMean * aTimeFactor) - perInterval;
  if (left <= 0) {
    return 0.0;
  }
  return left < perOne * kMaxRequests ? left / perOne : kMaxRequests;
}

} // namespace dogwoodvale
