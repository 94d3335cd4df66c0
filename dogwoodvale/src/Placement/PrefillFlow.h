#ifndef DOGWOODVALE_PLACEMENT_PREFILLFLOW_H
#define DOGWOODVALE_PLACEMENT_PREFILLFLOW_H

#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What was learned of a service's reading; zero where nothing was.
struct PrefillLearning
{
  double meanTokens = 0;
  double tokensPerMicro = 0;
  double meanStayMicros = 0;
};

/// Which prompts of a service are long, and how much of them each backend
/// server has had to read lately.
///
/// An engine reads a long prompt in pieces between the steps of the answers
/// that it generates; each piece makes every answer there wait. Answers with a
/// bound on their pauses are late on a server that reads one long prompt after
/// the other, however few requests it has.
class PrefillFlow
{
public:
  /// Learns from a request of the service.
  void OnRequest(std::uint32_t aPromptTokens);
  /// Longer than the mean: those that carry most of the reading.
  bool IsLong(std::uint32_t aPromptTokens) const;

  /// A long prompt was sent to the server, of which it reads \p aTokens.
  void OnLong(const InstanceName& aInstance,
              std::uint32_t aTokens,
              TimePoint aNow);
  /// Tokens of long prompts sent there, each counting less the older it is.
  double Recent(const InstanceName& aInstance, TimePoint aNow) const;
  void Forget(const InstanceName& aInstance);

  /// A request of the service took this long in all.
  void OnStay(Duration aStay);
  /// The mean of it: what a server read in this time tells what it will read
  /// beside the next request.
  Duration MeanStay() const;

  /// A prompt of which \p aTokens had to be read, with what was ahead of it,
  /// had its first token after \p aLatency.
  void OnFirstToken(const InstanceName& aInstance,
                    std::uint64_t aTokens,
                    Duration aLatency);
  /// How much slower the server reads than its peers; 1 where it does not, or
  /// is not known.
  double SlownessOf(const InstanceName& aInstance) const;
  /// What reading so many tokens takes at the service's mean speed; nothing
  /// before it is measured.
  std::optional<Duration> ExpectedRead(std::uint64_t aTokens) const;
  /// Tokens that a server reads in this time at the service's mean speed; 0
  /// before it is measured.
  double TokensIn(Duration aTime) const;
  /// What a first token after \p aLatency says of a server's health, as a time
  /// that can be compared among servers; nothing if it says nothing.
  ///
  /// The latency itself says first of all how much the server had to read:
  /// those that read long prompts look slow beside those that do not, and would
  /// be taken out in turn. So it counts against what the reading takes at the
  /// service's own speed, and only where reading is most of it.
  /// \param aRead tokens of the prompt and of what was ahead.
  std::optional<Duration> HealthSample(std::uint32_t aPromptTokens,
                                       std::uint64_t aRead,
                                       Duration aLatency) const;
  /// When a prompt's turn comes behind \p aTokens at the server; nothing before
  /// the speed is measured.
  std::optional<Duration> WaitBehind(const InstanceName& aInstance,
                                     std::uint64_t aTokens) const;
  /// Prefill that a server does in the time in which one of its slots comes
  /// free, at the mean; nothing before it is measured.
  std::optional<double> TokensPerTurn(std::uint32_t aSlots) const;

  PrefillLearning Learned() const;
  /// Begins with what was learned before, as far as nothing is measured here.
  void Seed(const PrefillLearning& aLearned);

private:
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
  /// Tokens read in a microsecond, of each server.
  absl::flat_hash_map<InstanceName, double> speeds;
};

} // namespace dogwoodvale

#endif
