#include "Http2Connection.h"

namespace dogwoodvale {

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
