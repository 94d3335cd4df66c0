#ifndef DOGWOODVALE_PEER_HTTP2CONNECTION_H
#define DOGWOODVALE_PEER_HTTP2CONNECTION_H

#include <utility>

#include "Http2Session.h"

namespace dogwoodvale::internal {

/// What a connection's owner holds; the session may outlive it for as long as
/// its own functions are on the stack.
class Http2Connection final : public PeerConnection
{
public:
  explicit Http2Connection(std::unique_ptr<Http2Session> aSession)
    : session(std::move(aSession))
  {
  }
  ~Http2Connection() override
  {
    Http2Session::Abandon(std::move(this->session));
  }
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  Http2Session& Session() { return *this->session; }

  bool IsReady() const override { return this->session->IsReady(); }
  const Hello& Peer() const override { return this->session->Peer(); }
  std::unique_ptr<PeerStream> OpenStream() override
  {
    return this->session->OpenStream();
  }
  void SetNotice(const Notice& aNotice, bool aSendNow) override
  {
    this->session->SetNotice(aNotice, aSendNow);
  }
  std::size_t StreamCount() const override
  {
    return this->session->StreamCount();
  }
  std::uint64_t BytesSent() const override
  {
    return this->session->BytesSent();
  }
  std::uint64_t BytesReceived() const override
  {
    return this->session->BytesReceived();
  }

private:
  std::unique_ptr<Http2Session> session;
};

} // namespace dogwoodvale::internal

#endif
