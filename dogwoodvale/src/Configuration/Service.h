#ifndef DOGWOODVALE_CONFIGURATION_SERVICE_H
#define DOGWOODVALE_CONFIGURATION_SERVICE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

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

} // namespace dogwoodvale

#endif
