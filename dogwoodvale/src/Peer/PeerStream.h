#ifndef DOGWOODVALE_PEER_PEERSTREAM_H
#define DOGWOODVALE_PEER_PEERSTREAM_H

#include <memory>

#include "Message.h"

namespace dogwoodvale {

/// Is told what happens on a stream. Callbacks may destroy the stream.
class PeerStreamHandler
{
public:
  virtual ~PeerStreamHandler() = default;
  virtual void OnMessage(Message aMessage) = 0;
  /// The peer sends no more; everything it sent was delivered before.
  virtual void OnEnd() = 0;
  /// The stream or its connection was lost; nothing more comes. Cancelled: the
  /// peer let go of it, or the connection was destroyed here. Unavailable: the
  /// connection broke, or the peer refused the stream. DeadlineExceeded: the
  /// peer fell silent. ResourceExhausted, InvalidArgument, DataLoss, Aborted: a
  /// message was too long, malformed or cut short, here or there.
  virtual void OnLost(const absl::Status& aReason) = 0;
  /// QueuedBytes() fell below the low-water mark after being above it.
  virtual void OnWritable() {}
};

/// One bidirectional stream of messages. Destroying it cancels what has not
/// ended, at both ends (RST_STREAM): the other end gets OnLost with Cancelled.
/// No callback comes after that. Only an answer that the listening side has
/// finished (FinishSending) is still sent whole after its stream is destroyed.
class PeerStream
{
public:
  virtual ~PeerStream() = default;
  virtual void SetHandler(PeerStreamHandler* aHandler) = 0;
  /// Queues a message. Never blocks; watch QueuedBytes().
  virtual void Send(const Message& aMessage) = 0;
  /// Half-closes after what is queued.
  virtual void FinishSending() = 0;
  /// Bytes queued here and not yet taken by the connection.
  virtual std::size_t QueuedBytes() const = 0;
  /// While paused, received bytes are not acknowledged, so that the sender's
  /// window of this stream alone fills up. What the window already allows
  /// (PeerOptions::streamWindowBytes) is still delivered.
  virtual void SetReadingPaused(bool aPaused) = 0;
  /// Whether any byte of this stream was handed to the socket. If not, the
  /// peer cannot have seen it.
  virtual bool WasWritten() const = 0;
};

} // namespace dogwoodvale

#endif
