#ifndef DOGWOODVALE_GATEWAY_PEERDIGEST_H
#define DOGWOODVALE_GATEWAY_PEERDIGEST_H

#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Backpressure"
#include "dogwoodvale/Duties"
#include "dogwoodvale/Placement"
#include "dogwoodvale/Quarantine"

namespace dogwoodvale {

/// A prompt that a gateway has just sent to a backend server, whose cache will
/// hold these steps.
struct RoutedPrompt
{
  InstanceName instance;
  /// Tokens are 0 where a gateway of an older version does not tell them.
  std::vector<PromptStep> steps;
  /// What the server has to read of it if it is long, else 0.
  std::uint32_t longTokens = 0;
};

/// Which list of backend servers a gateway has from the store.
struct ListStamp
{
  /// The same for equal lists; 0 where there is none.
  std::uint64_t sum = 0;
  /// Since the store was known to have just this list.
  milliseconds age{ 0 };
};

/// What a gateway tells of the usage duty.
struct UsageWord
{
  /// Since 1970, by its own clock and as the gateways agree on it; 0 where it
  /// tells none.
  milliseconds timeOfDay{ 0 };
  milliseconds trueTime{ 0 };
  bool holdsDuty = false;
  std::vector<UsageNews> counts;
};

/// What a gateway tells the others, a few times a second, in one datagram. It
/// replaces what the same lifetime of that gateway told before.
struct PeerDigest
{
  InstanceName gateway;
  Incarnation incarnation = 0;
  /// Rises with each digest of one lifetime, so that one that was overtaken is
  /// told from a newer one.
  std::uint64_t sequence = 0;
  /// Version of the routes in force there.
  Epoch routesVersion = 0;
  /// For how long the store has answered it without a break; zero while it
  /// does not.
  milliseconds storeContact{ 0 };
  std::vector<WorkLine> work;
  std::vector<RoutedPrompt> routed;
  CrashNews crashes;
  /// Suspects of which a copy is at a server now, sent by this gateway.
  std::vector<RequestFingerprint> suspectsUnderWay;
  /// The list of backend servers that it has from the store.
  ListStamp list;
  /// What it tells of the usage duty, where there is one.
  UsageWord usage;
  /// Rates that backend servers have named in their answers.
  std::vector<RateNews> rates;
  /// Backend servers that have said in an answer that they leave.
  std::vector<LeavingNews> leaving;
};

/// \param aSecret shared by all gateways; a digest made with another is refused
/// by ReadDigest().
std::string
WriteDigest(const PeerDigest& aDigest, std::string_view aSecret);

absl::StatusOr<PeerDigest>
ReadDigest(std::string_view aBytes, std::string_view aSecret);

/// Proof of knowing the secret for one text, in hexadecimal.
std::string
ProofOf(std::string_view aText, std::string_view aSecret);

} // namespace dogwoodvale

#endif
