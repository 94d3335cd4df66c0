#ifndef DOGWOODVALE_PEER_HTTP2SESSION_H
#define DOGWOODVALE_PEER_HTTP2SESSION_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <nghttp2/nghttp2.h>

#include "Http2Stream.h"
#include "PeerConnection.h"

struct bufferevent;
struct event;

namespace dogwoodvale::internal {

enum class Side
{
  Connecting,
  Listening,
};

/// The transport under a PeerConnection: one socket, one nghttp2 session, the
/// control stream and the heartbeats.
///
/// Handlers are called from inside nghttp2 and libevent, and may destroy the
/// connection there. A session is therefore never freed while one of its own
/// functions is on the stack: Abandon() marks it, and the outermost Scope
/// frees it. The same holds for the socket, whose input buffer nghttp2 is
/// reading from.
class Http2Session final
{
public:
  Http2Session(EventLoop& aLoop,
               const PeerOptions& aOptions,
               const Hello& aSelf,
               Side aSide,
               PeerConnectionHandler& aHandler);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  void Connect(const SocketAddress& aAddress);
  /// Takes over the accepted socket \p aSocket. A connection that ends by the
  /// peer's fault is counted in \p aRejections; shared, since connections may
  /// outlive their listener.
  void Accept(int aSocket, std::shared_ptr<std::uint64_t> aRejections);
  void SetHandler(PeerConnectionHandler& aHandler)
  {
    this->handler = &aHandler;
  }
  /// Ends the connection and frees the session as soon as that is safe.
  /// Every open stream gets OnLost before this returns.
  static void Abandon(std::unique_ptr<Http2Session> aSession);

  bool IsReady() const { return this->ready && !this->closed; }
  const Hello& Peer() const { return this->peer; }
  std::unique_ptr<PeerStream> OpenStream();
  void SetNotice(const Notice& aNotice, bool aSendNow);
  std::size_t StreamCount() const { return this->streams.size(); }
  std::uint64_t BytesSent() const { return this->bytesSent; }
  std::uint64_t BytesReceived() const { return this->bytesReceived; }

  // For the streams' handles.
  void Release(std::unique_ptr<Http2Stream> aStream);
  void OnQueued(Http2Stream& aStream);
  void Acknowledge(Http2Stream& aStream);

  // For nghttp2's callbacks; false tells nghttp2 to stop at once.
  bool OnRequest(std::int32_t aId);
  bool OnData(std::int32_t aId, std::string_view aBytes);
  bool OnRemoteEnd(std::int32_t aId);
  bool OnStreamClose(std::int32_t aId, std::uint32_t aError);
  bool OnControlFrame();
  bool OnGoAway();
  void OnGoAwaySent() { this->gaveUp = true; }
  void OnBeforeFrame(std::int32_t aId);
  void OnEndSent(std::int32_t aId);
  ssize_t Provide(std::int32_t aId,
                  std::span<std::uint8_t> aTo,
                  std::uint32_t& aFlags);

private:
  /// Marks that a function of the session is on the stack.
  class Scope;

  void CreateSession();
  void SetTrafficPriority();
  void SetUpSocket(bufferevent* aSocket);
  void OnConnected();
  void OnReadable();
  void OnSocketEvent(short aWhat);
  void ScheduleFlush();
  void Flush();
  void WriteOut();
  void WriteBytes(std::string_view aBytes, bool aMayWriteNow);
  void TellWritable();
  void FailLater(const absl::Status& aReason);
  void Close(const absl::Status& aReason);
  void LoseStreams(const absl::Status& aReason);

  void OpenControlStream();
  bool OnControlData(std::string_view aBytes);
  bool OnControlMessage(const Message& aMessage);
  bool OnHello(const Hello& aHello);
  void SendControl(const Message& aMessage);
  void OnTimer();
  void ArmTimer();
  Duration HeartbeatPeriod() const;
  Duration SilenceBound() const;
  /// Call when a stream was opened: silence counts from now on.
  void OnStreamOpened();
  Http2Stream* Find(std::int32_t aId);
  /// The stream is closed, or its owner has let go.
  void Forget(Http2Stream& aStream);
  absl::Status Feed(Http2Stream& aStream,
                    std::string_view aBytes,
                    std::vector<Message>& aOut);
  bool Deliver(std::int32_t aId, std::vector<Message> aMessages);
  void Reset(std::int32_t aId, std::uint32_t aError);
  void Lose(Http2Stream& aStream, const absl::Status& aReason);

  EventLoop& loop;
  const PeerOptions options;
  const Hello self;
  const Side side;
  PeerConnectionHandler* handler;
  bufferevent* socket = nullptr;
  nghttp2_session* session = nullptr;
  event* flushEvent;
  Timer timer;

  /// What nghttp2 would say to a peer that has not shown the secret: such a
  /// one gets not a byte. Bounded by kMaxControlFrames. nghttp2 is still asked
  /// for it, since only then does it tell that it has given the peer up.
  std::string withheld;
  Hello peer;
  Notice notice;
  Http2Stream control;
  absl::flat_hash_map<std::int32_t, Http2Stream*> streams;
  /// Released by their owners, with bytes still to be sent.
  absl::flat_hash_map<std::int32_t, std::unique_ptr<Http2Stream>> lingering;
  std::vector<std::int32_t> writable;
  /// Held of messages that have not come whole, all streams.
  std::size_t partialBytes = 0;

  /// Closes the connection on the next turn.
  absl::Status failure;
  TimePoint opened;
  TimePoint lastSent;
  TimePoint lastReceived;
  TimePoint timerDue;
  /// From the peer's last notice.
  Duration peerIdlePeriod{ 0 };
  TimePoint floodWindowStart;
  std::uint32_t controlFrames = 0;
  std::shared_ptr<std::uint64_t> rejections;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  int depth = 0;
  bool ready = false;
  bool closed = false;
  bool abandoned = false;
  bool flushScheduled = false;
  /// nghttp2 has ended the session, for something that the peer did.
  bool gaveUp = false;
};

} // namespace dogwoodvale::internal

#endif
