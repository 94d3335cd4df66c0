#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATION_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATION_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "CustomerIndex.h"
#include "Service.h"

namespace dogwoodvale {

/// One accepted configuration, whole and immutable.
class Configuration
{
public:
  Configuration() = default;
  Configuration(Configuration&&) = default;
  Configuration& operator=(Configuration&&) = default;
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

  /// The customers of one page, so that the next configuration can take them
  /// over if it has the same page.
  struct CustomerPage
  {
    std::string hash;
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  /// Where a configuration comes from; empty if it isn't from pages.
  struct Origin
  {
    /// Hashes of the pages with templates and services, in order.
    std::vector<std::string> definitions;
    std::vector<CustomerPage> customerPages;
  };
  const Origin& PagesOrigin() const { return this->origin; }
  void SetOrigin(Origin aOrigin) { this->origin = std::move(aOrigin); }
  bool HasDuplicates() const { return this->customerIndex.HasDuplicates(); }

private:
  std::vector<Service> services;
  std::vector<Customer> customers;
  Origin origin;
  absl::flat_hash_map<std::string, std::size_t> serviceOfName;
  absl::flat_hash_map<std::string, std::size_t> serviceOfModel;
  internal::CustomerIndex customerIndex;
};

/// SHA-256 in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace dogwoodvale

#endif
