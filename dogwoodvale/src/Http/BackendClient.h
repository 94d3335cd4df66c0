#ifndef DOGWOODVALE_HTTP_BACKENDCLIENT_H
#define DOGWOODVALE_HTTP_BACKENDCLIENT_H

#include <functional>
#include <memory>

#include "HttpMessage.h"

namespace dogwoodvale {

/// The sign by which an answer was complete.
enum class AnswerEnd : std::uint8_t
{
  /// Its status, or the request's method, allows no body.
  Head,
  /// The bytes of its stated length.
  Length,
  LastChunk,
  /// The server closed the connection: an answer that states no length.
  Close,
};

/// Name of the sign in log lines.
std::string_view
AnswerEndName(AnswerEnd aEnd);

/// Is told what a backend server answers. Callbacks may destroy the call.
class BackendCallHandler
{
public:
  virtual ~BackendCallHandler() = default;
  /// The call had to wait for its connection, which is there now; the request
  /// is written after this, unless the call has been destroyed.
  virtual void OnConnected() {}
  /// Whether the answer that begins is this call's own. A server may send a
  /// second answer to an earlier request, late, where the next is expected;
  /// what is not one's own is read over, and the call waits on.
  /// \param aIsFirst whether the connection has carried no other request.
  virtual bool IsOwnAnswer(std::span<const HeaderField> /*aHeaders*/,
                           bool /*aIsFirst*/)
  {
    return true;
  }
  virtual void OnHead(int aStatus, std::span<const HeaderField> aHeaders) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  /// The answer is whole by HTTP's own rules.
  virtual void OnComplete(AnswerEnd aEnd) = 0;
  /// Bytes came behind the answer, which is whole after this.
  virtual void OnBytesBehind(std::string_view /*aBytes*/) {}
  /// \param aWritten whether any byte of the request may have reached the
  /// server; false means that it was surely not run.
  virtual void OnFailed(const absl::Status& aReason, bool aWritten) = 0;
};

/// One call under way; destroying it cancels by closing the connection.
class BackendCall
{
public:
  virtual ~BackendCall() = default;
  virtual void SetReadingPaused(bool aPaused) = 0;
  /// Whether bytes from the server, or the end of its connection, have arrived
  /// and are not handled yet, as on a busy machine.
  virtual bool HasUnread() const = 0;
  /// Bytes of the request that the system has taken; 0 once the call has ended.
  virtual std::size_t BytesSent() const = 0;
  /// Bytes that the server has sent, heads included, also after the end.
  virtual std::size_t BytesReceived() const = 0;
};

struct BackendClientOptions
{
  std::size_t idleConnections = 64;
  Duration connectTimeout = seconds(1);
  /// Silence from the server after which the call is given up.
  Duration idleTimeout = seconds(60);
  std::size_t headerBytes = 32U << 10U;
  /// Bytes of answers to earlier requests that a call reads over.
  std::size_t foreignBytes = 8U << 20U;
  /// Longest time that bytes may stay unacknowledged, or that an idle link may
  /// stay without a sign of life; 0 leaves it to the system (minutes). Without
  /// it a link that fell silent (no reset) looks open for good.
  Duration silentLinkTimeout{ 0 };
  EventPriority priority = EventPriority::Traffic;
};

/// What a server's address says to a new connection.
enum class ProbeResult : std::uint8_t
{
  Accepted,
  /// Nothing listens there: the process that did has ended.
  Refused,
  /// No answer, or another failure.
  Unclear,
};

/// HTTP/1.1 client to one backend server, with a pool.
///
/// A connection with any doubt about its last answer (cut, cancelled, bytes
/// left over) is closed, never pooled, so that no answer can be taken for
/// another's.
class BackendClient
{
public:
  static absl::StatusOr<std::unique_ptr<BackendClient>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const BackendClientOptions& aOptions);

  virtual ~BackendClient() = default;
  virtual std::unique_ptr<BackendCall> Start(const HttpRequest& aRequest,
                                             BackendCallHandler& aHandler) = 0;
  /// As Start(), on a kept connection only if it was used within
  /// \p aFreshness: one that has been idle may be closed by the server just
  /// now, and a request lost in it counts as one that may have run.
  virtual std::unique_ptr<BackendCall> StartFresh(const HttpRequest& aRequest,
                                                  BackendCallHandler& aHandler,
                                                  Duration aFreshness) = 0;
  /// Opens a connection, which is pooled if it is accepted. The handler is
  /// called later, at most once, never after this client's end.
  virtual void Probe(std::function<void(ProbeResult)> aHandler) = 0;
  virtual std::size_t IdleConnections() const = 0;
  virtual std::size_t OpenConnections() const = 0;
  /// Closes the connections that serve no call.
  virtual void CloseIdleConnections() = 0;
};

} // namespace dogwoodvale

#endif
