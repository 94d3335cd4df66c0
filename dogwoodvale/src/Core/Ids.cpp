#include "dogwoodvale/Core"

#include <charconv>
#include <random>

#include <fmt/format.h>

namespace dogwoodvale {

namespace {

constexpr int kHexadecimal = 16;

std::optional<std::uint64_t>
ParseHexadecimal(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] =
    std::from_chars(aText.data(), end, value, kHexadecimal);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
ToString(const RequestId& aId)
{
  return fmt::format("{:016x}-{:x}", aId.entry, aId.sequence);
}

std::optional<RequestId>
ParseRequestId(std::string_view aText)
{
  const std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto entry = ParseHexadecimal(aText.substr(0, dash));
  const auto sequence = ParseHexadecimal(aText.substr(dash + 1));
  if (!entry || !sequence) {
    return std::nullopt;
  }
  return RequestId{ *entry, *sequence };
}

Incarnation
DrawIncarnation()
{
  std::random_device device;
  Incarnation drawn = 0;
  while (drawn == 0) {
    drawn = (static_cast<Incarnation>(device()) << 32U) | device();
  }
  return drawn;
}

} // namespace dogwoodvale
