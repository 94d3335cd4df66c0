#ifndef DOGWOODVALE_PLACEMENT_DIRECTCHOICE_H
#define DOGWOODVALE_PLACEMENT_DIRECTCHOICE_H

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "PromptStep.h"
#include "WorkTable.h"

namespace dogwoodvale {

/// What a request asks of a backend server.
struct DirectDemand
{
  /// Tokens of the prompt in all; 0 for a plain service.
  std::uint32_t promptTokens = 0;
  std::vector<PromptStep> steps;
  /// Of these, the tokens that other requests share.
  std::uint32_t sharedTokens = 0;
  /// Place in the order of service, 0 first, see OrderPlaces::inTime.
  std::uint32_t rank = 0;
  /// The same in a full server's queue; the last where ranks are not told apart
  /// there.
  std::uint32_t turnRank = BackendWork::kRanks - 1;
  /// Carries the service's reading: not interactive, or where no request is,
  /// longer than the mean, see PrefillFlow.
  bool isLong = false;
  /// Its answer must not share a server with long reading, see PauseProfile.
  bool isInteractive = false;
  /// Prefill that one turn in a full server's queue stands for, see
  /// PrefillFlow::TokensPerTurn().
  double tokensPerTurn = kGuessedTokensPerTurn;
  /// Tokens that a server reads within the route's target; 0 until measured.
  double tokensPerTarget = 0;

  /// Until it is measured.
  static constexpr double kGuessedTokensPerTurn = 2000.0;
};

/// A backend server as the choice sees it.
struct DirectCandidate
{
  InstanceName name;
  DataCentreName dataCentre;
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
  /// Reserved for interactive requests, see ReservedServers.
  bool isReserved = false;
  /// Of those that may take it, the one that should read a new shared part.
  bool isHome = false;
};

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
