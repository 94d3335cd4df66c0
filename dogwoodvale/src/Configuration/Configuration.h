#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATION_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATION_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// When a class counts as served on time.
struct LatencyTarget
{
  Duration firstToken = milliseconds(1000);
  Duration betweenTokens = milliseconds(100);
  /// Zero: no target for the whole.
  Duration total{ 0 };
};

/// A request class of a service: service level, priority, repeatability.
struct RequestClass
{
  ClassName name;
  Tier tier = 0;
  LatencyTarget target;
  /// Whether a request that may have run may be tried again.
  bool idempotent = false;
  double weight = 1;
  /// Beyond this wait the class gets the next free slot within a bounded share.
  Duration maxWait = seconds(30);
  /// From the caller's request to the end of its use.
  Duration budget = seconds(300);
  std::uint32_t queueBound = 1000;
  std::uint32_t defaultMaxTokens = 512;
};

/// A plain service's way in.
struct Route
{
  /// Empty matches any method.
  std::string method;
  /// Whole segments: "/permits" takes "/permits/7" but not "/permits-old".
  std::string pathPrefix;
  ClassName className;

  bool Matches(std::string_view aMethod, std::string_view aPath) const;
};

enum class ServiceKind : std::uint8_t
{
  Model,
  Plain,
};

/// What a backend server of the service should hold.
struct ModelPlacement
{
  ModelName model;
  std::string version;
  std::vector<std::string> adapters;
};

/// A service: its back ends, its ways in and its classes. An aggregate: it
/// changes as a whole and its classes are reached through it alone.
struct Service
{
  ServiceName name;
  ServiceKind kind = ServiceKind::Model;
  std::vector<ModelPlacement> models;
  std::vector<Route> routes;
  std::vector<RequestClass> classes;
  /// Whether its engines refuse an order with an old fencing number.
  bool checksFencing = false;

  const RequestClass* FindClass(const ClassName& aName) const;
};

/// A customer of the operators: keys, what it may use and how much.
struct Customer
{
  CustomerName name;
  /// SHA-256 of each API key, lower-case hexadecimal.
  std::vector<std::string> keyHashes;
  /// What it may use; the first of a service is its default there.
  struct Grant
  {
    ServiceName service;
    std::vector<ClassName> classes;
  };
  std::vector<Grant> grants;
  double weight = 1;
  /// Zero: no bound.
  double requestsPerSecond = 0;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;

  const Grant* FindGrant(const ServiceName& aService) const;
};

/// One accepted configuration, whole and immutable.
class Configuration
{
public:
  Configuration() = default;
  /// \pre the parser found nothing wrong.
  Configuration(std::vector<Service> aServices,
                std::vector<Customer> aCustomers);

  std::span<const Service> Services() const { return this->services; }
  std::span<const Customer> Customers() const { return this->customers; }

  const Service* FindService(const ServiceName& aName) const;
  const Service* FindServiceOfModel(std::string_view aModel) const;
  /// The plain service whose longest route prefix fits, and that route.
  struct RouteMatch
  {
    const Service* service = nullptr;
    const Route* route = nullptr;
  };
  RouteMatch FindRoute(std::string_view aMethod, std::string_view aPath) const;
  /// \param aKeyHash SHA-256 of the caller's key, lower-case hexadecimal.
  const Customer* FindCustomerOfKey(std::string_view aKeyHash) const;
  const Customer* FindCustomer(const CustomerName& aName) const;

private:
  std::vector<Service> services;
  std::vector<Customer> customers;
  absl::flat_hash_map<std::string, std::size_t> serviceOfName;
  absl::flat_hash_map<std::string, std::size_t> serviceOfModel;
  absl::flat_hash_map<std::string, std::size_t> customerOfKey;
  absl::flat_hash_map<std::string, std::size_t> customerOfName;
};

/// SHA-256 in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace dogwoodvale

#endif
