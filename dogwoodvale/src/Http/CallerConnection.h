#ifndef DOGWOODVALE_HTTP_CALLERCONNECTION_H
#define DOGWOODVALE_HTTP_CALLERCONNECTION_H

#include <memory>
#include <optional>

#include "BodyBuffer.h"
#include "CallerServer.h"
#include "HttpParser.h"

struct bufferevent;
struct evbuffer_cb_entry;

namespace dogwoodvale::internal {

class CallerConnection;
class CallerExchangeImpl;

/// What a connection needs of its server.
class CallerConnectionOwner
{
public:
  virtual ~CallerConnectionOwner() = default;
  virtual const CallerBounds& Bounds() const = 0;
  virtual CallerServerCounters& MutableCounters() = 0;
  virtual CallerHandler& Handler() = 0;
  virtual bool IsStopping() const = 0;
  /// What requests and answers of all connections hold.
  virtual MemoryBudget& Memory() = 0;
  /// Whether the connection may read now; if not, it pauses reading until
  /// ResumeReading().
  virtual bool BeginTurn(CallerConnection& aConnection) = 0;
  virtual void EndTurn() = 0;
  /// Forgets the connection; it is destroyed on the loop's next turn.
  virtual void Retire(CallerConnection& aConnection) = 0;
};

/// Memory of one connection by what it is for, or the sum of many.
struct CallerMemory
{
  /// Heads that are being read, with their parsers.
  std::size_t heads = 0;
  std::size_t bodies = 0;
  /// Requests that are being answered.
  std::size_t requests = 0;
  /// Bytes that came and are not parsed yet.
  std::size_t input = 0;
  /// Answers that the caller has not taken.
  std::size_t answers = 0;

