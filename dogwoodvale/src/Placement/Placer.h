#ifndef DOGWOODVALE_PLACEMENT_PLACER_H
#define DOGWOODVALE_PLACEMENT_PLACER_H

#include <memory>
#include <optional>
#include <random>
#include <span>

#include "CacheFetch.h"
#include "DirectChooser.h"
#include "PrefillStatistics.h"
#include "PriorityLevels.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Whether the first token of an answer can still arrive within the latency
/// target.
///
/// A queue that forms in the first seconds of an overload delays every prompt
/// by the same wait. One that is late anyway loses little by waiting longer,
/// and those that overtake it are in time: at 24 simulated engines 0.37 of the
/// long prompts are in time, and 0.28 in order of arrival (three seeds,
/// test/PlacementUnderLoad.cpp).
enum class Timeliness : std::uint8_t
{
  InTime,
  /// It will miss the target at any server, so the others overtake it.
  Late,
  /// It would wait so long that it is refused, to be retried later.
  Hopeless,
};

std::string_view
TimelinessName(Timeliness aTimeliness);

/// A request to be placed, for its first attempt or a retry.
struct PlacementRequest
{
  const DirectDemand& demand;
  PriorityLevels priorities;
  /// The route's target for the time to the first token.
  Duration target{ 0 };
  /// Time since the request was accepted.
  Duration spent{ 0 };
  /// Maximum tokens of the answer.
  std::uint32_t outputTokens = 0;
  /// It has not been sent to any server, so it may still be refused.
  bool isFirst = true;
  /// Its answer has begun and has to be continued: others do not overtake it.
  bool hasBegun = false;
  /// A server may have prefilled it already. The server then fetches nothing,
  /// as a source that does not answer in time could fail a second attempt too.
  bool mayHaveBeenPrefilled = false;
};

/// The server chosen for a request, and what is expected there.
struct Placement
{
  /// Index in the candidates that were given.
  std::size_t server = 0;
  Timeliness timeliness = Timeliness::InTime;
  /// The request's scheduling priority at the server, 0 first.
  std::uint32_t priority = 0;
  /// The server from which cached parts of the prompt are copied, if any.
  std::optional<FetchSource> fetch;
  /// Work that the request adds to the server.
  BackendWork work;
  /// Tokens that the server prefills before this request.
  std::uint64_t prefillAhead = 0;
  /// Expected time until its prefill starts; zero until the service's prefill
  /// speed is measured.
  Duration wait{ 0 };
  /// Expected time until its first token; zero likewise.
  Duration firstToken{ 0 };
  /// See ExceedsMemory().
  bool exceedsMemory = false;
  /// The largest number of the prompt's tokens that any candidate has cached.
  std::uint32_t mostCachedTokens = 0;
};

/// Decides for a request which server gets it, whether the server fetches
/// cached parts, its scheduling priority there, and whether it is refused
/// instead.
class Placer
{
public:
  struct Options
  {
    /// See CacheFetchPolicy.
    bool fetchesCaches = true;
    /// Prompts that will be late are overtaken by the others; if false, they
    /// are refused sooner instead.
    bool lateLast = true;
    /// Only prefill of the same or an earlier priority counts towards a
    /// request's wait; if false, all queued prefill does.
    bool rankedReading = true;
  };

  static Options OptionsOf(const GatewayDecisions& aDecisions);

  /// \param aChooser not null.
  Placer(std::unique_ptr<DirectChooser> aChooser, Options aOptions);

  /// \return nothing if there is no candidate.
  std::optional<Placement> Place(std::span<const DirectCandidate> aCandidates,
                                 const PlacementRequest& aRequest,
                                 const PrefillStatistics& aStatistics,
                                 std::mt19937_64& aRandom);

private:
  /// Sets the timeliness, priority and expected times of \p aPlacement.
  void SetExpectations(const DirectCandidate& aServer,
                       const PlacementRequest& aRequest,
                       std::uint32_t aPrefillTokens,
                       const PrefillStatistics& aStatistics,
                       Placement& aPlacement) const;

  std::unique_ptr<DirectChooser> chooser;
  std::unique_ptr<CacheFetchPolicy> fetches;
  Options options;
};

} // namespace dogwoodvale

#endif
