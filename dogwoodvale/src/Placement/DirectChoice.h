#ifndef DOGWOODVALE_PLACEMENT_DIRECTCHOICE_H
#define DOGWOODVALE_PLACEMENT_DIRECTCHOICE_H

#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "PredictedTimes.h"
#include "PromptStep.h"
#include "WorkTable.h"
#include "dogwoodvale/Resumption"

namespace dogwoodvale {

/// What the placement of a request depends on.
struct DirectDemand
{
  /// All tokens of the prompt; 0 for a service that is not a model.
  std::uint32_t promptTokens = 0;
  std::vector<PromptStep> steps;
  /// Tokens of the prompt that other requests may share.
  std::uint32_t sharedTokens = 0;
  /// Scheduling priority, 0 first, see PriorityLevels::inTime.
  std::uint32_t rank = 0;
  /// Rank among the requests of the service, 0 first, see RouteTable::RankOf().
  std::uint32_t serviceRank = 0;
  /// Priority in the queue of a full server; the last one where these queues do
  /// not distinguish ranks.
  std::uint32_t queueRank = BackendWork::kRanks - 1;
  /// One of the requests that cause most of the service's prefill: those that
  /// are not interactive or, in a service without interactive requests, have a
  /// prompt longer than the mean, see PrefillStatistics.
  bool isLong = false;
  /// Its answer must not share a server with long prefill, see PauseProfile.
  bool isInteractive = false;
  /// Prefill tokens equivalent to one position in a full server's queue, see
  /// PrefillStatistics::TokensPerQueuePosition().
  double tokensPerQueuePosition = kDefaultTokensPerQueuePosition;
  /// Tokens that a server prefills within the route's latency target; 0 until
  /// measured.
  double tokensPerTarget = 0;
  /// Of the route; both zero until known.
  PauseBounds bounds;
  /// Tokens that the prompt and the expected answer take in a server's KV
  /// cache; 0 if servers are chosen regardless of their memory or its size is
  /// not known.
  std::uint64_t memoryTokens = 0;
  /// For a stream that has begun, the version of the software that began it:
  /// only servers of that version may continue it.
  std::optional<std::string> requiredSoftware;

  /// Whether a server of this software version may get the request.
  bool AllowsSoftware(std::string_view aVersion) const
  {
    return !this->requiredSoftware ||
           IsSameSoftware(*this->requiredSoftware, aVersion);
  }

  /// Used until the value is measured.
  static constexpr double kDefaultTokensPerQueuePosition = 2000.0;
};

/// State of a backend server that the choice depends on.
struct DirectCandidate
{
  InstanceName name;
  DataCentreName dataCentre;
  /// Empty if the server states none.
  std::string softwareVersion;
  BackendWork work;
  /// Requests that it processes concurrently; 0 while unknown.
  std::uint32_t slots = 0;
  /// Capacity of its KV cache in tokens; 0 while unknown.
  std::uint64_t cacheTokens = 0;
  HealthState healthState = HealthState::InService;
  /// Tokens of this request's prompt that it probably has cached.
  std::uint32_t cachedTokens = 0;
  /// Recently prefilled tokens of long prompts, see PrefillStatistics.
  double recentLongTokens = 0;
  /// Reserved for interactive requests, see ReservedServers.
  bool isReserved = false;
  /// Among the candidates, the one that should prefill a new shared part, see
  /// HomeScore().
  bool isHome = false;
  /// Requests at the server by its own recent report and what was sent there
  /// since; nothing without a recent report.
  std::optional<std::uint32_t> reportedRequests;
  /// How long work takes there, 1 being the usual time: over some seconds, and
  /// at this moment if a recent report states it.
  double timeFactor = 1.0;
  std::optional<double> presentTimeFactor;
  /// Nothing where requests are not placed by predicted times.
  std::optional<PredictedTimes> predicted;
};

/// Whether it should get no request: it is ejected, or probing with the one
/// request in flight that this state allows.
bool
IsUnavailable(const DirectCandidate& aCandidate);

/// Slots that have to become free at the server before the request gets one.
/// Waiting requests of later ranks are overtaken and do not count.
std::uint32_t
QueuePositionOf(const DirectCandidate& aCandidate, const DirectDemand& aDemand);

/// Expected cost of sending the request to the server, lower is better: for a
/// model the prefill tokens until its first token, weighted with the delay to
/// other requests; for other services the requests per slot. Where times are
/// predicted, tokens count by the time that they take at the server, and the
/// cost of an interactive request is PredictedCost() or, where
/// ExceedsPauseBound(), the long pause in microseconds.
/// \param aMostCached the largest cachedTokens of any candidate.
double
DirectCost(const DirectCandidate& aCandidate,
           const DirectDemand& aDemand,
           std::uint32_t aMostCached);

/// Whether the stream of an interactive request is expected to exceed its bound
/// on pauses at the server; false where times are not predicted.
bool
ExceedsPauseBound(const DirectCandidate& aCandidate,
                  const DirectDemand& aDemand);

/// Whether the server's KV cache is expected to overflow if it gets the
/// request, see LacksMemory(); false where DirectDemand::memoryTokens is 0.
///
/// A shared part counts for the request that brings it to the server. This is
/// too little while later requests with the part outlast that one. Counting the
/// part for each request is too much: in an overload of prompts with shared
/// parts no server seems to have memory, requests leave those that have their
/// part cached, and the prompts on time fall by up to a third.
bool
ExceedsMemory(const DirectCandidate& aCandidate, const DirectDemand& aDemand);

/// Slots that have to become free at the server before the request gets one.
/// Waiting requests of later ranks are overtaken and do not count.
std::uint32_t
QueuePositionOf(const DirectCandidate& aCandidate, const DirectDemand& aDemand);

} // namespace dogwoodvale

#endif
