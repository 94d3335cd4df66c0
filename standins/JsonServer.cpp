#include "JsonServer.h"

#include <csignal>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>

namespace dogwoodvale::standins {

namespace {

constexpr std::size_t kMaxBodyBytes = 64ULL << 20;
constexpr std::size_t kMaxHeaderBytes = 64ULL << 10;
constexpr int kListenBacklog = 4096;
/// Longer than any trial: evhttp counts its timeout also while we answer.
constexpr int kTimeoutSeconds = 7 * 24 * 3600;

/// evutil's parser takes no port 0. \return the size, 0 if not an IP number.
int
ToSockaddr(const SocketAddress& aAddress, sockaddr_storage& aOut)
{
  auto* v4 = reinterpret_cast<sockaddr_in*>(&aOut);
  if (inet_pton(AF_INET, aAddress.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aAddress.port);
    return sizeof(*v4);
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&aOut);
  if (inet_pton(AF_INET6, aAddress.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aAddress.port);
    return sizeof(*v6);
  }
  return 0;
}

std::uint16_t
BoundPort(int aDescriptor)
{
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.ss_family == AF_INET6
                 ? reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port
                 : reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

/// evhttp stops reading while a request is answered, and so would not see the
/// client leave before the first byte of the reply.
void
WatchForClose(evhttp_connection* aConnection)
{
  bufferevent* stream = evhttp_connection_get_bufferevent(aConnection);
  bufferevent_data_cb onWritten = nullptr;
  bufferevent_event_cb onEvent = nullptr;
  void* context = nullptr;
  bufferevent_getcb(stream, nullptr, &onWritten, &onEvent, &context);
  bufferevent_setcb(stream, nullptr, onWritten, onEvent, context);
  bufferevent_enable(stream, EV_READ);
}

} // namespace

Exchange::Exchange(JsonServer& aServer, evhttp_request* aRequest)
  : server(aServer)
  , request(aRequest)
{
}

std::string
Exchange::Method() const
{
  switch (evhttp_request_get_command(this->request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

std::string
Exchange::Path() const
{
  const char* path =
    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(this->request));
  return path == nullptr ? "" : path;
}

std::string
Exchange::Target() const
{
  return evhttp_request_get_uri(this->request);
}

std::string
Exchange::Query(std::string_view aName) const
{
  const char* query =
    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(this->request));
  evkeyvalq pairs{};
  if (query == nullptr || evhttp_parse_query_str(query, &pairs) != 0) {
    return "";
  }
  const char* found = evhttp_find_header(&pairs, std::string(aName).c_str());
  std::string value = found == nullptr ? "" : found;
  evhttp_clear_headers(&pairs);
  return value;
}

std::string
Exchange::Header(const char* aName) const
{
  const char* value =
    evhttp_find_header(evhttp_request_get_input_headers(this->request), aName);
  return value == nullptr ? "" : value;
}

std::string
Exchange::Body() const
{
  evbuffer* input = evhttp_request_get_input_buffer(this->request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

std::optional<Json::Value>
Exchange::JsonBody() const
{
  const std::string body = this->Body();
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(
          body.data(), body.data() + body.size(), &value, nullptr) ||
        !value.isObject()) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt; // nested too deep
  }
  return value;
}

void
Exchange::AddHeader(const char* aName, const std::string& aValue)
{
  evhttp_add_header(
    evhttp_request_get_output_headers(this->request), aName, aValue.c_str());
}

void
Exchange::Reply(int aCode, std::string_view aBody, const char* aType)
{
  this->AddHeader("Content-Type", aType);
  evbuffer_add(evhttp_request_get_output_buffer(this->request),
               aBody.data(),
               aBody.size());
  const auto self = this->server.Release(*this);
  evhttp_send_reply(this->request, aCode, nullptr, nullptr);
}

void
Exchange::ReplyJson(int aCode, const Json::Value& aBody)
{
  this->Reply(aCode, ToLine(aBody), "application/json");
}

void
Exchange::StartStream(const char* aType)
{
  this->AddHeader("Content-Type", aType);
  this->AddHeader("Cache-Control", "no-cache");
  evhttp_send_reply_start(this->request, HTTP_OK, nullptr);
}

bool
Exchange::SendChunk(std::string_view aText)
{
  evhttp_connection* connection = evhttp_request_get_connection(this->request);
  evbuffer* unread =
    bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
  // A client that doesn't read would otherwise fill our memory.
  if (evbuffer_get_length(unread) + aText.size() > this->server.maxBacklog) {
    this->Drop();
    return false;
  }
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, aText.data(), aText.size());
  evhttp_send_reply_chunk(this->request, chunk);
  evbuffer_free(chunk);
  return true;
}

void
Exchange::EndStream()
{
  const auto self = this->server.Release(*this);
  evhttp_send_reply_end(this->request);
}

void
Exchange::Drop()
{
  // Not now: evhttp may be using the connection further up the stack.
  this->dropped = true;
  this->server.closing.StartOnce(Duration(0));
}

absl::StatusOr<std::unique_ptr<JsonServer>>
JsonServer::Create(EventLoop& aLoop,
                   const SocketAddress& aListen,
                   RequestHandler& aHandler)
{
  sockaddr_storage where{};
  const int size = ToSockaddr(aListen, where);
  if (size == 0) {
    return absl::InvalidArgumentError("not an IP number: " + aListen.ip);
  }
  // A write to a connection that the client has closed would end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<JsonServer> server(new JsonServer(aLoop, aHandler));
  evconnlistener* listener = evconnlistener_new_bind(
    aLoop.Base(),
    nullptr,
    nullptr,
    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
    kListenBacklog,
    reinterpret_cast<sockaddr*>(&where),
    size);
  if (listener == nullptr) {
    return absl::UnavailableError("can't listen on " + aListen.ToString());
  }
  server->address = { aListen.ip, BoundPort(evconnlistener_get_fd(listener)) };
  evhttp_bind_listener(server->http, listener);
  return server;
}

JsonServer::JsonServer(EventLoop& aLoop, RequestHandler& aHandler)
  : handler(aHandler)
  , http(evhttp_new(aLoop.Base()))
  , closing(aLoop, [this] { this->CloseDropped(); })
{
  evhttp_set_gencb(this->http, &JsonServer::OnRequest, this);
  evhttp_set_timeout(this->http, kTimeoutSeconds);
  evhttp_set_max_body_size(this->http, kMaxBodyBytes);
  evhttp_set_max_headers_size(this->http, kMaxHeaderBytes);
  evhttp_set_allowed_methods(
    this->http,
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
      EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
}

JsonServer::~JsonServer()
{
  for (auto& [connection, exchange] : this->connections) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  evhttp_free(this->http);
}

void
JsonServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<JsonServer*>(aSelf);
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  auto [at, isNew] = self->connections.try_emplace(connection);
  if (isNew) {
    evhttp_connection_set_closecb(connection, &JsonServer::OnClose, self);
    const int on = 1;
    setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
               IPPROTO_TCP,
               TCP_NODELAY,
               &on,
               sizeof(on));
  }
  WatchForClose(connection);
  at->second = std::make_unique<Exchange>(*self, aRequest);
  self->handler.OnRequest(*at->second);
}

void
JsonServer::OnClose(evhttp_connection* aConnection, void* aSelf)
{
  auto* self = static_cast<JsonServer*>(aSelf);
  auto node = self->connections.extract(aConnection);
  if (node.empty() || node.mapped() == nullptr) {
    return;
  }
  Exchange& exchange = *node.mapped();
  if (!exchange.dropped) {
    self->handler.OnClosed(exchange);
  }
  // evhttp leaves us the request of a connection that the client closed.
  if (evhttp_request_get_connection(exchange.request) == nullptr) {
    evhttp_request_free(exchange.request);
  }
}

std::unique_ptr<Exchange>
JsonServer::Release(Exchange& aExchange)
{
  return std::move(
    this->connections.at(evhttp_request_get_connection(aExchange.request)));
}

void
JsonServer::DropAll(const Exchange* aSpared)
{
  std::vector<evhttp_connection*> doomed;
  for (auto& [connection, exchange] : this->connections) {
    if (aSpared != nullptr && exchange.get() == aSpared) {
      continue;
    }
    if (exchange != nullptr) {
      exchange->dropped = true;
    }
    doomed.push_back(connection);
  }
  for (evhttp_connection* connection : doomed) {
    evhttp_connection_free(connection);
  }
}

void
JsonServer::CloseDropped()
{
  std::vector<evhttp_connection*> doomed;
  for (auto& [connection, exchange] : this->connections) {
    if (exchange != nullptr && exchange->dropped) {
      doomed.push_back(connection);
    }
  }
  for (evhttp_connection* connection : doomed) {
    evhttp_connection_free(connection);
  }
}

std::string
ToLine(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precisionType"] = "decimal";
  builder["precision"] = 3;
  return Json::writeString(builder, aValue);
}

} // namespace dogwoodvale::standins
