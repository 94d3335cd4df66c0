#include "PrefillStatistics.h"

#include <algorithm>
#include <cmath>

namespace dogwoodvale {

namespace {

/// Weight of a sample in the moving averages, so that about the last 50
/// requests count, a second or two of a busy service.
constexpr double kSampleWeight = 0.02;
/// Weight of a sample in one server's averages, of which a gateway sees fewer.
constexpr double kServerSampleWeight = 0.2;
/// Upper bound of SlownessOf(), so that a server that hung for one prompt does
/// not count as extremely slow from then on.
constexpr double kMaxSlowness = 10.0;
/// Prompts that must be known before any counts as long.
constexpr std::uint32_t kMinSamples = 10;
/// Mean time of a request until one is measured.
constexpr Duration kInitialRequestTime = seconds(1);

} // namespace

void
PrefillStatistics::OnRequest(std::uint32_t aPromptTokens)
{
  ++this->samples;
  const double weight = std::max(kSampleWeight, 1.0 / this->samples);
  this->meanTokens += weight * (aPromptTokens - this->meanTokens);
}

bool
PrefillStatistics::IsLong(std::uint32_t aPromptTokens) const
{
  return this->samples >= kMinSamples && aPromptTokens > this->meanTokens;
}

double
PrefillStatistics::Decayed(const Sum& aSum, TimePoint aNow) const
{
  const double age = static_cast<double>(Between(aSum.at, aNow).count());
  return aSum.tokens *
         std::exp(-age / static_cast<double>(this->MeanRequestTime().count()));
}

void
PrefillStatistics::OnLongPrompt(const InstanceName& aInstance,
                                std::uint32_t aTokens,
                                TimePoint aNow)
{
  Sum& sum = this->sums[aInstance];
  sum.tokens = this->Decayed(sum, aNow) + aTokens;
  sum.at = aNow;
}

double
PrefillStatistics::RecentLongTokens(const InstanceName& aInstance,
                                    TimePoint aNow) const
{
  const auto found = this->sums.find(aInstance);
  return found == this->sums.end() ? 0.0 : this->Decayed(found->second, aNow);
}

void
PrefillStatistics::Forget(const InstanceName& aInstance)
{
  this->sums.erase(aInstance);
  this->speeds.erase(aInstance);
}

void
PrefillStatistics::OnRequestTime(Duration aRequestTime)
{
  const auto micros = static_cast<double>(aRequestTime.count());
  this->meanStayMicros += this->meanStayMicros == 0
                            ? micros
                            : kSampleWeight * (micros - this->meanStayMicros);
}

Duration
PrefillStatistics::MeanRequestTime() const
{
  constexpr double kMinMicros = 1e4;
  return this->meanStayMicros == 0
           ? kInitialRequestTime
           : Duration(static_cast<Duration::rep>(
               std::max(kMinMicros, this->meanStayMicros)));
}

void
PrefillStatistics::OnFirstToken(const InstanceName& aInstance,
                                std::uint64_t aTokens,
                                Duration aLatency)
{
  const auto tokens = static_cast<double>(aTokens);
  // The latency of short prompts is more network round trip than prefill.
  if (tokens < this->meanTokens || aLatency <= Duration::zero()) {
    return;
  }
  const double sample = tokens / static_cast<double>(aLatency.count());
  this->tokensPerMicro += this->tokensPerMicro == 0
                            ? sample
                            : kSampleWeight * (sample - this->tokensPerMicro);
  double& own = this->speeds.try_emplace(aInstance, sample).first->second;
  own += kServerSampleWeight * (sample - own);
}

double
PrefillStatistics::SlownessOf(const InstanceName& aInstance) const
{
  const auto found = this->speeds.find(aInstance);
  if (found == this->speeds.end() || found->second <= 0) {
    return 1.0;
  }
  return std::clamp(this->tokensPerMicro / found->second, 1.0, kMaxSlowness);
}

std::optional<Duration>
PrefillStatistics::ExpectedPrefillTime(std::uint64_t aTokens) const
{
  if (this->tokensPerMicro == 0) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(static_cast<double>(aTokens) /
                                             this->tokensPerMicro));
}

double
PrefillStatistics::TokensIn(Duration aTime) const
{
  return this->tokensPerMicro * static_cast<double>(aTime.count());
}

std::optional<Duration>
PrefillStatistics::HealthSample(std::uint32_t aPromptTokens,
                                std::uint64_t aPrefillTokens,
                                Duration aLatency) const
{
  const std::optional<Duration> expected =
    this->ExpectedPrefillTime(aPrefillTokens);
  if (!this->IsLong(aPromptTokens) || !expected ||
      *expected <= Duration::zero()) {
    return std::nullopt;
  }
  // An arbitrary unit, in microseconds: samples are only compared with each
  // other.
  constexpr Duration::rep kUnit = 100'000;
  return Duration(kUnit * aLatency.count() / expected->count());
}

std::optional<Duration>
PrefillStatistics::WaitBehind(const InstanceName& aInstance,
                              std::uint64_t aTokens) const
{
  const std::optional<Duration> expected = this->ExpectedPrefillTime(aTokens);
  if (!expected) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(expected->count()) * this->SlownessOf(aInstance)));
}

std::optional<double>
PrefillStatistics::TokensPerQueuePosition(std::uint32_t aSlots) const
{
  if (this->tokensPerMicro == 0 || aSlots == 0) {
    return std::nullopt;
  }
  return this->tokensPerMicro *
         static_cast<double>(this->MeanRequestTime().count()) / aSlots;
}

PrefillEstimates
PrefillStatistics::Estimates() const
{
  return { this->meanTokens, this->tokensPerMicro, this->meanStayMicros };
}

void
PrefillStatistics::Seed(const PrefillEstimates& aLearned)
{
  if (this->samples < kMinSamples && aLearned.meanTokens > 0) {
    this->meanTokens = aLearned.meanTokens;
    this->samples = static_cast<std::uint32_t>(1.0 / kSampleWeight);
  }
  if (this->tokensPerMicro == 0) {
    this->tokensPerMicro = aLearned.tokensPerMicro;
  }
  if (this->meanStayMicros == 0) {
    this->meanStayMicros = aLearned.meanStayMicros;
  }
}

} // namespace dogwoodvale
