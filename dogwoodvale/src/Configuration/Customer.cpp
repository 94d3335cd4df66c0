#include "Customer.h"

namespace dogwoodvale {

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

} // namespace dogwoodvale
