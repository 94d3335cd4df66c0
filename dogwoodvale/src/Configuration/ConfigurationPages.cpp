#include "dogwoodvale/Configuration"

#include <algorithm>
#include <array>
#include <tuple>

#include <absl/container/flat_hash_map.h>
#include <xxhash.h>

#include "dogwoodvale/Settings"

namespace dogwoodvale {

namespace {

constexpr int kHashBits = 64;

/// The sections of a configuration file, in the order of their pages.
struct Section
{
  std::string_view key;
  /// An object by name, or a list whose items carry their names.
  bool isObject = false;
};

constexpr std::array<Section, 4> kSections{
  Section{ "templates", true },
  Section{ "customer_templates", true },
  Section{ "services", false },
  Section{ "customers", false },
};

/// One template, service or customer in its canonical form.
struct Item
{
  std::uint64_t bucket = 0;
  std::string name;
  std::string text;
};

class CanonicalWriter
{
public:
  CanonicalWriter()
  {
    this->builder["indentation"] = "";
    this->builder["commentStyle"] = "None";
    this->builder["emitUTF8"] = true;
    // With the default of 17 digits 0.1 would come out as 0.1000...01; any
    // decimal of up to 15 digits comes back as it was written.
    this->builder["precision"] = 15;
  }

  std::string Write(const Json::Value& aValue) const
  {
    return Json::writeString(this->builder, aValue);
  }

private:
  Json::StreamWriterBuilder builder;
};

Item
MakeItem(std::string aName, std::string aText)
{
  const std::uint64_t bucket = XXH64(aName.data(), aName.size(), 0);
  return { bucket, std::move(aName), std::move(aText) };
}

std::string
NameOf(const Json::Value& aItem)
{
  if (aItem.isObject() && aItem.isMember("name") && aItem["name"].isString()) {
    return aItem["name"].asString();
  }
  return "";
}

Page
MakePage(std::string aContent)
{
  std::string hash = Sha256Hex(aContent);
  return { std::move(hash), std::move(aContent) };
}

/// The items of all sources, by section, and pages for what can't be cut.
class Cutter
{
public:
  void Add(const ConfigurationSource& aSource)
  {
    Findings findings;
    const JsonDocument document =
      JsonDocument::Parse(aSource.text, aSource.file, findings);
    if (!findings.IsEmpty() || !IsCuttable(document.Root())) {
      this->pages.push_back(MakePage(aSource.text));
      return;
    }
    for (std::size_t i = 0; i < kSections.size(); ++i) {
      const std::string key(kSections[i].key);
      if (document.Root().isMember(key)) {
        this->AddSection(i, document.Root()[key]);
      }
    }
  }

  std::vector<Page> Finish()
  {
    for (std::size_t i = 0; i < kSections.size(); ++i) {
      std::vector<Item>& all = this->items[i];
      std::sort(
        all.begin(), all.end(), [](const Item& aLeft, const Item& aRight) {
          return std::tie(aLeft.bucket, aLeft.name, aLeft.text) <
                 std::tie(aRight.bucket, aRight.name, aRight.text);
        });
      if (!all.empty()) {
        this->Cut(kSections[i], all, 0);
      }
    }
    return std::move(this->pages);
  }

private:
  static bool IsCuttable(const Json::Value& aRoot)
  {
    if (!aRoot.isObject()) {
      return false;
    }
    std::size_t known = 0;
    for (const Section& section : kSections) {
      const Json::Value* value =
        aRoot.find(section.key.data(), section.key.data() + section.key.size());
      if (value == nullptr) {
        continue;
      }
      const bool fits = section.isObject ? value->isObject() : value->isArray();
      if (!fits) {
        return false;
      }
      ++known;
    }
    return known == aRoot.size();
  }

  void AddSection(std::size_t aSection, const Json::Value& aValue)
  {
    if (kSections[aSection].isObject) {
      for (const std::string& name : aValue.getMemberNames()) {
        this->items[aSection].push_back(
          MakeItem(name,
                   this->writer.Write(Json::Value(name)) + ":" +
                     this->writer.Write(aValue[name])));
      }
      return;
    }
    for (const Json::Value& item : aValue) {
      this->items[aSection].push_back(
        MakeItem(NameOf(item), this->writer.Write(item)));
    }
  }

  /// \param aItems in order of bucket, equal in the first \p aDepth bits.
  void Cut(const Section& aSection, std::span<const Item> aItems, int aDepth)
  {
    std::size_t bytes = 0;
    for (const Item& item : aItems) {
      bytes += item.text.size() + 2;
    }
    if (bytes <= kMaxPageBytes || aItems.size() == 1 || aDepth == kHashBits) {
      this->pages.push_back(MakePage(Join(aSection, aItems)));
      return;
    }
    const std::uint64_t bit = 1ULL << (kHashBits - 1 - aDepth);
    const auto middle = std::partition_point(
      aItems.begin(), aItems.end(), [bit](const Item& aItem) {
        return (aItem.bucket & bit) == 0;
      });
    for (const std::span half : { std::span(aItems.begin(), middle),
                                  std::span(middle, aItems.end()) }) {
      if (!half.empty()) {
        this->Cut(aSection, half, aDepth + 1);
      }
    }
  }

  static std::string Join(const Section& aSection, std::span<const Item> aItems)
  {
    std::string content =
      fmt::format("{{\"{}\":{}", aSection.key, aSection.isObject ? "{" : "[");
    std::string_view separator = "\n";
    for (const Item& item : aItems) {
      content += separator;
      content += item.text;
      separator = ",\n";
    }
    content += aSection.isObject ? "\n}}\n" : "\n]}\n";
    return content;
  }

  CanonicalWriter writer;
  std::array<std::vector<Item>, kSections.size()> items;
  std::vector<Page> pages;
};

/// Names a page for findings by the section it holds.
std::string
NameOfPage(std::string_view aContent, std::size_t aIndex)
{
  for (const Section& section : kSections) {
    if (aContent.substr(0, section.key.size() + 3) ==
        fmt::format("{{\"{}\"", section.key)) {
      return fmt::format("{}-{:04}.json", section.key, aIndex);
    }
  }
  return fmt::format("page-{:04}.json", aIndex);
}

} // namespace

std::vector<Page>
MakePages(std::span<const ConfigurationSource> aSources)
{
  Cutter cutter;
  for (const ConfigurationSource& source : aSources) {
    cutter.Add(source);
  }
  return cutter.Finish();
}

absl::StatusOr<std::vector<ConfigurationSource>>
JoinPages(std::span<const std::string> aPageHashes,
          std::span<const Page> aPages)
{
  absl::flat_hash_map<std::string, const Page*> byHash;
  for (const Page& page : aPages) {
    byHash.emplace(page.hash, &page);
  }
  std::vector<ConfigurationSource> sources;
  for (const std::string& hash : aPageHashes) {
    const auto found = byHash.find(hash);
    if (found == byHash.end()) {
      return MakeError(absl::StatusCode::kNotFound, "no page {}", hash);
    }
    // A page comes from the store or from a peer: one that was damaged or
    // swapped on its way would put another configuration in force here than
    // elsewhere, with nothing to show for it.
    const std::string& content = found->second->content;
    if (Sha256Hex(content) != hash) {
      return MakeError(
        absl::StatusCode::kDataLoss, "page {} has other content", hash);
    }
    sources.push_back({ NameOfPage(content, sources.size()), content });
  }
  return sources;
}

} // namespace dogwoodvale
