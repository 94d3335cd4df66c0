#include "dogwoodvale/Configuration"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>

#include "CustomerReader.h"
#include "ServiceReader.h"
#include "TemplateExpander.h"

namespace dogwoodvale {

namespace {

using internal::TemplateSet;

constexpr std::size_t kMaxServices = 100'000;
constexpr std::size_t kMaxCustomers = 1'000'000;

std::string
Render(const Place& aPlace)
{
  return fmt::format("{}:{}:{}", aPlace.file, aPlace.line, aPlace.column);
}

/// Names that must be unique, and where each was first seen.
class UniqueNames
{
public:
  /// Reports \p aName if it has been added before.
  void Add(const ReadScope& aScope,
           const Json::Value& aValue,
           std::string_view aWhat,
           const std::string& aName)
  {
    if (aName.empty()) {
      return;
    }
    const Place place = aScope.document.PlaceOf(aValue);
    const auto [entry, isNew] = this->first.try_emplace(aName, place);
    if (!isNew) {
      aScope.Add(aValue,
                 fmt::format("{} \"{}\" stands already at {}",
                             aWhat,
                             aName,
                             Render(entry->second)));
    }
  }

private:
  absl::flat_hash_map<std::string, Place> first;
};

/// Gathers a configuration from many documents.
class Collector : public internal::ServiceDirectory
{
public:
  explicit Collector(Findings& aFindings)
    : findings(aFindings)
  {
  }

  void ReadTemplates(const JsonDocument& aDocument);
  void ReadServices(const JsonDocument& aDocument);
  void ReadCustomers(const JsonDocument& aDocument);

  const Service* Find(const ServiceName& aName) const override
  {
    const auto found = this->serviceOfName.find(aName.Value());
    return found == this->serviceOfName.end() ? nullptr
                                              : &this->services[found->second];
  }

  Configuration Finish()
  {
    return { std::move(this->services), std::move(this->customers) };
  }

private:
  void ReadService(const ReadScope& aScope, const Json::Value& aValue);
  void ReadCustomer(const ReadScope& aScope, const Json::Value& aValue);
  /// Calls \p aRead with each item, templates filled in.
  template<class Read>
  void ReadItems(const JsonDocument& aDocument,
                 const char* aKey,
                 const TemplateSet& aTemplates,
                 const Read& aRead);

