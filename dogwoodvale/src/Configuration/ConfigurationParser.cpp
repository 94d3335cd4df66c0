#include "dogwoodvale/Configuration"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <tuple>

#include "ConfigurationCollector.h"

namespace dogwoodvale {

namespace {

/// More would bury the first ones; a wrong template repeats its finding for
/// each of its customers.
constexpr std::size_t kMaxFindings = 1000;

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
  const auto key = [&order](const Finding& aFinding) {
    const auto file = order.find(aFinding.place.file);
    return std::tuple(file == order.end() ? order.size() : file->second,
                      aFinding.place.line,
                      aFinding.place.column);
  };
  std::vector<Finding> sorted(aFound.All().begin(), aFound.All().end());
  std::stable_sort(sorted.begin(),
                   sorted.end(),
                   [&key](const Finding& aLeft, const Finding& aRight) {
                     return key(aLeft) < key(aRight);
                   });
  const std::size_t shown = std::min(sorted.size(), kMaxFindings);
  for (std::size_t i = 0; i < shown; ++i) {
    aFindings.Add(std::move(sorted[i].place), std::move(sorted[i].message));
  }
  if (shown < sorted.size()) {
    aFindings.Add({ "", 0, 0 },
                  fmt::format("{} more findings", sorted.size() - shown));
  }
}

} // namespace

Configuration
ParseConfiguration(std::span<const ConfigurationSource> aSources,
                   Findings& aFindings)
{
  using internal::ConfigurationCollector;
  Findings found;
  ConfigurationCollector collector(found);
  std::vector<const ConfigurationSource*> definitions;
  std::vector<const ConfigurationSource*> customers;
  for (const ConfigurationSource& source : aSources) {
    const bool mayDefine = ConfigurationCollector::MayDefine(source.text);
    (mayDefine ? definitions : customers).push_back(&source);
  }
  collector.ReadDefinitions(definitions);
  for (const ConfigurationSource* source : customers) {
    collector.ReadCustomers(*source);
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
