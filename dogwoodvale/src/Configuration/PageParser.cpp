#include "dogwoodvale/Configuration"

#include <optional>

#include "ConfigurationCollector.h"

namespace dogwoodvale {

namespace {

using internal::ConfigurationCollector;

using CustomersOfPage =
  absl::flat_hash_map<std::string, std::span<const Customer>>;

CustomersOfPage
IndexPages(const Configuration* aConfiguration)
{
  CustomersOfPage byHash;
  if (aConfiguration != nullptr) {
    for (const auto& page : aConfiguration->PagesOrigin().customerPages) {
      byHash.emplace(
        page.hash,
        aConfiguration->Customers().subspan(page.begin, page.end - page.begin));
    }
  }
  return byHash;
}

/// A page of customers: to be parsed, or known from before.
struct CustomerSource
{
  std::string hash;
  ConfigurationSource source;
  std::optional<std::span<const Customer>> known;
};

/// The pages of one configuration, told apart by what they hold.
struct SortedPages
{
  std::vector<std::string> definitionHashes;
  std::vector<ConfigurationSource> definitions;
  std::vector<CustomerSource> customers;
};

absl::StatusOr<SortedPages>
SortPages(std::span<const std::string> aPageHashes,
          std::span<const PageView> aPages,
          const CustomersOfPage& aKnown)
{
  absl::flat_hash_map<std::string_view, std::string_view> contents;
  contents.reserve(aPages.size());
  for (const PageView& page : aPages) {
    contents.emplace(page.hash, page.content);
  }
  SortedPages sorted;
  for (const std::string& hash : aPageHashes) {
    const auto known = aKnown.find(hash);
    if (known != aKnown.end()) {
      sorted.customers.push_back({ hash, {}, known->second });
      continue;
    }
    const auto found = contents.find(hash);
    if (found == contents.end()) {
      return MakeError(absl::StatusCode::kNotFound, "no page {}", hash);
    }
    // See JoinPages().
    if (Sha256Hex(found->second) != hash) {
      return MakeError(
        absl::StatusCode::kDataLoss, "page {} has other content", hash);
    }
    ConfigurationSource source{ hash, std::string(found->second) };
    if (ConfigurationCollector::MayDefine(source.text)) {
      sorted.definitionHashes.push_back(hash);
      sorted.definitions.push_back(std::move(source));
    } else {
      sorted.customers.push_back({ hash, std::move(source), std::nullopt });
    }
  }
  return sorted;
}

/// Nothing if anything is wrong; why is for others to find out.
std::optional<Configuration>
Collect(const SortedPages& aPages)
{
  Findings findings;
  ConfigurationCollector collector(findings);
  std::vector<const ConfigurationSource*> definitions;
  for (const ConfigurationSource& source : aPages.definitions) {
    definitions.push_back(&source);
  }
  collector.ReadDefinitions(definitions);
  Configuration::Origin origin;
  origin.definitions = aPages.definitionHashes;
  for (const CustomerSource& page : aPages.customers) {
    const std::size_t begin = collector.CustomerCount();
    if (page.known) {
      collector.TakeCustomers(*page.known);
    } else {
      collector.ReadCustomers(page.source);
    }
    origin.customerPages.push_back(
      { page.hash, begin, collector.CustomerCount() });
  }
  Configuration made = collector.Finish();
  // The collector doesn't compare the customers that were taken over with the
  // new ones; the index of the result has met them all.
  if (!findings.IsEmpty() || made.HasDuplicates()) {
    return std::nullopt;
  }
  made.SetOrigin(std::move(origin));
  return made;
}

/// Why the pages make no configuration.
absl::Status
Explain(std::span<const std::string> aPageHashes,
        std::span<const PageView> aPages)
{
  std::vector<Page> pages;
  pages.reserve(aPages.size());
  for (const PageView& page : aPages) {
    pages.push_back({ std::string(page.hash), std::string(page.content) });
  }
  const auto sources = JoinPages(aPageHashes, pages);
  if (!sources.ok()) {
    return sources.status();
  }
  Findings findings;
  ParseConfiguration(*sources, findings);
  return findings.IsEmpty() ? absl::InternalError("pages give no configuration")
                            : findings.ToStatus();
}

} // namespace

absl::StatusOr<Configuration>
ParsePages(std::span<const std::string> aPageHashes,
           std::span<const PageView> aPages,
           const Configuration* aPrevious)
{
  auto sorted = SortPages(aPageHashes, aPages, IndexPages(aPrevious));
  // Customers depend on templates and services: with other ones none of those
  // known may be taken over.
  if (sorted.ok() && aPrevious != nullptr &&
      sorted->definitionHashes != aPrevious->PagesOrigin().definitions) {
    sorted = SortPages(aPageHashes, aPages, {});
  }
  if (!sorted.ok()) {
    return sorted.status();
  }
  std::optional<Configuration> made = Collect(*sorted);
  if (!made) {
    return Explain(aPageHashes, aPages);
  }
  return *std::move(made);
}

} // namespace dogwoodvale
