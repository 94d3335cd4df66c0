#ifndef DOGWOODVALE_CORE_FINDINGS_H
#define DOGWOODVALE_CORE_FINDINGS_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Status.h"

namespace dogwoodvale {

/// A position in a text; line and column count from 1, 0 means unknown.
struct Place
{
  std::string file;
  int line = 0;
  int column = 0;

  bool operator==(const Place&) const = default;
};

/// One thing that is wrong, and where.
struct Finding
{
  Place place;
  std::string message;
};

/// Collects what is wrong, so that a reader sees all of it at once instead of
/// one error a run.
class Findings
{
public:
  void Add(Place aPlace, std::string aMessage);
  void Append(const Findings& aOther);

  bool IsEmpty() const { return this->all.empty(); }
  std::span<const Finding> All() const { return this->all; }

  /// One line a finding: "file:line:column: message".
  std::string Render() const;

  /// OK when empty, else InvalidArgument with Render() as its message.
  absl::Status ToStatus() const;

private:
  std::vector<Finding> all;
};

/// Line and column of the byte \p aOffset of \p aText.
Place
PlaceOfOffset(std::string_view aFile,
              std::string_view aText,
              std::size_t aOffset);

} // namespace dogwoodvale

#endif
