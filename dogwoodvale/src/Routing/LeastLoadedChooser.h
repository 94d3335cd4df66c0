#ifndef DOGWOODVALE_ROUTING_LEASTLOADEDCHOOSER_H
#define DOGWOODVALE_ROUTING_LEASTLOADEDCHOOSER_H

#include "BackendChooser.h"

namespace dogwoodvale {

/// Parameters of the wait estimate of LeastLoadedChooser.
struct LeastLoadedSettings
{
  /// Servers compared per choice, besides one that has the prefix cached.
  std::uint32_t draws = 8;
  /// Weight of a report that has just arrived, 0 to 1; the mean over all
  /// servers has the remaining weight. Low, because a delayed report can't be
  /// told from a recent one.
  double reportWeight = 0.25;
  /// Time constant by which the weight of a report decays: 1/e at this age.
  Duration reportDecayTime = seconds(1);
  /// Prompt tokens that an engine prefills per step.
  std::uint32_t prefillTokensPerStep = 256;
  /// Tokens assumed for a request of unknown length.
  std::uint32_t defaultTokens = 200;
  /// Step time assumed for a server that has not reported one.
  Duration defaultStep = milliseconds(6);
};

/// Compares some randomly drawn servers and picks the one with the shortest
/// expected wait.
///
/// This entry's own requests at a server are known exactly and have full
/// weight. Those of other entries are as old as the last report, so they have a
/// low weight that decays towards the mean: if all entries trusted the same old
/// report, they would all send to the same server. A server that probably has
/// the prefix cached joins the comparison, with the saved prefill time
/// subtracted from its wait.
///
/// A sidecar corrects a wrong choice by an early refusal, see
/// ShouldRefuseEarly(). docs/design/routing.md has the measurements.
class LeastLoadedChooser final : public BackendChooser
{
public:
  explicit LeastLoadedChooser(LeastLoadedSettings aSettings = {});

  std::optional<InstanceName> Choose(const BackendTable& aTable,
                                     const ChoiceRequest& aRequest,
                                     TimePoint aNow,
                                     std::mt19937_64& aRandom) override;

  /// Estimated microseconds to the first token; only meaningful for comparing
  /// servers.
  double ExpectedWait(const Backend& aBackend,
                      const BackendTable& aTable,
                      const ChoiceRequest& aRequest,
                      TimePoint aNow) const;

private:
  double ReportWeight(const Backend& aBackend, TimePoint aNow) const;
  double StepMicros(const Backend& aBackend) const;
  double PrefillMicros(const Backend& aBackend,
                       const ChoiceRequest& aRequest) const;
  /// The most trusted candidate that may have the request's prefix cached; null
  /// if there is none.
  /// \param[out] aSavedShare expected share of the prefill time that it saves.
  const Backend* FindPrefixHolder(const BackendTable& aTable,
                                  const ChoiceRequest& aRequest,
                                  TimePoint aNow,
                                  double& aSavedShare) const;

  LeastLoadedSettings settings;
};

} // namespace dogwoodvale

#endif
