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

/// A page is split while it has more bytes and more than one item. A change of
/// one customer moves the root (46 bytes a page) and one page; this size makes
/// both about equal at 16,000 customers.
inline constexpr std::size_t kMaxPageBytes = 16U << 10U;

/// Cuts sources into pages by content, so that a change to one customer
/// changes few pages.
///
/// Templates, services and customers are written without comments and blanks,
/// one a line, and bucketed by a hash of their names; a bucket that is too
/// large is split by the next bit of the hash, so that a split stays local.
/// A source that isn't a well-formed configuration file becomes one page as it
/// stands: parsing what JoinPages() returns gives its findings.
std::vector<Page>
MakePages(std::span<const ConfigurationSource> aSources);

/// The sources again; an error if a page is missing or its hash is wrong.
///
/// They are equivalent to those that MakePages() took, in a canonical order
/// and form: making pages of them gives the same pages.
absl::StatusOr<std::vector<ConfigurationSource>>
JoinPages(std::span<const std::string> aPageHashes,
          std::span<const Page> aPages);

} // namespace dogwoodvale

#endif
