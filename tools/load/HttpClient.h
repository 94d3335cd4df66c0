#ifndef DOGWOODVALE_TOOLS_LOAD_HTTPCLIENT_H
#define DOGWOODVALE_TOOLS_LOAD_HTTPCLIENT_H

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodvale/Core"

struct evhttp_connection;
struct evhttp_request;

namespace dogwoodvale::load {

/// One request towards a target.
struct HttpRequest
{
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// What is known once an answer's head has come.
struct AnswerHead
{
  int status = 0;
  std::string contentType;
  std::string requestId;
  /// The Retry-After header; empty if there is none.
  std::string retryAfter;
};

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t
{
  /// The answer's framing is whole.
  Whole,
  /// The connection was lost or broken before that.
  Broken,
  /// No connection came about, so nothing was sent.
  NotConnected,
};

/// Takes one answer as it comes.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;
  virtual void OnHead(const AnswerHead& aHead) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  /// The last call; the sink may destroy the exchange in it.
  virtual void OnEnd(ExchangeEnd aEnd) = 0;
};

class HttpClient;

/// One request under way; destroying it before the end closes its connection.
class Exchange
{
public:
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

private:
  friend class HttpClient;
  Exchange(HttpClient& aClient, SocketAddress aTarget, AnswerSink& aSink);

  static void OnChunk(evhttp_request* aRequest, void* aSelf);
  static void OnComplete(evhttp_request* aRequest, void* aSelf);
  void TakeHead(evhttp_request* aRequest);
  void Finish(ExchangeEnd aEnd);

  HttpClient& client;
  SocketAddress target;
  AnswerSink& sink;
  evhttp_connection* connection = nullptr;
  bool hasHead = false;
};

/// HTTP/1.1 with a pool of kept connections per target, unlimited in number:
/// an open-loop load must not wait for a connection.
class HttpClient
{
public:
  /// \param aLoop outlives this; so do all exchanges end before this does.
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p aRequest; \p aSink outlives the exchange and is never called
  /// from within Send.
  std::unique_ptr<Exchange> Send(const SocketAddress& aTarget,
                                 const HttpRequest& aRequest,
                                 AnswerSink& aSink);

private:
  friend class Exchange;
  evhttp_connection* TakeConnection(const SocketAddress& aTarget);
  void Keep(const SocketAddress& aTarget, evhttp_connection* aConnection);
  /// Frees it from outside of its own callback.
  void Drop(evhttp_connection* aConnection);

  EventLoop& loop;
  std::map<SocketAddress, std::vector<evhttp_connection*>> idle;
  std::vector<evhttp_connection*> dropped;
  Timer sweep;
};

} // namespace dogwoodvale::load

#endif
