#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATIONPAGES_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATIONPAGES_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ConfigurationParser.h"

namespace dogwoodvale {

/// A content-addressed part of a configuration, below the store's value bound.
struct Page
{
  /// SHA-256 of the content.
  std::string hash;
  std::string content;
};

/// What the store's one root key holds: which pages make up the configuration.
struct ConfigurationRoot
{
  Epoch epoch = 0;
  /// Drawn by the tool for each change, so that a lost reply can be settled.
  std::string changeId;
  std::string author;
  std::string comment;
  /// Seconds since 1970, for people only; nothing is decided by it.
  std::int64_t acceptedAt = 0;
  std::vector<std::string> pageHashes;
  /// The newest changes before this one, newest first, bounded.
  struct Past
  {
    Epoch epoch = 0;
    std::string changeId;
    std::string author;
    std::string comment;
    std::int64_t acceptedAt = 0;
  };
  std::vector<Past> history;

  static constexpr std::size_t kMaxHistory = 50;
};

/// Cuts sources into pages by content, so that a small change to one customer
/// changes few pages.
std::vector<Page>
MakePages(std::span<const ConfigurationSource> aSources);

/// The sources again; an error if a page is missing or its hash is wrong.
absl::StatusOr<std::vector<ConfigurationSource>>
JoinPages(const ConfigurationRoot& aRoot, std::span<const Page> aPages);

std::string
EncodeRoot(const ConfigurationRoot& aRoot);

absl::StatusOr<ConfigurationRoot>
DecodeRoot(std::string_view aText);

} // namespace dogwoodvale

#endif
