#ifndef DOGWOODVALE_PEER_HTTP2STREAM_H
#define DOGWOODVALE_PEER_HTTP2STREAM_H

#include <cstdint>
#include <memory>
#include <string>

#include "PeerStream.h"

namespace dogwoodvale::internal {

class Http2Session;

/// One stream as its session knows it: what waits to be sent, and how far
/// each direction has come.
struct Http2Stream
{
  Http2Stream(Http2Session& aSession, std::size_t aMessageLimit)
    : session(&aSession)
    , reader(aMessageLimit)
  {
  }

  std::size_t QueuedBytes() const { return this->out.size() - this->outStart; }
  /// Moves up to \p aSize queued bytes to \p aTo.
  std::size_t Take(std::uint8_t* aTo, std::size_t aSize);

  /// Null once the stream has closed.
  Http2Session* session;
  PeerStreamHandler* handler = nullptr;
  std::int32_t id = 0;
  MessageReader reader;
  std::string out;
  std::size_t outStart = 0;
  /// Received and not yet acknowledged, while paused.
  std::size_t unacknowledged = 0;
  /// The listening side's response headers were submitted.
  bool responded = false;
  /// The data provider waits for more.
  bool deferred = false;
  bool finishing = false;
  bool endSent = false;
  bool remoteEnded = false;
  bool paused = false;
  bool written = false;
  bool aboveLowWater = false;
  /// The owner has let go; the session keeps the rest until it is sent.
  bool lingering = false;
};

/// What the stream's owner holds.
class Http2StreamHandle final : public PeerStream
{
public:
  explicit Http2StreamHandle(std::unique_ptr<Http2Stream> aStream);
  ~Http2StreamHandle() override;
  Http2StreamHandle(const Http2StreamHandle&) = delete;
  Http2StreamHandle& operator=(const Http2StreamHandle&) = delete;

  void SetHandler(PeerStreamHandler* aHandler) override;
  void Send(const Message& aMessage) override;
  void FinishSending() override;
  std::size_t QueuedBytes() const override;
  void SetReadingPaused(bool aPaused) override;
  bool WasWritten() const override;

private:
  std::unique_ptr<Http2Stream> stream;
};

} // namespace dogwoodvale::internal

#endif
