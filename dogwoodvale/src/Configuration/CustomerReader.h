#ifndef DOGWOODVALE_CONFIGURATION_CUSTOMERREADER_H
#define DOGWOODVALE_CONFIGURATION_CUSTOMERREADER_H

#include <functional>

#include "Configuration.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale::internal {

/// The services that a grant may name.
class ServiceDirectory
{
public:
  virtual ~ServiceDirectory() = default;
  /// Null if there is none of that name.
  virtual const Service* Find(const ServiceName& aName) const = 0;
};

/// Reads a customer and checks its grants against \p aServices.
Customer
ReadCustomer(const ReadScope& aScope,
             const Json::Value& aValue,
             const ServiceDirectory& aServices);

} // namespace dogwoodvale::internal

#endif
