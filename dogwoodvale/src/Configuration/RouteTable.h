#ifndef DOGWOODVALE_CONFIGURATION_ROUTETABLE_H
#define DOGWOODVALE_CONFIGURATION_ROUTETABLE_H

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What may be repeated on a route, and how its answers come.
enum class RouteKind : std::uint8_t
{
  Idempotent,
  NonIdempotent,
  /// Answers are server-sent events.
  Streaming,
};

/// One of the services among which a route divides its requests.
struct WeightedService
{
  ServiceName service;
  double weight = 1;
};

/// How the requests of one host under one path prefix are served.
struct HostRoute
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::NonIdempotent;
  /// A request without its final answer by then gets one.
  Duration timeout = seconds(60);
  /// To the whole answer, or to a stream's first event.
  Duration target = seconds(1);
  /// Longest pause between events with which a stream is still on time.
  Duration targetGap = seconds(1);
  Tier tier = 0;
  std::vector<WeightedService> services;
  /// Backend servers that may read one request.
  std::uint32_t maxAttempts = 1;
  /// Needs no API key.
  bool isPublic = false;
  /// Its requests name the parts of their prompts.
  bool hasPrompts = false;
  /// A stream may go on at another backend server from its last event.
  bool isResumable = false;

  /// Whether a request that may have run may be sent again.
  bool MayRepeat() const
  {
    return this->kind == RouteKind::Idempotent ||
           (this->kind == RouteKind::Streaming && this->isResumable);
  }
};

/// What is known of a service beside its instances.
struct DirectService
{
  ServiceName name;
  /// Connections that one backend server takes, from all callers together.
  std::uint32_t maxConnections = 64;
  /// Requests that one backend server works on at once; 0 while unknown.
  std::uint32_t slots = 0;
  /// Tokens that fit into one model engine's KV cache; 0 for other services.
  std::uint64_t cacheTokens = 0;
};

/// A customer, its API keys, and its tier where that goes before a route's.
struct KeyedCustomer
{
  CustomerName name;
  std::vector<std::string> keys;
  std::optional<Tier> tier;
};

/// Bounds on what callers may send; 0 where there is none.
struct CallerLimits
{
  std::size_t headerBytes = 0;
  std::size_t bodyBytes = 0;
  Duration headerTimeout{ 0 };
  Duration idleTimeout{ 0 };
};

struct RouteTableParts
{
  /// Rises with each change; 0 is none.
  Epoch version = 0;
  std::vector<HostRoute> routes;
  std::vector<DirectService> services;
  std::vector<KeyedCustomer> customers;
  /// Requests need a key though no customer is left.
  bool needsKeys = false;
  CallerLimits limits;
};

/// One version of the routes, services and customers; immutable, so that a
/// request keeps the version it was accepted under.
class RouteTable
{
public:
  /// Checks the parts against each other.
  /// \return InvalidArgument that names every finding.
  static absl::StatusOr<std::shared_ptr<const RouteTable>> Create(
    RouteTableParts aParts);

  Epoch Version() const { return this->parts.version; }
  const CallerLimits& Limits() const { return this->parts.limits; }
  std::size_t RouteCount() const { return this->parts.routes.size(); }

  /// The route of the host with the longest prefix that begins the path;
  /// nullptr if there is none. A port in \p aHost and a query do not count.
  const HostRoute* FindRoute(std::string_view aHost,
                             std::string_view aPath) const;
  const DirectService* FindService(const ServiceName& aName) const;
  const KeyedCustomer* FindCustomer(std::string_view aKey) const;
  /// Place of a request in the order in which a service serves, 0 first: by its
  /// route's tier, and among requests of one tier by its customer's, where it
  /// has one.
  ///
  /// Backend servers that run out of memory stop the newest of the last in this
  /// order. With customers first, a drafted note of one customer was stopped
  /// for another's long review, which its route ranks below. The places are
  /// those that this configuration uses for the service, without gaps, so that
  /// they fit into few numbers.
  std::uint32_t RankOf(const HostRoute& aRoute,
                       const KeyedCustomer* aCustomer,
                       const ServiceName& aService) const;
  /// Ranks that there are at a service.
  std::uint32_t RankCount(const ServiceName& aService) const;
  std::span<const DirectService> Services() const
  {
    return this->parts.services;
  }
  /// Whether requests need a key, unless their route is public.
  bool NeedsKeys() const
  {
    return this->parts.needsKeys || !this->parts.customers.empty();
  }

private:
  explicit RouteTable(RouteTableParts aParts);
  void Check(class Findings& aFindings) const;
  void Index();
  void RankTiers();

  RouteTableParts parts;
  /// By host, the longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const HostRoute*>> byHost;
  absl::flat_hash_map<ServiceName, const DirectService*> services;
  absl::flat_hash_map<std::string, const KeyedCustomer*> keys;
  /// Pairs of tiers (the route's, the customer's) that can occur at each
  /// service, sorted.
  absl::flat_hash_map<ServiceName, std::vector<std::pair<Tier, Tier>>> ranks;
};

/// Divides requests among a route's services by weight.
/// \param aDraw uniform in [0,1).
const ServiceName&
PickService(const HostRoute& aRoute, double aDraw);

} // namespace dogwoodvale

#endif
