#ifndef DOGWOODVALE_CONFIGURATION_CONFIGURATIONPARSER_H
#define DOGWOODVALE_CONFIGURATION_CONFIGURATIONPARSER_H

#include <span>
#include <string>
#include <string_view>

#include "Configuration.h"

namespace dogwoodvale {

/// One file of an operator's configuration, as written.
struct ConfigurationSource
{
  std::string file;
  std::string text;
};

/// Parses templates, services and customers from all \p aSources together,
/// expands templates by their parameters and checks the whole.
///
/// \param aFindings gets every finding with file, line and column; when it
/// stays empty the result may be used.
Configuration
ParseConfiguration(std::span<const ConfigurationSource> aSources,
                   Findings& aFindings);

/// Reads a file, or all *.json files of a directory in order of name.
std::vector<ConfigurationSource>
ReadConfigurationSources(const std::string& aPath, Findings& aFindings);

} // namespace dogwoodvale

#endif
