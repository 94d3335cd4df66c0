#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATIONCOLLECTOR_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATIONCOLLECTOR_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Configuration.h"
#include "ConfigurationParser.h"
#include "CustomerReader.h"
#include "TemplateExpander.h"

namespace dogwoodvale::internal {

/// Names that must be unique, and where each was first seen.
class UniqueNames
{
public:
  /// Reports \p aName if it has been added before.
  void Add(const ReadScope& aScope,
           const Json::Value& aValue,
           std::string_view aWhat,
           const std::string& aName);

private:
  /// A place without its file's name, which thousands have in common.
  struct CompactPlace
  {
    std::uint32_t file = 0;
    int line = 0;
    int column = 0;
  };

  std::uint32_t IndexOfFile(const std::string& aFile);

  absl::flat_hash_map<std::string, CompactPlace> first;
  std::vector<std::string> files;
};

/// Gathers a configuration from sources given one after another.
///
/// Sources that define templates or services come before those that only hold
/// customers. The latter, nearly all of a large configuration, are parsed and
/// dropped one at a time: all their documents at once would take ten times the
/// memory of the result.
class ConfigurationCollector : public ServiceDirectory
{
public:
  explicit ConfigurationCollector(Findings& aFindings);

  /// Whether the text may hold more than customers.
  static bool MayDefine(std::string_view aText);

  /// For sources of which MayDefine() is true; all of them at once.
  void ReadDefinitions(std::span<const ConfigurationSource* const> aSources);
  void ReadCustomers(const ConfigurationSource& aSource);
  /// Takes customers over that were found right before with the same
  /// definitions.
  void TakeCustomers(std::span<const Customer> aCustomers);

  std::size_t CustomerCount() const { return this->customers.size(); }
  const Service* Find(const ServiceName& aName) const override;

  Configuration Finish();

private:
  std::unique_ptr<JsonDocument> ParseSource(const ConfigurationSource& aSource);
  void CheckSections(const JsonDocument& aDocument);
  void ReadTemplates(const JsonDocument& aDocument);
  void ReadServices(const JsonDocument& aDocument);
  void ReadCustomers(const JsonDocument& aDocument);
  void ReadService(const ReadScope& aScope, ObjectView aValue);
  void ReadCustomer(const ReadScope& aScope, ObjectView aValue);
  /// Calls \p aRead with each item, templates filled in.
  template<class Read>
  void ReadItems(const JsonDocument& aDocument,
                 std::string_view aKey,
                 const TemplateSet& aTemplates,
                 const Read& aRead);

  Findings& findings;
  /// Those that templates refer to.
  std::vector<std::unique_ptr<JsonDocument>> documents;
  TemplateSet serviceTemplates{ "service" };
  TemplateSet customerTemplates{ "customer" };
  CustomerReader customerReader{ *this };
  std::vector<Service> services;
  std::vector<Customer> customers;
  absl::flat_hash_map<std::string, std::size_t> serviceOfName;
  UniqueNames serviceNames;
  UniqueNames customerNames;
  UniqueNames models;
  UniqueNames routes;
  UniqueNames keyHashes;
};

} // namespace dogwoodvale::internal

#endif
