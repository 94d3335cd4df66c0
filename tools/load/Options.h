#ifndef DOGWOODVALE_TOOLS_LOAD_OPTIONS_H
#define DOGWOODVALE_TOOLS_LOAD_OPTIONS_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <docopt/docopt.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::load {

/// The parts of \p aText between separators; empty ones are left out.
std::vector<std::string>
Split(std::string_view aText, char aSeparator);

/// A finite number that makes up all of \p aText.
std::optional<double>
ParseNumber(const std::string& aText);

/// Reads a tool's typed options and collects what is wrong with them.
class OptionReader
{
public:
  /// \return the exit code if the tool is to end here: 0 after help or
  /// version, 2 after wrong usage.
  std::optional<int> Parse(const char* aUsage,
                           std::string_view aProgram,
                           const std::vector<std::string>& aArguments);

  bool Flag(const std::string& aName) const;
  /// Empty if it wasn't given.
  std::string Text(const std::string& aName) const;
  std::vector<std::string> List(const std::string& aName) const;
  /// A number from 0 to \p aMax.
  double Number(const std::string& aName, double aMax);
  /// NAME=NUMBER[,NAME=NUMBER...].
  std::map<std::string, double> Pairs(const std::string& aName);
  /// IP:PORT[,IP:PORT...].
  std::vector<SocketAddress> Addresses(const std::string& aName);

  void Fail(const std::string& aName, std::string_view aMessage);
  /// OK, or all that is wrong, one option a line.
  absl::Status Status() const;

private:
  std::map<std::string, docopt::value> values;
  std::string problems;
};

} // namespace dogwoodvale::load

#endif