  Findings& findings;
  TemplateSet serviceTemplates{ "service" };
  TemplateSet customerTemplates{ "customer" };
  std::vector<Service> services;
  std::vector<Customer> customers;
  absl::flat_hash_map<std::string, std::size_t> serviceOfName;
  UniqueNames serviceNames;
  UniqueNames customerNames;
  UniqueNames models;
  UniqueNames routes;
  UniqueNames keyHashes;
};

void
Collector::ReadTemplates(const JsonDocument& aDocument)
{
  const ReadScope scope{ aDocument, this->findings, "" };
  ObjectReader reader(scope, aDocument.Root(), "a configuration file");
  if (const Json::Value* templates = reader.Find("templates")) {
    this->serviceTemplates.Read(scope, *templates);
  }
  if (const Json::Value* templates = reader.Find("customer_templates")) {
    this->customerTemplates.Read(scope, *templates);
  }
  reader.Find("services");
  reader.Find("customers");
  reader.Finish();
}

template<class Read>
void
Collector::ReadItems(const JsonDocument& aDocument,
                     const char* aKey,
                     const TemplateSet& aTemplates,
                     const Read& aRead)
{
  if (!aDocument.Root().isObject()) {
    return;
  }
  const ReadScope scope{ aDocument, this->findings, "" };
  ObjectReader reader(scope, aDocument.Root(), "a configuration file");
  const Json::Value* list = reader.FindList(aKey);
  if (list == nullptr) {
    return;
  }
  for (const Json::Value& item : *list) {
    if (!item.isObject() || !item.isMember("template")) {
      aRead(scope, item);
    } else if (const auto expansion = aTemplates.Expand(scope, item)) {
      aRead(expansion->scope, expansion->value);
    }
  }
}

void
Collector::ReadServices(const JsonDocument& aDocument)
{
  this->ReadItems(aDocument,
                  "services",
                  this->serviceTemplates,
                  [this](const ReadScope& aScope, const Json::Value& aValue) {
                    this->ReadService(aScope, aValue);
                  });
}

void
Collector::ReadService(const ReadScope& aScope, const Json::Value& aValue)
{
  if (this->services.size() >= kMaxServices) {
    aScope.Add(aValue, fmt::format("more than {} services", kMaxServices));
    return;
  }
  Service service = internal::ReadService(aScope, aValue);
  this->serviceNames.Add(aScope, aValue, "service", service.name.Value());
  for (std::size_t i = 0; i < service.models.size(); ++i) {
    this->models.Add(aScope,
                     aValue["models"][static_cast<Json::ArrayIndex>(i)],
                     "model",
                     service.models[i].model.Value());
  }
  for (std::size_t i = 0; i < service.routes.size(); ++i) {
    const Route& route = service.routes[i];
    this->routes.Add(aScope,
                     aValue["routes"][static_cast<Json::ArrayIndex>(i)],
                     "route",
                     fmt::format("{} {}",
                                 route.method.empty() ? "*" : route.method,
                                 route.pathPrefix));
  }
  this->serviceOfName.emplace(service.name.Value(), this->services.size());
  this->services.push_back(std::move(service));
}

void
Collector::ReadCustomers(const JsonDocument& aDocument)
{
  this->ReadItems(aDocument,
                  "customers",
                  this->customerTemplates,
                  [this](const ReadScope& aScope, const Json::Value& aValue) {
                    this->ReadCustomer(aScope, aValue);
                  });
}

void
Collector::ReadCustomer(const ReadScope& aScope, const Json::Value& aValue)
{
  if (this->customers.size() >= kMaxCustomers) {
    aScope.Add(aValue, fmt::format("more than {} customers", kMaxCustomers));
    return;
  }
  Customer customer = internal::ReadCustomer(aScope, aValue, *this);
  this->customerNames.Add(aScope, aValue, "customer", customer.name.Value());
  const Json::Value* hashes =
    aValue.isObject() ? aValue.find("key_hashes", "key_hashes" + 10) : nullptr;
  for (std::size_t i = 0; i < customer.keyHashes.size(); ++i) {
    this->keyHashes.Add(aScope,
                        (*hashes)[static_cast<Json::ArrayIndex>(i)],
                        "key hash",
                        customer.keyHashes[i]);
  }
  this->customers.push_back(std::move(customer));
}

/// Whether the text may hold more than customers.
bool
MayDefine(std::string_view aText)
{
  return aText.find("\"templates\"") != std::string_view::npos ||
         aText.find("\"customer_templates\"") != std::string_view::npos ||
         aText.find("\"services\"") != std::string_view::npos;
}

std::unique_ptr<JsonDocument>
ParseSource(const ConfigurationSource& aSource, Findings& aFindings)
{
  Findings parseFindings;
  auto document = std::make_unique<JsonDocument>(
    JsonDocument::Parse(aSource.text, aSource.file, parseFindings));
  aFindings.Append(parseFindings);
  return parseFindings.IsEmpty() ? std::move(document) : nullptr;
}

/// Findings in the order of the files and of their lines, not of the passes.
void
AppendSorted(std::span<const ConfigurationSource> aSources,
             const Findings& aFound,
             Findings& aFindings)
{
  absl::flat_hash_map<std::string, std::size_t> order;
  for (std::size_t i = 0; i < aSources.size(); ++i) {
    order.emplace(aSources[i].file, i);
  }
  std::vector<Finding> sorted(aFound.All().begin(), aFound.All().end());
  std::stable_sort(sorted.begin(),
                   sorted.end(),
                   [&](const Finding& aLeft, const Finding& aRight) {
                     const auto key = [&](const Finding& aFinding) {
                       return std::tuple(order[aFinding.place.file],
                                         aFinding.place.line,
                                         aFinding.place.column);
                     };
                     return key(aLeft) < key(aRight);
                   });
  for (Finding& finding : sorted) {
    aFindings.Add(std::move(finding.place), std::move(finding.message));
  }
}

} // namespace

Configuration
ParseConfiguration(std::span<const ConfigurationSource> aSources,
                   Findings& aFindings)
{
  Findings found;
  Collector collector(found);
  // Pages of customers, nearly all of a large configuration, are parsed one at
  // a time and dropped: all their documents at once would take ten times the
  // memory of the result.
  std::vector<std::unique_ptr<JsonDocument>> kept;
  std::vector<const ConfigurationSource*> later;
  for (const ConfigurationSource& source : aSources) {
    if (!MayDefine(source.text)) {
      later.push_back(&source);
    } else if (auto document = ParseSource(source, found)) {
      kept.push_back(std::move(document));
    }
  }
  for (const auto& document : kept) {
    collector.ReadTemplates(*document);
  }
  for (const auto& document : kept) {
    collector.ReadServices(*document);
  }
  for (const auto& document : kept) {
    collector.ReadCustomers(*document);
  }
  for (const ConfigurationSource* source : later) {
    if (const auto document = ParseSource(*source, found)) {
      collector.ReadTemplates(*document);
      collector.ReadCustomers(*document);
    }
  }
  AppendSorted(aSources, found, aFindings);
  return found.IsEmpty() ? collector.Finish() : Configuration();
}

std::vector<ConfigurationSource>
ReadConfigurationSources(const std::string& aPath, Findings& aFindings)
{
  namespace fs = std::filesystem;
  std::vector<std::string> paths;
  std::error_code error;
  if (fs::is_directory(aPath, error)) {
    for (const auto& entry : fs::directory_iterator(aPath, error)) {
      if (entry.path().extension() == ".json") {
        paths.push_back(entry.path().string());
      }
    }
    std::sort(paths.begin(), paths.end());
    if (paths.empty()) {
      aFindings.Add({ aPath, 0, 0 }, "the directory holds no *.json file");
    }
  } else {
    paths.push_back(aPath);
  }
  std::vector<ConfigurationSource> sources;
  for (const std::string& path : paths) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream || fs::is_directory(path, error)) {
      aFindings.Add({ path, 0, 0 }, "the file can't be read");
      continue;
    }
    sources.push_back({ path, { std::istreambuf_iterator<char>(stream), {} } });
  }
  return sources;
}

} // namespace dogwoodvale
