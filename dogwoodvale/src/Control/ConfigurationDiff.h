#ifndef DOGWOODVALE_CONTROL_CONFIGURATIONDIFF_H
#define DOGWOODVALE_CONTROL_CONFIGURATIONDIFF_H

#include <span>
#include <string>
#include <vector>

#include <json/json.h>

#include "dogwoodvale/Configuration"

namespace dogwoodvale {

/// One difference between two configurations.
struct Difference
{
  enum class Kind : std::uint8_t
  {
    Added,
    Removed,
    Changed,
  };
  Kind kind = Kind::Changed;
  /// "services/NAME/classes/0/tier".
  std::string path;
  /// JSON, one line.
  std::string before;
  std::string after;
};

/// What changes from \p aBefore to \p aAfter; templates, services and customers
/// are matched by name.
std::vector<Difference>
DiffSources(std::span<const ConfigurationSource> aBefore,
            std::span<const ConfigurationSource> aAfter);

/// One line a difference: "+ path: value", "- path: value", "~ path: a -> b".
std::string
RenderDifferences(std::span<const Difference> aDifferences);

Json::Value
DifferencesToJson(std::span<const Difference> aDifferences);

} // namespace dogwoodvale

#endif