  std::size_t Sum() const
  {
    return this->heads + this->bodies + this->requests + this->input +
           this->answers;
  }
  CallerMemory& operator+=(const CallerMemory& aOther)
  {
    this->heads += aOther.heads;
    this->bodies += aOther.bodies;
    this->requests += aOther.requests;
    this->input += aOther.input;
    this->answers += aOther.answers;
    return *this;
  }
};

/// One caller's connection: reads requests one at a time and writes answers.
class CallerConnection final
  : public HttpParserListener
  , public MemoryBudget::Holder
{
public:
  /// \param aSocketBytes receive buffer of its socket, for the owner.
  CallerConnection(EventLoop& aLoop,
                   CallerConnectionOwner& aOwner,
                   int aDescriptor,
                   std::size_t aSocketBytes);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Whether a request is being received or answered.
  bool IsBusy() const { return this->phase != Phase::Idle; }
  std::size_t SocketBytes() const { return this->socketBytes; }
  CallerMemory Memory() const;
  bool IsReadingPaused() const { return this->readingPaused; }
  void PauseReading();
  void ResumeReading();
  /// Closes at once, telling the exchange's handler.
  void Drop();
  /// Closes a connection without a request, once its last answer is sent and
  /// none has been on its way for kLeastSilence.
  void CloseIdle();
  /// Whether bytes have come that are not parsed.
  bool HasUnread() const;
  /// Answers a request that has come in part and closes.
  void RefuseIncomplete(int aStatus,
                        std::span<const HeaderField> aHeaders,
                        std::string_view aBody);
  /// How long nothing has come of the request that is due: for ever, if the
  /// last answer has been sent. Nothing while a request is answered.
  std::optional<Duration> SinceReceived() const;
  /// Closes a connection that has no request to answer. What has come of a
  /// request is refused.
  void MakeWay();

  /// A request that is being received may be refused, and a caller that leaves
  /// its answer unread may lose it.
  MemoryBudget::Standing Assess() const override;
  void Yield() override;
  /// Whether the caller has closed its sending half or reset the connection.
  /// Asks the system, as its bytes may not all have been read.
  bool HasCallerClosed() const;

  /// A request may be on its way for so long after the connection was made or
  /// has become free.
  static constexpr Duration kLeastSilence = milliseconds(250);

  // For the exchange.
  void WriteHead(int aStatus,
                 std::span<const HeaderField> aHeaders,
                 std::optional<std::size_t> aLength);
  void WritePart(std::string_view aBytes);
  /// The answer is whole: goes on with the next request or closes.
  void FinishAnswer();
  /// The answer will never be whole.
  void Abort();
  std::size_t PendingBytes() const;

private:
  enum class Phase
  {
    Idle,
    Receiving,
    Answering,
    /// All is said; waits for the bytes to leave and the caller to close.
    Closing,
    Closed,
  };

  bool OnParsedHead() override;
  bool OnParsedBody(std::string_view aBytes) override;

  void OnReadable();
  void HandleInput();
  /// Handles what has been read already on the loop's next turn.
  void HandleLater();
  void OnWritable();
  void OnEvent(short aWhat);
  void OnTimer();

  void ParseNext();
  void DeliverRequest();
  /// Answers by itself with an error and closes.
  void Refuse(int aStatus,
              ErrorCode aCode,
              std::string_view aMessage,
              std::span<const HeaderField> aHeaders = {});
  void RefuseWith(int aStatus,
                  std::span<const HeaderField> aHeaders,
                  std::string_view aBody);
  /// The body or head was refused by OnParsedHead() or OnParsedBody().
  void RefuseBody();
  void RefuseForMemory();
  /// The request is no longer needed.
  void ReleaseRequest();
  /// Tells the budget what is held, and \p aMore that is about to be.
  /// \return false if there is no room for it.
  bool UpdateBudget(std::size_t aMore = 0);
  /// Notes that bytes of the request came.
  void OnProgress(std::size_t aBytes);
  void OnOutputTaken(std::size_t aBytes);
  void StartClosing();
  /// Takes what the caller has sent and nobody will read: closing with unread
  /// bytes resets the connection and takes the end of the answer with it.
  void DiscardInput();
  void Write(std::string_view aBytes);
  void Close(bool aReset);

  CallerConnectionOwner& owner;
  bufferevent* stream;
  evbuffer_cb_entry* outputWatch = nullptr;
  std::size_t socketBytes;
  std::unique_ptr<HttpParser> parser;
  BodyBuffer body;
  CallerExchangeImpl* exchange = nullptr;
  Phase phase = Phase::Idle;
  bool mustClose = false;
  bool isHead = false;
  bool isHttp10 = false;
  bool chunked = false;
  bool aboveLowWater = false;
  bool finishedWriting = false;
  bool lacksMemory = false;
  bool readingPaused = false;
  /// Memory of the request that is being answered.
  std::size_t requestBytes = 0;
  /// Bytes read and thrown away since the connection began to close.
  std::size_t discardedBytes = 0;
  /// Received since receivedAt.
  std::size_t recentBytes = 0;
  TimePoint receivedAt{};
  /// Taken by the caller's socket since outputTakenAt.
  std::size_t recentOutput = 0;
  TimePoint outputTakenAt{};
  Timer timer;
};

/// The handle that a request's handler holds; outlives a lost connection.
class CallerExchangeImpl final : public CallerExchange
{
public:
  CallerExchangeImpl(CallerConnection& aConnection, HttpRequest aRequest);
  ~CallerExchangeImpl() override;

  const HttpRequest& Request() const override { return this->request; }
  void SetHandler(CallerExchangeHandler* aHandler) override;
  void Respond(int aStatus,
               std::span<const HeaderField> aHeaders,
               std::string_view aBody) override;
  void StartStream(int aStatus, std::span<const HeaderField> aHeaders) override;
  void SendPart(std::string_view aBytes) override;
  void EndStream() override;
  std::size_t PendingBytes() const override;
  bool CheckCallerGone() override;

  /// The connection is lost; the handler is told unless the answer is whole.
  void Detach(bool aTell);
  void Drained();

private:
  CallerConnection* connection;
  CallerExchangeHandler* handler = nullptr;
  HttpRequest request;
  bool started = false;
};

} // namespace dogwoodvale::internal

#endif
