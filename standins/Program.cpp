#include "Program.h"

#include <cmath>
#include <cstdlib>

#include <fmt/core.h>

namespace dogwoodvale::standins {

Options::Options(const char* aUsage, int aCount, char** aWords)
  : values(docopt::docopt(aUsage,
                          std::vector<std::string>(aWords + 1, aWords + aCount),
                          true,
                          DOGWOODVALE_VERSION))
{
}

bool
Options::Flag(const std::string& aName) const
{
  return this->values.at(aName).asBool();
}

bool
Options::Has(const std::string& aName) const
{
  return this->values.at(aName).isString();
}

std::string
Options::Text(const std::string& aName) const
{
  return this->values.at(aName).asString();
}

std::vector<std::string>
Options::List(const std::string& aName) const
{
  std::vector<std::string> items;
  const std::string text = this->Text(aName);
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    if (end > start) {
      items.push_back(text.substr(start, end - start));
    }
    start = end + 1;
  }
  return items;
}

double
Options::Number(const std::string& aName) const
{
  const std::string text = this->Text(aName);
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !std::isfinite(number) || number < 0) {
    this->Refuse(aName);
  }
  return number;
}

Duration
Options::Milliseconds(const std::string& aName) const
{
  return Duration(std::llround(this->Number(aName) * 1000));
}

SocketAddress
Options::Address(const std::string& aName) const
{
  auto address = SocketAddress::Parse(this->Text(aName));
  if (!address.ok()) {
    this->Refuse(aName);
  }
  return *address;
}

void
Options::Refuse(const std::string& aName) const
{
  fmt::print(stderr, "{}: wrong value '{}'\n", aName, this->Text(aName));
  std::exit(2);
}

} // namespace dogwoodvale::standins
