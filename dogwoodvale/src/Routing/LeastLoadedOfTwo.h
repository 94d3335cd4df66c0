#ifndef DOGWOODVALE_ROUTING_LEASTLOADEDOFTWO_H
#define DOGWOODVALE_ROUTING_LEASTLOADEDOFTWO_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// How LeastLoadedOfTwo estimates a server's wait.
struct LeastLoadedSettings
{
  /// Servers drawn per choice, the prefix's holder not counted.
  std::uint32_t draws = 2;
  /// A report of this age counts for 1/e, and the mean of all for the rest.
  Duration reportLife = seconds(5);
  /// Prompt tokens that an engine takes in per step.
  std::uint32_t prefillTokensPerStep = 256;
  /// Tokens taken for a request of unknown length.
  std::uint32_t defaultTokens = 200;
  /// Step time taken for a server that has not reported one.
  Duration defaultStep = milliseconds(6);
};

/// Draws two servers, and takes the one with the shorter expected wait.
///
/// Looking at two only, out of a random draw, keeps many entries with the same
/// old reports from all running to the same server. The expected wait is made
/// of the last report, which counts less the older it is, and of the own work
/// since then. A server that probably holds the prefix comes into the
/// comparison as a third, with the prefill that it saves to its credit.
class LeastLoadedOfTwo final : public BackendChooser
{
public:
  explicit LeastLoadedOfTwo(LeastLoadedSettings aSettings = {});

  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;

  /// Expected microseconds to the first token; for comparison only.
  double ExpectedWait(const Backend& aBackend,
                      const BackendTable& aTable,
                      const ChoiceRequest& aRequest,
                      TimePoint aNow) const;

private:
  double ReportWeight(const Backend& aBackend, TimePoint aNow) const;
  double StepMicros(const Backend& aBackend) const;
  double PrefillMicros(const Backend& aBackend,
                       const ChoiceRequest& aRequest) const;
  const Backend* FindHolder(const BackendTable& aTable,
                            const ChoiceRequest& aRequest,
                            TimePoint aNow,
                            double& aTrust) const;

  LeastLoadedSettings settings;
};

} // namespace dogwoodvale

#endif
