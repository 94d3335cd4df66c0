#ifndef DOGWOODVALE_STANDINS_JSONSERVER_H
#define DOGWOODVALE_STANDINS_JSONSERVER_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

#include "dogwoodvale/Core"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace dogwoodvale::standins {

class JsonServer;

/// One HTTP request and its reply, which may come later or as a stream.
///
/// Valid until Reply, ReplyJson, EndStream or Drop is called or until
/// RequestHandler::OnClosed; each of these destroys it.
class Exchange
{
public:
  Exchange(JsonServer& aServer, evhttp_request* aRequest);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::string Method() const;
  /// Without the query.
  std::string Path() const;
  /// Path and query, as they were sent.
  std::string Target() const;
  std::string Query(std::string_view aName) const;
  std::string Header(const char* aName) const;
  std::string Body() const;
  /// The body as JSON; nothing if it isn't a JSON object.
  std::optional<Json::Value> JsonBody() const;

  void AddHeader(const char* aName, const std::string& aValue);
  void Reply(int aCode, std::string_view aBody, const char* aType);
  void ReplyJson(int aCode, const Json::Value& aBody);

  void StartStream(const char* aType);
  /// \return false if the reader has left too much unread; the exchange is
  /// then dropped and no longer valid.
  [[nodiscard]] bool SendChunk(std::string_view aText);
  void EndStream();

  /// Closes the connection with no (further) reply.
  void Drop();

private:
  friend class JsonServer;
  JsonServer& server;
  evhttp_request* request;
  bool dropped = false;
};

/// Answers the requests of a JsonServer.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  virtual void OnRequest(Exchange& aExchange) = 0;
  /// The client has closed the connection; \p aExchange goes after this.
  virtual void OnClosed(Exchange& aExchange) = 0;
};

/// An HTTP server on one loop, shared by the stand-ins.
class JsonServer
{
public:
  /// \param aListen port 0 takes any free port, see Address().
  static absl::StatusOr<std::unique_ptr<JsonServer>> Create(
    EventLoop& aLoop,
    const SocketAddress& aListen,
    RequestHandler& aHandler);
  ~JsonServer();
  JsonServer(const JsonServer&) = delete;
  JsonServer& operator=(const JsonServer&) = delete;

  const SocketAddress& Address() const { return this->address; }

  /// What a reader may leave unread before it is dropped; 64 MB unless set.
  void SetMaxBacklog(std::size_t aBytes) { this->maxBacklog = aBytes; }

  /// Closes all connections that have sent a request, but for \p aSpared's;
  /// the handler isn't told.
  void DropAll(const Exchange* aSpared);

private:
  friend class Exchange;
  JsonServer(EventLoop& aLoop, RequestHandler& aHandler);
  static void OnRequest(evhttp_request* aRequest, void* aSelf);
  static void OnClose(evhttp_connection* aConnection, void* aSelf);
  /// Before the reply is sent off: the connection may take the next request
  /// or go at once.
  std::unique_ptr<Exchange> Release(Exchange& aExchange);
  void CloseDropped();

  RequestHandler& handler;
  evhttp* http;
  SocketAddress address;
  std::size_t maxBacklog = 64ULL << 20;
  Timer closing;
  /// Connections that have sent a request, with the one being answered.
  std::map<evhttp_connection*, std::unique_ptr<Exchange>> connections;
};

/// One line with no blanks; fractions to three places.
std::string
ToLine(const Json::Value& aValue);

} // namespace dogwoodvale::standins

#endif
