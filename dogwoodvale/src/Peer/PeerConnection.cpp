#include <algorithm>

#include "Http2Connection.h"

namespace dogwoodvale {

std::uint32_t
IdlePeriodMillis(std::size_t aConnections)
{
  // A notice with its framing, as it goes out on an idle connection.
  constexpr std::size_t kNoticeBytes = 150;
  // Leaves room for hellos and changes within 2 KB/s for control in all.
  constexpr std::size_t kBytesPerSecond = 1500;
  constexpr std::size_t kMillisPerSecond = 1000;
  constexpr std::size_t kLongest = 60 * kMillisPerSecond;
  const std::size_t period =
    aConnections * kNoticeBytes * kMillisPerSecond / kBytesPerSecond;
  return static_cast<std::uint32_t>(
    std::clamp(period, kMillisPerSecond, kLongest));
}

std::unique_ptr<PeerConnection>
PeerConnection::Connect(EventLoop& aLoop,
                        const SocketAddress& aAddress,
                        const PeerOptions& aOptions,
                        const Hello& aSelf,
                        PeerConnectionHandler& aHandler)
{
  auto session = std::make_unique<internal::Http2Session>(
    aLoop, aOptions, aSelf, internal::Side::Connecting, aHandler);
  session->Connect(aAddress);
  return std::make_unique<internal::Http2Connection>(std::move(session));
}

} // namespace dogwoodvale
