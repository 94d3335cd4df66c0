#include "dogwoodvale/Core"

#include <arpa/inet.h>
#include <charconv>

namespace dogwoodvale {

absl::StatusOr<SocketAddress>
SocketAddress::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is not an address; write IP:PORT",
                     aText);
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view portText = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string ip(host);
  in6_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 &&
      inet_pton(AF_INET6, ip.c_str(), &parsed) != 1) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is not an IP number; names are not resolved",
                     ip);
  }
  std::uint16_t port = 0;
  const char* end = portText.data() + portText.size();
  const auto [stop, error] = std::from_chars(portText.data(), end, port);
  if (portText.empty() || error != std::errc() || stop != end) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" is not a port; write a number up to 65535",
                     portText);
  }
  return SocketAddress{ ip, port };
}

absl::StatusOr<SocketAddress>
SocketAddress::ParseRemote(std::string_view aText)
{
  absl::StatusOr<SocketAddress> parsed = Parse(aText);
  if (parsed.ok() && parsed->port == 0) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "\"{}\" has no port to connect to",
                     aText);
  }
  return parsed;
}

std::string
SocketAddress::ToString() const
{
  if (this->ip.find(':') != std::string::npos) {
    return fmt::format("[{}]:{}", this->ip, this->port);
  }
  return fmt::format("{}:{}", this->ip, this->port);
}

} // namespace dogwoodvale
