#ifndef DOGWOODVALE_HTTP_BACKENDCONNECTION_H
#define DOGWOODVALE_HTTP_BACKENDCONNECTION_H

#include <memory>

#include "BackendClient.h"
#include "HttpParser.h"
#include "LinkState.h"
#include "LinkTimeout.h"
#include "Sockets.h"

struct bufferevent;

namespace dogwoodvale::internal {

class BackendConnection;
class BackendCallImpl;

class BackendConnectionOwner
{
public:
  virtual ~BackendConnectionOwner() = default;
  virtual const BackendClientOptions& Options() const = 0;
  /// The connection is clean and may serve another call.
  virtual void Pool(BackendConnection& aConnection) = 0;
  /// Forgets the connection; it is destroyed on the loop's next turn.
  virtual void Retire(BackendConnection& aConnection) = 0;
};

/// One connection to a backend server, for one call at a time.
class BackendConnection final : public HttpParserListener
{
public:
  BackendConnection(EventLoop& aLoop,
                    BackendConnectionOwner& aOwner,
                    const RawAddress& aAddress);
  ~BackendConnection() override;
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  void Begin(BackendCallImpl& aCall, bool aIsHead, std::string_view aBytes);
  /// Waits for the connection alone, which is then pooled.
  void BeginProbe(std::function<void(ProbeResult)> aHandler);
  /// The call was given up: closes at once.
  void Cancel();
  void SetReadingPaused(bool aPaused);
  bool HasUnread() const { return this->connected && !this->IsCleanNow(); }
  /// Of the call's request.
  std::size_t BytesSent() const;
  /// Looks at the socket whether the server closed or sent anything since;
  /// takes nothing from it.
  bool IsCleanNow() const;
  /// Closes, with no call told.
  void Close();
  /// When it was pooled.
  TimePoint IdleSince() const { return this->idleSince; }
  /// Whether the server, by its own word, may close it from now on.
  bool IsExpired(TimePoint aNow) const { return aNow >= this->expires; }

private:
  bool OnParsedHead() override;
  bool OnParsedBody(std::string_view aBytes) override;

  void OnReadable();
  void OnEvent(short aWhat);
  /// \return how many bytes are dealt with.
  std::size_t ReadAnswer(std::string_view aBytes);
  /// Reads over so many bytes of an answer that is not the call's own; the call
  /// fails at their limit.
  void SkipForeign(std::size_t aBytes);
  void ResetParser();
  void Write(std::string_view aBytes);
  /// Writes the request that has waited for the connection.
  void WriteRequest();
  void NoteKeepAlive();
  /// See LinkTimeout.
  void OnPeerGone();
  /// The server sends nothing more, or what it sent can't be read.
  void OnInputEnd();
  /// Whether the server closed after it had taken the whole request, and no
  /// error was reported. Only then does a close end an answer.
  bool IsClosedInOrder() const;
  /// Ends the call with a whole answer. \param aBehind what was read behind it.
  void CompleteBefore(std::string_view aBehind);
  AnswerEnd EndOfAnswer() const;
  void Complete(bool aKeep);
  void Fail(const absl::Status& aReason);

  BackendConnectionOwner& owner;
  bufferevent* stream;
  BackendCallImpl* call = nullptr;
  std::function<void(ProbeResult)> probe;
  std::unique_ptr<HttpParser> parser;
  /// Bytes of the request that the system took at once.
  std::size_t bytesAtOnce = 0;
  /// Bytes of the request that it had not taken at once.
  std::size_t requestBytes = 0;
  /// Requests that it has carried, with that of the call under way.
  std::size_t requests = 0;
  /// A request that waits for the connection.
  std::string unwritten;
  LinkState link;
  LinkTimeout linkTimeout;
  bool connected = false;
  bool isHead = false;
  /// The body has no length of its own and ends when the server closes.
  bool untilClose = false;
  /// The answer's head says that no body follows, whatever its length says.
  bool headOnly = false;
  /// The answer under way belongs to an earlier request.
  bool isForeign = false;
  /// Bytes of such answers during this call.
  std::size_t foreignBytes = 0;
  TimePoint idleSince{};
  TimePoint expires = TimePoint::max();
};

/// The handle that the caller of Start() holds.
class BackendCallImpl final : public BackendCall
{
public:
  explicit BackendCallImpl(BackendCallHandler& aHandler)
    : handler(aHandler)
  {
  }
  ~BackendCallImpl() override;
  void SetReadingPaused(bool aPaused) override;
  bool HasUnread() const override;
  std::size_t BytesSent() const override;
  std::size_t BytesReceived() const override { return this->bytesReceived; }

  BackendCallHandler& handler;
  BackendConnection* connection = nullptr;
  std::size_t bytesReceived = 0;
  /// Fails a call that cannot even be begun, on the loop's next turn.
  std::unique_ptr<Timer> failure;
};

} // namespace dogwoodvale::internal

#endif
