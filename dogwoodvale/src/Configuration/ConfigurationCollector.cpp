#include "ConfigurationCollector.h"

#include "ServiceReader.h"

namespace dogwoodvale::internal {

namespace {

constexpr std::size_t kMaxServices = 100'000;
constexpr std::size_t kMaxCustomers = 1'000'000;
/// Bound on one service's or customer's text, so that its page, with the root
/// and all else, stays well below the store's bound of one megabyte.
constexpr std::ptrdiff_t kMaxItemBytes = 256L << 10U;

} // namespace

std::uint32_t
UniqueNames::IndexOfFile(const std::string& aFile)
{
  if (this->files.empty() || this->files.back() != aFile) {
    this->files.push_back(aFile);
  }
  return static_cast<std::uint32_t>(this->files.size() - 1);
}

void
UniqueNames::Add(const ReadScope& aScope,
                 const Json::Value& aValue,
                 std::string_view aWhat,
                 const std::string& aName)
{
  if (aName.empty()) {
    return;
  }
  const Place place = aScope.document.PlaceOf(aValue);
  const auto [entry, isNew] = this->first.try_emplace(aName);
  if (isNew) {
    entry->second = { this->IndexOfFile(place.file), place.line, place.column };
    return;
  }
  aScope.Add(aValue,
             fmt::format("{} \"{}\" stands already at {}:{}:{}",
                         aWhat,
                         aName,
                         this->files[entry->second.file],
                         entry->second.line,
                         entry->second.column));
}

ConfigurationCollector::ConfigurationCollector(Findings& aFindings)
  : findings(aFindings)
{
}

bool
ConfigurationCollector::MayDefine(std::string_view aText)
{
  return aText.find("\"templates\"") != std::string_view::npos ||
         aText.find("\"customer_templates\"") != std::string_view::npos ||
         aText.find("\"services\"") != std::string_view::npos;
}

const Service*
ConfigurationCollector::Find(const ServiceName& aName) const
{
  const auto found = this->serviceOfName.find(aName.Value());
  return found == this->serviceOfName.end() ? nullptr
                                            : &this->services[found->second];
}

std::unique_ptr<JsonDocument>
ConfigurationCollector::ParseSource(const ConfigurationSource& aSource)
{
  Findings parseFindings;
  auto document = std::make_unique<JsonDocument>(
    JsonDocument::Parse(aSource.text, aSource.file, parseFindings));
  this->findings.Append(parseFindings);
  if (!parseFindings.IsEmpty()) {
    return nullptr;
  }
  this->CheckSections(*document);
  return document->Root().isObject() ? std::move(document) : nullptr;
}

void
ConfigurationCollector::CheckSections(const JsonDocument& aDocument)
{
  const ReadScope scope{ aDocument, this->findings, "" };
  ObjectReader reader(scope, aDocument.Root(), "a configuration file");
  for (const char* key :
       { "templates", "customer_templates", "services", "customers" }) {
    reader.Find(key);
  }
  reader.Finish();
}

void
ConfigurationCollector::ReadDefinitions(
  std::span<const ConfigurationSource* const> aSources)
{
  for (const ConfigurationSource* source : aSources) {
    if (auto document = this->ParseSource(*source)) {
      this->documents.push_back(std::move(document));
    }
  }
  for (const auto& document : this->documents) {
    this->ReadTemplates(*document);
  }
  for (const auto& document : this->documents) {
    this->ReadServices(*document);
  }
  for (const auto& document : this->documents) {
    this->ReadCustomers(*document);
  }
}

void
ConfigurationCollector::ReadCustomers(const ConfigurationSource& aSource)
{
  if (const auto document = this->ParseSource(aSource)) {
    this->ReadCustomers(*document);
  }
}

void
ConfigurationCollector::TakeCustomers(std::span<const Customer> aCustomers)
{
  this->customers.insert(
    this->customers.end(), aCustomers.begin(), aCustomers.end());
}

Configuration
ConfigurationCollector::Finish()
{
  this->customers.shrink_to_fit();
  return { std::move(this->services), std::move(this->customers) };
}

void
ConfigurationCollector::ReadTemplates(const JsonDocument& aDocument)
{
  const ReadScope scope{ aDocument, this->findings, "" };
  const Json::Value& root = aDocument.Root();
  if (root.isMember("templates")) {
    this->serviceTemplates.Read(scope, root["templates"]);
  }
  if (root.isMember("customer_templates")) {
    this->customerTemplates.Read(scope, root["customer_templates"]);
  }
}

template<class Read>
void
ConfigurationCollector::ReadItems(const JsonDocument& aDocument,
                                  std::string_view aKey,
                                  const TemplateSet& aTemplates,
                                  const Read& aRead)
{
  const ReadScope scope{ aDocument, this->findings, "" };
  ObjectReader reader(scope, aDocument.Root(), "a configuration file");
  const Json::Value* list = reader.FindList(aKey);
  if (list == nullptr) {
    return;
  }
  for (const Json::Value& item : *list) {
    const auto bytes = item.getOffsetLimit() - item.getOffsetStart();
    if (bytes > kMaxItemBytes) {
      scope.Add(
        item,
        fmt::format("{} bytes; at most {} allowed", bytes, kMaxItemBytes));
    } else if (!item.isObject() || !item.isMember("template")) {
      aRead(scope, ObjectView(item));
    } else if (const auto expansion = aTemplates.Expand(scope, item)) {
      aRead(expansion->scope, expansion->View());
    }
  }
}

void
ConfigurationCollector::ReadServices(const JsonDocument& aDocument)
{
  this->ReadItems(aDocument,
                  "services",
                  this->serviceTemplates,
                  [this](const ReadScope& aScope, ObjectView aValue) {
                    this->ReadService(aScope, aValue);
                  });
}

void
ConfigurationCollector::ReadService(const ReadScope& aScope, ObjectView aValue)
{
  if (this->services.size() >= kMaxServices) {
    aScope.Add(aValue.own, fmt::format("more than {} services", kMaxServices));
    return;
  }
  Service service = internal::ReadService(aScope, aValue);
  this->serviceNames.Add(aScope, aValue.own, "service", service.name.Value());
  for (std::size_t i = 0; i < service.models.size(); ++i) {
    const Json::Value& list = *aValue.Find("models");
    this->models.Add(aScope,
                     list[static_cast<Json::ArrayIndex>(i)],
                     "model",
                     service.models[i].model.Value());
  }
  for (std::size_t i = 0; i < service.routes.size(); ++i) {
    const Json::Value& list = *aValue.Find("routes");
    const Route& route = service.routes[i];
    this->routes.Add(aScope,
                     list[static_cast<Json::ArrayIndex>(i)],
                     "route",
                     fmt::format("{} {}",
                                 route.method.empty() ? "*" : route.method,
                                 route.pathPrefix));
  }
  this->serviceOfName.emplace(service.name.Value(), this->services.size());
  this->services.push_back(std::move(service));
}

void
ConfigurationCollector::ReadCustomers(const JsonDocument& aDocument)
{
  this->ReadItems(aDocument,
                  "customers",
                  this->customerTemplates,
                  [this](const ReadScope& aScope, ObjectView aValue) {
                    this->ReadCustomer(aScope, aValue);
                  });
}

void
ConfigurationCollector::ReadCustomer(const ReadScope& aScope, ObjectView aValue)
{
  if (this->customers.size() >= kMaxCustomers) {
    aScope.Add(aValue.own,
               fmt::format("more than {} customers", kMaxCustomers));
    return;
  }
  Customer customer = this->customerReader.Read(aScope, aValue);
  this->customerNames.Add(
    aScope, aValue.own, "customer", customer.name.Value());
  for (std::size_t i = 0; i < customer.keyHashes.size(); ++i) {
    const Json::Value& hashes = *aValue.Find("key_hashes");
    this->keyHashes.Add(aScope,
                        hashes[static_cast<Json::ArrayIndex>(i)],
                        "key hash",
                        customer.keyHashes[i]);
  }
  this->customers.push_back(std::move(customer));
}

} // namespace dogwoodvale::internal
