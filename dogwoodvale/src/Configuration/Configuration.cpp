#include "dogwoodvale/Configuration"

#include <array>
#include <cassert>

#include <absl/strings/escaping.h>
#include <openssl/evp.h>

namespace dogwoodvale {

const RequestClass*
Service::FindClass(const ClassName& aName) const
{
  for (const RequestClass& requestClass : this->classes) {
    if (requestClass.name == aName) {
      return &requestClass;
    }
  }
  return nullptr;
}

const Customer::Grant*
Customer::FindGrant(const ServiceName& aService) const
{
  for (const Grant& grant : this->grants) {
    if (grant.service == aService) {
      return &grant;
    }
  }
  return nullptr;
}

Configuration::Configuration(std::vector<Service> aServices,
                             std::vector<Customer> aCustomers)
  : services(std::move(aServices))
  , customers(std::move(aCustomers))
{
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    this->serviceOfName.emplace(this->services[i].name.Value(), i);
    for (const ModelPlacement& placement : this->services[i].models) {
      this->serviceOfModel.emplace(placement.model.Value(), i);
    }
  }
  this->customerOfName.reserve(this->customers.size());
  this->customerOfKey.reserve(this->customers.size());
  for (std::size_t i = 0; i < this->customers.size(); ++i) {
    this->customerOfName.emplace(this->customers[i].name.Value(), i);
    for (const std::string& hash : this->customers[i].keyHashes) {
      this->customerOfKey.emplace(hash, i);
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
  const auto found = this->customerOfKey.find(ToAbsl(aKeyHash));
  return found == this->customerOfKey.end() ? nullptr
                                            : &this->customers[found->second];
}

const Customer*
Configuration::FindCustomer(const CustomerName& aName) const
{
  const auto found = this->customerOfName.find(aName.Value());
  return found == this->customerOfName.end() ? nullptr
                                             : &this->customers[found->second];
}

bool
Route::Matches(std::string_view aMethod, std::string_view aPath) const
{
  if (!this->method.empty() && this->method != aMethod) {
    return false;
  }
  if (aPath.substr(0, this->pathPrefix.size()) != this->pathPrefix) {
    return false;
  }
  // Whole segments only: "/permits" must not take "/permits-old".
  return aPath.size() == this->pathPrefix.size() ||
         this->pathPrefix.back() == '/' ||
         aPath[this->pathPrefix.size()] == '/' ||
         aPath[this->pathPrefix.size()] == '?';
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
