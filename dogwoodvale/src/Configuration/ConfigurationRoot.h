#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATIONROOT_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATIONROOT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ConfigurationPages.h"

namespace dogwoodvale {

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
  static constexpr std::size_t kMaxPages = 16'384;
  static constexpr std::size_t kMaxChangeId = 64;
  static constexpr std::size_t kMaxAuthor = 128;
  static constexpr std::size_t kMaxComment = 1024;
};

/// \copydoc JoinPages
absl::StatusOr<std::vector<ConfigurationSource>>
JoinPages(const ConfigurationRoot& aRoot, std::span<const Page> aPages);

/// JSON of bounded size: texts and history beyond their bounds are cut off.
std::string
EncodeRoot(const ConfigurationRoot& aRoot);

/// InvalidArgument with all findings if the text is no root.
absl::StatusOr<ConfigurationRoot>
DecodeRoot(std::string_view aText);

} // namespace dogwoodvale

#endif
