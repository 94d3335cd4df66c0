#ifndef DOGWOODVALE_HTTP_CALLERSERVER_H
#define DOGWOODVALE_HTTP_CALLERSERVER_H

#include <memory>

#include "HttpMessage.h"
#include "dogwoodvale/Metrics"
#include "dogwoodvale/Settings"

namespace dogwoodvale {

/// Is told what happens to a caller's exchange.
class CallerExchangeHandler
{
public:
  virtual ~CallerExchangeHandler() = default;
  /// The caller closed its connection; what is sent from now on is dropped.
  virtual void OnCallerGone() = 0;
  /// PendingBytes() fell below the low-water mark after being above it.
  virtual void OnDrained() = 0;
};

/// One request and the way to answer it. Destroying it before the end of the
/// answer closes the caller's connection, so that it is not taken for whole.
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  virtual void SetHandler(CallerExchangeHandler* aHandler) = 0;

  /// A whole answer at once.
  virtual void Respond(int aStatus,
                       std::span<const HeaderField> aHeaders,
                       std::string_view aBody) = 0;

  /// An answer in parts (chunked).
  virtual void StartStream(int aStatus,
                           std::span<const HeaderField> aHeaders) = 0;
  virtual void SendPart(std::string_view aBytes) = 0;
  virtual void EndStream() = 0;

  /// Bytes not yet taken by the caller's socket.
  virtual std::size_t PendingBytes() const = 0;

  /// Looks whether the caller has closed its connection, also if the loop has
  /// not come to read that: on a busy machine a request is read long after it
  /// arrived, and the close behind it later still. Then tells the handler.
  /// \return whether the caller is gone.
  virtual bool CheckCallerGone() = 0;
};

class CallerHandler
{
public:
  virtual ~CallerHandler() = default;
  virtual void OnRequest(std::unique_ptr<CallerExchange> aExchange) = 0;
};

struct CallerBounds
{
  std::size_t headerBytes = 32U << 10U;
  std::size_t bodyBytes = 4U << 20U;
  /// Memory of all requests that are being received or answered, and of
  /// answers that their callers have not taken. At the limit those yield that
  /// hold the most for the longest time without progress.
  std::size_t memoryBytes = 256U << 20U;
  /// What may lie unread in the sockets of all connections together, beyond
  /// SocketBuffers::kSmallest of each.
  std::size_t socketBytes = 256U << 20U;
  std::size_t connections = 10000;
  /// Time for a whole request to arrive, against slow senders.
  Duration readTimeout = seconds(20);
  Duration idleTimeout = seconds(75);
  std::size_t lowWaterBytes = 64U << 10U;
  /// Of the connections' events.
  EventPriority priority = EventPriority::Traffic;
  /// Share of the loop's time that they may take; below 1 each connection also
  /// handles one request a turn.
  double loopShare = 1;
};

/// Bounds what callers may take of the process's memory.
void
ApplyMemory(const MemoryShares& aMemory, CallerBounds& aBounds);

/// What the server refused by itself.
struct CallerServerCounters
{
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t tooLarge = 0;
  std::uint64_t malformed = 0;
  std::uint64_t readTimeouts = 0;
  std::uint64_t refusedConnections = 0;
  std::uint64_t refusedForMemory = 0;
  /// Answers given up as their callers did not read them.
  std::uint64_t unreadAnswers = 0;
  /// Connections without a request that were closed for new ones.
  std::uint64_t closedForNew = 0;
};

/// HTTP/1.1 server for callers, by libevhtp's parser.
///
/// Two pipelined requests are answered in order, each with its own answer. A
/// caller that closes its sending half counts as gone, since that cannot be
/// told from leaving. When the server goes, open exchanges are cut and their
/// handlers not told.
class CallerServer : public MetricsSource
{
public:
  static absl::StatusOr<std::unique_ptr<CallerServer>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const CallerBounds& aBounds,
    CallerHandler& aHandler);

  virtual SocketAddress Address() const = 0;
  virtual const CallerServerCounters& Counters() const = 0;
  /// Bounds for what is read from now on.
  virtual void SetBounds(const CallerBounds& aBounds) = 0;
  /// From now on each connection closes after its next answer, which says so.
  virtual void AnnounceClosing() = 0;
  /// Accepts what waits for it and closes the listening socket; open
  /// connections go on, and each closes after the answer to its current
  /// request, or to the next one if that answer has not announced it.
  virtual void StopAccepting() = 0;
  virtual std::size_t OpenConnections() const = 0;
  /// Connections on which a request is being received or answered.
  virtual std::size_t BusyConnections() const = 0;
  /// Bytes of answers that the callers' sockets have not taken.
  virtual std::size_t UnsentBytes() const = 0;
  /// Memory of all requests and of answers that were not taken.
  virtual std::size_t HeldBytes() const = 0;
  /// Closes the connections on which no request has begun and nothing is to be
  /// read or sent, but for those on which a request may be on its way; for the
  /// end of a planned stop.
  virtual void CloseIdleConnections() = 0;
  /// Answers requests that have not been read whole, for the end of the
  /// process.
  virtual void RefuseIncomplete(int aStatus,
                                std::span<const HeaderField> aHeaders,
                                std::string_view aBody) = 0;
};

} // namespace dogwoodvale

#endif
