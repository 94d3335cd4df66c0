#ifndef DOGWOODVALE_CONFIGURATION_CUSTOMERREADER_H
#define DOGWOODVALE_CONFIGURATION_CUSTOMERREADER_H

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "Customer.h"
#include "Service.h"
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

/// Reads customers and checks their grants against the services.
class CustomerReader
{
public:
  /// \param aServices must outlive the reader.
  explicit CustomerReader(const ServiceDirectory& aServices);

  Customer Read(const ReadScope& aScope, ObjectView aValue);

private:
  GrantList ReadGrants(const ReadScope& aScope, ObjectView aCustomer);

  const ServiceDirectory& services;
  /// The grants of a template, by where they stand in it: read and checked
  /// once, not for each customer.
  absl::flat_hash_map<const Json::Value*, GrantList> ofTemplate;
  /// Equal grants are kept once.
  absl::flat_hash_set<GrantList> known;
};

} // namespace dogwoodvale::internal

#endif
