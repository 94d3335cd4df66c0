#ifndef DOGWOODVALE_ROUTING_LEASTLOADEDCHOOSER_H
#define DOGWOODVALE_ROUTING_LEASTLOADEDCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// How LeastLoadedChooser estimates a server's wait.
struct LeastLoadedSettings
{
  /// Servers drawn per choice, the prefix's holder not counted.
  std::uint32_t draws = 8;
  /// What a fresh report counts for; the mean of all counts for the rest. Low,
  /// since a report that came late cannot be told from a fresh one.
  double reportWeight = 0.25;
  /// A report of this age counts for 1/e of a fresh one.
  Duration reportLife = seconds(1);
  /// Prompt tokens that an engine takes in per step.
  std::uint32_t prefillTokensPerStep = 256;
  /// Tokens taken for a request of unknown length.
  std::uint32_t defaultTokens = 200;
  /// Step time taken for a server that has not reported one.
  Duration defaultStep = milliseconds(6);
};

/// Draws some servers, and takes the one with the shortest expected wait.
///
/// The own work at a server is known exactly and counts in full. That of other
/// entries is as old as the last report, so it counts for little and fades into
/// the mean: entries that all trusted the same old report would all run to the
/// same server. A server that probably holds the prefix comes into the
/// comparison, with the prefill that it saves to its credit.
///
/// What the choice gets wrong, the sidecar puts right: see ShouldRefuseEarly().
/// docs/design/routing.md has the measurements.
class LeastLoadedChooser final : public BackendChooser
{
public:
  explicit LeastLoadedChooser(LeastLoadedSettings aSettings = {});

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
