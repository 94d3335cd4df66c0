#ifndef DOGWOODVALE_PLACEMENT_PLACER_H
#define DOGWOODVALE_PLACEMENT_PLACER_H

#include <memory>
#include <optional>
#include <random>
#include <span>

#include "CacheFetch.h"
#include "DirectChooser.h"
#include "OrderOfService.h"
#include "PrefillFlow.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Whether a prompt's first token can still come within its target.
///
/// A queue that forms in the first seconds of a rush makes every prompt late by
/// the same wait. One that is late anyway loses little by waiting longer, and
/// those that pass it are in time: at 24 modelled engines 0.37 of the long
/// prompts are, and 0.28 with all in the order of their coming (three seeds,
/// test/PlacementUnderLoad.cpp).
enum class Timeliness : std::uint8_t
{
  InTime,
  /// It will miss the target wherever it goes, so it lets the others pass.
  Late,
  /// It would wait so long that coming back later is better.
  Hopeless,
};

std::string_view
TimelinessName(Timeliness aTimeliness);

/// A request to be placed, for the first time or once more.
struct PlacementRequest
{
  const DirectDemand& demand;
  OrderPlaces places;
  /// Of the route, to the first token.
  Duration target{ 0 };
  /// Since the request was accepted.
  Duration spent{ 0 };
  /// Most tokens of the answer.
  std::uint32_t outputTokens = 0;
  /// It was sent to no server yet, so it may be refused.
  bool isFirst = true;
  /// Its answer has begun and is to go on: others have no claim to pass it.
  bool hasBegun = false;
  /// A server may have read it already. It fetches nothing then: a source that
  /// keeps the server waiting would cost a second attempt too.
  bool wasRead = false;
};

/// Where a request goes, and what is expected there.
struct Placement
{
  /// Place in the candidates that were given.
  std::size_t server = 0;
  Timeliness timeliness = Timeliness::InTime;
  /// The request's in the server's order of service.
  std::uint32_t place = 0;
  /// From where the server copies parts of the prompt, if it does.
  std::optional<FetchSource> fetch;
  /// What the request adds to the server's work.
  BackendWork work;
  /// Tokens that the server reads before its turn.
  std::uint64_t prefillAhead = 0;
  /// Until its turn, and until its first token; zero before the service's speed
  /// is measured.
  Duration wait{ 0 };
  Duration firstToken{ 0 };
  /// The most that any candidate's cache holds of the prompt.
  std::uint32_t mostCachedTokens = 0;
};

/// Decides where requests go: the server, whether it fetches cached parts, its
/// place in the server's order of service, and whether it is refused instead.
class Placer
{
public:
  struct Options
  {
    /// See CacheFetchPolicy.
    bool fetchesCaches = true;
    /// Prompts that will be late let the others pass; otherwise they are
    /// refused sooner.
    bool lateLast = true;
    /// Only reading that comes first by rank counts as a request's wait.
    bool rankedReading = true;
  };

  static Options OptionsOf(const GatewayDecisions& aDecisions);

  /// \param aChooser not null.
  Placer(std::unique_ptr<DirectChooser> aChooser, Options aOptions);

  /// \return nothing where no candidate takes it.
  std::optional<Placement> Place(std::span<const DirectCandidate> aCandidates,
                                 const PlacementRequest& aRequest,
                                 const PrefillFlow& aFlow,
                                 std::mt19937_64& aRandom);

private:
  void Judge(const DirectCandidate& aServer,
             const PlacementRequest& aRequest,
             std::uint32_t aToRead,
             const PrefillFlow& aFlow,
             Placement& aPlacement) const;

  std::unique_ptr<DirectChooser> chooser;
  std::unique_ptr<CacheFetchPolicy> fetches;
  Options options;
};

} // namespace dogwoodvale

#endif
