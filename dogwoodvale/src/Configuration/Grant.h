#ifndef DOGWOODVALE_CONFIGURATION_GRANT_H
#define DOGWOODVALE_CONFIGURATION_GRANT_H

#include <memory>
#include <utility>
#include <vector>

#include "dogwoodvale/Core"

namespace dogwoodvale {

/// What a customer may use of one service.
struct Grant
{
  ServiceName service;
  std::vector<ClassName> classes;

  bool operator==(const Grant&) const = default;

  template<class H>
  friend H AbslHashValue(H aState, const Grant& aGrant)
  {
    return H::combine(std::move(aState), aGrant.service, aGrant.classes);
  }
};

/// The grants of a customer, never changed once made.
///
/// Ownership is shared: thousands of customers from one template have the same
/// grants, and a configuration and its successor have most customers in common.
/// A copy for each took 58 MB at 16,000 customers and 19 services.
class GrantList
{
public:
  GrantList() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): a list of grants is one.
  GrantList(std::vector<Grant> aGrants)
    : grants(std::make_shared<const std::vector<Grant>>(std::move(aGrants)))
  {
  }

  const Grant* begin() const { return this->All().data(); }
  const Grant* end() const { return this->begin() + this->size(); }
  std::size_t size() const { return this->All().size(); }
  bool empty() const { return this->All().empty(); }
  const Grant& operator[](std::size_t aIndex) const
  {
    return this->All()[aIndex];
  }

  bool operator==(const GrantList& aOther) const
  {
    return this->grants == aOther.grants || this->All() == aOther.All();
  }

  template<class H>
  friend H AbslHashValue(H aState, const GrantList& aList)
  {
    return H::combine(std::move(aState), aList.All());
  }

private:
  const std::vector<Grant>& All() const
  {
    static const std::vector<Grant> kNone;
    return this->grants == nullptr ? kNone : *this->grants;
  }

  std::shared_ptr<const std::vector<Grant>> grants;
};

} // namespace dogwoodvale

#endif
