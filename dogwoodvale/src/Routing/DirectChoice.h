#ifndef DOGWOODVALE_ROUTING_DIRECTCHOICE_H
#define DOGWOODVALE_ROUTING_DIRECTCHOICE_H

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "BackendTable.h"
#include "PrefixIndex.h"
#include "WorkTable.h"

namespace dogwoodvale {

/// One part of a prompt that other requests may share.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// The part and all before it as one number: a cache holds a part only with
/// all before it.
struct PromptStep
{
  PrefixHash hash = 0;
  std::uint32_t tokens = 0;
};

std::vector<PromptStep>
StepsOf(std::span<const PromptPart> aParts);

/// What a request asks of a backend server.
struct DirectDemand
{
  /// Tokens of the prompt in all; 0 for a plain service.
  std::uint32_t promptTokens = 0;
  std::vector<PromptStep> steps;
  /// Longer than the service's mean, see PrefillFlow.
  bool isLong = false;
  /// Prefill that one turn in a full server's queue stands for, see
  /// PrefillFlow::TokensPerTurn().
  double tokensPerTurn = kGuessedTokensPerTurn;

  /// Until it is measured.
  static constexpr double kGuessedTokensPerTurn = 2000.0;
};

/// A backend server as the choice sees it.
struct DirectCandidate
{
  InstanceName name;
  BackendWork work;
  /// Requests that it works on at once; 0 while unknown.
  std::uint32_t slots = 0;
  /// Tokens that fit into its cache; 0 while unknown.
  std::uint64_t cacheTokens = 0;
  Standing standing = Standing::InService;
  /// Prompt tokens that its cache probably holds of this request.
  std::uint32_t cachedTokens = 0;
  /// What it has read of long prompts lately, see PrefillFlow.
  double recentLongTokens = 0;
};

/// Tokens of a prompt that \p aInstance probably holds.
std::uint32_t
CachedTokens(const PrefixIndex& aIndex,
             std::span<const PromptStep> aSteps,
             const InstanceName& aInstance,
             TimePoint aNow);

/// What sending the request there is expected to cost: prefill tokens until its
/// first token for a model, requests per slot for a plain service; lower is
/// better.
/// \param aMostCached the most that any candidate's cache holds of the prompt.
double
DirectCost(const DirectCandidate& aCandidate,
           const DirectDemand& aDemand,
           std::uint32_t aMostCached);

} // namespace dogwoodvale

#endif
