#ifndef DOGWOODVALE_GATEWAY_PEERDIGEST_H
#define DOGWOODVALE_GATEWAY_PEERDIGEST_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Backpressure"
#include "dogwoodvale/Duties"
#include "dogwoodvale/Placement"
#include "dogwoodvale/Quarantine"
#include "dogwoodvale/Resumption"

namespace dogwoodvale {

/// A prompt that a gateway has just sent to a backend server, whose prefix
/// cache will hold these steps.
struct RoutedPrompt
{
  InstanceName instance;
  /// The token counts are 0 if sent by a gateway of an older version.
  std::vector<PromptStep> steps;
  /// Tokens that the server has to prefill if the prompt is long, else 0.
  std::uint32_t longTokens = 0;
};

/// Identifies the list of backend servers that a gateway has read.
struct ListStamp
{
  /// Checksum: equal for equal lists; 0 if there is no list.
  std::uint64_t checksum = 0;
  /// Time since the store was known to have exactly this list.
  milliseconds age{ 0 };
};

/// The routes in force at a gateway.
struct RoutesStamp
{
  Epoch version = 0;
  /// Time since the store told the gateway that no newer ones are there;
  /// nothing if it has not, or if the gateway is of an older version.
  std::optional<milliseconds> age;
};

/// The part of a digest that concerns usage reports.
struct UsageDigest
{
  /// Since 1970 by the sender's own clock; 0 if it reports no usage.
  milliseconds timeOfDay{ 0 };
  /// Since 1970 by the time on which the gateways agree.
  milliseconds agreedTime{ 0 };
  /// Whether the sender is the one that reports usage.
  bool isReporter = false;
  std::vector<UsageUpdate> counts;
};

/// State that a gateway sends to the others a few times a second, in one
/// datagram. It replaces earlier digests of the same incarnation.
struct PeerDigest
{
  InstanceName gateway;
  Incarnation incarnation = 0;
  /// Rises with each digest of an incarnation, so that receivers can discard
  /// reordered ones.
  std::uint64_t sequence = 0;
  RoutesStamp routes;
  /// For how long the store has answered the sender without a failure; zero
  /// while it does not answer.
  milliseconds storeContact{ 0 };
  /// Load that the sender has placed on each backend server.
  std::vector<WorkLine> work;
  /// Prompts sent since the last digest.
  std::vector<RoutedPrompt> routed;
  CrashUpdate crashes;
  /// Suspects that the sender has in flight.
  std::vector<Fingerprint> suspectsInFlight;
  /// The list of backend servers that the sender has read from the store.
  ListStamp list;
  /// Empty if no usage is reported.
  UsageDigest usage;
  /// Rate limits that backend servers have stated in their answers.
  std::vector<RateUpdate> rates;
  /// Backend servers that have announced their departure in an answer.
  std::vector<LeavingUpdate> leaving;
  /// Loads that backend servers have reported to the sender.
  std::vector<LoadUpdate> loads;
  /// What the sender's streams show of the speed of backend servers.
  std::vector<DecodeUpdate> decode;
  /// Requests that go without an answer.
  std::vector<RankUpdate> ranks;
  /// Use of the services by customer.
  std::vector<ShareUpdate> shares;
  /// What began the streams that callers may resume.
  std::vector<OriginUpdate> origins;
  /// How long after their begin streams of a service may be resumed, where
  /// callers of the sender wait for longer than its routes' timeouts imply.
  std::map<ServiceName, Duration> streamLifetimes;
};

/// Serialises and authenticates a digest.
/// \param aSecret shared by all gateways; ReadDigest() rejects a digest that
/// was made with another one.
std::string
WriteDigest(const PeerDigest& aDigest, std::string_view aSecret);

/// \return InvalidArgument for bytes that are no digest, PermissionDenied for
/// one that was made with another secret.
absl::StatusOr<PeerDigest>
ReadDigest(std::string_view aBytes, std::string_view aSecret);

/// Keyed hash of a text, in hexadecimal: proves that its sender knows the
/// secret.
std::string
ProofOf(std::string_view aText, std::string_view aSecret);

} // namespace dogwoodvale

#endif
