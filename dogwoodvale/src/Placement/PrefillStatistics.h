#ifndef DOGWOODVALE_PLACEMENT_PREFILLSTATISTICS_H
#define DOGWOODVALE_PLACEMENT_PREFILLSTATISTICS_H

#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// Measured averages of a service's prefill, to be saved over a restart; zero
/// for those not measured.
struct PrefillEstimates
{
  /// Mean tokens of a prompt.
  double meanTokens = 0;
  /// Prefill speed in tokens per microsecond.
  double tokensPerMicro = 0;
  /// Mean time of a request from start to completion, in microseconds.
  double meanStayMicros = 0;
};

/// Statistics of the prefill of one service: which prompts are long, how many
/// tokens of long prompts each backend server has prefilled recently, and how
/// fast servers prefill.
///
/// An engine prefills a long prompt in chunks between the decoding steps of the
/// answers that it generates, and each chunk stalls all of these. Answers with
/// a bound on their pauses are late on a server that prefills one long prompt
/// after the other, however few requests it has.
class PrefillStatistics
{
public:
  /// Records the prompt of a request of the service.
  void OnRequest(std::uint32_t aPromptTokens);
  /// Whether the prompt is longer than the mean, as those that cause most of
  /// the prefill are; false until enough prompts are known.
  bool IsLong(std::uint32_t aPromptTokens) const;

  /// Records that a long prompt was sent to the server, which prefills
  /// \p aTokens of it.
  void OnLongPrompt(const InstanceName& aInstance,
                    std::uint32_t aTokens,
                    TimePoint aNow);
  /// Tokens of long prompts sent to the server, decaying exponentially with the
  /// time constant MeanRequestTime().
  double RecentLongTokens(const InstanceName& aInstance, TimePoint aNow) const;
  /// The server is gone: drops its statistics.
  void Forget(const InstanceName& aInstance);

  /// Records the time of a request of the service from start to completion.
  void OnRequestTime(Duration aRequestTime);
  /// Moving average of these times. The prefill of a server in the last such
  /// period predicts its prefill during the next request.
  Duration MeanRequestTime() const;

  /// Records that a first token came after \p aLatency.
  /// \param aTokens tokens that the server had to prefill until then, of the
  /// prompt and of those ahead of it.
  void OnFirstToken(const InstanceName& aInstance,
                    std::uint64_t aTokens,
                    Duration aLatency);
  /// Factor by which the server prefills slower than the service's mean, from 1
  /// to 10; 1 if it is not slower or not known.
  double SlownessOf(const InstanceName& aInstance) const;
  /// Time to prefill so many tokens at the service's mean speed; nothing until
  /// the speed is measured.
  std::optional<Duration> ExpectedPrefillTime(std::uint64_t aTokens) const;
  /// Tokens that a server prefills in this time at the service's mean speed; 0
  /// until the speed is measured.
  double TokensIn(Duration aTime) const;
  /// Normalises the latency of a first token so that it can be compared between
  /// servers to judge their health: 100 ms means that it took as long as
  /// ExpectedPrefillTime().
  ///
  /// The latency itself depends mainly on how much the server had to prefill:
  /// servers with long prompts would look slow beside the others and be ejected
  /// one after the other. So it is divided by the time that the prefill takes
  /// at the service's mean speed, for long prompts only, where prefill is most
  /// of the latency.
  /// \param aPrefillTokens tokens of the prompt and of those ahead of it.
  /// \return nothing for a short prompt or before the speed is measured.
  std::optional<Duration> HealthSample(std::uint32_t aPromptTokens,
                                       std::uint64_t aPrefillTokens,
                                       Duration aLatency) const;
  /// Expected time for the server to prefill \p aTokens, by the service's mean
  /// speed and its own slowness; nothing until the speed is measured.
  std::optional<Duration> WaitBehind(const InstanceName& aInstance,
                                     std::uint64_t aTokens) const;
  /// Tokens that a server prefills in the mean time until one of its slots
  /// becomes free; nothing if this is not measured or \p aSlots is 0.
  std::optional<double> TokensPerQueuePosition(std::uint32_t aSlots) const;

  /// The averages measured so far, for Seed() after a restart.
  PrefillEstimates Estimates() const;
  /// Takes averages measured before a restart for those not measured yet.
  void Seed(const PrefillEstimates& aLearned);

private:
  /// Sum of tokens, decayed to the time \c at.
  struct Sum
  {
    double tokens = 0;
    TimePoint at{};
  };
  double Decayed(const Sum& aSum, TimePoint aNow) const;

  double meanTokens = 0;
  std::uint32_t samples = 0;
  double meanStayMicros = 0;
  double tokensPerMicro = 0;
  absl::flat_hash_map<InstanceName, Sum> sums;
  /// Prefill speed of each server, in tokens per microsecond.
  absl::flat_hash_map<InstanceName, double> speeds;
};

} // namespace dogwoodvale

#endif
