#include "RouteTable.h"

#include <algorithm>
#include <set>

#include <absl/strings/ascii.h>

namespace dogwoodvale {

namespace {

/// A host as routes are found by it: lower case, with no port.
std::string
PlainHost(std::string_view aHost)
{
  return absl::AsciiStrToLower(ToAbsl(aHost.substr(0, aHost.find(':'))));
}

bool
IsPrefix(std::string_view aText)
{
  return aText.starts_with('/') && aText.ends_with('/');
}

} // namespace

absl::StatusOr<std::shared_ptr<const RouteTable>>
RouteTable::Create(RouteTableParts aParts)
{
  std::shared_ptr<RouteTable> table(new RouteTable(std::move(aParts)));
  Findings findings;
  table->Check(findings);
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  table->Index();
  return std::shared_ptr<const RouteTable>(std::move(table));
}

RouteTable::RouteTable(RouteTableParts aParts)
  : parts(std::move(aParts))
{
}

void
RouteTable::Check(Findings& aFindings) const
{
  const Place place{ "routes", 0, 0 };
  if (this->parts.version == 0) {
    aFindings.Add(place, "the version must be above 0");
  }
  for (const HostRoute& route : this->parts.routes) {
    if (!IsPrefix(route.prefix)) {
      aFindings.Add(
        place,
        fmt::format("route \"{}\": the prefix \"{}\" must begin and end with "
                    "a slash",
                    route.name,
                    route.prefix));
    }
    if (route.services.empty()) {
      aFindings.Add(place, fmt::format("route \"{}\": no service", route.name));
    }
    if (route.timeout <= Duration::zero()) {
      aFindings.Add(place,
                    fmt::format("route \"{}\": no time limit", route.name));
    }
  }
}

void
RouteTable::Index()
{
  for (const HostRoute& route : this->parts.routes) {
    this->byHost[PlainHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->byHost) {
    std::ranges::stable_sort(
      routes, [](const HostRoute* aLeft, const HostRoute* aRight) {
        return aLeft->prefix.size() > aRight->prefix.size();
      });
  }
  for (const DirectService& service : this->parts.services) {
    this->services[service.name] = &service;
  }
  for (const KeyedCustomer& customer : this->parts.customers) {
    for (const std::string& key : customer.keys) {
      this->keys[key] = &customer;
    }
  }
  this->RankTiers();
}

void
RouteTable::RankTiers()
{
  // Routes and customers are many, their tiers few.
  std::set<Tier> ofCustomers;
  for (const KeyedCustomer& customer : this->parts.customers) {
    if (customer.tier) {
      ofCustomers.insert(*customer.tier);
    }
  }
  absl::flat_hash_map<ServiceName, std::set<Tier>> ofRoutes;
  for (const HostRoute& route : this->parts.routes) {
    for (const WeightedService& target : route.services) {
      ofRoutes[target.service].insert(route.tier);
    }
  }
  for (const auto& [service, tiers] : ofRoutes) {
    std::set<std::pair<Tier, Tier>> pairs;
    for (const Tier tier : tiers) {
      pairs.emplace(tier, tier);
      for (const Tier own : ofCustomers) {
        pairs.emplace(tier, own);
      }
    }
    this->ranks[service].assign(pairs.begin(), pairs.end());
  }
}

std::uint32_t
RouteTable::RankOf(const HostRoute& aRoute,
                   const KeyedCustomer* aCustomer,
                   const ServiceName& aService) const
{
  const auto found = this->ranks.find(aService);
  if (found == this->ranks.end()) {
    return 0;
  }
  const Tier own =
    aCustomer == nullptr ? aRoute.tier : aCustomer->tier.value_or(aRoute.tier);
  const auto place = std::ranges::lower_bound(
    found->second, std::pair<Tier, Tier>(aRoute.tier, own));
  return static_cast<std::uint32_t>(place - found->second.begin());
}

std::uint32_t
RouteTable::RankCount(const ServiceName& aService) const
{
  const auto found = this->ranks.find(aService);
  return found == this->ranks.end()
           ? 0
           : static_cast<std::uint32_t>(found->second.size());
}

const HostRoute*
RouteTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = this->byHost.find(PlainHost(aHost));
  if (found == this->byHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const auto route =
    std::ranges::find_if(found->second, [path](const HostRoute* aRoute) {
      return path.starts_with(aRoute->prefix);
    });
  return route == found->second.end() ? nullptr : *route;
}

const DirectService*
RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : found->second;
}

const KeyedCustomer*
RouteTable::FindCustomer(std::string_view aKey) const
{
  const auto found = this->keys.find(ToAbsl(aKey));
  return found == this->keys.end() ? nullptr : found->second;
}

const ServiceName&
PickService(const HostRoute& aRoute, double aDraw)
{
  double total = 0;
  for (const WeightedService& one : aRoute.services) {
    total += one.weight;
  }
  double left = aDraw * total;
  for (const WeightedService& one : aRoute.services) {
    left -= one.weight;
    if (left < 0) {
      return one.service;
    }
  }
  return aRoute.services.back().service;
}

} // namespace dogwoodvale
