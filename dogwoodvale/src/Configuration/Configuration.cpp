#include "dogwoodvale/Configuration"

#include <array>
#include <cassert>

#include <absl/strings/escaping.h>
#include <openssl/evp.h>

namespace dogwoodvale {

Configuration::Configuration(std::vector<Service> aServices,
                             std::vector<Customer> aCustomers)
  : services(std::move(aServices))
  , customers(std::move(aCustomers))
  , customerIndex(this->customers)
{
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    this->serviceOfName.emplace(this->services[i].name.Value(), i);
    for (const ModelPlacement& placement : this->services[i].models) {
      this->serviceOfModel.emplace(placement.model.Value(), i);
    }
  }
}

const Service*
Configuration::FindService(const ServiceName& aName) const
{
  const auto found = this->serviceOfName.find(aName.Value());
  return found == this->serviceOfName.end() ? nullptr
                                            : &this->services[found->second];
}

const Service*
Configuration::FindServiceOfModel(std::string_view aModel) const
{
  const auto found = this->serviceOfModel.find(ToAbsl(aModel));
  return found == this->serviceOfModel.end() ? nullptr
                                             : &this->services[found->second];
}

Configuration::RouteMatch
Configuration::FindRoute(std::string_view aMethod, std::string_view aPath) const
{
  RouteMatch best;
  for (const Service& service : this->services) {
    for (const Route& route : service.routes) {
      if (!route.Matches(aMethod, aPath)) {
        continue;
      }
      // At the same length a route that names the method is the closer one.
      const bool longer =
        best.route == nullptr ||
        route.pathPrefix.size() > best.route->pathPrefix.size() ||
        (route.pathPrefix.size() == best.route->pathPrefix.size() &&
         best.route->method.empty());
      if (longer) {
        best = { &service, &route };
      }
    }
  }
  return best;
}

const Customer*
Configuration::FindCustomerOfKey(std::string_view aKeyHash) const
{
  return this->customerIndex.FindByKey(aKeyHash);
}

const Customer*
Configuration::FindCustomer(const CustomerName& aName) const
{
  return this->customerIndex.FindByName(aName.Value());
}

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const int good = EVP_Digest(aBytes.data(),
                              aBytes.size(),
                              digest.data(),
                              &length,
                              EVP_sha256(),
                              nullptr);
  assert(good == 1);
  static_cast<void>(good);
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

} // namespace dogwoodvale
