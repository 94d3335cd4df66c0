#include "tools/load/Options.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace dogwoodvale::load {

namespace {

constexpr int kExitUsage = 2;

} // namespace

std::vector<std::string>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(aSeparator), aText.size());
    if (end > 0) {
      parts.emplace_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

std::optional<double>
ParseNumber(const std::string& aText)
{
  char* end = nullptr;
  const double number = std::strtod(aText.c_str(), &end);
  if (aText.empty() || *end != '\0' || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<int>
OptionReader::Parse(const char* aUsage,
                    std::string_view aProgram,
                    const std::vector<std::string>& aArguments)
{
  try {
    this->values = docopt::docopt_parse(aUsage, aArguments, true, true);
    return std::nullopt;
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", aUsage);
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("{} {}\n", aProgram, DOGWOODVALE_VERSION);
    return 0;
  } catch (const std::runtime_error& error) {
    fmt::print(stderr, "{}\n{}", error.what(), aUsage);
    return kExitUsage;
  }
}

bool
OptionReader::Flag(const std::string& aName) const
{
  const docopt::value& value = this->values.at(aName);
  return value && value.asBool();
}

std::string
OptionReader::Text(const std::string& aName) const
{
  const docopt::value& value = this->values.at(aName);
  return value ? value.asString() : std::string();
}

std::vector<std::string>
OptionReader::List(const std::string& aName) const
{
  return this->values.at(aName).asStringList();
}

double
OptionReader::Number(const std::string& aName, double aMax)
{
  const std::optional<double> number = ParseNumber(this->Text(aName));
  if (!number || *number < 0 || *number > aMax) {
    this->Fail(aName, fmt::format("must be a number from 0 to {}", aMax));
    return 0;
  }
  return *number;
}

std::map<std::string, double>
OptionReader::Pairs(const std::string& aName)
{
  std::map<std::string, double> found;
  for (const std::string& part : Split(this->Text(aName), ',')) {
    const std::size_t equals = std::min(part.find('='), part.size());
    const std::optional<double> number =
      ParseNumber(part.substr(std::min(equals + 1, part.size())));
    if (!number || equals == 0) {
      this->Fail(aName, "not NAME=NUMBER: " + part);
      continue;
    }
    found[part.substr(0, equals)] = *number;
  }
  return found;
}

std::vector<SocketAddress>
OptionReader::Addresses(const std::string& aName)
{
  std::vector<SocketAddress> found;
  for (const std::string& part : Split(this->Text(aName), ',')) {
    absl::StatusOr<SocketAddress> address = SocketAddress::Parse(part);
    if (address.ok()) {
      found.push_back(*std::move(address));
    } else {
      this->Fail(aName, std::string(MessageOf(address.status())));
    }
  }
  return found;
}

void
OptionReader::Fail(const std::string& aName, std::string_view aMessage)
{
  this->problems += fmt::format("{}: {}\n", aName, aMessage);
}

absl::Status
OptionReader::Status() const
{
  return this->problems.empty() ? absl::OkStatus()
                                : absl::InvalidArgumentError(this->problems);
}

} // namespace dogwoodvale::load
