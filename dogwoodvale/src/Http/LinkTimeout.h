#ifndef DOGWOODVALE_HTTP_LINKTIMEOUT_H
#define DOGWOODVALE_HTTP_LINKTIMEOUT_H

#include <cstddef>
#include <functional>
#include <optional>

#include "dogwoodvale/Core"

struct bufferevent;

namespace dogwoodvale::internal {

/// Finds out that the peer of a connection is gone without a close: segments
/// that it would answer go unanswered.
///
/// TCP_USER_TIMEOUT does this too, but also ends a connection whose peer
/// answers every probe and only doesn't read. So the system's limit is extended
/// as long as bytes are unacknowledged, and the peer is judged by what it
/// answers. Where the system doesn't tell of that, its limit stays in force,
/// extended only by bytes of the peer; so it does without traffic.
class LinkTimeout
{
public:
  /// \param aLimit 0 leaves it to the system.
  /// \param aOnGone may end the stream, and this by the loop's next turn.
  LinkTimeout(EventLoop& aLoop, Duration aLimit, std::function<void()> aOnGone);

  /// To be called once, when \p aStream is connected.
  void Start(bufferevent* aStream);
  /// Bytes were written.
  void OnWritten();
  /// Bytes came from the peer.
  void OnReceived();
  /// The answer is complete; the peer may still have to read the request.
  void OnAnswered();
  /// To be called before the end of the stream.
  void Stop() { this->timer.Stop(); }

  /// Limits of silence after which a peer counts as gone while its window is
  /// closed, as the system then sends to it more and more rarely.
  static constexpr int kClosedWindowLimits = 2;

private:
  struct Peer
  {
    /// Time since its last segment.
    Duration sinceHeard;
    /// Retransmissions, or probes of its window, since then.
    int unanswered;
    /// All that was sent is acknowledged, and no more may be sent.
    bool isWindowClosed;
  };

  void Check();
  /// Bytes that the peer has not acknowledged.
  std::size_t Unacknowledged() const;
  /// \return nothing if the system doesn't tell.
  std::optional<Peer> ReadPeer() const;
  bool IsGone(const Peer& aPeer) const;
  void SetSystemLimit(Duration aLimit);

  Duration limit;
  std::function<void()> onGone;
  bufferevent* stream = nullptr;
  /// When the first of the unacknowledged bytes were written; the system counts
  /// its limit from this time or a later one.
  TimePoint writtenAt{};
  /// When bytes came last, while some were unacknowledged.
  TimePoint receivedAt{};
  Duration systemLimit{ 0 };
  Timer timer;
};

} // namespace dogwoodvale::internal

#endif
